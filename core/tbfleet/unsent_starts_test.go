package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answerPollsAtOnce lets the workers answer the polls in flight.
func answerPollsAtOnce(f *Fleet, now time.Time) {
	for _, o := range f.TakeOutput().Orders {
		if p, ok := o.(Poll); ok {
			f.HandlePollAnswered(now, PollAnswered{
				Worker: p.Target.ID, Incarnation: 1, ActualIncarnation: 1, SentAt: now, LeaseEndMs: p.LeaseEndMs, Outcome: Accepted, ClockMs: now.UnixMilli() - 1_699_999_999_999,
			})
		}
	}
}

// Guards against workers that are avoided for seconds because connections to them were slow: several starts to each of
// them were not sent in time.
func TestUnsentStartsAreNotFailuresOfTheWorker(t *testing.T) {
	f, s, now := newStartsFixture(t)
	answerPollsAtOnce(f, now)
	task := 0
	for range 5 {
		for range 3 {
			a := orderStart(f, s, now, task, "a")
			task++
			f.HandleStartAnswered(now.Add(400*time.Millisecond), StartAnswered{
				Worker: "a", Incarnation: 1, Ref: a.Ref, Run: a.Run, Outcome: NotSent, Cause: CauseConnectTimeout,
			})
		}
		now = now.Add(400 * time.Millisecond)
		qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsFalse)
		now = now.Add(400 * time.Millisecond)
		f.Tick(now)
		answerPollsAtOnce(f, now)
		f.Tick(now)
	}
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue, qt.Commentf("avoided for %v", f.Worker("a").AvoidUntil.Sub(now)))
}

// A start that was not sent because the leader or a relay was suspended says nothing about its worker.
func TestStartThatExpiredAtItsSenderDoesNotCountAgainstItsWorker(t *testing.T) {
	f, s, now := newStartsFixture(t)
	answerPollsAtOnce(f, now)
	a := orderStart(f, s, now, 0, "a")
	f.HandleStartAnswered(now, StartAnswered{Worker: "a", Incarnation: 1, Ref: a.Ref, Run: a.Run, Outcome: NotSent, Cause: "the order was issued too long ago"})
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue)
}

// A worker that refuses each start as overtaken, delayed or old gets no stream of them.
func TestOvertakenStartsAreNotRepeatedAtOnce(t *testing.T) {
	for _, cause := range []string{CauseFence, CauseLate, CauseOld} {
		f, s, now := newStartsFixture(t)
		answerPollsAtOnce(f, now)
		refusedStart(f, now, orderStart(f, s, now, 0, "a"), cause)
		qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsFalse)
		qt.Check(t, f.Usable(f.Worker("a"), now.Add(overtakenStartPause)), qt.IsTrue)
		qt.Check(t, f.Worker("a").Failures, qt.Equals, 0)
	}
}

package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// takePolls returns the polls that the fleet has ordered since the last call.
func takePolls(f *Fleet) []Poll {
	var polls []Poll
	for _, o := range f.TakeOutput().Orders {
		if p, ok := o.(Poll); ok {
			polls = append(polls, p)
		}
	}
	return polls
}

// Guards against a lost relay that makes all workers whose orders it had count as unresponsive.
func TestPollWithoutResultOfRelayIsRepeatedAtOnce(t *testing.T) {
	f, s, now := newStartsFixture(t)
	answerStart(f, now, orderStart(f, s, now, 0, "a"), Accepted)
	for answered := range 3 {
		polls := takePolls(f)
		qt.Assert(t, polls, qt.HasLen, 1)
		now = now.Add(10 * time.Millisecond)
		f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, LeaseEndMs: polls[0].LeaseEndMs, SentAt: now, Outcome: Unconfirmed, Cause: CauseNoResult})
		now = now.Add(recheckPause)
		f.Tick(now)
		qt.Check(t, f.Worker("a").Unresponsive, qt.IsFalse)
		polls = takePolls(f)
		qt.Assert(t, polls, qt.HasLen, 1, qt.Commentf("lost result %d", answered))
		now = now.Add(10 * time.Millisecond)
		f.HandlePollAnswered(now, PollAnswered{
			Worker: "a", Incarnation: 1, ActualIncarnation: 1, LeaseEndMs: polls[0].LeaseEndMs, SentAt: now, Outcome: Accepted, ClockMs: 1000,
			Running: []ListedRun{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1}},
		})
		qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue)
	}
}

// A worker whose polls get no result by any way must not keep its tasks.
func TestSecondPollWithoutResultCountsAsUnanswered(t *testing.T) {
	f, s, now := newStartsFixture(t)
	answerStart(f, now, orderStart(f, s, now, 0, "a"), Accepted)
	for lost := range 2 {
		qt.Check(t, f.Worker("a").Unresponsive, qt.IsFalse, qt.Commentf("%d lost", lost))
		polls := takePolls(f)
		qt.Assert(t, polls, qt.HasLen, 1)
		now = now.Add(10 * time.Millisecond)
		f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, LeaseEndMs: polls[0].LeaseEndMs, SentAt: now, Outcome: Unconfirmed, Cause: CauseNoResult})
		now = now.Add(recheckPause)
		f.Tick(now)
	}
	qt.Check(t, f.Worker("a").Unresponsive, qt.IsTrue)
}

func TestStartWithoutResultOfRelayDoesNotCountAgainstItsWorker(t *testing.T) {
	f, s, now := newStartsFixture(t)
	a := orderStart(f, s, now, 0, "a")
	now = now.Add(10 * time.Millisecond)
	f.HandleStartAnswered(now, StartAnswered{Worker: "a", Incarnation: 1, Ref: a.Ref, Run: a.Run, Outcome: Unconfirmed, Cause: CauseNoResult})
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue)
	qt.Check(t, f.orderTimeout(f.Worker("a")), qt.Equals, f.params.OrderTimeout)
}

// A poll whose result a relay has lost may still be executed after a later start, and would then acknowledge ends that the
// leader has not seen. Later orders have a higher token.
func TestPollWithoutResultIsFencedOff(t *testing.T) {
	f, s, now := newStartsFixture(t)
	w := f.Worker("a")
	answerStart(f, now, orderStart(f, s, now, 0, "a"), Accepted)
	polls := takePolls(f)
	qt.Assert(t, polls, qt.HasLen, 1)
	w.ackInFlight = true
	f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, LeaseEndMs: polls[0].LeaseEndMs, SentAt: now, Outcome: Unconfirmed, Cause: CauseNoResult})
	now = now.Add(recheckPause)
	f.Tick(now)
	again := takePolls(f)
	qt.Assert(t, again, qt.HasLen, 1)
	qt.Check(t, again[0].Target.Token > polls[0].Target.Token, qt.IsTrue)
}

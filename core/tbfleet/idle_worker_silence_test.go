package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Guards against workers that are recorded as silent because nobody has asked them: a worker without runs is not polled,
// and the first poll after its first start was lost on the way.
func TestWorkerThatWasNotPolledIsNotSilentAfterOneLostPoll(t *testing.T) {
	f, s, now := newStartsFixture(t)
	answerPollsAt(f, now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		f.Tick(now)
	}
	qt.Assert(t, f.TakeOutput().Orders, qt.HasLen, 0)
	now = now.Add(100 * time.Millisecond)
	a := orderStart(f, s, now, 0, "a")
	f.HandleReport(now, Report{ID: "a", Address: "a", Incarnation: 1, Class: "c", ClockMs: 1 + now.UnixMilli() - 1_700_000_000_000, Sequence: 2})
	var poll Poll
	for _, o := range f.TakeOutput().Orders {
		if p, ok := o.(Poll); ok {
			poll = p
		}
	}
	answerStart(f, now.Add(5*time.Millisecond), a, Accepted)
	now = now.Add(poll.Timeout)
	f.HandlePollAnswered(now, PollAnswered{Worker: "a", Incarnation: 1, SentAt: now.Add(-poll.Timeout), LeaseEndMs: poll.LeaseEndMs, Outcome: Unconfirmed})
	f.Tick(now.Add(10 * time.Millisecond))
	for _, c := range f.TakeOutput().Commands {
		_, isSilent := c.(tbflow.RecordSilent)
		qt.Check(t, isSilent, qt.IsFalse, qt.Commentf("silent %v after the first poll was sent, %v after its last answer to a start", poll.Timeout, poll.Timeout-5*time.Millisecond))
	}
}

// answerPollsAt lets the workers answer the polls in flight at once. Their lists are empty.
func answerPollsAt(f *Fleet, now time.Time) {
	f.Tick(now)
	for _, o := range f.TakeOutput().Orders {
		if p, ok := o.(Poll); ok {
			f.HandlePollAnswered(now, PollAnswered{
				Worker: p.Target.ID, Incarnation: 1, ActualIncarnation: 1, SentAt: now, LeaseEndMs: p.LeaseEndMs, Outcome: Accepted,
				ClockMs: 1 + now.UnixMilli() - 1_700_000_000_000,
			})
		}
	}
}

package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Guards against workers that are avoided for seconds because connections to them were reset: the starts in flight never
// arrived, and each counted as a run whose end the worker does not list.
func TestStartsOnResetConnectionsAreNotFailuresOfTheWorker(t *testing.T) {
	f, s, now := newStartsFixture(t)
	answerPollsAt(f, now)
	var starts []tbflow.Assignment
	for i := range 5 {
		starts = append(starts, orderStart(f, s, now, i, "a"))
	}
	now = now.Add(5 * time.Millisecond)
	for _, a := range starts {
		f.HandleStartAnswered(now, StartAnswered{Worker: "a", Incarnation: 1, Ref: a.Ref, Run: a.Run, Outcome: Unconfirmed, Cause: CauseDisconnected, SentBefore: now})
	}
	for range 10 {
		for _, o := range f.TakeOutput().Orders {
			if stop, ok := o.(Stop); ok {
				// The worker accepts the stop of a run that is not there.
				f.HandleStopAnswered(now, StopAnswered{Worker: "a", Incarnation: 1, Ref: stop.Ref, Run: stop.Run, Outcome: Accepted})
			}
			if p, ok := o.(Poll); ok && p.Target.ID == "a" {
				f.HandlePollAnswered(now, PollAnswered{
					Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: now, LeaseEndMs: p.LeaseEndMs, Outcome: Accepted,
					ClockMs: 1 + now.UnixMilli() - 1_700_000_000_000,
				})
			}
		}
		now = now.Add(50 * time.Millisecond)
		f.Tick(now)
	}
	qt.Check(t, f.Worker("a").AvoidUntil.Sub(now) <= 0, qt.IsTrue, qt.Commentf("avoided for another %v", f.Worker("a").AvoidUntil.Sub(now)))
	qt.Check(t, f.Worker("a").Failures, qt.Equals, 0)
}

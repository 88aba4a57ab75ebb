package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// A start is unanswered. A leader whose wall clock is 2 s ahead commits a command and ends. If the
// next leader computed the age of the start from the state's time, the age would be 2 s too high.
// It would give the run up 2 s early, although a restarted worker may execute the start that late.
func TestAgeOfStartToleratesWallClockSkewOfLeaders(t *testing.T) {
	ordered := time.UnixMilli(1_700_000_000_000)
	incarnation := ordered.Add(-time.Minute).UnixMilli()
	s := tbflow.New()
	s.Apply(ordered.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}, LongRunning: true}
	s.Apply(ordered.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	s.Apply(ordered.UnixMilli(), tbflow.RecordWorker{Worker: "w", Incarnation: incarnation, Address: "a:1", Class: "c"})
	s.Apply(ordered.UnixMilli(), tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Worker: "w", Incarnation: incarnation}}})
	s.Apply(ordered.Add(2*time.Second).UnixMilli(), tbflow.RecordInterference{})

	now := ordered.Add(100 * time.Millisecond)
	f := tbfleet.New(params, 3)
	f.TakeOver(now, s, tbfleet.NewOutstandingTimes(now, s))
	for {
		now = now.Add(10 * time.Millisecond)
		f.Tick(now)
		for _, c := range f.TakeOutput().Commands {
			if ends, ok := c.(tbflow.RecordEnds); ok && len(ends.Ends) > 0 {
				qt.Check(t, now.Sub(ordered) >= params.MaxOrderDelay+params.MaxLease, qt.IsTrue,
					qt.Commentf("given up %v after it was ordered", now.Sub(ordered)))
				return
			}
		}
		f.HandlePollAnswered(now, tbfleet.PollAnswered{Worker: "w", Incarnation: incarnation, SentAt: now})
		qt.Assert(t, now.Sub(ordered) < time.Minute, qt.IsTrue)
	}
}

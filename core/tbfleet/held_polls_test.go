package tbfleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Workers answer polls at once as long as they have ends that are not acknowledged. Polls of hundreds of workers with
// outstanding starts took all of the leader's time.
func TestPollsOfWorkersWithHeldEndsAreBounded(t *testing.T) {
	for _, workers := range []int{5, 50, 600} {
		now := time.UnixMilli(1_700_000_000_000)
		s, f := tbflow.New(), tbfleet.New(params, 2)
		s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
			{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
		}}})
		step := tbflow.Step{Count: workers, Need: tbresource.Amount{MilliProcessors: 1}}
		s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
		for i := range workers {
			id, ref := fmt.Sprintf("w%03d", i), tbflow.TaskRef{Job: "j", Index: i}
			s.Apply(now.UnixMilli(), tbflow.RecordWorker{Worker: id, Incarnation: 1, Address: id, Class: "c", Capacity: tbresource.Amount{MilliProcessors: 1000}})
			s.Apply(now.UnixMilli(), tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: ref, Run: 1, Worker: id, Incarnation: 1}}})
			s.Apply(now.UnixMilli(), tbflow.RecordUnanswered{Worker: id, Incarnation: 1, Address: id, Runs: []tbflow.RunRef{{Ref: ref, Run: 1}}})
		}
		f.TakeOver(now, s, tbfleet.NewOutstandingTimes(now, s))
		polls := 0
		var orders []tbfleet.Order
		for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(tick) {
			f.Tick(now)
			out := f.TakeOutput()
			answered := append(orders, out.Orders...)
			for _, o := range answered {
				if poll, ok := o.(tbfleet.Poll); ok {
					polls++
					f.HandlePollAnswered(now, tbfleet.PollAnswered{
						Worker: poll.Target.ID, Incarnation: 1, ActualIncarnation: 1, SentAt: now, Outcome: tbfleet.Accepted, ClockMs: 1000,
						Ended: []tbfleet.ListedEnd{{Number: 1, Ref: tbflow.TaskRef{Job: "other"}, Run: 1, Kind: tbflow.EndDone}},
					})
				}
			}
			next := f.TakeOutput()
			for _, c := range append(out.Commands, next.Commands...) {
				s.Apply(now.UnixMilli(), c)
				f.HandleApplied(now, s, c)
			}
			orders = next.Orders
		}
		qt.Check(t, polls <= 4*1000+3*workers, qt.IsTrue, qt.Commentf("%d polls of %d workers in 4 s", polls, workers))
		qt.Check(t, polls >= 3*workers, qt.IsTrue, qt.Commentf("%d polls of %d workers in 4 s", polls, workers))
	}
}

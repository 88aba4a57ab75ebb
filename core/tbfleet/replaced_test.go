package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// newFleetWithUnconfirmedStart returns a fleet with one worker, which has not answered the start of
// a task.
func newFleetWithUnconfirmedStart(t *testing.T, longRunning bool) (*tbfleet.Fleet, *tbflow.State, time.Time) {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}, LongRunning: longRunning}
	s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	f := tbfleet.New(tbfleet.Params{
		Lease: 4 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, MaxDeliveryDelay: 12 * time.Second, ClockRateBound: 0.02,
		PollWait: time.Second, OrderTimeout: 400 * time.Millisecond, SilenceTimeout: 3 * time.Second, PollRetryDelay: time.Second,
	}, 1)
	f.HandleReport(now, newReport("old", now))
	c := tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Worker: "old", Incarnation: now.UnixMilli()}}}
	s.Apply(now.UnixMilli(), c)
	f.HandleApplied(now, s, c)
	f.HandleStartAnswered(now, tbfleet.StartAnswered{
		Worker: "old", Incarnation: now.UnixMilli(), Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Outcome: tbfleet.Unconfirmed,
	})
	f.TakeOutput()
	return f, s, now
}

func newReport(id string, incarnation time.Time) tbfleet.Report {
	return tbfleet.Report{
		ID: id, Address: "a:1", Incarnation: incarnation.UnixMilli(), Class: "c", ClockMs: 1, Sequence: 1,
		Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
	}
}

// takeOutputAndCheckUnanswered takes the fleet's output and reports whether the output proposes to end the
// assignment of the run, with its start outstanding.
func takeOutputAndCheckUnanswered(f *tbfleet.Fleet) bool {
	for _, c := range f.TakeOutput().Commands {
		if u, ok := c.(tbflow.RecordUnanswered); ok && u.Worker == "old" && u.Address != "" && len(u.Runs) == 1 {
			return true
		}
	}
	return false
}

// takeOutputAndCheckEndProposed takes the fleet's output and reports whether the output proposes to
// record the end of the run.
func takeOutputAndCheckEndProposed(f *tbfleet.Fleet) bool {
	for _, c := range f.TakeOutput().Commands {
		if ends, ok := c.(tbflow.RecordEnds); ok && ends.Worker == "old" && len(ends.Ends) == 1 {
			return true
		}
	}
	return false
}

// A worker is disconnected while a start is in flight, crashes, and is replaced at its address by a
// worker with another ID. The new worker refuses orders to the old one, but the old one may return. The task
// must be startable at once on the new worker (TestStartIsNotSettledByOtherWorkerAtItsAddress), not only after
// 18 s, the sum of MaxOrderDelay and MaxLease (regression: platform simulation, site kollaalert, scenario
// leaving-workers, seed 619742734411: the task was not started elsewhere in time).
func TestUnconfirmedStartIsGivenUpOnceAnotherWorkerHasTheAddress(t *testing.T) {
	f, _, now := newFleetWithUnconfirmedStart(t, true)
	now = now.Add(4 * time.Second)
	f.HandlePollAnswered(now, tbfleet.PollAnswered{Worker: "old", Incarnation: now.Add(-4 * time.Second).UnixMilli(), SentAt: now, Outcome: tbfleet.OtherWorker})
	qt.Check(t, takeOutputAndCheckUnanswered(f), qt.IsTrue)

	f, _, now = newFleetWithUnconfirmedStart(t, true)
	f.HandleStopAnswered(now.Add(4*time.Second), tbfleet.StopAnswered{
		Worker: "old", Incarnation: now.UnixMilli(), Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Outcome: tbfleet.OtherWorker,
	})
	qt.Check(t, takeOutputAndCheckUnanswered(f), qt.IsTrue)

	f, _, now = newFleetWithUnconfirmedStart(t, true)
	now = now.Add(4 * time.Second)
	qt.Check(t, f.HandleReport(now, newReport("new", now)), qt.IsTrue)
	qt.Check(t, takeOutputAndCheckUnanswered(f), qt.IsTrue)
}

// A worker that has signed off may return under its ID and then execute an order in flight. The run
// of a task that is not long-running is therefore kept until no order in flight can be executed any more.
func TestUnconfirmedStartIsKeptWhileItsWorkerMayReturn(t *testing.T) {
	f, _, now := newFleetWithUnconfirmedStart(t, false)
	drainingReport := newReport("old", now)
	drainingReport.Draining, drainingReport.Sequence = true, 2
	qt.Assert(t, f.HandleReport(now, drainingReport), qt.IsTrue)
	f.HandleSignOff(now.Add(time.Second), "old")
	qt.Check(t, takeOutputAndCheckEndProposed(f), qt.IsFalse)
	for at := now; at.Before(now.Add(17 * time.Second)); at = at.Add(time.Second) {
		f.Tick(at)
		qt.Check(t, takeOutputAndCheckEndProposed(f), qt.IsFalse)
	}
	f.Tick(now.Add(20 * time.Second))
	qt.Check(t, takeOutputAndCheckEndProposed(f), qt.IsTrue)
}

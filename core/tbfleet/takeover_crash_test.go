package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Guards against a crashing task that is never a suspect: several leaders changed before one learned of the
// crash, and the time since the assignment counted as execution (fault soak, seed 9035). A run that a worker
// has listed counts as executing until a lease ago.
func TestTimeSinceAssignmentIsNoExecutionAfterATakeover(t *testing.T) {
	for _, isListed := range []bool{false, true} {
		fx := newWorkerFixture()
		start := fx.submit("t", isListed)
		fx.apply(tbflow.RecordWorker{Worker: "w", Incarnation: fx.worker.incarnation, Address: "a:1", Class: "c"})
		if isListed {
			fx.apply(tbflow.RecordListed{Worker: "w", Incarnation: fx.worker.incarnation, Runs: []tbflow.RunRef{{Ref: start.Ref, Run: start.Run}}})
		}
		fx.now = fx.now.Add(20 * time.Second)
		fx.apply(tbflow.RecordInterference{})
		fx.fleet = tbfleet.New(params, 2)
		fx.fleet.TakeOver(fx.now, fx.state, tbfleet.NewOutstandingTimes(fx.now, fx.state))
		fx.fleet.HandleReport(fx.now, tbfleet.Report{
			ID: "w", Address: "a:1", Incarnation: fx.worker.incarnation + 1, Class: "c", ClockMs: 1, Sequence: 1,
			Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
		})
		crashes := 0
		for _, c := range fx.fleet.TakeOutput().Commands {
			if crash, ok := c.(tbflow.RecordCrash); ok {
				crashes++
				qt.Assert(t, crash.Runs, qt.HasLen, 1)
				qt.Check(t, crash.Runs[0].RanMs > 0, qt.Equals, isListed, qt.Commentf("%+v", crash.Runs[0]))
				qt.Check(t, crash.Runs[0].Unconfirmed, qt.Equals, !isListed)
			}
		}
		qt.Check(t, crashes, qt.Equals, 1)
	}
}

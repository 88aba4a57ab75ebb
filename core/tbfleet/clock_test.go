package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// A heartbeat arrives seconds late, so the worker's clock seems far behind. A later incarnation has
// accepted a start, and a late poll to the earlier incarnation extends the lease. The leader must
// notice the later incarnation nevertheless. If the leader did not, it would assume a lease that is
// too short.
func TestLateHeartbeatDoesNotHideLaterIncarnation(t *testing.T) {
	fx := newWorkerFixture()
	fx.worker = newFakeWorker("w", fx.now, 0.98)
	fx.sendReport()
	fx.advance(time.Second, true)
	fx.worker.lastSequence++
	lateReport := tbfleet.Report{ID: "w", Address: "a:1", Incarnation: fx.worker.incarnation, Class: "c", ClockMs: fx.worker.clockMs(fx.now), Sequence: fx.worker.lastSequence, Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000}}
	fx.worker.startRun(fx.now, fx.submit("first", true), time.Hour)
	fx.advance(5*time.Second, true)
	poll := fx.renewal
	fx.worker = newFakeWorker("w", fx.now, 0.98)
	// The clocks of two incarnations may begin at different readings.
	fx.worker.startedAt = fx.now.Add(-time.Second)
	fx.fleet.HandleReport(fx.now, lateReport)
	fx.now = fx.now.Add(1500 * time.Millisecond)
	startedAt := fx.now
	a := fx.worker.startRun(fx.now, fx.submit("j", true), time.Hour)
	qt.Assert(t, a.Outcome, qt.Equals, tbfleet.Accepted)
	fx.fleet.HandleStartAnswered(fx.now, a)
	fx.advance(3*time.Second, false)
	fx.worker.poll(fx.now, poll)
	for fx.task("j").Phase == tbflow.TaskAssigned && fx.now.Before(startedAt.Add(time.Minute)) {
		fx.advance(tick, false)
	}
	qt.Check(t, fx.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was accepted", fx.now.Sub(startedAt)))
}

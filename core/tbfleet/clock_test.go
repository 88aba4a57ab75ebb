package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A heartbeat is seconds late, so that its clock seems far behind. It must not hide that a later
// life accepted a start, whose run a late look to the earlier life keeps for longer than the
// leader reckons.
func TestLateHeartbeatDoesNotHideALaterLife(t *testing.T) {
	o := newOneWorker()
	o.worker = newFakeWorker("w", o.now, 0.98)
	o.heard()
	o.pass(time.Second, true)
	o.worker.sequence++
	late := tbfleet.Report{ID: "w", Address: "a:1", Born: o.worker.born, Class: "c", ClockMs: o.worker.clock(o.now), Sequence: o.worker.sequence}
	o.worker.startRun(o.now, o.submit("first", true), time.Hour)
	o.pass(5*time.Second, true)
	look := o.renewal
	o.worker = newFakeWorker("w", o.now, 0.98)
	// Clocks of lives need not begin at the same reading.
	o.worker.start = o.now.Add(-time.Second)
	o.fleet.Heard(o.now, late)
	o.now = o.now.Add(1500 * time.Millisecond)
	startedAt := o.now
	a := o.worker.startRun(o.now, o.submit("j", true), time.Hour)
	qt.Assert(t, a.Verdict, qt.Equals, tbfleet.Accepted)
	o.fleet.StartAnswered(o.now, a)
	o.pass(3*time.Second, false)
	o.worker.look(o.now, look)
	for o.task("j").Phase == tbflow.TaskAssigned && o.now.Before(startedAt.Add(time.Minute)) {
		o.pass(step, false)
	}
	qt.Check(t, o.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was accepted", o.now.Sub(startedAt)))
}

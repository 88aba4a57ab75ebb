package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A leader leaves a start open and two looks that renew the lease, and another one takes over.
// The worker has started again under its id and carries out all three late, out of the new
// leader's reach. The run must be over when the new leader gives it up.
func TestLateLooksOfAnEarlierLeaderDoNotOutlastTheWaitForItsStart(t *testing.T) {
	o := newOneWorker()
	o.state.Apply(o.now.UnixMilli(), tbflow.NoteWorker{Worker: "w", Born: o.worker.born, Address: "a:1", Class: "c"})
	start := o.submit("j", true)
	startedAt := o.now
	o.fleet.StartAnswered(o.now, tbfleet.StartAnswered{Worker: "w", Born: start.Target.Born, Ref: start.Ref, Run: start.Run})
	var late []tbfleet.Look
	for _, reached := range []time.Duration{5 * time.Second, 5500 * time.Millisecond} {
		o.pass(reached, true)
		o.pass(step, false)
		qt.Assert(t, o.now.Sub(o.renewedAt) < 100*time.Millisecond, qt.IsTrue)
		late = append(late, o.renewal)
	}
	o.state.Apply(o.now.UnixMilli(), tbflow.NoteSlopes{})
	o.fleet, o.looks = tbfleet.New(terms, 2), nil
	o.fleet.TakeOver(o.now, o.state)

	o.worker = newFakeWorker("w", o.now, 0.98)
	do := []struct {
		at time.Duration
		do func()
	}{
		{11500 * time.Millisecond, func() { o.worker.startRun(o.now, start, time.Hour) }},
		{16500 * time.Millisecond, func() { o.worker.look(o.now, late[0]) }},
		{22 * time.Second, func() { o.worker.look(o.now, late[1]) }},
	}
	for o.task("j").Phase == tbflow.TaskAssigned && o.now.Before(startedAt.Add(time.Minute)) {
		if len(do) > 0 && o.now.Sub(startedAt) >= do[0].at {
			do[0].do()
			do = do[1:]
		}
		o.pass(step, false)
	}
	qt.Check(t, do, qt.HasLen, 0)
	qt.Check(t, o.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was ordered", o.now.Sub(startedAt)))
}

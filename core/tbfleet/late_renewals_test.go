package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A leader has an unconfirmed start and two polls that renew the lease in flight when another
// leader takes over. The worker has restarted under its ID. The worker executes all three orders
// late and cannot be reached by the new leader. The run must have ended when the new leader gives
// it up.
func TestLateLooksOfAnEarlierLeaderDoNotOutlastTheWaitForItsStart(t *testing.T) {
	fx := newWorkerFixture()
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordWorker{Worker: "w", Incarnation: fx.worker.incarnation, Address: "a:1", Class: "c"})
	start := fx.submit("j", true)
	startedAt := fx.now
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: start.Target.Incarnation, Ref: start.Ref, Run: start.Run})
	var late []tbfleet.Poll
	for _, advance := range []time.Duration{5 * time.Second, 5500 * time.Millisecond} {
		fx.advance(advance, true)
		fx.loseRenewal(t)
		qt.Assert(t, fx.now.Sub(fx.renewedAt) < 100*time.Millisecond, qt.IsTrue)
		late = append(late, fx.renewal)
	}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordInterference{})
	fx.fleet, fx.polls = tbfleet.New(params, 2), nil
	fx.fleet.TakeOver(fx.now, fx.state, tbfleet.NewOutstandingTimes(fx.now, fx.state))

	fx.worker = newFakeWorker("w", fx.now, 0.98)
	events := []struct {
		at time.Duration
		do func()
	}{
		{11500 * time.Millisecond, func() { fx.worker.startRun(fx.now, start, time.Hour) }},
		{16500 * time.Millisecond, func() { fx.worker.poll(fx.now, late[0]) }},
		{22 * time.Second, func() { fx.worker.poll(fx.now, late[1]) }},
	}
	for fx.task("j").Phase == tbflow.TaskAssigned && fx.now.Before(startedAt.Add(time.Minute)) {
		if len(events) > 0 && fx.now.Sub(startedAt) >= events[0].at {
			events[0].do()
			events = events[1:]
		}
		fx.advance(tick, false)
	}
	qt.Check(t, events, qt.HasLen, 0)
	qt.Check(t, fx.worker.running, qt.HasLen, 0, qt.Commentf("given up %v after the start was ordered", fx.now.Sub(startedAt)))
}

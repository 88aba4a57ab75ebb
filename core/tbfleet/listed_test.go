package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// startListedRun starts a long-running task, which the worker then lists as running.
func startListedRun(fx *workerFixture) {
	start := fx.submit("j", true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, start, time.Hour))
	fx.advance(2*time.Second, true)
}

func (fx *workerFixture) takeOver() {
	fx.term++
	fx.fleet, fx.polls = tbfleet.New(params, fx.term), nil
	fx.fleet.TakeOver(fx.now, fx.state, fx.times)
	for _, c := range fx.takeCommands() {
		fx.apply(c)
	}
}

// A leader and a worker are lost together. The earlier leader has recorded that the worker listed
// the run, so the start is not in flight any more. The new leader waits for the lease only, and not
// for a late start.
func TestListedRunIsGivenUpWhenItsLeaseHasExpired(t *testing.T) {
	fx := newWorkerFixture()
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordWorker{Worker: "w", Incarnation: fx.worker.incarnation, Address: "a:1", Class: "c"})
	startListedRun(fx)
	qt.Assert(t, fx.state.IsListed(tbflow.TaskRef{Job: "j"}, 1), qt.IsTrue)
	fx.takeOver()
	takenOverAt := fx.now
	for fx.task("j").Phase == tbflow.TaskAssigned && fx.now.Before(takenOverAt.Add(time.Minute)) {
		fx.advance(tick, false)
	}
	waited := fx.now.Sub(takenOverAt)
	qt.Check(t, waited < params.MaxLease+time.Second, qt.IsTrue, qt.Commentf("given up %v after the takeover", waited))
	qt.Check(t, fx.worker.running, qt.HasLen, 0)
	qt.Check(t, fx.state.Listed, qt.HasLen, 0)
}

// A worker restarts, and the leader fails after it has recorded the new incarnation, but before it
// has recorded the ends of the earlier one. The new leader ends the listed run at once.
func TestListedRunOfEarlierIncarnationEndsAtTakeover(t *testing.T) {
	fx := newWorkerFixture()
	startListedRun(fx)
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordWorker{Worker: "w", Incarnation: fx.worker.incarnation + 1, Address: "a:1", Class: "c"})
	fx.takeOver()
	qt.Check(t, fx.task("j").Phase, qt.Equals, tbflow.TaskWaiting)
}

// An accepted start does not show which incarnation accepted it. Only a poll answer does.
func TestAcceptedStartIsNotRecordedAsListed(t *testing.T) {
	fx := newWorkerFixture()
	start := fx.submit("j", true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, start, time.Hour))
	fx.advance(100*time.Millisecond, false)
	qt.Check(t, fx.state.IsListed(start.Ref, start.Run), qt.IsFalse)
}

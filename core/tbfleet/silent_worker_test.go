package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A worker sends no reports and answers no polls for a while, but for less than its lease. It keeps
// its task: the task is neither started elsewhere nor given up nor stopped.
func TestBrieflySilentWorkerKeepsItsTask(t *testing.T) {
	fx := newWorkerFixture()
	startListedRun(fx)
	silentFrom := fx.now
	fx.advance(params.Lease-500*time.Millisecond, false)
	qt.Check(t, fx.fleet.Usable(fx.fleet.Worker("w"), fx.now), qt.IsFalse)
	qt.Check(t, fx.task("j").Phase, qt.Equals, tbflow.TaskAssigned, qt.Commentf("given up after a silence of %v", fx.now.Sub(silentFrom)))
	qt.Check(t, fx.worker.running, qt.HasLen, 1)
	fx.advance(2*time.Second, true)
	qt.Check(t, fx.task("j").Run, qt.Equals, uint64(1))
	qt.Check(t, fx.worker.running, qt.HasLen, 1)
}

// A worker that only sends no reports, but answers polls, keeps its task for as long as it does.
func TestWorkerWithoutReportsKeepsItsTaskWhileItAnswersPolls(t *testing.T) {
	fx := newWorkerFixture()
	startListedRun(fx)
	fx.advance(time.Minute, true)
	qt.Check(t, fx.task("j").Run, qt.Equals, uint64(1))
	qt.Check(t, fx.worker.running, qt.HasLen, 1)
}

// A worker drains, signs off and is still there for a moment when a new leader takes over, or when
// the leader restarts. It gets no new tasks, even if it answers polls.
func TestWorkerThatHasLeftIsNotUsedByNextLeader(t *testing.T) {
	fx := newWorkerFixture()
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordWorker{Worker: "w", Incarnation: fx.worker.incarnation, Address: "a:1", Class: "c"})
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordDraining{Worker: "w", Incarnation: fx.worker.incarnation})
	fx.takeOver()
	fx.advance(3*time.Second, true)
	if w := fx.fleet.Worker("w"); w != nil {
		qt.Check(t, fx.fleet.Usable(w, fx.now), qt.IsFalse)
	}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{{Count: 1}}}})
	assign := tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Worker: "w", Incarnation: fx.worker.incarnation}}}
	fx.apply(assign)
	qt.Check(t, fx.task("j").Phase, qt.Equals, tbflow.TaskWaiting)
	for _, o := range fx.fleet.TakeOutput().Orders {
		_, isStart := o.(tbfleet.Start)
		qt.Check(t, isStart, qt.IsFalse)
	}
}

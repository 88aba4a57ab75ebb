package tbstate

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbresource"
)

// crashFixture is a state with a rolled-out bundle of one job kind and one team.
type crashFixture struct {
	t     *testing.T
	s     *State
	index uint64
	nowMs int64
}

func newCrashFixture(t *testing.T, jobs ...string) *crashFixture {
	fx := &crashFixture{t: t, s: New(), nowMs: 1000}
	b := tbbundle.Bundle{
		Version: 1,
		Kinds:   []tbbundle.JobKind{{Name: "plan", Resources: tbresource.Amount{MilliProcessors: 1000}, MaxFailures: 3}},
		Teams:   []tbbundle.Team{{Name: "team", Quota: tbresource.Amount{MilliProcessors: 100_000}}},
	}
	fx.apply(SignOff{Bundle: b})
	fx.apply(RollOut{Version: 1})
	for _, id := range jobs {
		fx.apply(SubmitJob{Job: Job{ID: id, Kind: "plan", Team: "team"}})
	}
	return fx
}

func (fx *crashFixture) apply(c Command) {
	fx.index++
	fx.nowMs += 10
	outcomes := fx.s.Apply(fx.index, Batch{NowMs: fx.nowMs, Commands: []Command{c}})
	qt.Assert(fx.t, outcomes[0].Reason, qt.Equals, OK, qt.Commentf("%T: %s", c, outcomes[0].Detail))
}

// announce announces an incarnation of a worker, which may have crashed before.
func (fx *crashFixture) announce(worker string, incarnation uint64, phase WorkerPhase) {
	fx.apply(AnnounceWorker{Worker: Worker{
		ID: worker, Incarnation: incarnation, Phase: phase, Capacity: tbresource.Amount{MilliProcessors: 8000},
	}})
}

func (fx *crashFixture) start(job, worker string) {
	fx.apply(StartTask{Job: job, Worker: worker, Run: fx.s.Jobs[job].Run + 1})
}

// A batch job crashes each worker that starts it. The job was queued again without end. A job that was
// lost beside it goes on.
func TestBatchJobThatCrashesItsWorkersFails(t *testing.T) {
	fx := newCrashFixture(t, "bad", "good")
	fx.announce("w0", 1, WorkerPresent)
	fx.start("bad", "w0")
	fx.start("good", "w0")
	fx.announce("w0", 2, WorkerPresent)
	for n := 1; n <= 2; n++ {
		qt.Check(t, fx.s.Jobs["bad"].Phase, qt.Equals, JobQueued)
		worker := fmt.Sprintf("w%d", n)
		fx.announce(worker, 1, WorkerPresent)
		fx.start("bad", worker)
		fx.announce(worker, 2, WorkerPresent)
	}
	qt.Check(t, fx.s.Jobs["bad"].Phase, qt.Equals, JobFailed)
	qt.Check(t, fx.s.Jobs["bad"].Reason, qt.Equals, CrashedWorkers)
	qt.Check(t, fx.s.Jobs["good"].Phase, qt.Equals, JobQueued)
}

// A worker that restarts as planned has not crashed, and neither is a task the cause that has run for long.
func TestBatchJobIsNotBlamedForOtherRestarts(t *testing.T) {
	fx := newCrashFixture(t, "a")
	for n := range 2 * maxCrashes {
		worker := fmt.Sprintf("w%d", n)
		fx.announce(worker, 1, WorkerPresent)
		fx.start("a", worker)
		if n%2 == 0 {
			fx.apply(DrainWorker{ID: worker})
		} else {
			fx.nowMs += youngTaskMs
		}
		fx.announce(worker, 2, WorkerPresent)
		qt.Assert(t, fx.s.Jobs["a"].Phase, qt.Equals, JobQueued)
	}
	qt.Check(t, fx.s.Jobs["a"].Crashes, qt.Equals, 0)
}

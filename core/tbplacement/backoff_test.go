package tbplacement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbstate"
)

// Guards against a worker whose backoff never ends because nothing is committed while it lasts: the job
// that waits for the worker would wait for ever.
func TestBackoffOfAWorkerEndsInAQuietSystem(t *testing.T) {
	s, index, now := tbstate.New(), uint64(0), time.UnixMilli(1_700_000_000_000)
	apply := func(c tbstate.Command) {
		index++
		outcomes := s.Apply(index, tbstate.Batch{NowMs: now.UnixMilli(), Commands: []tbstate.Command{c}})
		qt.Assert(t, outcomes[0].Reason, qt.Equals, tbstate.OK, qt.Commentf("%T: %s", c, outcomes[0].Detail))
	}
	apply(tbstate.SignOff{Bundle: tbbundle.Bundle{
		Version: 1,
		Kinds:   []tbbundle.JobKind{{Name: "plan", Resources: tbresource.Amount{MilliProcessors: 1000}, MaxFailures: 10}},
		Teams:   []tbbundle.Team{{Name: "team", Quota: tbresource.Amount{MilliProcessors: 100_000}}},
	}})
	apply(tbstate.RollOut{Version: 1})
	apply(tbstate.AnnounceWorker{Worker: tbstate.Worker{
		ID: "w", Incarnation: 1, Phase: tbstate.WorkerPresent, Capacity: tbresource.Amount{MilliProcessors: 8000},
	}})
	apply(tbstate.SubmitJob{Job: tbstate.Job{ID: "j", Kind: "plan", Team: "team"}})
	w := s.Workers["w"]
	for range 10 {
		apply(tbstate.StartTask{Job: "j", Worker: "w", Run: s.Jobs["j"].Run + 1})
		apply(tbstate.ReportTask{Job: "j", Worker: "w", Run: s.Jobs["j"].Run, Phase: tbstate.TaskFailed})
		if w.BackoffUntilMs > 0 {
			break
		}
	}
	backoff := time.Duration(w.BackoffUntilMs-now.UnixMilli()) * time.Millisecond
	qt.Assert(t, backoff > 0, qt.IsTrue)
	p := tbplacement.New(tbplacement.DefaultConfig())
	qt.Check(t, p.Plan(s, now.Add(backoff-time.Millisecond)), qt.HasLen, 0)
	qt.Check(t, p.Plan(s, now.Add(backoff+time.Millisecond)), qt.HasLen, 1)
}

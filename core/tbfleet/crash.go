package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// KnownRunTime returns how long the run is known to have executed: the time from the first proof that
// it was executing to the newest one. It is 0 without a second proof.
func (r *Run) KnownRunTime() time.Duration {
	if r.executingSince.IsZero() {
		return 0
	}
	return max(0, r.confirmedAt.Sub(r.executingSince))
}

// noteExecuting records a proof that arrives now that the run is executing.
func (r *Run) noteExecuting(now time.Time) {
	if r.executingSince.IsZero() {
		r.executingSince = now
	}
}

// handleCrash handles the proof that the current incarnation of a worker has ended: a later
// incarnation or another worker has taken its place. The end of a draining worker is not a crash.
//
// Silence proves nothing, because a worker that cannot be reached may still be executing its runs.
func (f *Fleet) handleCrash(w *Worker, cause string) {
	if w.Draining || w.replaced {
		return
	}
	runs := w.runsAtCrash()
	if len(runs) == 0 {
		return
	}
	shortest := runs[0].KnownRunTime
	for _, r := range runs {
		shortest = min(shortest, r.KnownRunTime)
	}
	f.output.LogEvents = append(f.output.LogEvents, LogEvent{
		Message: "worker crashed", Worker: w.ID, Detail: cause,
		Inputs: []any{"runs", len(runs), "shortestKnownRunMs", shortest.Milliseconds()},
	})
}

// crashedRun is a run that may have been executing when its worker crashed.
type crashedRun struct {
	Ref          tbflow.TaskRef
	Run          uint64
	KnownRunTime time.Duration
}

// runsAtCrash returns the runs that the current incarnation may have been executing when it ended.
// This includes unconfirmed starts, because a run may crash its worker before the start is answered.
func (w *Worker) runsAtCrash() []crashedRun {
	var runs []crashedRun
	for ref, r := range w.runs {
		if r.Phase != RunEnding && r.earlierIncarnation == 0 {
			runs = append(runs, crashedRun{Ref: ref, Run: r.Number, KnownRunTime: r.KnownRunTime()})
		}
	}
	return runs
}

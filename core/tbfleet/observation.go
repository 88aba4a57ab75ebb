package tbfleet

import (
	"slices"
	"strings"
	"time"

	"tamarackbarrow/core/tbflow"
)

// A run of a task that is suspected of crashes is observed until it is proven to be harmless. The worker is
// closed to other tasks meanwhile, so that the next crash shows which task is the cause, and costs no
// other run.

// maxClosedTime is the longest time that a worker is closed because of one run. Longer observations go on
// beside other tasks.
const maxClosedTime = 2 * time.Second

// MaxClosedShare is the largest share of the workers of a class that are closed to other tasks at the
// same time. One worker may always be closed.
const MaxClosedShare = 0.125

// observe begins to observe a run of a task that is suspected of crashes. It closes the worker to other
// tasks meanwhile, unless too many workers of its class are closed.
func (f *Fleet) observe(now, assignedAt time.Time, w *Worker, run *Run, crashes []tbflow.Crash) {
	if len(crashes) == 0 {
		return
	}
	run.observation = tbflow.ObservationTime(crashes)
	if tbflow.SuspectedCrashes(crashes) > 0 && f.mayClose(now, w.Class) {
		run.observedUntil = assignedAt.Add(min(run.observation, maxClosedTime))
		w.ObservedUntil = maxTime(w.ObservedUntil, run.observedUntil)
	}
}

// IsObservingOther reports whether the worker has a run of another job's task that is suspected of crashes and not
// proven.
func (w *Worker) IsObservingOther(job string) bool {
	for ref, r := range w.runs {
		if r.observation > 0 && r.Phase != RunEnding && ref.Job != job {
			return true
		}
	}
	return false
}

// endObservations ends the observation of the runs that have proven that they do not crash the worker.
func (f *Fleet) endObservations(w *Worker) {
	var proven []tbflow.RunRef
	for ref, r := range w.runs {
		if r.observation > 0 && r.KnownRunTime() >= r.observation && r.Phase == RunExecuting {
			r.observation, r.observedUntil = 0, time.Time{}
			proven = append(proven, tbflow.RunRef{Ref: ref, Run: r.Number})
		}
	}
	if len(proven) == 0 {
		return
	}
	slices.SortFunc(proven, func(a, b tbflow.RunRef) int { return strings.Compare(a.Ref.String(), b.Ref.String()) })
	w.updateObservedUntil()
	f.output.Commands = append(f.output.Commands, tbflow.RecordProven{Runs: proven})
}

// mayClose reports whether one more worker of a class may be closed.
func (f *Fleet) mayClose(now time.Time, class string) bool {
	workers, closed := 0, 0
	for _, w := range f.sortedWorkers {
		if !w.registered || w.Class != class {
			continue
		}
		workers++
		if now.Before(w.ObservedUntil) {
			closed++
		}
	}
	return closed == 0 || float64(closed+1) <= MaxClosedShare*float64(workers)
}

// updateObservedUntil recomputes ObservedUntil after runs were removed.
func (w *Worker) updateObservedUntil() {
	if w.ObservedUntil.IsZero() {
		return
	}
	w.ObservedUntil = time.Time{}
	for _, r := range w.runs {
		w.ObservedUntil = maxTime(w.ObservedUntil, r.observedUntil)
	}
}

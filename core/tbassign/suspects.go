package tbassign

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A few tasks crash each worker that starts them, among thousands that share workers with them. Some
// machines also crash by themselves, with everything that runs on them.
//
// A task that is suspected of a crash is therefore placed where its next crash would tell the most and
// cost the least: on a worker with few other unproven runs, on a machine that has not crashed lately, and
// beside few runs. Until the task is proven there, the worker is closed (tbfleet.Worker). Most suspects are
// harmless, so they do not wait for such a worker after a single crash. After more crashes they wait for
// suspectWait.

// suspectWait is how long a task with more than one suspected crash waits for a worker without other
// unproven runs.
const suspectWait = time.Second

// crashesToAwaitLost is the number of suspected crashes from which a task also waits until it is known
// whether the silent worker of its last run has crashed, or until that worker is removed.
const crashesToAwaitLost = 3

// maxContactAge is the time since the last contact after which a worker may be gone without notice. Polls
// are answered, and reports are sent, about every second.
const maxContactAge = 1200 * time.Millisecond

// placeSuspect returns the worker for a task that is suspected of crashes, or nil if the task has to wait.
// isSuspect is false if the task is to be placed like others.
func (p *planState) placeSuspect(w *waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (r *workerState, isSuspect bool) {
	crashes := p.state.Crashes[ref]
	suspectedCrashes := tbflow.SuspectedCrashes(crashes)
	if suspectedCrashes == 0 {
		return nil, false
	}
	if suspectedCrashes >= crashesToAwaitLost && p.state.IsLost(ref) {
		return nil, true
	}
	best := p.bestForSuspect(w, t, crashes)
	mayWait := suspectedCrashes > 1 && p.nowMs-t.WaitingSinceMs < suspectWait.Milliseconds()
	if mayWait && (best.r == nil || best.unproven > 0 || best.crashedHere) {
		return nil, true
	}
	if best.r != nil {
		p.closeWorker(best.r, w.job.WorkerClass)
	}
	return best.r, best.r != nil
}

// closeWorker closes a worker to the other tasks of the plan, unless the plan has closed too many.
func (p *planState) closeWorker(r *workerState, class string) {
	if p.closedWorkers == 0 || float64(p.closedWorkers+1) <= tbfleet.MaxClosedShare*float64(len(p.workersByClass[class])) {
		r.closed = true
		p.closedWorkers++
	}
}

// suspectCandidate rates a worker for a task that is suspected of crashes.
type suspectCandidate struct {
	r *workerState
	// crashedHere is true if a worker on the machine has crashed under the task. machineCrashes is the
	// number of all recent crashes there.
	crashedHere    bool
	machineCrashes int
	// stale is true if the worker was not heard from for maxContactAge, so that it may be gone.
	stale bool
	// unproven is the number of other unproven runs on the worker, and runs that of all runs.
	unproven int
	runs     int
}

// bestForSuspect returns the best worker that can take the task. Its field r is nil if there is none.
func (p *planState) bestForSuspect(w *waitingStep, t *tbflow.Task, crashes []tbflow.Crash) suspectCandidate {
	var best suspectCandidate
	workers := p.workersByClass[w.job.WorkerClass]
	for _, r := range workers {
		if p.avoids(t, r, len(workers)) || !p.canPlace(r, w) {
			continue
		}
		if !r.unprovenIsKnown {
			r.unprovenRuns, r.unprovenIsKnown = r.worker.UnprovenRuns(), true
		}
		c := suspectCandidate{
			r: r, crashedHere: crashedAt(crashes, r.worker), machineCrashes: p.fleet.RecentCrashes(r.worker),
			stale:    p.now.Sub(r.worker.LastHeardAt) > maxContactAge,
			unproven: r.unprovenRuns + r.plannedRuns, runs: p.state.RunCount(r.worker.ID),
		}
		if p.fleet.HasOutstanding(r.worker) {
			// A bound task may need the worker for itself.
			c.unproven++
		}
		if best.r == nil || compareSuspectCandidates(c, best) < 0 {
			best = c
		}
	}
	return best
}

// compareSuspectCandidates returns a negative number if a is better than b.
func compareSuspectCandidates(a, b suspectCandidate) int {
	return cmp.Or(
		compareBools(a.crashedHere, b.crashedHere), compareBools(a.stale, b.stale), cmp.Compare(min(a.unproven, 1), min(b.unproven, 1)),
		cmp.Compare(a.machineCrashes, b.machineCrashes), cmp.Compare(a.unproven, b.unproven), cmp.Compare(a.runs, b.runs),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// crashedAt reports whether a task has crashed at the address of a worker.
func crashedAt(crashes []tbflow.Crash, w *tbfleet.Worker) bool {
	return slices.ContainsFunc(crashes, func(c tbflow.Crash) bool { return c.Address == w.Address })
}

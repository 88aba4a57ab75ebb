package tbassign

import (
	"slices"

	"tamarackbarrow/core/tbflow"
)

// keepAvoidedForLongRunning marks the classes of which at least half is in use. Only long-running tasks use their avoided workers.
func (p *referenceState) keepAvoidedForLongRunning() {
	p.onlyLongRunning = map[string]bool{}
	for class, avoided := range p.avoidedByClass {
		var use classUse
		for _, r := range append(slices.Clone(avoided), p.workersByClass[class]...) {
			processors := min(r.worker.Capacity.MilliProcessors-r.free.MilliProcessors+r.bestEffortMillicores, r.worker.Capacity.MilliProcessors)
			used := r.worker.Capacity.Sub(r.free)
			used.MilliProcessors = processors
			use.used, use.capacity = use.used.Add(used), use.capacity.Add(r.worker.Capacity)
		}
		p.onlyLongRunning[class] = use.keepsRoom()
	}
}

// avoidedFor returns the avoided workers that a step may use for tasks that fit nowhere else.
func (p *referenceState) avoidedFor(w waitingStep) []*referenceWorker {
	var workers []*referenceWorker
	for _, r := range p.avoidedByClass[w.job.WorkerClass] {
		need := w.step.Need
		if w.step.BestEffort {
			need.MilliProcessors = 0
			if r.unusedMillicores <= 0 {
				continue
			}
		}
		if (w.step.LongRunning || !p.onlyLongRunning[w.job.WorkerClass]) && need.Fits(r.free) && satisfiesConstraints(w.step, r.worker, r.spreadCounts[w.stepRef()]) {
			workers = append(workers, r)
		}
	}
	return workers
}

// chooseAvoided returns the avoided worker for a task that fits nowhere else, or nil.
func (p *referenceState) chooseAvoided(w waitingStep, t *tbflow.Task) *referenceWorker {
	if p.state.TimeAt(p.now)-t.WaitingSinceMs <= avoidWaitMs {
		return nil
	}
	var best *referenceWorker
	for _, r := range p.avoidedFor(w) {
		isBetter := best == nil || r.worker.Failures < best.worker.Failures
		if best != nil && (best.worker.ID == t.LastFailedOn || r.worker.ID == t.LastFailedOn) {
			isBetter = best.worker.ID == t.LastFailedOn
		}
		if isBetter {
			best = r
		}
	}
	return best
}

// closeAvoided keeps an avoided worker from other tasks of the plan than one, or than the members of one gang.
func (p *referenceState) closeAvoided(r *referenceWorker) {
	workers := p.avoidedByClass[r.worker.Class]
	p.avoidedByClass[r.worker.Class] = slices.DeleteFunc(workers, func(other *referenceWorker) bool { return other == r })
}

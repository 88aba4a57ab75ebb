package tbassign

import (
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Best-effort tasks reserve memory, but no processors: they use what other tasks leave, and slow the long-running tasks
// beside them.

// chooseUntolerated returns the best worker for a best-effort task that no worker tolerates, if the task has waited for
// headroomWaitMs and its class has much room, and otherwise nil. The speed of the task is then adjusted to the
// long-running tasks beside it.
func (c *candidates) chooseUntolerated(t *tbflow.Task) *workerState {
	if !c.step.step.BestEffort || len(c.workers) == 0 || c.workers[0].keepsRoomFrom(c.step) || c.planState.nowMs-t.WaitingSinceMs <= headroomWaitMs {
		return nil
	}
	for _, r := range c.workers {
		c.rescore(r)
	}
	return c.bestScored(t)
}

// hasProcessorsForBestEffort reports whether a worker has processors for a best-effort task: as many unused ones as it
// requests, or whatever is left if no other best-effort task shares it or the class has much room. A task may request
// more than any worker leaves.
func (r *workerState) hasProcessorsForBestEffort(w *waitingStep) bool {
	return int64(float64(w.step.Need.MilliProcessors)*bestEffortRequestFactor) <= r.unusedMillicores ||
		r.unusedMillicores > 0 && (r.bestEffortMillicores == 0 || !r.keepsRoomFrom(w))
}

// withoutProcessors returns what a best-effort task takes from other tasks: it uses the processors that they
// leave unused.
func withoutProcessors(need tbresource.Amount) tbresource.Amount {
	need.MilliProcessors = 0
	return need
}

// takesNeededSlot reports whether the memory of a best-effort task would take a slot that short tasks need.
func (p *planState) takesNeededSlot(r *workerState, w *waitingStep, need tbresource.Amount) bool {
	b := p.slotBudgets[w.job.WorkerClass]
	return w.step.BestEffort && b != nil && r.keepsRoomFrom(w) && b.keepsFromBestEffort(r.free, need)
}

// bestEffortScore rates a worker for a best-effort step. It favours unused processors. It
// penalizes a worker whose long-running tasks the image would harm, and a worker that other
// best-effort images need because they would do harm elsewhere.
func (p *planState) bestEffortScore(r *workerState, w *waitingStep) float64 {
	score := processorShare(r.unusedMillicores, r.worker) - float64(r.worker.Failures)
	slope := p.worstSlope(r, w.imageIndex)
	return score + interferenceWeight*slope - scarcityWeight*p.scarcity(r, w)
}

package tbassign

import (
	"math"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// workerState is the working copy of one worker during a plan.
type workerState struct {
	worker *tbfleet.Worker
	// classIndex is the position of the worker among the usable workers of its class.
	classIndex int
	free       tbresource.Amount
	// unusedMillicores is the capacity that tasks are not expected to use, in millicores. The full
	// request of each best-effort task and the expected use of each other task are subtracted. It
	// may be negative.
	unusedMillicores int64
	// bestEffortMillicores is what the best-effort tasks request, in millicores.
	bestEffortMillicores int64
	// classUse is the use of the worker's class, of which the worker is a part.
	classUse *classUse
	// longRunningCounts holds the number of long-running tasks of each image, sorted by image
	// index.
	longRunningCounts []imageCount
	// colocated holds the best-effort and long-running tasks on the worker. margins holds the
	// expected margins of the long-running tasks in colocated. Both are nil until they are first
	// needed.
	colocated *colocatedTasks
	margins   []taskMargin
	// plannedBestEffort holds the step of each best-effort task that the plan has placed on the
	// worker.
	plannedBestEffort []*tbflow.Step
	// slowPenalty is subtracted from the score for short tasks, see Learner.slowPenalty.
	slowPenalty float64
	// plannedRuns is the number of runs that the plan has placed on the worker.
	plannedRuns int
	// isAvoided is true for an avoided worker, which is not among the usable workers of its class.
	isAvoided bool
	// closed is true if the plan has placed a suspect of crashes on the worker, which gets no other task.
	closed bool
	// reserved is the reservation for a large task, or nil.
	reserved *roomReservation
	// reservable is the capacity that is free now or soon. It is computed when it is first needed.
	reservable   tbresource.Amount
	isReservable bool
	// observedJob is the job of the bound suspects of crashes that the plan has placed on the worker, or empty.
	observedJob string
	// unprovenRuns is the number of unproven runs before the plan, if unprovenIsKnown is true.
	unprovenRuns    int
	unprovenIsKnown bool
	// spreadCounts holds the number of tasks on the worker for each step with a spread limit.
	spreadCounts map[stepRef]int

	// worstSlopes and harmlessSum cache results. Both are dropped when the set of long-running
	// images on the worker changes. worstSlopes is indexed by best-effort image. harmlessSum is the
	// sum of the harmful shares of the images that are harmless on this worker. It is NaN until it
	// is first needed.
	worstSlopes []float64
	harmlessSum float64
}

// imageCount is the number of tasks of one long-running image.
type imageCount struct {
	imageIndex int
	taskCount  int
}

// taskMargin holds the expected margin of a long-running task beside the best-effort tasks. A
// margin is the ratio of the latency target to the tail latency; it is 1 if the latency equals its
// target.
type taskMargin struct {
	imageIndex       int
	margin           float64
	unexplainedSlope float64
}

type stepRef struct {
	jobID      string
	occurrence int
	stepIndex  int
}

func stepRefOf(ref tbflow.TaskRef) stepRef { return stepRef{ref.Job, ref.Occurrence, ref.Step} }

// applyReservation subtracts the demand of a task that is being moved to this worker from the free
// capacity, as if the task were already assigned here. With sign -1, it adds the demand back.
func (r *workerState) applyReservation(s *tbflow.State, ref tbflow.TaskRef, sign int) {
	step := s.StepOf(ref)
	r.adjustFree(step, stepRefOf(ref), step.Need, sign)
}

// adjustFree subtracts need, the demand of one task, from the free capacity and counts the task for
// its spread limit. With sign -1, it adds need back and no longer counts the task.
func (r *workerState) adjustFree(step *tbflow.Step, ref stepRef, need tbresource.Amount, sign int) {
	r.adjustUse(func() {
		if sign > 0 {
			r.free = r.free.Sub(need)
		} else {
			r.free = r.free.Add(need)
		}
	})
	if step.SpreadLimit > 0 {
		r.addSpreadCount(ref, sign)
	}
}

func (r *workerState) addSpreadCount(step stepRef, n int) {
	if r.spreadCounts == nil {
		r.spreadCounts = map[stepRef]int{}
	}
	r.spreadCounts[step] += n
}

// addLongRunning adds n, which may be negative, to the number of long-running tasks of an image.
// If the set of images changes, the cached results by image are dropped.
func (r *workerState) addLongRunning(imageIndex, n int) {
	imagesBefore := len(r.longRunningCounts)
	r.longRunningCounts = adjustImageCount(r.longRunningCounts, imageIndex, n)
	if len(r.longRunningCounts) != imagesBefore {
		r.worstSlopes, r.harmlessSum = r.worstSlopes[:0], math.NaN()
	}
}

// worstSlope returns the most negative slope of a best-effort image on any long-running image of
// the worker, or 0 if there is none.
func (p *planState) worstSlope(r *workerState, bestEffortIndex int) float64 {
	for i := len(r.worstSlopes); i <= bestEffortIndex; i++ {
		worst := 0.0
		for _, c := range r.longRunningCounts {
			worst = min(worst, p.images.slopesByPair[c.imageIndex][i])
		}
		r.worstSlopes = append(r.worstSlopes, worst)
	}
	return r.worstSlopes[bestEffortIndex]
}

// adjustExpectedUse counts the expected use of a task that is not best-effort. With sign -1, it
// removes the task again.
func (p *planState) adjustExpectedUse(r *workerState, step *tbflow.Step, sign int) {
	if step.LongRunning {
		r.addLongRunning(p.images.internLongRunning(step.Image), sign)
	}
	r.unusedMillicores -= int64(sign) * expectedMillicores(step)
}

func (p *planState) allocate(r *workerState, w *waitingStep) { p.adjustCapacity(r, w, 1) }

func (p *planState) release(r *workerState, w *waitingStep) { p.adjustCapacity(r, w, -1) }

func (p *planState) adjustCapacity(r *workerState, w *waitingStep, sign int) {
	need := w.step.Need
	r.plannedRuns += sign
	if w.step.BestEffort {
		r.unusedMillicores -= int64(sign) * need.MilliProcessors
		r.adjustUse(func() { r.bestEffortMillicores += int64(sign) * need.MilliProcessors })
		p.adjustBestEffort(r, w.step, sign)
		need.MilliProcessors = 0
	} else {
		p.adjustExpectedUse(r, w.step, sign)
	}
	if b := p.slotBudgets[w.job.WorkerClass]; b != nil && b.isKnown {
		if !isShort(w.step) {
			b.adjust(r.free, need, sign)
		}
		if b.slotsTaken(r.free, need) != 0 {
			// A best-effort task that would have taken a slot from this worker may now take none.
			clear(p.unplaceable)
		}
	}
	if b := p.largeBudgets[w.job.WorkerClass]; b != nil && b.isKnown && !isShort(w.step) {
		b.adjust(r.free, need, sign)
	}
	p.takeReservedRoom(r, w, need, sign)
	r.adjustFree(w.step, w.stepRef(), need, sign)
}

// adjustBestEffort records a planned best-effort task. With sign -1, it removes the last recorded one,
// which has to be of the same step.
func (p *planState) adjustBestEffort(r *workerState, step *tbflow.Step, sign int) {
	if sign < 0 {
		r.plannedBestEffort = r.plannedBestEffort[:len(r.plannedBestEffort)-1]
		r.colocated = nil
		return
	}
	r.plannedBestEffort = append(r.plannedBestEffort, step)
	if r.colocated != nil {
		r.colocated.addBestEffort(step, r.worker)
		p.computeMargins(r)
	}
}

// tolerates reports whether the long-running tasks of a worker keep a sufficient margin beside
// another best-effort task.
func (p *planState) tolerates(r *workerState, w *waitingStep) bool {
	if p.worstSlope(r, w.imageIndex) > harmlessSlope {
		return true
	}
	if r.colocated == nil {
		r.colocated = p.learner.colocatedTasksOf(p.state, r.worker, func(run *tbfleet.Run) bool { return run.Phase != tbfleet.RunEnding })
		for _, step := range r.plannedBestEffort {
			r.colocated.addBestEffort(step, r.worker)
		}
		p.computeMargins(r)
	}
	// A task that requests more than is unused gets no more.
	addedShare := processorShare(min(w.step.Need.MilliProcessors, max(0, r.unusedMillicores)), r.worker)
	for _, t := range r.margins {
		if t.margin+(p.images.slopesByPair[t.imageIndex][w.imageIndex]-t.unexplainedSlope)*addedShare < minStartMargin {
			return false
		}
	}
	return true
}

func (p *planState) computeMargins(r *workerState) {
	r.margins = r.margins[:0]
	for _, t := range r.colocated.latencyTasks {
		r.margins = append(r.margins, taskMargin{p.images.internLongRunning(t.image), r.colocated.expectedMargin(t), t.unexplainedSlope})
	}
}

// scarcity returns how much the other best-effort images need this worker, from 0 to 1. Each of
// them that is harmless on this worker adds the share of workers on which it is harmful. The sum
// is divided by the number of learned images.
func (p *planState) scarcity(r *workerState, w *waitingStep) float64 {
	if p.harmfulShares == nil {
		p.harmfulShares = p.computeHarmfulShares(p.workersByClass[w.job.WorkerClass])
	}
	if math.IsNaN(r.harmlessSum) {
		r.harmlessSum = 0
		for imageIndex, share := range p.harmfulShares {
			if p.worstSlope(r, imageIndex) > harmlessSlope {
				r.harmlessSum += share
			}
		}
	}
	sum := r.harmlessSum
	if w.imageIndex < len(p.harmfulShares) && p.worstSlope(r, w.imageIndex) > harmlessSlope {
		sum -= p.harmfulShares[w.imageIndex]
	}
	return sum / float64(max(1, len(p.harmfulShares)))
}

// computeHarmfulShares returns, for each learned best-effort image, the share of the given workers
// on which the image is harmful.
func (p *planState) computeHarmfulShares(workers []*workerState) []float64 {
	shares := make([]float64, p.images.learnedImageCount)
	for imageIndex := range shares {
		harmedWorkers := 0
		for _, r := range workers {
			if p.worstSlope(r, imageIndex) <= harmlessSlope {
				harmedWorkers++
			}
		}
		shares[imageIndex] = float64(harmedWorkers) / float64(max(1, len(workers)))
	}
	return shares
}

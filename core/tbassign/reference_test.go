package tbassign

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// referencePlan is Plan without caching between tasks, steps or plans.
func referencePlan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	state := newReferenceState(now, s, f, l, g)
	var plan []tbflow.Assignment
	steps := state.orderForStart()
	firstWindowed := slices.IndexFunc(steps, func(w waitingStep) bool { return isWindowed(w.step) })
	for i := range steps {
		if i == firstWindowed {
			plan = append(plan, state.placeStarved(steps, limit, limit-len(plan))...)
		}
		if len(plan) >= limit {
			break
		}
		plan = append(plan, state.place(steps[i], limit-len(plan))...)
	}
	return plan
}

// referenceState is the working state of one plan. It holds the usable workers of each class and
// the capacity that the plan has not assigned yet.
type referenceState struct {
	now            time.Time
	state          *tbflow.State
	learner        *Learner
	rebalancer     *Rebalancer
	workersByClass map[string][]*referenceWorker
	workersByID    map[string]*referenceWorker
	// avoidedByClass holds the avoided workers that the plan has given no task yet.
	avoidedByClass map[string][]*referenceWorker
	// onlyLongRunning is true for the classes whose avoided workers get long-running tasks only.
	onlyLongRunning map[string]bool
	// assignedMillicores is the demand of the best-effort tasks that were assigned before this
	// plan, by class and image, in millicores.
	assignedMillicores map[classImage]int64
	// severityCache caches the severities of the long-running images for this plan.
	severityCache *severityCache
	// slotBudgets holds the budgets of slots for short tasks at the beginning of the plan, less what
	// the long-running tasks of the plan have taken.
	slotBudgets map[string]*slotBudget
	// harmfulShares holds, for each best-effort image, the share of workers on which the image is
	// harmful. It is nil until it is first needed.
	harmfulShares map[string]float64
	// ignoresTolerance is true while a worker is searched for a best-effort task that no worker tolerates.
	ignoresTolerance bool
}

// referenceWorker is the working copy of one worker during a plan.
type referenceWorker struct {
	worker *tbfleet.Worker
	free   tbresource.Amount
	// unusedMillicores is the capacity that tasks are not expected to use, in millicores. The full
	// request of each best-effort task and the expected use of each other task are subtracted. It
	// may be negative.
	unusedMillicores int64
	// bestEffortMillicores is what the best-effort tasks request, in millicores.
	bestEffortMillicores int64
	// longRunningCounts holds the number of long-running tasks of each image.
	longRunningCounts map[string]int
	// colocated holds the best-effort and long-running tasks on the worker, including the
	// best-effort tasks that the plan has placed there.
	colocated *colocatedTasks
	// spreadCounts holds the number of tasks on the worker for each step with a spread limit.
	spreadCounts map[stepRef]int
}

func newReferenceState(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) *referenceState {
	p := &referenceState{
		state: s, learner: l, rebalancer: g, now: now, workersByClass: map[string][]*referenceWorker{}, workersByID: map[string]*referenceWorker{}, avoidedByClass: map[string][]*referenceWorker{},
		assignedMillicores: map[classImage]int64{},
		severityCache:      newSeverityCache(l),
	}
	for _, w := range f.Workers() {
		isAvoided := f.IsOnlyAvoided(w, now)
		if !f.Usable(w, now) && !isAvoided || s.IsEvacuated(w.DataCentre) {
			continue
		}
		use := s.Usage(w.ID)
		r := &referenceWorker{worker: w, free: w.Capacity.Sub(use.Reserved), longRunningCounts: map[string]int{}}
		r.colocated = l.colocatedTasksOf(s, w, func(run *tbfleet.Run) bool { return run.Phase != tbfleet.RunEnding })
		r.unusedMillicores, r.bestEffortMillicores = w.Capacity.MilliProcessors-use.BestEffortMilliProcessors, use.BestEffortMilliProcessors
		s.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
			step := s.StepOf(ref)
			if step == nil {
				return
			}
			r.addTask(step, ref)
			if step.BestEffort && !isAvoided {
				p.assignedMillicores[classImage{w.Class, step.Image}] += step.Need.MilliProcessors
			}
		})
		workers := p.workersByClass[w.Class]
		if isAvoided {
			p.avoidedByClass[w.Class] = append(p.avoidedByClass[w.Class], r)
		} else {
			workers = append(workers, r)
			p.workersByID[w.ID] = r
		}
		p.workersByClass[w.Class] = workers
	}
	p.keepAvoidedForLongRunning()
	p.applyReservations()
	assignedShortTasks := l.observeShortDemand(now, s, p.room, 1)
	p.slotBudgets = map[string]*slotBudget{}
	for class, workers := range p.workersByClass {
		var free []tbresource.Amount
		for _, r := range workers {
			free = append(free, r.free)
		}
		b := newSlotBudget(now, l.shortDemands[class], assignedShortTasks[class], 1, free)
		p.slotBudgets[class] = &b
	}
	return p
}

// applyReservations subtracts the capacity reserved for tasks that are being moved. A task that
// still runs on the reserved worker is skipped.
func (p *referenceState) applyReservations() {
	for ref := range p.rebalancer.reservations {
		t := p.activeTask(ref)
		r := p.workersByID[p.rebalancer.reservedWorker(p.now, p.state, ref)]
		if r != nil && t != nil && (t.Phase == tbflow.TaskWaiting || t.Worker != r.worker.ID) {
			r.applyReservation(p.state, ref, 1)
		}
	}
}

// applyReservation subtracts the demand of a task that is being moved to this worker from the free
// capacity, as if the task were already assigned here. With sign -1, it adds the demand back.
func (r *referenceWorker) applyReservation(s *tbflow.State, ref tbflow.TaskRef, sign int) {
	step := s.StepOf(ref)
	r.adjustFree(step, stepRefOf(ref), step.Need, sign)
}

// adjustFree subtracts need, the demand of one task, from the free capacity and counts the task for
// its spread limit. With sign -1, it adds need back and no longer counts the task.
func (r *referenceWorker) adjustFree(step *tbflow.Step, ref stepRef, need tbresource.Amount, sign int) {
	if sign > 0 {
		r.free = r.free.Sub(need)
	} else {
		r.free = r.free.Add(need)
	}
	if step.SpreadLimit > 0 {
		r.addSpreadCount(ref, sign)
	}
}

func (p *referenceState) activeTask(ref tbflow.TaskRef) *tbflow.Task {
	if j := p.state.Jobs[ref.Job]; j != nil && !j.Phase.Ended() {
		return j.Task(ref)
	}
	return nil
}

// addTask adds one assigned task to the worker's expected use and to the count for its spread
// limit.
func (r *referenceWorker) addTask(step *tbflow.Step, ref tbflow.TaskRef) {
	r.adjustExpectedUse(step, 1)
	if step.SpreadLimit > 0 {
		r.addSpreadCount(stepRefOf(ref), 1)
	}
}

// adjustExpectedUse counts the expected use of a task that is not best-effort. With sign -1, it
// removes the task again.
func (r *referenceWorker) adjustExpectedUse(step *tbflow.Step, sign int) {
	switch {
	case step.LongRunning:
		if r.longRunningCounts[step.Image] += sign; r.longRunningCounts[step.Image] == 0 {
			delete(r.longRunningCounts, step.Image)
		}
		r.unusedMillicores -= int64(sign) * int64(float64(step.Need.MilliProcessors)*longRunningUtilization)
	case !step.BestEffort:
		r.unusedMillicores -= int64(sign) * step.Need.MilliProcessors
	}
}

func (r *referenceWorker) addSpreadCount(step stepRef, n int) {
	if r.spreadCounts == nil {
		r.spreadCounts = map[stepRef]int{}
	}
	r.spreadCounts[step] += n
}

// keepsRoom reports whether room may be kept from a step (see workerState.keepsRoomFrom).
func (p *referenceState) keepsRoom(w waitingStep) bool {
	if w.startsInRoom {
		return false
	}
	var use classUse
	for _, r := range p.workersByClass[w.job.WorkerClass] {
		used := r.worker.Capacity.Sub(r.free)
		used.MilliProcessors = min(used.MilliProcessors+r.bestEffortMillicores, r.worker.Capacity.MilliProcessors)
		use.used, use.capacity = use.used.Add(used), use.capacity.Add(r.worker.Capacity)
	}
	return use.keepsRoom()
}

// choose returns the best worker for a task, or nil (see candidates.choose).
func (p *referenceState) choose(w waitingStep, t *tbflow.Task) *referenceWorker {
	r := p.chooseTolerated(w, t)
	if r == nil && w.step.BestEffort && !p.keepsRoom(w) && p.state.TimeAt(p.now)-t.WaitingSinceMs > headroomWaitMs {
		p.ignoresTolerance = true
		r = p.chooseTolerated(w, t)
		p.ignoresTolerance = false
	}
	return r
}

func (p *referenceState) chooseTolerated(w waitingStep, t *tbflow.Task) *referenceWorker {
	var best, bestUsingHeadroom *referenceWorker
	var bestScore, bestUsingHeadroomScore float64
	headroomCount := 0
	workers := p.workersByClass[w.job.WorkerClass]
	for _, r := range workers {
		if !p.canPlace(r, w, t, len(workers)) {
			continue
		}
		score := p.score(r, w)
		if w.step.LongRunning && p.usesHeadroom(r, w) {
			headroomCount++
			if bestUsingHeadroom == nil || score > bestUsingHeadroomScore {
				bestUsingHeadroom, bestUsingHeadroomScore = r, score
			}
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	if best == nil && bestUsingHeadroom != nil && p.state.TimeAt(p.now)-t.WaitingSinceMs > headroomWaitMs &&
		(headroomCount >= 2 || bestUsingHeadroom.keepsHeadroom(w.step) || p.slotBudgets[w.job.WorkerClass].givesWholeWorker(bestUsingHeadroom.free, bestUsingHeadroom.worker)) {
		return bestUsingHeadroom
	}
	return best
}

func (p *referenceState) canPlace(r *referenceWorker, w waitingStep, t *tbflow.Task, workers int) bool {
	need := w.step.Need
	if w.step.BestEffort {
		need.MilliProcessors = 0
		keepsRoom := p.keepsRoom(w)
		getsWhatIsLeft := r.unusedMillicores > 0 && (r.bestEffortMillicores == 0 || !keepsRoom)
		if int64(float64(w.step.Need.MilliProcessors)*bestEffortRequestFactor) > r.unusedMillicores && !getsWhatIsLeft {
			return false
		}
		if !p.ignoresTolerance && !p.tolerates(r, w.step) {
			return false
		}
		b := p.slotBudgets[w.job.WorkerClass]
		if keepsRoom && b.keepsFromBestEffort(r.free, need) {
			return false
		}
	}
	switch {
	case !need.Fits(r.free):
		return false
	case t.LastFailedOn == r.worker.ID && workers > 1 && p.state.TimeAt(p.now)-t.WaitingSinceMs <= avoidWaitMs:
		return false
	}
	return satisfiesConstraints(w.step, r.worker, r.spreadCounts[w.stepRef()])
}

// takeSlots counts the slots that a long-running or best-effort task takes. With sign -1, it adds them back.
func (p *referenceState) takeSlots(r *referenceWorker, w waitingStep, sign int) {
	need := w.step.Need
	if w.step.BestEffort {
		need.MilliProcessors = 0
	}
	if b := p.slotBudgets[w.job.WorkerClass]; !isShort(w.step) && b.isKnown {
		b.spare -= sign * (b.demand.slots(r.free) - b.demand.slots(r.free.Sub(need)))
	}
}

// usesHeadroom reports whether a long-running task would use capacity on a worker that is kept for
// short tasks.
func (p *referenceState) usesHeadroom(r *referenceWorker, w waitingStep) bool {
	b := p.slotBudgets[w.job.WorkerClass]
	if !b.isKnown {
		return !r.keepsHeadroom(w.step)
	}
	return b.spare <= 0 && b.demand.slots(r.free.Sub(w.step.Need)) < b.demand.slots(r.free)
}

// keepsHeadroom reports whether a worker has enough free processors left after it has taken a task
// of a long-running step. It is enough if the headroom for short tasks or the demand of a second
// task of the step is left.
func (r *referenceWorker) keepsHeadroom(step *tbflow.Step) bool {
	left := r.free.MilliProcessors - step.Need.MilliProcessors
	return left >= step.Need.MilliProcessors || processorShare(left, r.worker) >= shortHeadroomShare
}

// score rates a worker for a step. A higher score is better.
func (p *referenceState) score(r *referenceWorker, w waitingStep) float64 {
	score := 0.0
	if w.step.Rack != "" && r.worker.Rack != w.step.Rack {
		score -= remoteRackPenalty
	}
	if w.step.BestEffort {
		return score + p.bestEffortScore(r, w)
	}
	left := r.free.Sub(w.step.Need)
	if w.step.LongRunning {
		score -= colocationWeight * referenceColocationCost(p.severityCache, w.step.Image, r.longRunningCounts)
	}
	return score - left.DominantShare(r.worker.Capacity) - float64(r.worker.Failures)
}

// bestEffortScore rates a worker for a best-effort step. It favours unused processors. It
// penalizes a worker whose long-running tasks the image would harm, and a worker that other
// best-effort images need because they would do harm elsewhere.
func (p *referenceState) bestEffortScore(r *referenceWorker, w waitingStep) float64 {
	score := processorShare(r.unusedMillicores, r.worker) - float64(r.worker.Failures)
	slope := p.learner.worstSlope(r.longRunningCounts, w.step.Image)
	return score + interferenceWeight*slope - scarcityWeight*p.scarcity(r, w)
}

// scarcity returns how much the other best-effort images need this worker, from 0 to 1. Each of
// them that is harmless on this worker adds the share of workers on which it is harmful. The sum
// is divided by the number of learned images.
func (p *referenceState) scarcity(r *referenceWorker, w waitingStep) float64 {
	if p.harmfulShares == nil {
		p.harmfulShares = p.computeHarmfulShares(p.workersByClass[w.job.WorkerClass])
	}
	sum := 0.0
	for _, image := range slices.Sorted(maps.Keys(p.harmfulShares)) {
		share := p.harmfulShares[image]
		if image != w.step.Image && p.learner.worstSlope(r.longRunningCounts, image) > harmlessSlope {
			sum += share
		}
	}
	return sum / float64(max(1, len(p.harmfulShares)))
}

// computeHarmfulShares returns, for each learned best-effort image, the share of the given workers
// on which the image is harmful.
func (p *referenceState) computeHarmfulShares(workers []*referenceWorker) map[string]float64 {
	shares := map[string]float64{}
	for _, image := range p.learner.bestEffortImages() {
		harmedWorkers := 0
		for _, r := range workers {
			if p.learner.worstSlope(r.longRunningCounts, image) <= harmlessSlope {
				harmedWorkers++
			}
		}
		shares[image] = float64(harmedWorkers) / float64(max(1, len(workers)))
	}
	return shares
}

func (r *referenceWorker) allocate(w waitingStep) { r.adjustCapacity(w, 1) }

func (r *referenceWorker) release(w waitingStep) { r.adjustCapacity(w, -1) }

func (r *referenceWorker) adjustCapacity(w waitingStep, sign int) {
	need := w.step.Need
	if w.step.BestEffort {
		r.unusedMillicores -= int64(sign) * need.MilliProcessors
		r.bestEffortMillicores += int64(sign) * need.MilliProcessors
		if sign > 0 {
			r.colocated.addBestEffort(w.step, r.worker)
		}
		need.MilliProcessors = 0
	} else {
		r.adjustExpectedUse(w.step, sign)
	}
	r.adjustFree(w.step, w.stepRef(), need, sign)
}

// bestEffortCapacity returns the processors that best-effort work of an image can use. They are the
// sum of two parts: what the assigned tasks of the image request, and what is unused on the workers
// where the image is harmless.
func (p *referenceState) bestEffortCapacity(key classImage) float64 {
	sum := p.assignedMillicores[key]
	for _, r := range p.workersByClass[key.class] {
		if r.unusedMillicores > 0 && p.learner.worstSlope(r.longRunningCounts, key.image) > harmlessSlope {
			sum += r.unusedMillicores
		}
	}
	return float64(sum) / 1000
}

// orderForStart marks the best-effort steps to postpone and returns all steps that may start, in
// the order in which they should start.
func (p *referenceState) orderForStart() []waitingStep {
	s, l := p.state, p.learner
	var all []waitingStep
	for _, j := range s.Active() {
		for k := range j.Tasks {
			if !j.IsDue(k, p.now) {
				continue
			}
			all = append(all, referenceWaitingSteps(s.TimeAt(p.now), l, j, k)...)
		}
	}
	markPostponed(s.TimeAt(p.now), pointersTo(all), p.bestEffortCapacity)
	slices.SortStableFunc(all, func(a, b waitingStep) int { return compareWaiting(&a, &b) })
	return all
}

// tolerates reports whether the long-running tasks of a worker keep a sufficient margin beside
// another best-effort task.
func (p *referenceState) tolerates(r *referenceWorker, step *tbflow.Step) bool {
	if p.learner.worstSlope(r.longRunningCounts, step.Image) > harmlessSlope {
		return true
	}
	addedShare := processorShare(min(step.Need.MilliProcessors, max(0, r.unusedMillicores)), r.worker)
	for _, t := range r.colocated.latencyTasks {
		if r.colocated.expectedMargin(t)+r.colocated.slope(t, step.Image)*addedShare < minStartMargin {
			return false
		}
	}
	return true
}

// referenceColocationCost returns the cost to best-effort work, from 0 to 1, of placing a task of
// a long-running image on a worker with the given long-running images.
func referenceColocationCost(c *severityCache, image string, neighbours map[string]int) float64 {
	if len(neighbours) == 0 || neighbours[image] > 0 && len(neighbours) == 1 {
		return 0
	}
	if len(c.bestEffortImages) == 0 {
		return unknownSeverityCost
	}
	imageSeverities := c.severitiesOf(image)
	sum := 0.0
	for i := range c.bestEffortImages {
		worstSeverity := 0.0
		for other := range neighbours {
			worstSeverity = math.Max(worstSeverity, c.severitiesOf(other)[i])
		}
		switch severityDifference := imageSeverities[i] - worstSeverity; {
		case math.IsNaN(severityDifference):
			sum += unknownSeverityCost
		case severityDifference > 0:
			sum += severityDifference
		default:
			sum -= severityDifference * tolerantOnSensitiveWeight
		}
	}
	return sum / float64(len(c.bestEffortImages))
}

// worstSlope returns the most negative slope of a best-effort image on any of the long-running
// images, or 0 if there is none.
func (l *Learner) worstSlope(longRunning map[string]int, bestEffort string) float64 {
	worst := 0.0
	for image := range longRunning {
		worst = min(worst, l.slope(image, bestEffort))
	}
	return worst
}

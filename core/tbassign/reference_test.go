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

// referencePlan is Plan without caching between tasks or steps.
func referencePlan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	state := newReferenceState(now, s, f, l, g)
	var plan []tbflow.Assignment
	for _, step := range state.startOrder() {
		if len(plan) >= limit {
			break
		}
		plan = append(plan, state.place(step, limit-len(plan))...)
	}
	return plan
}

// referenceState holds the usable workers of each class and what this plan has left of their
// capacity.
type referenceState struct {
	now        time.Time
	state      *tbflow.State
	learner    *Learner
	rebalancer *Rebalancer
	classes    map[string][]*referenceWorker
	byWorker   map[string]*referenceWorker
	// assignedDemand is the demand of the assigned best-effort tasks by class and image, in
	// millicores.
	assignedDemand map[classImage]int64
	// severityCache caches the severities of the long-running images for this plan.
	severityCache *severityCache
	// harmfulShares holds, for each best-effort image, the share of workers on which it is
	// harmful; nil until it is first needed.
	harmfulShares map[string]float64
}

// referenceWorker is the working copy of one worker during a plan.
type referenceWorker struct {
	worker *tbfleet.Worker
	free   tbresource.Amount
	// unused is the capacity in millicores less the expected use of tasks that are not
	// best-effort and the full requests of best-effort tasks; it may be negative.
	unused int64
	// longRunning counts the long-running tasks by image.
	longRunning map[string]int
	// contention describes the tasks that are present; nil until it is first needed.
	contention *contention
	// spreadCounts counts the tasks of steps with a spread limit.
	spreadCounts map[stepRef]int
}

func newReferenceState(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) *referenceState {
	p := &referenceState{
		state: s, learner: l, rebalancer: g, now: now, classes: map[string][]*referenceWorker{}, byWorker: map[string]*referenceWorker{},
		assignedDemand: map[classImage]int64{},
		severityCache:  newSeverityCache(l),
	}
	for _, w := range f.Workers() {
		if !f.Usable(w, now) {
			continue
		}
		use := s.Usage(w.ID)
		r := &referenceWorker{worker: w, free: w.Capacity.Sub(use.Reserved), longRunning: map[string]int{}}
		r.unused = w.Capacity.MilliProcessors - use.BestEffortMilliProcessors
		s.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
			step := s.StepOf(ref)
			if step == nil {
				return
			}
			r.addTask(step, ref)
			if step.BestEffort {
				p.assignedDemand[classImage{w.Class, step.Image}] += step.Need.MilliProcessors
			}
		})
		p.classes[w.Class] = append(p.classes[w.Class], r)
		p.byWorker[w.ID] = r
	}
	p.applyReservations()
	return p
}

// applyReservations reserves capacity for the tasks that are being moved.
func (p *referenceState) applyReservations() {
	for ref := range p.rebalancer.reservations {
		t := p.taskOf(ref)
		r := p.byWorker[p.rebalancer.reservedWorker(p.now, p.state, ref)]
		if r != nil && t != nil && (t.Phase == tbflow.TaskWaiting || t.Worker != r.worker.ID) {
			r.countReservation(p.state, ref, 1)
		}
	}
}

// countReservation counts a task that is about to move here as if it were assigned already or,
// with sign -1, reverts that.
func (r *referenceWorker) countReservation(s *tbflow.State, ref tbflow.TaskRef, sign int) {
	step := s.StepOf(ref)
	r.adjustFree(step, stepRefOf(ref), step.Need, sign)
}

// adjustFree subtracts the demand of one task of a step from the free capacity or, with sign
// -1, adds it back.
func (r *referenceWorker) adjustFree(step *tbflow.Step, ref stepRef, need tbresource.Amount, sign int) {
	if sign > 0 {
		r.free = r.free.Sub(need)
	} else {
		r.free = r.free.Add(need)
	}
	if step.SpreadLimit > 0 {
		r.addSpread(ref, sign)
	}
}

func (p *referenceState) taskOf(ref tbflow.TaskRef) *tbflow.Task {
	if j := p.state.Jobs[ref.Job]; j != nil && !j.Phase.Ended() {
		return j.Task(ref)
	}
	return nil
}

// addTask adds one assigned task to the worker's estimates.
func (r *referenceWorker) addTask(step *tbflow.Step, ref tbflow.TaskRef) {
	r.adjustUsage(step, 1)
	if step.SpreadLimit > 0 {
		r.addSpread(stepRefOf(ref), 1)
	}
}

// adjustUsage adds the expected usage of a task that is not best-effort or, with sign -1,
// removes it.
func (r *referenceWorker) adjustUsage(step *tbflow.Step, sign int) {
	switch {
	case step.LongRunning:
		if r.longRunning[step.Image] += sign; r.longRunning[step.Image] == 0 {
			delete(r.longRunning, step.Image)
		}
		r.unused -= int64(sign) * int64(float64(step.Need.MilliProcessors)*longRunningUtilization)
	case !step.BestEffort:
		r.unused -= int64(sign) * step.Need.MilliProcessors
	}
}

func (r *referenceWorker) addSpread(step stepRef, n int) {
	if r.spreadCounts == nil {
		r.spreadCounts = map[stepRef]int{}
	}
	r.spreadCounts[step] += n
}

// place assigns as many tasks of a step as fit; a gang is assigned completely or not at all.
func (p *referenceState) place(w waitingStep, limit int) []tbflow.Assignment {
	if w.step.Gang {
		return p.placeGang(w, limit)
	}
	var plan []tbflow.Assignment
	for _, ref := range w.taskRefs {
		if len(plan) >= limit {
			break
		}
		t := w.job.Task(ref)
		r, reserved := p.claimReservation(w, ref, t)
		if reserved && r == nil {
			continue
		}
		if r == nil {
			r = p.choose(w, t)
		}
		if r == nil {
			// The next task of the step needs the same and can differ only in the worker that
			// it avoids.
			if t.LastFailedOn == "" {
				break
			}
			continue
		}
		r.allocate(w)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: t.Run + 1, Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	return plan
}

// claimReservation releases the reservation of a task that is being moved and returns its
// worker; see planState.claimReservation.
func (p *referenceState) claimReservation(w waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (*referenceWorker, bool) {
	r := p.byWorker[p.rebalancer.reservedWorker(p.now, p.state, ref)]
	if r == nil {
		return nil, false
	}
	r.countReservation(p.state, ref, -1)
	switch {
	case !w.step.Need.Fits(r.free):
		r.countReservation(p.state, ref, 1)
		return nil, true
	case !p.canPlace(r, w, t, len(p.classes[w.job.WorkerClass])):
		return nil, false
	}
	return r, true
}

// placeGang assigns all tasks of a gang under one run number, or none.
func (p *referenceState) placeGang(w waitingStep, limit int) []tbflow.Assignment {
	tasks := w.job.Tasks[w.occurrence][w.index]
	if len(w.taskRefs) < len(tasks) || len(w.taskRefs) > limit {
		return nil
	}
	run := uint64(0)
	for i := range tasks {
		run = max(run, tasks[i].Run)
	}
	var plan []tbflow.Assignment
	var taken []*referenceWorker
	for _, ref := range w.taskRefs {
		r := p.choose(w, w.job.Task(ref))
		if r == nil {
			for _, r := range taken {
				r.release(w)
			}
			return nil
		}
		r.allocate(w)
		taken = append(taken, r)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: run + 1, Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	return plan
}

// choose returns the best worker for a task, or nil; see candidates.choose.
func (p *referenceState) choose(w waitingStep, t *tbflow.Task) *referenceWorker {
	var best, bestReserve *referenceWorker
	var bestScore, bestReserveScore float64
	reserveCount := 0
	workers := p.classes[w.job.WorkerClass]
	for _, r := range workers {
		if !p.canPlace(r, w, t, len(workers)) {
			continue
		}
		score := p.score(r, w)
		if w.step.LongRunning && !r.keepsHeadroom(w.step) {
			reserveCount++
			if bestReserve == nil || score > bestReserveScore {
				bestReserve, bestReserveScore = r, score
			}
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	if best == nil && reserveCount >= 2 && p.state.NowMs-t.WaitingSinceMs > headroomWaitMs {
		return bestReserve
	}
	return best
}

func (p *referenceState) canPlace(r *referenceWorker, w waitingStep, t *tbflow.Task, workers int) bool {
	need := w.step.Need
	if w.step.BestEffort {
		need.MilliProcessors = 0
		if int64(float64(w.step.Need.MilliProcessors)*bestEffortRequestFactor) > r.unused {
			return false
		}
		if !p.tolerates(r, w.step) {
			return false
		}
	}
	switch {
	case !need.Fits(r.free):
		return false
	case t.LastFailedOn == r.worker.ID && workers > 1:
		return false
	}
	return satisfiesConstraints(w.step, r.worker, r.spreadCounts[w.stepRef()])
}

// keepsHeadroom reports whether a long-running task leaves the headroom for short tasks free or
// leaves enough processors for a second task of its step.
func (r *referenceWorker) keepsHeadroom(step *tbflow.Step) bool {
	left := r.free.MilliProcessors - step.Need.MilliProcessors
	return left >= step.Need.MilliProcessors || processorShare(left, r.worker) >= shortHeadroom
}

// score rates a worker for a step; higher is better.
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
		score -= colocationWeight * referenceColocationCost(p.severityCache, w.step.Image, r.longRunning)
	}
	return score - left.DominantShare(r.worker.Capacity) - float64(r.worker.Failures)
}

// bestEffortScore favours unused processors, penalizes workers whose long-running tasks the
// image harms, and leaves workers to images that fit nowhere else.
func (p *referenceState) bestEffortScore(r *referenceWorker, w waitingStep) float64 {
	score := processorShare(r.unused, r.worker) - float64(r.worker.Failures)
	slope := p.learner.worstSlope(r.longRunning, w.step.Image)
	return score + interferenceWeight*slope - scarcityWeight*p.scarcity(r, w)
}

// scarcity returns how much the other best-effort images need this worker: the average, over
// all learned images, of the share of workers on which an image is harmful, counting only the
// images that are harmless here.
func (p *referenceState) scarcity(r *referenceWorker, w waitingStep) float64 {
	if p.harmfulShares == nil {
		p.harmfulShares = p.computeHarmfulShares(p.classes[w.job.WorkerClass])
	}
	sum := 0.0
	for _, image := range slices.Sorted(maps.Keys(p.harmfulShares)) {
		share := p.harmfulShares[image]
		if image != w.step.Image && p.learner.worstSlope(r.longRunning, image) > harmlessSlope {
			sum += share
		}
	}
	return sum / float64(max(1, len(p.harmfulShares)))
}

// computeHarmfulShares returns, for each best-effort image, the share of workers on which it is
// harmful.
func (p *referenceState) computeHarmfulShares(workers []*referenceWorker) map[string]float64 {
	shares := map[string]float64{}
	for _, image := range p.learner.bestEffortImages() {
		harmed := 0
		for _, r := range workers {
			if p.learner.worstSlope(r.longRunning, image) <= harmlessSlope {
				harmed++
			}
		}
		shares[image] = float64(harmed) / float64(max(1, len(workers)))
	}
	return shares
}

func (r *referenceWorker) allocate(w waitingStep) { r.adjust(w, 1) }

func (r *referenceWorker) release(w waitingStep) { r.adjust(w, -1) }

func (r *referenceWorker) adjust(w waitingStep, sign int) {
	need := w.step.Need
	if w.step.BestEffort {
		r.unused -= int64(sign) * need.MilliProcessors
		if r.contention != nil && sign > 0 {
			r.contention.add(w.step, r.worker)
		}
		need.MilliProcessors = 0
	} else {
		r.adjustUsage(w.step, sign)
	}
	r.adjustFree(w.step, w.stepRef(), need, sign)
}

// bestEffortCapacity returns the processors that best-effort work of an image requests now or
// could use on the workers where the image is harmless.
func (p *referenceState) bestEffortCapacity(key classImage) float64 {
	sum := p.assignedDemand[key]
	for _, r := range p.classes[key.class] {
		if r.unused > 0 && p.learner.worstSlope(r.longRunning, key.image) > harmlessSlope {
			sum += r.unused
		}
	}
	return float64(sum) / 1000
}

// startOrder postpones best-effort steps where necessary and returns all steps that may start,
// in the order in which they should.
func (p *referenceState) startOrder() []waitingStep {
	s, l := p.state, p.learner
	var all []waitingStep
	for _, j := range s.Active() {
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			all = append(all, referenceWaitingSteps(s, l, j, k)...)
		}
	}
	postpone(s.NowMs, all, p.bestEffortCapacity)
	slices.SortStableFunc(all, compareWaiting)
	return all
}

// tolerates reports whether the long-running tasks of a worker keep a sufficient margin beside
// another best-effort task.
func (p *referenceState) tolerates(r *referenceWorker, step *tbflow.Step) bool {
	if p.learner.worstSlope(r.longRunning, step.Image) > harmlessSlope {
		return true
	}
	if r.contention == nil {
		r.contention = p.learner.contentionOf(p.state, r.worker, func(run *tbfleet.Run) bool { return run.Phase != tbfleet.RunEnding })
	}
	more := processorShare(step.Need.MilliProcessors, r.worker)
	for _, t := range r.contention.tasks {
		if r.contention.margin(t)+r.contention.slope(t, step.Image)*more < minStartMargin {
			return false
		}
	}
	return true
}

// referenceColocationCost returns the cost to best-effort work, from 0 to 1, of placing a
// long-running image beside others.
func referenceColocationCost(c *severityCache, image string, neighbours map[string]int) float64 {
	if len(neighbours) == 0 || neighbours[image] > 0 && len(neighbours) == 1 {
		return 0
	}
	if len(c.bestEffort) == 0 {
		return unknownCost
	}
	own := c.severitiesOf(image)
	sum := 0.0
	for i := range c.bestEffort {
		worst := 0.0
		for other := range neighbours {
			worst = math.Max(worst, c.severitiesOf(other)[i])
		}
		switch harm := own[i] - worst; {
		case math.IsNaN(harm):
			sum += unknownCost
		case harm > 0:
			sum += harm
		default:
			sum -= harm * wastedWeight
		}
	}
	return sum / float64(len(c.bestEffort))
}

// worstSlope returns the strongest effect of a best-effort image on any of the long-running
// images.
func (l *Learner) worstSlope(longRunning map[string]int, bestEffort string) float64 {
	worst := 0.0
	for image := range longRunning {
		worst = min(worst, l.slope(image, bestEffort))
	}
	return worst
}

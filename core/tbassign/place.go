package tbassign

import (
	"math"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Long-running tasks reserve most of the processors but use only about half of them. Short jobs
// need small amounts of capacity at once, and best-effort steps with many tasks arrive in bursts.
// Short and long-running tasks are placed by best fit, which keeps large free capacities for large
// tasks. Best-effort tasks are placed where the most processors are unused.

// Weights of the terms in the score of a worker for a best-effort task. The scores are in shares
// of the worker's processors.
const (
	// scarcityWeight is the penalty per unit of scarcity (see planState.scarcity).
	scarcityWeight = 1.0
	// interferenceWeight is the weight of the worst slope of the image on the long-running images
	// of the worker. Slopes are never positive, so this term only lowers the score.
	interferenceWeight = 0.5
)

// longRunningUtilization is the share of its reserved processors that a long-running task is
// expected to use.
const longRunningUtilization = 0.45

// bestEffortRequestFactor scales the processors that a best-effort task requests before they are
// compared with the unused processors. With a factor below 1, tasks could request more processors
// than are unused.
const bestEffortRequestFactor = 1.0

// place assigns as many tasks of a step as fit, but at most limit. A gang is assigned completely
// or not at all.
func (p *planState) place(w *waitingStep, limit int) []tbflow.Assignment {
	avoided := lastResorts{planState: p, step: w}
	noneFits := p.isUnplaceable(w)
	if noneFits && avoided.isEmpty() {
		return nil
	}
	p.countAssignedTasks(w)
	if w.step.Gang {
		return p.placeGang(w, limit)
	}
	var plan []tbflow.Assignment
	var cs *candidates
	unplaced := 0
	for _, ref := range w.waitingTasks() {
		if len(plan) >= limit {
			// The tasks that are left may still fit.
			return plan
		}
		if p.state.IsBound(ref) {
			continue
		}
		t := w.job.Task(ref)
		r, isSuspect := p.placeSuspect(w, ref, t)
		if isSuspect && r == nil {
			p.noteHeld(w, ref, t, "suspected of crashes")
			continue
		}
		if r == nil {
			var reserved bool
			if r, reserved = p.claimReservation(w, ref, t); reserved && r == nil {
				p.noteHeld(w, ref, t, "its place is not free yet")
				continue
			}
		}
		if r == nil && !noneFits {
			if cs == nil {
				cs = p.scoreWorkers(w)
			}
			if r = cs.choose(t); r == nil && cs.isEmpty() {
				p.markUnplaceable(w)
			}
		}
		if r == nil {
			// The tasks of a step differ only in the worker that they avoid. If this task avoids
			// none, the search for a worker would fail for the other tasks too.
			noneFits = noneFits || t.LastFailedOn == ""
			r = avoided.choose(t)
		}
		if r == nil {
			p.noteHeld(w, ref, t, "")
			if noneFits && avoided.isEmpty() {
				unplaced = len(w.waitingTasks()) - len(plan)
				break
			}
			unplaced++
			continue
		}
		p.allocate(r, w)
		p.useRoomReservation(r, w)
		if cs != nil {
			cs.rescore(r)
		}
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: p.state.NextRun(ref), Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	p.reserveRoom(w, unplaced)
	return plan
}

// unplaceableKey identifies the best-effort steps of a class and an image.
type unplaceableKey struct {
	class      string
	imageIndex int
}

// isUnplaceable reports whether this plan has already found no worker for a best-effort step of
// the same class and image that needed as much as this step or less.
//
// A failed search stays valid during a plan because placements only reduce the free capacity. When
// claimReservation frees reserved capacity, it clears all these results.
func (p *planState) isUnplaceable(w *waitingStep) bool {
	if !w.step.BestEffort {
		return false
	}
	needed, ok := p.unplaceable[unplaceableKey{w.job.WorkerClass, w.imageIndex}]
	return ok && needed.Fits(w.step.Need)
}

// markUnplaceable records that no worker can take a task of a best-effort step. It records nothing
// if the step has a label or a spread limit, because these may be the reason why no worker fits, or
// if the class has much room, because a task that has waited for longer may start then.
func (p *planState) markUnplaceable(w *waitingStep) {
	use := p.classUse[w.job.WorkerClass]
	if w.step.BestEffort && w.step.Label == "" && w.step.SpreadLimit <= 0 && (use == nil || use.keepsRoom()) {
		p.unplaceable[unplaceableKey{w.job.WorkerClass, w.imageIndex}] = w.step.Need
	}
}

// claimReservation returns the worker on which capacity is reserved for a task that is being
// moved, and releases the reservation within this plan.
//
// If the reserved capacity is not free yet, claimReservation returns nil and true: the reservation
// stays, and the task has to wait. If there is no reservation, or the worker cannot take the task,
// it returns nil and false: the task may be placed on any worker.
func (p *planState) claimReservation(w *waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (*workerState, bool) {
	r := p.workersByID[p.rebalancer.reservedWorker(p.now, p.state, ref)]
	if r == nil {
		return nil, false
	}
	r.applyReservation(p.state, ref, -1)
	// The room of the move was never part of the room that is reserved for others.
	reserved := r.reserved
	r.reserved = nil
	canPlace := p.canPlace(r, w)
	r.reserved = reserved
	switch {
	case !w.step.Need.Fits(r.free):
		r.applyReservation(p.state, ref, 1)
		return nil, true
	case !canPlace || p.avoids(t, r, len(p.workersByClass[w.job.WorkerClass])):
		// Earlier results and scores assumed that the capacity is reserved. Discard the results,
		// and compute the score again if it is still in use.
		clear(p.unplaceable)
		if p.candidates.step == w {
			p.candidates.rescore(r)
		}
		return nil, false
	}
	return r, true
}

// placeGang assigns all tasks of a gang, or none. All of them get the same run number.
func (p *planState) placeGang(w *waitingStep, limit int) []tbflow.Assignment {
	tasks := w.job.Tasks[w.occurrence][w.stepIndex]
	if len(w.waitingTasks()) < len(tasks) || len(w.waitingTasks()) > limit {
		return nil
	}
	run := uint64(0)
	for i := range tasks {
		run = max(run, tasks[i].Run)
	}
	use := p.classUse[w.job.WorkerClass]
	w.startsInRoom = use != nil && !use.keepsRoom()
	plan := p.placeMembers(w, run+1, nil)
	if plan == nil {
		if avoided := (&lastResorts{planState: p, step: w}); !avoided.isEmpty() {
			w.startsInRoom = true
			plan = p.placeMembers(w, run+1, avoided)
		}
	}
	if plan == nil {
		p.reserveRoom(w, len(tasks))
		return nil
	}
	p.reserveRoom(w, 0)
	return plan
}

// placeMembers assigns all tasks of a gang, or none. If avoided is not nil, its workers take the tasks that fit on no other.
func (p *planState) placeMembers(w *waitingStep, run uint64, avoided *lastResorts) []tbflow.Assignment {
	var plan []tbflow.Assignment
	var assignedWorkers []*workerState
	cs := p.scoreWorkers(w)
	for _, ref := range w.waitingTasks() {
		r := p.placeMember(w, ref, cs)
		if r == nil && avoided != nil && !p.state.IsBound(ref) {
			r = avoided.choose(w.job.Task(ref))
		}
		if r == nil {
			for _, r := range assignedWorkers {
				p.release(r, w)
			}
			return nil
		}
		p.allocate(r, w)
		cs.rescore(r)
		assignedWorkers = append(assignedWorkers, r)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: run, Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	return plan
}

// placeMember returns the worker for a member of a gang, or nil.
func (p *planState) placeMember(w *waitingStep, ref tbflow.TaskRef, cs *candidates) *workerState {
	if p.state.IsBound(ref) {
		return p.boundWorker(ref, w)
	}
	r, isSuspect := p.placeSuspect(w, ref, w.job.Task(ref))
	if r == nil && !isSuspect {
		r = cs.choose(w.job.Task(ref))
	}
	return r
}

// candidates holds the scores of the considered workers of a class for one step. When capacity on a
// worker is assigned or released, the worker is scored again.
type candidates struct {
	planState *planState
	step      *waitingStep
	workers   []*workerState
	scores    []float64
	// usesHeadroom is true for the workers on which a long-running task would use the headroom for
	// short tasks. slotBudget is the budget of the class for a long-running step, otherwise nil.
	usesHeadroom []bool
	slotBudget   *slotBudget
	// takesLarge is true for the workers on which a long-running task would take a slot for large short tasks.
	// largeBudget is their budget, or nil.
	takesLarge  []bool
	largeBudget *slotBudget
	// unverified is true for the workers of a best-effort step whose long-running tasks may not
	// tolerate another task. The check is costly and is therefore made only for the best workers.
	unverified []bool
	// scoredWorkers counts the calls of rescore.
	scoredWorkers int
	buffers       *planBuffers
}

// infeasibleScore is the score of a worker that cannot take a task of the step.
var infeasibleScore = math.Inf(-1)

func (p *planState) scoreWorkers(w *waitingStep) *candidates {
	c, b := &p.candidates, p.candidates.buffers
	c.planState, c.step, c.workers = p, w, p.workersByClass[w.job.WorkerClass]
	n := len(c.workers)
	b.scores, b.usesHeadroom, b.unverified = slices.Grow(b.scores[:0], n), slices.Grow(b.usesHeadroom[:0], n), slices.Grow(b.unverified[:0], n)
	c.scores, c.usesHeadroom, c.unverified = b.scores[:n], b.usesHeadroom[:n], b.unverified[:n]
	b.takesLarge = slices.Grow(b.takesLarge[:0], n)
	c.takesLarge = b.takesLarge[:n]
	c.slotBudget, c.largeBudget = nil, nil
	if w.step.LongRunning {
		c.slotBudget, c.largeBudget = p.slotBudgets[w.job.WorkerClass], p.largeBudgets[w.job.WorkerClass]
	}
	for _, r := range c.workers {
		c.rescore(r)
	}
	return c
}

// isEmpty reports whether no worker can take a task of the step.
func (c *candidates) isEmpty() bool {
	return !slices.ContainsFunc(c.scores, func(score float64) bool { return score != infeasibleScore })
}

func (c *candidates) rescore(r *workerState) {
	if r.isAvoided {
		return
	}
	c.scoredWorkers++
	c.scores[r.classIndex], c.usesHeadroom[r.classIndex] = infeasibleScore, false
	c.takesLarge[r.classIndex] = c.largeBudget != nil && c.largeBudget.isKnown && c.largeBudget.slotsTaken(r.free, c.step.step.Need) > 0
	c.unverified[r.classIndex] = c.step.step.BestEffort
	if c.planState.hasRoom(r, c.step) {
		c.scores[r.classIndex] = c.planState.score(r, c.step)
		if b := c.slotBudget; r.isReservedFor(c.step) {
			c.usesHeadroom[r.classIndex] = false
		} else if b != nil && b.isKnown {
			c.usesHeadroom[r.classIndex] = b.slotsTaken(r.free, c.step.step.Need) > 0
		} else if b != nil {
			c.usesHeadroom[r.classIndex] = !keepsHeadroom(r.free, c.step.step, r.worker)
		}
	}
}

// maxSeparateChecks is how many of the best workers choose checks one after the other. If none of
// them tolerates the task, it checks all workers, because probably few of them do.
const maxSeparateChecks = 4

// choose returns the best worker for a task, or nil if the task cannot be placed now.
func (c *candidates) choose(t *tbflow.Task) *workerState {
	for range maxSeparateChecks {
		r := c.bestScored(t)
		if r == nil {
			return c.chooseUntolerated(t)
		}
		if c.verify(r) {
			return r
		}
	}
	for _, r := range c.workers {
		if c.scores[r.classIndex] != infeasibleScore {
			c.verify(r)
		}
	}
	if r := c.bestScored(t); r != nil {
		return r
	}
	return c.chooseUntolerated(t)
}

// verify reports whether a worker tolerates a task of the step. If not, its score becomes
// infeasibleScore.
func (c *candidates) verify(r *workerState) bool {
	// Tasks that the plan has placed on other workers may have taken the spare slots or half of the class since the
	// worker was scored.
	if !c.planState.hasRoom(r, c.step) {
		c.scores[r.classIndex] = infeasibleScore
		return false
	}
	if c.unverified[r.classIndex] && !c.planState.tolerates(r, c.step) {
		c.scores[r.classIndex] = infeasibleScore
		return false
	}
	c.unverified[r.classIndex] = false
	return true
}

// bestScored returns the worker with the highest score, or nil if the task cannot be placed now.
//
// A long-running task may have to use the headroom for short tasks on every worker that it fits
// on. It may do so if it has waited for longer than headroomWaitMs and at least two workers fit, or
// if the share for short tasks stays free (see keepsHeadroom), or if the worker has no tasks and no short tasks are
// expected. In the first case, the headroom of the other worker stays free.
func (c *candidates) bestScored(t *tbflow.Task) *workerState {
	bestIndex, bestUsingHeadroom := -1, -1
	headroomCount := 0
	// While there are spare slots, long-running tasks may take them.
	mayUseHeadroom := c.slotBudget != nil && c.slotBudget.isKnown && c.slotBudget.spare > 0
	mayTakeLarge := c.largeBudget == nil || c.largeBudget.spare > 0
	for i, score := range c.scores {
		switch {
		case score == infeasibleScore || t.LastFailedOn != "" && c.planState.avoids(t, c.workers[i], len(c.workers)):
		case c.usesHeadroom[i] && !mayUseHeadroom || c.takesLarge[i] && !mayTakeLarge:
			headroomCount++
			switch {
			case bestUsingHeadroom >= 0 && c.takesLarge[i] != c.takesLarge[bestUsingHeadroom]:
				if c.takesLarge[bestUsingHeadroom] {
					bestUsingHeadroom = i
				}
			case bestUsingHeadroom < 0 || score > c.scores[bestUsingHeadroom]:
				bestUsingHeadroom = i
			}
		case bestIndex < 0 || score > c.scores[bestIndex]:
			bestIndex = i
		}
	}
	switch {
	case bestIndex >= 0:
		return c.workers[bestIndex]
	case bestUsingHeadroom >= 0 && c.planState.nowMs-t.WaitingSinceMs > headroomWaitMs:
		r := c.workers[bestUsingHeadroom]
		if headroomCount >= 2 || keepsHeadroom(r.free, c.step.step, r.worker) || c.slotBudget.givesWholeWorker(r.free, r.worker) {
			return r
		}
	}
	return nil
}

// avoidWaitMs is how long, in milliseconds, a task waits for another worker than the one on which its last
// run failed. On a full class, no other worker may have room for a long time.
const avoidWaitMs = 1500

// avoids reports whether a task must not be placed on a worker now because its last run failed there.
// If the class has only one worker, nothing is avoided.
func (p *planState) avoids(t *tbflow.Task, r *workerState, workerCount int) bool {
	return t.LastFailedOn == r.worker.ID && workerCount > 1 && p.nowMs-t.WaitingSinceMs <= avoidWaitMs
}

// canPlace reports whether a worker can take one more task of a step.
func (p *planState) canPlace(r *workerState, w *waitingStep) bool {
	return p.hasRoom(r, w) && (!w.step.BestEffort || p.tolerates(r, w))
}

// hasRoom is canPlace without the check whether the long-running tasks of the worker tolerate a
// best-effort task.
func (p *planState) hasRoom(r *workerState, w *waitingStep) bool {
	if r.closed {
		return false
	}
	need := w.step.Need
	if w.step.BestEffort {
		need = withoutProcessors(need)
		if !r.hasProcessorsForBestEffort(w) {
			return false
		}
	}
	return need.Fits(r.free) && !p.takesReservedRoom(r, w, need) && !p.takesNeededSlot(r, w, need) && satisfiesConstraints(w.step, r.worker, r.spreadCounts[w.stepRef()])
}

// satisfiesConstraints reports whether a worker has the label of a step and its spread limit
// allows one more task. present is the number of tasks of the step that the worker has.
func satisfiesConstraints(step *tbflow.Step, w *tbfleet.Worker, presentTasks int) bool {
	return (step.Label == "" || slices.Contains(w.Labels, step.Label)) &&
		(step.SpreadLimit <= 0 || presentTasks < step.SpreadLimit)
}

// shortHeadroomShare is the headroom for short tasks: the share of a worker's processors that
// long-running tasks leave free.
const shortHeadroomShare = 0.08

// headroomWaitMs is how long, in milliseconds, a long-running task waits before it may use the
// headroom for short tasks. A long-running task that has never run is overdue after the same time.
// The users' contract tolerates 3 s.
const headroomWaitMs = 1500

// keepsHeadroom reports whether a worker has enough free processors left after it has taken a task
// of a long-running step. It is enough if the headroom for short tasks or the demand of a second
// task of the step is left. While the demand of short tasks is known, slotBudget is used instead.
func keepsHeadroom(free tbresource.Amount, step *tbflow.Step, w *tbfleet.Worker) bool {
	left := free.MilliProcessors - step.Need.MilliProcessors
	return left >= step.Need.MilliProcessors || processorShare(left, w) >= shortHeadroomShare
}

// remoteRackPenalty is subtracted from the score of a worker in a rack without the data of the
// step. It outweighs any difference in capacity.
const remoteRackPenalty = 1e6

// score rates a worker for a step. A higher score is better.
func (p *planState) score(r *workerState, w *waitingStep) float64 {
	score := 0.0
	if w.step.Rack != "" && r.worker.Rack != w.step.Rack {
		score -= remoteRackPenalty
	}
	if w.step.BestEffort {
		return score + p.bestEffortScore(r, w)
	}
	left := r.free.Sub(w.step.Need)
	if w.step.LongRunning {
		score -= colocationWeight * p.images.colocationCost(p.images.internLongRunning(w.step.Image), r.longRunningCounts)
		// A long-running task would see the next crash of a machine that crashes again and again.
		score -= float64(p.fleet.RecentCrashes(r.worker))
	} else {
		score -= r.slowPenalty
	}
	return score - left.DominantShare(r.worker.Capacity) - float64(r.worker.Failures)
}

package tbassign

import (
	"iter"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Plan returns at most limit runs that should start now, in the order of planState.orderForStart.
func Plan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	return planAll(now, s, f, l, g, planLimit{runs: limit, bestEffort: limit}).Runs
}

func planAll(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit planLimit) PlannedRuns {
	steps := waitingSteps(now, s, l)
	plan := PlannedRuns{IsFull: true, Limit: min(limit.runs, limit.bestEffort), WaitingSteps: len(steps)}
	if len(steps) == 0 {
		l.clearWaiting()
		clear(l.shortOfRoom)
		return plan
	}
	state := newPlanState(now, s, f, l, g, steps)
	state.addWorkloads()
	state.computeSlotBudgets(steps)
	state.orderForStart(steps)
	state.placeAll(&plan, steps, limit)
	plan.ReservedWorkers = len(state.reservedWorkers)
	state.observeShortage(steps, &plan)
	return plan
}

// placeAll adds the runs of the steps to the plan, up to its limits.
func (p *planState) placeAll(plan *PlannedRuns, steps []*waitingStep, limit planLimit) {
	defer func() { plan.Held = p.held }()
	p.placeBound(plan, limit)
	sharesWindow := false
	for _, step := range steps {
		if isWindowed(step.step) && !sharesWindow {
			plan.windowedRuns, sharesWindow = p.placeStarved(plan, steps, limit), true
		}
		n := limit.runs - len(plan.Runs)
		if isWindowed(step.step) {
			n = min(n, limit.bestEffort-plan.windowedRuns)
		}
		if n <= 0 {
			plan.reachedLimit = true
			if len(plan.Runs) >= limit.runs {
				return
			}
			continue
		}
		runs := p.place(step, n)
		if plan.Runs = append(plan.Runs, runs...); step.step.BestEffort {
			plan.windowedRuns += len(runs)
		}
	}
}

// planState is the working state of one plan. It holds the usable workers of each class that the
// plan considers (see addWorkers) and the capacity that the plan has not assigned yet.
type planState struct {
	now time.Time
	// nowMs is the state's time at now, in milliseconds since 1970.
	nowMs          int64
	state          *tbflow.State
	fleet          *tbfleet.Fleet
	learner        *Learner
	rebalancer     *Rebalancer
	workersByClass map[string][]*workerState
	classUse       map[string]*classUse
	// workersByID is nil until workerByID first needs it.
	workersByID map[string]*workerState
	// consideredShare is the share of the fleet that the plan considers, from 0 to 1.
	consideredShare float64
	// assignedMillicores is the demand of the best-effort tasks that were assigned before this
	// plan, by class and image, in millicores.
	assignedMillicores map[classImage]int64
	images             *imageTable
	// spreadCountedSteps holds the steps for which countAssignedTasks has counted the assigned
	// tasks.
	spreadCountedSteps map[stepRef]bool
	// harmfulShares holds, for each learned best-effort image, the share of workers on which the
	// image is harmful. It is nil until it is first needed.
	harmfulShares []float64
	// bound holds the bound tasks of the steps of the plan.
	bound []boundTask
	// unplaceable holds, by class and index of the best-effort image, the demand of a task for
	// which no worker was found.
	unplaceable map[unplaceableKey]tbresource.Amount
	// slotBudgets holds the budgets of the worker classes for which long-running or best-effort steps are waiting.
	slotBudgets map[string]*slotBudget
	// largeBudgets holds the budgets of slots for large short tasks, with Features.LookAhead.
	largeBudgets map[string]*slotBudget
	// reservedWorkers holds the workers with reservations for large tasks, and unreservable the demands for which no
	// further worker will have room in time, by class.
	reservedWorkers []*workerState
	unreservable    map[string][]tbresource.Amount
	// assignedShortTasks is the number of assigned short tasks of each class.
	assignedShortTasks map[string]int
	// closedWorkers is the number of workers that the plan has closed to other tasks than a suspect of
	// crashes.
	closedWorkers int
	// candidates is reused for all steps to save allocations.
	candidates candidates
	// avoidedByClass holds the avoided workers of each class. It is nil until they are first needed.
	avoidedByClass map[string]*avoidedWorkers
	// held says what holds long-running tasks that have waited for long.
	held []HeldTask
}

// newPlanState returns the usable workers with their free capacity. This is enough to place short
// steps. Before other steps are placed, addWorkloads must be called, because their placement
// depends on the workloads.
func newPlanState(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, steps []*waitingStep) *planState {
	p := &planState{
		state: s, fleet: f, learner: l, rebalancer: g, now: now, nowMs: s.TimeAt(now), workersByClass: map[string][]*workerState{}, classUse: map[string]*classUse{},
		spreadCountedSteps: map[stepRef]bool{}, unplaceable: map[unplaceableKey]tbresource.Amount{}, candidates: candidates{buffers: &l.planBuffers},
	}
	p.bound = boundTasks(s, steps)
	p.addWorkers(f, steps)
	p.applyReservations()
	p.applyRoomReservations()
	return p
}

// workerByID returns a worker that the plan considers, or nil.
func (p *planState) workerByID(id string) *workerState {
	if id == "" {
		return nil
	}
	if p.workersByID == nil {
		p.workersByID = make(map[string]*workerState, maxPlanWorkers)
		for _, workers := range p.workersByClass {
			for _, r := range workers {
				p.workersByID[r.worker.ID] = r
			}
		}
	}
	return p.workersByID[id]
}

// addWorkloads adds the long-running images, the expected use and the best-effort demand of the
// tasks that each worker already has. The placement of long-running and best-effort steps depends
// on this data.
func (p *planState) addWorkloads() {
	p.learner.workloads.resetIfStale(p.state)
	p.images, p.assignedMillicores = newImageTable(p.learner), map[classImage]int64{}
	n := p.images.learnedImageCount
	values := p.learner.planBuffers.takeValues(n * p.workerCount())
	for class, workers := range p.workersByClass {
		for _, r := range workers {
			r.worstSlopes, values = values[:0:n], values[n:]
			m := p.learner.workloads.get(r.worker)
			r.longRunningCounts = append(r.longRunningCounts[:0], m.longRunningCounts...)
			r.unusedMillicores -= m.expectedMillicores
			for _, demand := range m.bestEffortDemands {
				p.assignedMillicores[classImage{class, demand.image}] += demand.milliProcessors
			}
		}
	}
	p.images.addMissingLongRunning()
}

// computeSlotBudgets computes the budgets of slots for short tasks that long-running and best-effort steps may
// take.
func (p *planState) computeSlotBudgets(steps []*waitingStep) {
	p.assignedShortTasks = p.learner.observeShortDemand(p.now, p.state, p.room, p.consideredShare)
	p.slotBudgets = map[string]*slotBudget{}
	for _, w := range steps {
		class := w.job.WorkerClass
		if isShort(w.step) || p.slotBudgets[class] != nil {
			continue
		}
		free := make([]tbresource.Amount, 0, len(p.workersByClass[class]))
		for _, r := range p.workersByClass[class] {
			free = append(free, r.free)
		}
		b := newSlotBudget(p.now, p.learner.shortDemands[class], p.assignedShortTasks[class], p.consideredShare, free)
		p.slotBudgets[class] = &b
		if p.learner.Features.LookAhead {
			p.addLargeBudget(class, free)
		}
	}
}

// room returns the usable workers of a class with the capacity that the plan has not assigned yet.
func (p *planState) room(class string) iter.Seq2[*tbfleet.Worker, tbresource.Amount] {
	return func(yield func(*tbfleet.Worker, tbresource.Amount) bool) {
		for _, r := range p.workersByClass[class] {
			if !yield(r.worker, r.free) {
				return
			}
		}
	}
}

func (p *planState) workerCount() int {
	n := 0
	for _, workers := range p.workersByClass {
		n += len(workers)
	}
	return n
}

// countAssignedTasks counts, on each worker, the assigned tasks of a step with a spread limit.
func (p *planState) countAssignedTasks(w *waitingStep) {
	ref := w.stepRef()
	if w.step.SpreadLimit <= 0 || p.spreadCountedSteps[ref] {
		return
	}
	p.spreadCountedSteps[ref] = true
	for i := range w.job.Tasks[w.occurrence][w.stepIndex] {
		t := &w.job.Tasks[w.occurrence][w.stepIndex][i]
		if t.Phase != tbflow.TaskAssigned {
			continue
		}
		if r := p.workerByID(t.Worker); r != nil {
			r.addSpreadCount(ref, 1)
		}
	}
	p.countCopies(ref)
}

// applyReservations subtracts the capacity reserved for tasks that are being moved. A task that
// still runs on the reserved worker is skipped.
func (p *planState) applyReservations() {
	for ref := range p.rebalancer.reservations {
		t := p.activeTask(ref)
		r := p.workerByID(p.rebalancer.reservedWorker(p.now, p.state, ref))
		if r != nil && t != nil && (t.Phase == tbflow.TaskWaiting || t.Worker != r.worker.ID) {
			r.applyReservation(p.state, ref, 1)
		}
	}
}

func (p *planState) activeTask(ref tbflow.TaskRef) *tbflow.Task {
	if j := p.state.Jobs[ref.Job]; j != nil && !j.Phase.Ended() {
		return j.Task(ref)
	}
	return nil
}

package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Plan returns at most limit runs that should start now, in the order of planState.orderForStart.
func Plan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	steps := waitingSteps(s, l)
	if len(steps) == 0 {
		return nil
	}
	state := newPlanState(now, s, f, l, g)
	state.addWorkloads()
	return state.placeAll(state.orderForStart(steps), limit)
}

func (p *planState) placeAll(steps []*waitingStep, limit int) []tbflow.Assignment {
	var plan []tbflow.Assignment
	for _, step := range steps {
		if len(plan) >= limit {
			break
		}
		plan = append(plan, p.place(step, limit-len(plan))...)
	}
	return plan
}

// planState is the working state of one plan. It holds the usable workers of each class and the
// capacity that the plan has not assigned yet.
type planState struct {
	now            time.Time
	state          *tbflow.State
	learner        *Learner
	rebalancer     *Rebalancer
	workersByClass map[string][]*workerState
	workersByID    map[string]*workerState
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
	// unplaceable holds, by index of the best-effort image, the demand of a task for which no
	// worker was found.
	unplaceable map[int]tbresource.Amount
	// candidates is reused for all steps to save allocations.
	candidates candidates
}

// newPlanState returns the usable workers with their free capacity. This is enough to place short
// steps. Before other steps are placed, addWorkloads must be called, because their placement
// depends on the workloads.
func newPlanState(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) *planState {
	p := &planState{
		state: s, learner: l, rebalancer: g, now: now, workersByClass: map[string][]*workerState{}, workersByID: make(map[string]*workerState, len(s.Workers)),
		spreadCountedSteps: map[stepRef]bool{}, unplaceable: map[int]tbresource.Amount{},
	}
	workers := f.Workers()
	states := make([]workerState, 0, len(workers))
	for _, w := range workers {
		if !f.Usable(w, now) {
			continue
		}
		use := s.Usage(w.ID)
		states = append(states, workerState{
			worker: w, classIndex: len(p.workersByClass[w.Class]), free: w.Capacity.Sub(use.Reserved),
			unusedMillicores: w.Capacity.MilliProcessors - use.BestEffortMilliProcessors,
		})
		r := &states[len(states)-1]
		p.workersByClass[w.Class] = append(p.workersByClass[w.Class], r)
		p.workersByID[w.ID] = r
	}
	p.applyReservations()
	return p
}

// initialImageCapacity is the number of long-running images for which each worker has space
// without another allocation.
const initialImageCapacity = 8

// addWorkloads adds the long-running images, the expected use and the best-effort demand of the
// tasks that each worker already has. The placement of long-running and best-effort steps depends
// on this data.
func (p *planState) addWorkloads() {
	p.learner.workloads.resetIfStale(p.state)
	p.images, p.assignedMillicores = newImageTable(p.learner), map[classImage]int64{}
	// The slices of all workers share one allocation of each type.
	n := p.images.learnedImageCount
	values := make([]float64, 2*n*len(p.workersByID))
	counts := make([]imageCount, initialImageCapacity*len(p.workersByID))
	for _, r := range p.workersByID {
		r.worstSlopes, r.scarcities, values = values[:0:n], values[n:n:2*n], values[2*n:]
		m := p.learner.workloads.get(r.worker)
		r.longRunningCounts, counts = append(counts[:0:initialImageCapacity], m.longRunningCounts...), counts[initialImageCapacity:]
		r.unusedMillicores -= m.expectedMillicores
		for _, demand := range m.bestEffortDemands {
			p.assignedMillicores[classImage{r.worker.Class, demand.image}] += demand.milliProcessors
		}
	}
	p.images.addMissingLongRunning()
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
		if r := p.workersByID[t.Worker]; r != nil && t.Phase == tbflow.TaskAssigned {
			r.addSpreadCount(ref, 1)
		}
	}
}

// applyReservations subtracts the capacity reserved for tasks that are being moved. A task that
// still runs on the reserved worker is skipped.
func (p *planState) applyReservations() {
	for ref := range p.rebalancer.reservations {
		t := p.activeTask(ref)
		r := p.workersByID[p.rebalancer.reservedWorker(p.now, p.state, ref)]
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

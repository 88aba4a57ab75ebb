package tbassign

import (
	"cmp"
	"slices"

	"tamarackbarrow/core/tbflow"
)

// A task with an outstanding start is bound to the place to which the start was sent (see tbflow.OutstandingStart).
// Its capacity there was free for it a moment ago, and no other worker may take it. Bound tasks are therefore placed
// before all others. A gang with bound members is placed in its turn, because it needs room for the others, too.

// boundTask is a waiting task with an outstanding start.
type boundTask struct {
	ref  tbflow.TaskRef
	step *waitingStep
}

// boundTasks returns the bound tasks among those of the given steps, in a fixed order.
func boundTasks(s *tbflow.State, steps []*waitingStep) []boundTask {
	var refsByStep map[stepRef][]tbflow.TaskRef
	for ref := range s.Outstanding {
		if j := s.Jobs[ref.Job]; j != nil && !j.Phase.Ended() && j.Task(ref).Phase == tbflow.TaskWaiting {
			if refsByStep == nil {
				refsByStep = map[stepRef][]tbflow.TaskRef{}
			}
			refsByStep[stepRefOf(ref)] = append(refsByStep[stepRefOf(ref)], ref)
		}
	}
	if refsByStep == nil {
		return nil
	}
	var tasks []boundTask
	for _, w := range steps {
		for _, ref := range refsByStep[w.stepRef()] {
			tasks = append(tasks, boundTask{ref, w})
		}
	}
	slices.SortFunc(tasks, func(a, b boundTask) int {
		return cmp.Or(compareSuspicion(s, a.ref, b.ref), compareWaiting(a.step, b.step), compareRefs(a.ref, b.ref))
	})
	return tasks
}

// compareSuspicion orders the suspects of crashes. The one at which the crashes point most goes last, and of several
// suspects of one crash the one that was assigned last, because the others did not crash the worker before.
func compareSuspicion(s *tbflow.State, a, b tbflow.TaskRef) int {
	crashesOfA, crashesOfB := s.Crashes[a], s.Crashes[b]
	if len(crashesOfA) == 0 || len(crashesOfB) == 0 {
		return cmp.Compare(len(crashesOfA), len(crashesOfB))
	}
	return cmp.Or(
		cmp.Compare(tbflow.SuspicionPermille(crashesOfA), tbflow.SuspicionPermille(crashesOfB)),
		cmp.Compare(s.Jobs[a.Job].Task(a).AssignedMs, s.Jobs[b.Job].Task(b).AssignedMs),
	)
}

// placeBound adds the runs of bound tasks to the plan, up to its limit.
func (p *planState) placeBound(plan *PlannedRuns, limit planLimit) {
	for _, b := range p.bound {
		if b.step.step.Gang {
			continue
		}
		if len(plan.Runs) >= limit.runs {
			plan.reachedLimit = true
			return
		}
		p.countAssignedTasks(b.step)
		r := p.boundWorker(b.ref, b.step)
		if r == nil {
			p.noteHeld(b.step, b.ref, b.step.job.Task(b.ref), "bound")
			continue
		}
		p.allocate(r, b.step)
		plan.Runs = append(plan.Runs, tbflow.Assignment{Ref: b.ref, Run: p.state.NextRun(b.ref), Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
}

// boundWorker returns the worker on which a bound task can be placed now, or nil. If the task is suspected of
// crashes, the plan closes the worker to other tasks.
func (p *planState) boundWorker(ref tbflow.TaskRef, w *waitingStep) *workerState {
	crashes := tbflow.SuspectedCrashes(p.state.Crashes[ref])
	if crashes >= crashesToAwaitLost && p.state.IsLost(ref) {
		return nil
	}
	for _, worker := range p.fleet.BoundWorkers(p.state, ref) {
		r := p.workerByID(worker.ID)
		if r == nil || worker.Class != w.job.WorkerClass || !p.canPlace(r, w) {
			continue
		}
		if crashes > 0 {
			// Several suspects of one crash may be bound to the worker. Started together, they would crash it together
			// again. The tasks of one job count as one suspect.
			if r.observedJob != "" && r.observedJob != ref.Job || worker.IsObservingOther(ref.Job) {
				continue
			}
			r.observedJob = ref.Job
			p.closeWorker(r, w.job.WorkerClass)
		}
		return r
	}
	return nil
}

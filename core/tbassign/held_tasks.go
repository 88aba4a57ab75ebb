package tbassign

import (
	"maps"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// heldTaskIntervalMs is how long a long-running task waits before a plan says what holds it, and the least time until a
// plan says so again.
const heldTaskIntervalMs = 2000

// maxHeldTasks is the largest number of tasks for which a plan says what holds them. The times of more than
// maxHeldNoted tasks are not remembered for longer than needed.
const (
	maxHeldTasks = 8
	maxHeldNoted = 256
)

// HeldTask says why a plan has not placed a long-running task that has waited for long. The numbers of workers are
// those of its class that the plan considers, unless said otherwise.
type HeldTask struct {
	Ref      tbflow.TaskRef
	WaitedMs int64
	Need     tbresource.Amount
	// Cause is what has kept the plan from searching for a worker, or empty if it has searched for one.
	Cause string
	// Usable is the number of workers that may get tasks.
	Usable int
	// Room is the number of usable workers that have free capacity for the task. Of these, Closed are closed, Kept
	// are reserved for other steps, Unsuitable violate a constraint of the step, Avoided are avoided after a failure,
	// and Headroom would lose headroom for short tasks.
	Room, Closed, Kept, Unsuitable, Avoided, Headroom int
	// BestEffort is the number of usable workers that would have free capacity without best-effort tasks.
	BestEffort int
	// Unusable is the number of registered workers that would have free capacity, but may not get tasks.
	Unusable int
}

// noteHeld records a long-running task that the plan has not placed, if it has waited for long.
func (p *planState) noteHeld(w *waitingStep, ref tbflow.TaskRef, t *tbflow.Task, cause string) {
	waitedMs := p.nowMs - t.WaitingSinceMs
	if !w.step.LongRunning || waitedMs < heldTaskIntervalMs || p.nowMs-p.learner.heldNotedMs[ref] < heldTaskIntervalMs || len(p.held) >= maxHeldTasks {
		return
	}
	if len(p.learner.heldNotedMs) >= maxHeldNoted {
		maps.DeleteFunc(p.learner.heldNotedMs, func(_ tbflow.TaskRef, notedMs int64) bool { return p.nowMs-notedMs >= heldTaskIntervalMs })
	}
	p.learner.heldNotedMs[ref] = p.nowMs
	h := HeldTask{Ref: ref, WaitedMs: waitedMs, Need: w.step.Need, Cause: cause}
	considered := map[string]bool{}
	workers := p.workersByClass[w.job.WorkerClass]
	for _, r := range workers {
		considered[r.worker.ID] = true
		h.Usable++
		if !w.step.Need.Fits(r.free) {
			if w.step.Need.Fits(r.free.Add(p.bestEffortReserved(r.worker))) {
				h.BestEffort++
			}
			continue
		}
		h.Room++
		switch {
		case r.closed:
			h.Closed++
		case p.takesReservedRoom(r, w, w.step.Need):
			h.Kept++
		case !satisfiesConstraints(w.step, r.worker, r.spreadCounts[w.stepRef()]):
			h.Unsuitable++
		case p.avoids(t, r, len(workers)):
			h.Avoided++
		default:
			h.Headroom++
		}
	}
	for _, worker := range p.fleet.Workers() {
		if worker.Class == w.job.WorkerClass && !considered[worker.ID] && !p.fleet.Usable(worker, p.now) && w.step.Need.Fits(worker.Capacity.Sub(p.state.Usage(worker.ID).Reserved)) {
			h.Unusable++
		}
	}
	p.held = append(p.held, h)
}

// bestEffortReserved returns the capacity that the best-effort tasks of a worker reserve.
func (p *planState) bestEffortReserved(w *tbfleet.Worker) tbresource.Amount {
	var sum tbresource.Amount
	p.state.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
		if step := p.state.StepOf(ref); step != nil && step.BestEffort {
			sum = sum.Add(withoutProcessors(step.Need))
		}
	})
	return sum
}

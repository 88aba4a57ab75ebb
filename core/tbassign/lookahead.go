package tbassign

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbbackfill"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Long-running tasks reserve nearly all processors, and what is left lies in pieces on hundreds of workers. Many
// small short tasks come beside a few large ones, which need the room of several small tasks on one worker. Each piece
// that becomes free is taken by the next small task, so that large tasks wait for many times their run time.
//
// With Features.LookAhead, a large short task that fits nowhere gets a reservation on the worker that is expected to have
// room for it first (see package tbbackfill). Long-running tasks get none: they would take the last room that large
// short tasks fit into, and keep it. Best-effort tasks need none, because they use the processors that others leave
// unused. Reservations last from one plan to the next; a new leader makes its own.

// Bounds of the reservations for large tasks.
const (
	// reserveAheadTime is how far ahead a reservation may be. It is the wait for a start that the users' contract tolerates.
	reserveAheadTime = 3 * time.Second
	// maxYieldTime is how long a long-running task leaves reserved room alone. A steady stream of large short tasks would
	// keep it waiting without end.
	maxYieldTime = reserveAheadTime
	// maxReservedShare is the largest share of the considered workers that have a reservation. The other workers stay
	// open to all tasks, whatever the sizes of the waiting tasks are.
	maxReservedShare = 0.25
	// maxIdleShare bounds the time for which processors are idle before a task, relative to its run time. Runs that end
	// later than expected may keep it from starting for as long again.
	maxIdleShare = 0.5
	// earlyEndProbability is the probability with which a smaller task has to end before a reservation begins.
	earlyEndProbability = 0.9
	// expectedEndProbability is the probability with which a run is over at its expected end.
	expectedEndProbability = 0.5
)

// lookAhead holds the reservations for large tasks from one plan to the next.
type lookAhead struct {
	reserved map[string]reservedRoom
	// endsByWorker caches the expected ends of the runs on each worker.
	endsByWorker map[string]workerEnds
	state        *tbflow.State
	buffer       []tbbackfill.End
}

// reservedRoom is a reservation on one worker for a task of a step.
type reservedRoom struct {
	step stepRef
	// untilMs is the time at which the reservation is over if the task has not started.
	untilMs int64
}

// workerEnds holds the expected ends of the runs on one worker, as of a number of changes of its runs.
type workerEnds struct {
	runChanges uint64
	ends       []tbbackfill.End
}

// roomReservation is the reservation on a worker within one plan.
type roomReservation struct {
	tbbackfill.Reservation
	step stepRef
}

// resetIfStale drops everything that belongs to another state.
func (a *lookAhead) resetIfStale(s *tbflow.State) {
	if a.state != s {
		*a = lookAhead{state: s, reserved: map[string]reservedRoom{}, endsByWorker: map[string]workerEnds{}}
	}
}

// ends returns the expected ends of the runs on a worker in order. The result is valid until the next call.
func (a *lookAhead) ends(nowMs int64, l *Learner, w *tbfleet.Worker) []tbbackfill.End {
	changes := a.state.RunChanges(w.ID)
	cached, ok := a.endsByWorker[w.ID]
	if !ok || cached.runChanges != changes {
		cached = workerEnds{runChanges: changes, ends: cached.ends[:0]}
		a.state.EachRun(w.ID, func(ref tbflow.TaskRef, t *tbflow.Task) {
			step, j := a.state.StepOf(ref), a.state.Jobs[ref.Job]
			if step == nil || j == nil || step.LongRunning {
				return
			}
			freed := step.Need
			if step.BestEffort {
				freed = withoutProcessors(freed)
			}
			end := t.AssignedMs + l.RunTimeQuantile(j, step, expectedEndProbability).Milliseconds()
			cached.ends = append(cached.ends, tbbackfill.End{AtMs: end, Freed: freed})
		})
		a.endsByWorker[w.ID] = cached
	}
	a.buffer = append(a.buffer[:0], cached.ends...)
	tbbackfill.SortEnds(nowMs, a.buffer)
	return a.buffer
}

// applyRoomReservations applies the reservations of earlier plans, and drops those that are over: no task of the step
// waits any more, the worker cannot have room in time or its data centre is evacuated, or the task has waited for it for too long.
func (p *planState) applyRoomReservations() {
	if !p.learner.Features.LookAhead {
		return
	}
	a := &p.learner.lookAhead
	a.resetIfStale(p.state)
	for _, id := range slices.Sorted(maps.Keys(a.reserved)) {
		room, w := a.reserved[id], p.fleet.Worker(id)
		j := p.state.Jobs[room.step.jobID]
		if w == nil || j == nil || j.Phase.Ended() || j.WaitingTasks(room.step.occurrence, room.step.stepIndex) == 0 ||
			p.nowMs > room.untilMs || p.state.IsEvacuated(w.DataCentre) {
			delete(a.reserved, id)
			continue
		}
		r := p.workerByID(id)
		if r == nil {
			// The plan does not consider the worker, or it is not usable now.
			continue
		}
		need := j.Steps[room.step.stepIndex].Need
		reservation, ok := p.reservationOn(r, need)
		if !ok {
			delete(a.reserved, id)
			continue
		}
		r.reserved = &roomReservation{Reservation: reservation, step: room.step}
		p.reservedWorkers = append(p.reservedWorkers, r)
	}
}

func (p *planState) reservationOn(r *workerState, need tbresource.Amount) (tbbackfill.Reservation, bool) {
	ends := p.learner.lookAhead.ends(p.nowMs, p.learner, r.worker)
	return tbbackfill.Reserve(p.nowMs, p.nowMs+reserveAheadTime.Milliseconds(), need, r.free, ends)
}

// needsRoomReservation reports whether the waiting tasks of a step may get reservations: those of a large short step or
// one that has to start whole, while its result can still be of use.
func (p *planState) needsRoomReservation(w *waitingStep) bool {
	if !p.learner.Features.LookAhead || !isShort(w.step) || w.lateness == tooLate {
		return false
	}
	return w.step.Gang || p.learner.isLarge(w.job.WorkerClass, w.step)
}

// isWorthwhile reports whether a reservation is worth what it costs others: the task starts in time, and its processors are
// idle for a small part of the time for which it then uses them.
func (p *planState) isWorthwhile(w *waitingStep, r tbbackfill.Reservation) bool {
	return r.AtMs <= w.latestStartMs && r.IdleMs <= p.maxIdleMs(w)
}

// maxIdleMs returns for how long processors may be idle before a task of a step.
func (p *planState) maxIdleMs(w *waitingStep) int64 {
	return int64(maxIdleShare * float64(p.learner.RunTime(w.job, w.step).Milliseconds()))
}

// reserveRoom updates the reservations for a step of which the given number of tasks could not be placed. A gang gets
// reservations for all of its tasks or for none.
func (p *planState) reserveRoom(w *waitingStep, unplaced int) {
	if !p.learner.Features.LookAhead {
		return
	}
	if unplaced > 0 && !p.needsRoomReservation(w) {
		unplaced = 0
	}
	own := 0
	for _, r := range slices.Clone(p.reservedWorkers) {
		if !r.isReservedFor(w) {
			continue
		}
		if own++; own > unplaced {
			p.dropRoomReservation(r)
		}
	}
	// Other classes have limits of their own.
	limit := int(maxReservedShare*float64(len(p.workersByClass[w.job.WorkerClass]))) + 1
	for _, r := range p.reservedWorkers {
		if r.worker.Class != w.job.WorkerClass {
			limit++
		}
	}
	missing := unplaced - own
	if w.step.Gang && len(p.reservedWorkers)+missing > limit {
		return
	}
	for first := len(p.reservedWorkers); missing > 0 && len(p.reservedWorkers) < limit; missing-- {
		if r := p.reserveBest(w); r != nil {
			continue
		}
		for w.step.Gang && len(p.reservedWorkers) > first {
			p.dropRoomReservation(p.reservedWorkers[first])
		}
		break
	}
}

// reserveBest reserves room for one task of a step on the worker that is expected to have it first, and returns the
// worker. It returns nil if no worker without a reservation has room in time.
func (p *planState) reserveBest(w *waitingStep) *workerState {
	class := w.job.WorkerClass
	for _, failed := range p.unreservable[class] {
		if failed.Fits(w.step.Need) {
			return nil
		}
	}
	var best *workerState
	var bestReservation tbbackfill.Reservation
	isPossible := false
	for _, r := range p.workersByClass[class] {
		if r.reserved != nil || r.closed || !w.step.Need.Fits(p.reservableOn(r)) || w.step.Rack != "" && r.worker.Rack != w.step.Rack ||
			!satisfiesConstraints(w.step, r.worker, r.spreadCounts[w.stepRef()]) {
			continue
		}
		reservation, ok := p.reservationOn(r, w.step.Need)
		isPossible = isPossible || ok
		if ok && p.isWorthwhile(w, reservation) && (best == nil || reservation.Less(&bestReservation)) {
			best, bestReservation = r, reservation
		}
	}
	if best == nil {
		if !isPossible && w.step.Label == "" && w.step.SpreadLimit <= 0 && w.step.Rack == "" {
			if p.unreservable == nil {
				p.unreservable = map[string][]tbresource.Amount{}
			}
			p.unreservable[class] = append(p.unreservable[class], w.step.Need)
		}
		return nil
	}
	best.reserved = &roomReservation{Reservation: bestReservation, step: w.stepRef()}
	p.reservedWorkers = append(p.reservedWorkers, best)
	p.learner.lookAhead.reserved[best.worker.ID] = reservedRoom{step: w.stepRef(), untilMs: bestReservation.AtMs + p.maxIdleMs(w)}
	return best
}

// reservableOn returns the capacity of a worker that is free now or will be within reserveAheadTime. Tasks that the plan
// has placed since it was computed are not subtracted.
func (p *planState) reservableOn(r *workerState) tbresource.Amount {
	if !r.isReservable {
		r.reservable, r.isReservable = r.free, true
		for _, end := range p.learner.lookAhead.ends(p.nowMs, p.learner, r.worker) {
			if end.AtMs <= p.nowMs+reserveAheadTime.Milliseconds() {
				r.reservable = r.reservable.Add(end.Freed)
			}
		}
	}
	return r.reservable
}

func (p *planState) dropRoomReservation(r *workerState) {
	r.reserved = nil
	delete(p.learner.lookAhead.reserved, r.worker.ID)
	p.reservedWorkers = slices.DeleteFunc(p.reservedWorkers, func(other *workerState) bool { return other == r })
	// Other tasks may fit on the worker now.
	clear(p.unplaceable)
	clear(p.unreservable)
}

func (r *workerState) isReservedFor(w *waitingStep) bool {
	return r.reserved != nil && r.reserved.step == w.stepRef()
}

// takesReservedRoom reports whether a task of a step would take room on a worker that is reserved for another step. Steps
// of a higher priority may take it, and long-running ones that have waited for maxYieldTime.
func (p *planState) takesReservedRoom(r *workerState, w *waitingStep, need tbresource.Amount) bool {
	if r.reserved == nil || r.isReservedFor(w) || !r.keepsRoomFrom(w) {
		return false
	}
	if owner := p.state.Jobs[r.reserved.step.jobID]; owner == nil || w.job.Priority < owner.Priority {
		return false
	}
	if w.step.LongRunning && p.longestWaitMs(w) > maxYieldTime.Milliseconds() {
		return false
	}
	return !r.reserved.Allows(need, p.latestEndMs(w))
}

// longestWaitMs returns for how long the tasks of a step have waited at most.
func (p *planState) longestWaitMs(w *waitingStep) int64 {
	longest := int64(0)
	for _, ref := range w.waitingTasks() {
		longest = max(longest, p.nowMs-w.job.Task(ref).WaitingSinceMs)
	}
	return longest
}

// latestEndMs returns the time by which a task of a step that starts now has probably ended.
func (p *planState) latestEndMs(w *waitingStep) int64 {
	if w.step.LongRunning {
		return math.MaxInt64
	}
	runTime := p.learner.RunTimeQuantile(w.job, w.step, earlyEndProbability)
	if runTime <= 0 {
		// Nothing is known of the run time.
		return math.MaxInt64
	}
	return p.nowMs + runTime.Milliseconds()
}

// takeReservedRoom counts a task that the plan places on a worker with a reservation of another step. With sign -1, it
// no longer counts the task.
func (p *planState) takeReservedRoom(r *workerState, w *waitingStep, need tbresource.Amount, sign int) {
	if r.reserved != nil && !r.isReservedFor(w) {
		r.reserved.Take(need, p.latestEndMs(w), sign)
	}
}

// useRoomReservation drops the reservation of a step on a worker on which one of its tasks was placed.
func (p *planState) useRoomReservation(r *workerState, w *waitingStep) {
	if r.isReservedFor(w) {
		p.dropRoomReservation(r)
	}
}

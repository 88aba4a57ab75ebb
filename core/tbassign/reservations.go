package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// Time limits of the reservations for long-running tasks that are being moved.
const (
	// moveStopTimeout is how long capacity stays reserved for a task that has not stopped yet.
	moveStopTimeout = 5 * time.Second
	// restartTimeout is how long a stopped task waits for its reserved capacity.
	restartTimeout = 1500 * time.Millisecond
)

// reservation says on which worker capacity is reserved for a task that is being moved.
type reservation struct {
	workerID string
	// stoppedRunNumber is the number of the run that is stopped for the move.
	stoppedRunNumber uint64
	// stopDeadline is the time at which the reservation expires if the run has not stopped.
	stopDeadline time.Time
	// partnerTask is the task that a swap moves in the opposite direction. Without a swap, it is
	// the moving task itself.
	partnerTask tbflow.TaskRef
}

// reserve adds a reservation for each move of one relocation.
func (g *Rebalancer) reserve(now time.Time, s *tbflow.State, moves []Move) {
	for i, m := range moves {
		g.reservations[m.Ref] = reservation{
			workerID: m.To, stoppedRunNumber: s.Jobs[m.Ref.Job].Task(m.Ref).Run, stopDeadline: now.Add(moveStopTimeout),
			partnerTask: moves[len(moves)-1-i].Ref,
		}
		g.movePlannedAt[m.Ref] = now
	}
}

// reservedWorker returns the worker on which capacity is reserved for a task, or an empty string.
//
// A leader under load may learn late that a task has stopped. Long-running tasks fill their worker
// class, so a task whose reservation was released too early would fit nowhere else. Reservations
// therefore last until the timeouts of hasExpired. If one task of a swap cannot move, both
// reservations are void, so that each task can return to the worker that it left.
func (g *Rebalancer) reservedWorker(now time.Time, s *tbflow.State, ref tbflow.TaskRef) string {
	r, ok := g.reservations[ref]
	if !ok || g.hasExpired(now, s, ref, r) || isMoveOver(s, ref, r) {
		return ""
	}
	if partner, ok := g.reservations[r.partnerTask]; ok && g.hasExpired(now, s, r.partnerTask, partner) {
		return ""
	}
	return r.workerID
}

// workersInMoves returns the workers of moves in progress: those with reserved capacity and those
// on which the moving tasks still run.
func (g *Rebalancer) workersInMoves(now time.Time, s *tbflow.State) map[string]bool {
	workers := map[string]bool{}
	for ref := range g.reservations {
		to := g.reservedWorker(now, s, ref)
		if to == "" {
			continue
		}
		workers[to] = true
		if t := s.Jobs[ref.Job].Task(ref); t.Phase == tbflow.TaskAssigned {
			workers[t.Worker] = true
		}
	}
	return workers
}

// excludeWorkers excludes the given workers from the relocations of this round.
func (rr *rebalanceRound) excludeWorkers(excluded map[string]bool) {
	for _, c := range rr.classesByName {
		for _, r := range c.workers {
			r.inRelocation = excluded[r.worker.ID]
		}
	}
}

// hasExpired reports whether a move has failed: the task did not stop in time, or it stopped but
// was not started again in time.
func (g *Rebalancer) hasExpired(now time.Time, s *tbflow.State, ref tbflow.TaskRef, r reservation) bool {
	j := s.Jobs[ref.Job]
	if j == nil || isMoveOver(s, ref, r) {
		return false
	}
	if t := j.Task(ref); t.Phase == tbflow.TaskWaiting {
		return s.TimeAt(now)-t.WaitingSinceMs > restartTimeout.Milliseconds()
	}
	return !now.Before(r.stopDeadline)
}

// isMoveOver reports whether a moving task has started again, or the task or its job no longer
// exists.
func isMoveOver(s *tbflow.State, ref tbflow.TaskRef, r reservation) bool {
	j := s.Jobs[ref.Job]
	return j == nil || j.Task(ref) == nil || j.Task(ref).Run != r.stoppedRunNumber
}

package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// How long places are held for lasting tasks that move.
const (
	// stopWithin is how long a place is held for a task that has not stopped yet.
	stopWithin = 5 * time.Second
	// pinFor is how long a stopped task waits for the place that was chosen for it.
	pinFor = 1500 * time.Millisecond
)

// pin is the place that was chosen for a task that is being moved.
type pin struct {
	worker string
	// run is the run that stops for it.
	run uint64
	// until bounds the time until that run has stopped.
	until time.Time
	// partner is the task that moves the other way; it is the task itself where there is none.
	partner tbflow.TaskRef
}

// hold keeps the places of the tasks of one change for them.
func (g *Rebalancer) hold(now time.Time, s *tbflow.State, moves []Move) {
	for i, m := range moves {
		g.pins[m.Ref] = pin{
			worker: m.To, run: s.Jobs[m.Ref.Job].Task(m.Ref).Run, until: now.Add(stopWithin),
			partner: moves[len(moves)-1-i].Ref,
		}
		g.moved[m.Ref] = now
	}
}

// pinned returns the place held for a task, or an empty string.
//
// A leader with much to do learns of the stop late. A place that is given away before
// leaves the task without one: lasting tasks fill their worker class. A change of places
// that one task cannot make is off for both, so that each can go back.
func (g *Rebalancer) pinned(now time.Time, s *tbflow.State, ref tbflow.TaskRef) string {
	p, ok := g.pins[ref]
	if !ok || g.pinEnded(now, s, ref, p) || started(s, ref, p) {
		return ""
	}
	if q, ok := g.pins[p.partner]; ok && g.pinEnded(now, s, p.partner, q) {
		return ""
	}
	return p.worker
}

// changing returns the workers that tasks are moving between.
func (g *Rebalancer) changing(now time.Time, s *tbflow.State) map[string]bool {
	workers := map[string]bool{}
	for ref := range g.pins {
		to := g.pinned(now, s, ref)
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

// keepOut keeps instances that a change under way involves out of this round.
func (g *groups) keepOut(changing map[string]bool) {
	for _, c := range g.class {
		for _, r := range c.rooms {
			r.busy = changing[r.worker.ID]
		}
	}
}

// pinEnded reports whether a moving task did not stop in time, or found its place taken for too long.
func (g *Rebalancer) pinEnded(now time.Time, s *tbflow.State, ref tbflow.TaskRef, p pin) bool {
	j := s.Jobs[ref.Job]
	if j == nil || started(s, ref, p) {
		return false
	}
	if t := j.Task(ref); t.Phase == tbflow.TaskWaiting {
		return s.NowMs-t.WaitingMs > pinFor.Milliseconds()
	}
	return !now.Before(p.until)
}

// started reports whether a task that moved has started again, or is gone.
func started(s *tbflow.State, ref tbflow.TaskRef, p pin) bool {
	j := s.Jobs[ref.Job]
	return j == nil || j.Task(ref) == nil || j.Task(ref).Run != p.run
}

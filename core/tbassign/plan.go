package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Plan returns the runs that should start now.
func Plan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	pools := newPools(now, s, f, l, g)
	var plan []tbflow.Assignment
	for _, step := range pools.waiting() {
		if len(plan) >= limit {
			break
		}
		plan = append(plan, pools.place(step, limit-len(plan))...)
	}
	return plan
}

// pools are the usable workers of each class with what this plan has left of them.
type pools struct {
	now        time.Time
	state      *tbflow.State
	learner    *Learner
	rebalancer *Rebalancer
	classes    map[string][]*room
	byWorker   map[string]*room
	// running sums what the filling tasks of each image ask for that run now, in thousandths of a processor.
	running map[imageOf]int64
	images  *imageTable
	// restricted holds the share of rooms that each learned filling image harms, once it was needed.
	restricted []float64
	// rated is reused from one step to the next.
	rated candidates
}

func newPools(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) *pools {
	p := &pools{
		state: s, learner: l, rebalancer: g, now: now, classes: map[string][]*room{}, byWorker: map[string]*room{},
		running: map[imageOf]int64{},
		images:  newImageTable(l),
	}
	for _, w := range f.Workers() {
		if !f.Usable(w, now) {
			continue
		}
		use := s.Use(w.ID)
		r := &room{worker: w, index: len(p.classes[w.Class]), free: w.Capacity.Sub(use.Reserved)}
		r.unused = w.Capacity.MilliProcessors - use.FillProcessors
		s.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
			step := s.StepOf(ref)
			if step == nil {
				return
			}
			p.occupy(r, step, 1)
			if step.SpreadLimit > 0 {
				r.spread(refOfStep(ref), 1)
			}
			if step.Fills {
				p.running[imageOf{w.Class, step.Image}] += step.Need.MilliProcessors
			}
		})
		p.classes[w.Class] = append(p.classes[w.Class], r)
		p.byWorker[w.ID] = r
	}
	p.holdPinned()
	return p
}

// holdPinned keeps the places of tasks that are being moved from all others.
func (p *pools) holdPinned() {
	for ref := range p.rebalancer.pins {
		t := p.taskOf(ref)
		r := p.byWorker[p.rebalancer.pinned(p.now, ref)]
		if r != nil && t != nil && (t.Phase == tbflow.TaskWaiting || t.Worker != r.worker.ID) {
			r.hold(p.state, ref, 1)
		}
	}
}

func (p *pools) taskOf(ref tbflow.TaskRef) *tbflow.Task {
	if j := p.state.Jobs[ref.Job]; j != nil && !j.Phase.Ended() {
		return j.Task(ref)
	}
	return nil
}

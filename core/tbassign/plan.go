package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
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
	// colocation compares the lasting images as this plan knows them.
	colocation *colocation
	// restricted holds the share of rooms that each filling image harms, once it was needed.
	restricted map[string]float64
}

// room is what a worker has left.
type room struct {
	worker *tbfleet.Worker
	free   tbresource.Amount
	// unused estimates the processors that tasks which do not fill leave unused, less what fills already.
	unused int64
	// lasting counts the lasting tasks by image.
	lasting map[string]int
	// contention weighs more filling tasks against the lasting ones, once it was needed.
	contention *contention
	// tasks counts the tasks of steps with a spread limit.
	tasks map[stepRef]int
}

type stepRef struct {
	job        string
	occurrence int
	step       int
}

func refOfStep(ref tbflow.TaskRef) stepRef { return stepRef{ref.Job, ref.Occurrence, ref.Step} }

func newPools(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) *pools {
	p := &pools{
		state: s, learner: l, rebalancer: g, now: now, classes: map[string][]*room{}, byWorker: map[string]*room{},
		running:    map[imageOf]int64{},
		colocation: newColocation(l),
	}
	for _, w := range f.Workers() {
		if !f.Usable(w, now) {
			continue
		}
		use := s.Use(w.ID)
		r := &room{worker: w, free: w.Capacity.Sub(use.Reserved), lasting: map[string]int{}}
		r.unused = w.Capacity.MilliProcessors - use.FillProcessors
		s.EachRun(w.ID, func(ref tbflow.TaskRef, _ *tbflow.Task) {
			step := s.StepOf(ref)
			if step == nil {
				return
			}
			r.count(step, ref)
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
		r := p.byWorker[p.rebalancer.pinned(p.now, p.state, ref)]
		if r != nil && t != nil && (t.Phase == tbflow.TaskWaiting || t.Worker != r.worker.ID) {
			r.hold(p.state, ref, 1)
		}
	}
}

// hold counts a task that is to come as if it was there already, or with sign -1 takes that back.
func (r *room) hold(s *tbflow.State, ref tbflow.TaskRef, sign int) {
	step := s.StepOf(ref)
	r.reserve(step, refOfStep(ref), step.Need, sign)
}

// reserve takes what one task of a step needs from the room, or with sign -1 gives it back.
func (r *room) reserve(step *tbflow.Step, ref stepRef, need tbresource.Amount, sign int) {
	if sign > 0 {
		r.free = r.free.Sub(need)
	} else {
		r.free = r.free.Add(need)
	}
	if step.SpreadLimit > 0 {
		r.spread(ref, sign)
	}
}

func (p *pools) taskOf(ref tbflow.TaskRef) *tbflow.Task {
	if j := p.state.Jobs[ref.Job]; j != nil && !j.Phase.Ended() {
		return j.Task(ref)
	}
	return nil
}

// count takes one assigned task into the room's estimates.
func (r *room) count(step *tbflow.Step, ref tbflow.TaskRef) {
	r.occupy(step, 1)
	if step.SpreadLimit > 0 {
		r.spread(refOfStep(ref), 1)
	}
}

// occupy counts what a task that does not fill is expected to use, or with sign -1 takes that back.
func (r *room) occupy(step *tbflow.Step, sign int) {
	switch {
	case step.Lasting:
		r.lasting[step.Image] += sign
		r.unused -= int64(sign) * int64(float64(step.Need.MilliProcessors)*lastingLoad)
	case !step.Fills:
		r.unused -= int64(sign) * step.Need.MilliProcessors
	}
}

func (r *room) spread(step stepRef, n int) {
	if r.tasks == nil {
		r.tasks = map[stepRef]int{}
	}
	r.tasks[step] += n
}

package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Plan returns the runs that should start now.
func Plan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	steps := waitingSteps(s, l)
	if len(steps) == 0 {
		return nil
	}
	pools := newPools(now, s, f, l, g)
	pools.weigh()
	return pools.placeAll(pools.inOrder(steps), limit)
}

func (p *pools) placeAll(steps []*waitingStep, limit int) []tbflow.Assignment {
	var plan []tbflow.Assignment
	for _, step := range steps {
		if len(plan) >= limit {
			break
		}
		plan = append(plan, p.place(step, limit-len(plan))...)
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
	// counted holds the steps whose tasks are counted in the rooms for their spread limit.
	counted map[stepRef]bool
	// restricted holds the share of rooms that each learned filling image harms, once it was needed.
	restricted []float64
	// full holds, by filling image, the need of a task for which there was no room at all.
	full map[int]tbresource.Amount
	// rated is reused from one step to the next.
	rated candidates
}

// newPools returns the rooms with what is free in them; weigh adds the rest.
func newPools(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) *pools {
	p := &pools{
		state: s, learner: l, rebalancer: g, now: now, classes: map[string][]*room{}, byWorker: make(map[string]*room, len(s.Workers)),
		counted: map[stepRef]bool{}, full: map[int]tbresource.Amount{},
	}
	workers := f.Workers()
	rooms := make([]room, 0, len(workers))
	for _, w := range workers {
		if !f.Usable(w, now) {
			continue
		}
		use := s.Use(w.ID)
		rooms = append(rooms, room{
			worker: w, index: len(p.classes[w.Class]), free: w.Capacity.Sub(use.Reserved),
			unused: w.Capacity.MilliProcessors - use.FillProcessors,
		})
		r := &rooms[len(rooms)-1]
		p.classes[w.Class] = append(p.classes[w.Class], r)
		p.byWorker[w.ID] = r
	}
	p.holdPinned()
	return p
}

// fewImages is the number of lasting images of an instance for which there is space at first.
const fewImages = 8

// weigh counts what runs in each room, which lasting and filling steps are placed by.
func (p *pools) weigh() {
	p.learner.mixes.begin(p.state)
	p.images, p.running = newImageTable(p.learner), map[imageOf]int64{}
	// One allocation for all rooms.
	n := p.images.learned
	figures := make([]float64, 2*n*len(p.byWorker))
	lasting := make([]imageCount, fewImages*len(p.byWorker))
	for _, r := range p.byWorker {
		r.worst, r.scarce, figures = figures[:0:n], figures[n:n:2*n], figures[2*n:]
		m := p.learner.mixes.of(r.worker)
		r.lasting, lasting = append(lasting[:0:fewImages], m.lasting...), lasting[fewImages:]
		r.unused -= m.used
		for _, f := range m.fills {
			p.running[imageOf{r.worker.Class, f.image}] += f.need
		}
	}
	p.images.compareLasting()
}

// countSpread counts the tasks of a step with a spread limit in their rooms.
func (p *pools) countSpread(w *waitingStep) {
	ref := w.ref()
	if w.step.SpreadLimit <= 0 || p.counted[ref] {
		return
	}
	p.counted[ref] = true
	for i := range w.job.Tasks[w.occurrence][w.index] {
		t := &w.job.Tasks[w.occurrence][w.index][i]
		if r := p.byWorker[t.Worker]; r != nil && t.Phase == tbflow.TaskAssigned {
			r.spread(ref, 1)
		}
	}
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

func (p *pools) taskOf(ref tbflow.TaskRef) *tbflow.Task {
	if j := p.state.Jobs[ref.Job]; j != nil && !j.Phase.Ended() {
		return j.Task(ref)
	}
	return nil
}

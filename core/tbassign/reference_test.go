package tbassign

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// fullPlan is Plan without any figure kept from one task or step to the next.
func fullPlan(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, limit int) []tbflow.Assignment {
	pools := newFullPools(now, s, f, l, g)
	var plan []tbflow.Assignment
	for _, step := range pools.waiting() {
		if len(plan) >= limit {
			break
		}
		plan = append(plan, pools.place(step, limit-len(plan))...)
	}
	return plan
}

// fullPools are the usable workers of each class with what this plan has left of them.
type fullPools struct {
	now        time.Time
	state      *tbflow.State
	learner    *Learner
	rebalancer *Rebalancer
	classes    map[string][]*fullRoom
	byWorker   map[string]*fullRoom
	// running sums what the filling tasks of each image ask for that run now, in thousandths of a processor.
	running map[imageOf]int64
	// colocation compares the lasting images as this plan knows them.
	colocation *colocation
	// restricted holds the share of rooms that each filling image harms, once it was needed.
	restricted map[string]float64
}

// room is what a worker has left.
type fullRoom struct {
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

func newFullPools(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer) *fullPools {
	p := &fullPools{
		state: s, learner: l, rebalancer: g, now: now, classes: map[string][]*fullRoom{}, byWorker: map[string]*fullRoom{},
		running:    map[imageOf]int64{},
		colocation: newColocation(l),
	}
	for _, w := range f.Workers() {
		if !f.Usable(w, now) {
			continue
		}
		use := s.Use(w.ID)
		r := &fullRoom{worker: w, free: w.Capacity.Sub(use.Reserved), lasting: map[string]int{}}
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
func (p *fullPools) holdPinned() {
	for ref := range p.rebalancer.pins {
		t := p.taskOf(ref)
		r := p.byWorker[p.rebalancer.pinned(p.now, p.state, ref)]
		if r != nil && t != nil && (t.Phase == tbflow.TaskWaiting || t.Worker != r.worker.ID) {
			r.hold(p.state, ref, 1)
		}
	}
}

// hold counts a task that is to come as if it was there already, or with sign -1 takes that back.
func (r *fullRoom) hold(s *tbflow.State, ref tbflow.TaskRef, sign int) {
	step := s.StepOf(ref)
	r.reserve(step, refOfStep(ref), step.Need, sign)
}

// reserve takes what one task of a step needs from the room, or with sign -1 gives it back.
func (r *fullRoom) reserve(step *tbflow.Step, ref stepRef, need tbresource.Amount, sign int) {
	if sign > 0 {
		r.free = r.free.Sub(need)
	} else {
		r.free = r.free.Add(need)
	}
	if step.SpreadLimit > 0 {
		r.spread(ref, sign)
	}
}

func (p *fullPools) taskOf(ref tbflow.TaskRef) *tbflow.Task {
	if j := p.state.Jobs[ref.Job]; j != nil && !j.Phase.Ended() {
		return j.Task(ref)
	}
	return nil
}

// count takes one assigned task into the room's estimates.
func (r *fullRoom) count(step *tbflow.Step, ref tbflow.TaskRef) {
	r.occupy(step, 1)
	if step.SpreadLimit > 0 {
		r.spread(refOfStep(ref), 1)
	}
}

// occupy counts what a task that does not fill is expected to use, or with sign -1 takes that back.
func (r *fullRoom) occupy(step *tbflow.Step, sign int) {
	switch {
	case step.Lasting:
		if r.lasting[step.Image] += sign; r.lasting[step.Image] == 0 {
			delete(r.lasting, step.Image)
		}
		r.unused -= int64(sign) * int64(float64(step.Need.MilliProcessors)*lastingLoad)
	case !step.Fills:
		r.unused -= int64(sign) * step.Need.MilliProcessors
	}
}

func (r *fullRoom) spread(step stepRef, n int) {
	if r.tasks == nil {
		r.tasks = map[stepRef]int{}
	}
	r.tasks[step] += n
}

// place assigns as many tasks of a step as fit, a gang as a whole.
func (p *fullPools) place(w waitingStep, limit int) []tbflow.Assignment {
	if w.step.Gang {
		return p.placeGang(w, limit)
	}
	var plan []tbflow.Assignment
	for _, ref := range w.refs {
		if len(plan) >= limit {
			break
		}
		t := w.job.Task(ref)
		r, held := p.pinnedRoom(w, ref, t)
		if held && r == nil {
			continue
		}
		if r == nil {
			r = p.choose(w, t)
		}
		if r == nil {
			// The next task of the step needs the same and may only avoid another worker.
			if t.LastFailedOn == "" {
				break
			}
			continue
		}
		r.take(w)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: t.Run + 1, Worker: r.worker.ID, Born: r.worker.Born})
	}
	return plan
}

// pinnedRoom returns the place held for a task that is being moved, or nil while another
// task has yet to leave it, and whether there is one.
func (p *fullPools) pinnedRoom(w waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (*fullRoom, bool) {
	r := p.byWorker[p.rebalancer.pinned(p.now, p.state, ref)]
	if r == nil {
		return nil, false
	}
	r.hold(p.state, ref, -1)
	switch {
	case !w.step.Need.Fits(r.free):
		r.hold(p.state, ref, 1)
		return nil, true
	case !p.allowed(r, w, t, len(p.classes[w.job.WorkerClass])):
		return nil, false
	}
	return r, true
}

// placeGang assigns all tasks of a gang or none, under one run number.
func (p *fullPools) placeGang(w waitingStep, limit int) []tbflow.Assignment {
	tasks := w.job.Tasks[w.occurrence][w.index]
	if len(w.refs) < len(tasks) || len(w.refs) > limit {
		return nil
	}
	run := uint64(0)
	for i := range tasks {
		run = max(run, tasks[i].Run)
	}
	var plan []tbflow.Assignment
	var taken []*fullRoom
	for _, ref := range w.refs {
		r := p.choose(w, w.job.Task(ref))
		if r == nil {
			for _, r := range taken {
				r.giveBack(w)
			}
			return nil
		}
		r.take(w)
		taken = append(taken, r)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: run + 1, Worker: r.worker.ID, Born: r.worker.Born})
	}
	return plan
}

// choose returns the best room for a task, or nil.
//
// A lasting task may use the room kept for short ones when it has waited for a while
// and would fit at least twice.
func (p *fullPools) choose(w waitingStep, t *tbflow.Task) *fullRoom {
	var best, bestKept *fullRoom
	var bestScore, bestKeptScore float64
	kept := 0
	rooms := p.classes[w.job.WorkerClass]
	for _, r := range rooms {
		if !p.allowed(r, w, t, len(rooms)) {
			continue
		}
		score := p.score(r, w)
		if w.step.Lasting && !r.keepsReserve(w.step) {
			kept++
			if bestKept == nil || score > bestKeptScore {
				bestKept, bestKeptScore = r, score
			}
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	if best == nil && kept >= 2 && p.state.NowMs-t.WaitingMs > reserveHoldMs {
		return bestKept
	}
	return best
}

func (p *fullPools) allowed(r *fullRoom, w waitingStep, t *tbflow.Task, rooms int) bool {
	need := w.step.Need
	if w.step.Fills {
		need.MilliProcessors = 0
		if int64(float64(w.step.Need.MilliProcessors)*fillOvercommit) > r.unused {
			return false
		}
		if !p.bears(r, w.step) {
			return false
		}
	}
	switch {
	case !need.Fits(r.free):
		return false
	case t.LastFailedOn == r.worker.ID && rooms > 1:
		return false
	}
	return admitted(w.step, r.worker, r.tasks[w.ref()])
}

// keepsReserve reports whether a lasting task leaves room for short ones, or fits twice.
func (r *fullRoom) keepsReserve(step *tbflow.Step) bool {
	left := r.free.MilliProcessors - step.Need.MilliProcessors
	return left >= step.Need.MilliProcessors || share(left, r.worker) >= shortReserve
}

// score is higher for a better place.
func (p *fullPools) score(r *fullRoom, w waitingStep) float64 {
	score := 0.0
	if w.step.Rack != "" && r.worker.Rack != w.step.Rack {
		score -= farPenalty
	}
	if w.step.Fills {
		return score + p.fillScore(r, w)
	}
	left := r.free.Sub(w.step.Need)
	if w.step.Lasting {
		score -= colocationWeight * fullCost(p.colocation, w.step.Image, r.lasting)
	}
	return score - left.Share(r.worker.Capacity) - float64(r.worker.Failures)
}

// fillScore prefers unused processors, keeps filling images away from those that they
// harm, and leaves instances to the images that can go nowhere else.
func (p *fullPools) fillScore(r *fullRoom, w waitingStep) float64 {
	score := share(r.unused, r.worker) - float64(r.worker.Failures)
	slope := p.learner.worstSlope(r.lasting, w.step.Image)
	return score + harmWeight*slope - scarceWeight*p.scarcity(r, w)
}

// scarcity returns how much the other filling images need this room: the mean, over
// those that it suits, of the share of rooms that they harm.
func (p *fullPools) scarcity(r *fullRoom, w waitingStep) float64 {
	if p.restricted == nil {
		p.restricted = p.restrictions(p.classes[w.job.WorkerClass])
	}
	sum := 0.0
	for _, image := range slices.Sorted(maps.Keys(p.restricted)) {
		share := p.restricted[image]
		if image != w.step.Image && p.learner.worstSlope(r.lasting, image) > harmlessSlope {
			sum += share
		}
	}
	return sum / float64(max(1, len(p.restricted)))
}

// restrictions returns, for each filling image, the share of rooms that it harms.
func (p *fullPools) restrictions(rooms []*fullRoom) map[string]float64 {
	shares := map[string]float64{}
	for _, image := range p.learner.fillingImages() {
		harmed := 0
		for _, r := range rooms {
			if p.learner.worstSlope(r.lasting, image) <= harmlessSlope {
				harmed++
			}
		}
		shares[image] = float64(harmed) / float64(max(1, len(rooms)))
	}
	return shares
}

func (r *fullRoom) take(w waitingStep) { r.change(w, 1) }

func (r *fullRoom) giveBack(w waitingStep) { r.change(w, -1) }

func (r *fullRoom) change(w waitingStep, sign int) {
	need := w.step.Need
	if w.step.Fills {
		r.unused -= int64(sign) * need.MilliProcessors
		if r.contention != nil && sign > 0 {
			r.contention.add(w.step, r.worker)
		}
		need.MilliProcessors = 0
	} else {
		r.occupy(w.step, sign)
	}
	r.reserve(w.step, w.ref(), need, sign)
}

// capacity returns the processors that filling work of an image has or could have now.
func (p *fullPools) capacity(of imageOf) float64 {
	sum := p.running[of]
	for _, r := range p.classes[of.class] {
		if r.unused > 0 && p.learner.worstSlope(r.lasting, of.image) > harmlessSlope {
			sum += r.unused
		}
	}
	return float64(sum) / 1000
}

// waiting returns all steps that may start, in the order in which they should.
func (p *fullPools) waiting() []waitingStep {
	s, l := p.state, p.learner
	var all []waitingStep
	for _, j := range s.Active() {
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			all = append(all, fullWaitingOf(s, l, j, k)...)
		}
	}
	postpone(s.NowMs, all, p.capacity)
	slices.SortStableFunc(all, compareWaiting)
	return all
}

// bears reports whether the lasting tasks of a room bear another filling task.
func (p *fullPools) bears(r *fullRoom, step *tbflow.Step) bool {
	if p.learner.worstSlope(r.lasting, step.Image) > harmlessSlope {
		return true
	}
	if r.contention == nil {
		r.contention = p.learner.contentionOf(p.state, r.worker, func(run *tbfleet.Run) bool { return run.Phase != tbfleet.RunEnding })
	}
	more := share(step.Need.MilliProcessors, r.worker)
	for _, t := range r.contention.tasks {
		if r.contention.margin(t)+r.contention.slope(t, step.Image)*more < startMargin {
			return false
		}
	}
	return true
}

// fullCost returns what it costs filling work, from 0 to 1, to put a lasting image beside others.
func fullCost(c *colocation, image string, beside map[string]int) float64 {
	if len(beside) == 0 || beside[image] > 0 && len(beside) == 1 {
		return 0
	}
	if len(c.filling) == 0 {
		return unknownCost
	}
	own := c.of(image)
	sum := 0.0
	for i := range c.filling {
		worst := 0.0
		for other := range beside {
			worst = math.Max(worst, c.of(other)[i])
		}
		switch harm := own[i] - worst; {
		case math.IsNaN(harm):
			sum += unknownCost
		case harm > 0:
			sum += harm
		default:
			sum -= harm * wastedShare
		}
	}
	return sum / float64(len(c.filling))
}

// worstSlope returns the strongest effect that a filling image has on any of the lasting images.
func (l *Learner) worstSlope(lasting map[string]int, filling string) float64 {
	worst := 0.0
	for image := range lasting {
		worst = min(worst, l.slope(image, filling))
	}
	return worst
}

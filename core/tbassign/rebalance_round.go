package tbassign

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Load pattern: see rebalance.go. The search for the best of thousands of relocations blocks
// everything else that the leader does, so rating one relocation takes only two sums over the
// best-effort images that are waiting.

// rebalanceRound holds the instances and their long-running tasks by worker class, as far as
// these may be moved.
type rebalanceRound struct {
	classes map[string]*rebalanceClass
}

type rebalanceClass struct {
	colocation *colocation
	// weights are the shares of the waiting work by best-effort image, in the order of
	// colocation.bestEffort. Once they are set, all slices by image hold only the images with a
	// weight.
	weights []float64
	images  map[string]*rebalanceImage
	workers []*rebalanceWorker
	// targets are the workers that this round tries to move tasks to.
	targets []*rebalanceWorker
	// fromSums and toSums are scratch space for the tolerated sums of a pair of workers after
	// one task has moved between them.
	fromSums []float64
	toSums   []float64
}

// rebalanceImage is a long-running image.
type rebalanceImage struct {
	// tolerance is how well the image tolerates each best-effort image, from 0 to 1.
	tolerance []float64
}

// rebalanceWorker is one instance.
type rebalanceWorker struct {
	worker *tbfleet.Worker
	free   tbresource.Amount
	tasks  []*rebalanceTask
	// spreadCounts counts the tasks of steps with a spread limit.
	spreadCounts map[stepRef]int
	// reserved is the number of millicores that long-running tasks reserve.
	reserved float64
	// tolerated is the same sum for each best-effort image, weighted by how well each task
	// tolerates it.
	tolerated []float64
	// inMove is true when a relocation of this round already involves the instance.
	inMove bool
	// suitability is the result of rebalanceClass.suitability while workers are sorted by it.
	suitability float64
	// best is the best relocation of a task from this worker, or nil if it has not been
	// searched for.
	best *relocation
}

type rebalanceTask struct {
	ref     tbflow.TaskRef
	step    *tbflow.Step
	image   *rebalanceImage
	movable bool
	// tolerated is the task's part of the worker's tolerated sums.
	tolerated []float64
}

func newRebalanceRound(
	now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, lastMoved map[tbflow.TaskRef]time.Time,
	backlog map[string]map[string]float64,
) *rebalanceRound {
	g := &rebalanceRound{classes: map[string]*rebalanceClass{}}
	colocation := newColocation(l)
	for class := range backlog {
		g.classes[class] = &rebalanceClass{
			colocation: colocation, weights: make([]float64, len(colocation.bestEffort)), images: map[string]*rebalanceImage{},
		}
	}
	notRunning := stepsNotRunning(s, f)
	for _, w := range f.Workers() {
		c := g.classes[w.Class]
		if c == nil || !f.Usable(w, now) {
			continue
		}
		r := &rebalanceWorker{worker: w, free: w.Capacity.Sub(s.Usage(w.ID).Reserved),
			spreadCounts: map[stepRef]int{}, tolerated: make([]float64, len(c.weights))}
		s.EachRun(w.ID, func(ref tbflow.TaskRef, t *tbflow.Task) {
			step := s.StepOf(ref)
			if step.SpreadLimit > 0 {
				r.spreadCounts[refOfStep(ref)]++
			}
			if !step.LongRunning || s.Jobs[ref.Job].Phase.Ended() {
				return
			}
			run := w.Run(ref)
			_, onCooldown := lastMoved[ref]
			age := time.Duration(s.NowMs-t.AssignedMs) * time.Millisecond
			r.tasks = append(r.tasks, &rebalanceTask{ref: ref, step: step, image: c.image(step.Image),
				movable: !onCooldown && age > minRunTimeBeforeMove && !notRunning[refOfStep(ref)] && run != nil && run.Phase == tbfleet.RunExecuting})
		})
		slices.SortFunc(r.tasks, func(a, b *rebalanceTask) int { return compareRefs(a.ref, b.ref) })
		for _, t := range r.tasks {
			r.reserved += t.need()
			for i, tolerance := range t.image.tolerance {
				r.tolerated[i] += t.need() * tolerance
			}
		}
		c.workers = append(c.workers, r)
	}
	return g
}

func compareRefs(a, b tbflow.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// stepsNotRunning returns the long-running steps with at least one task that is not running at
// full progress.
func stepsNotRunning(s *tbflow.State, f *tbfleet.Fleet) map[stepRef]bool {
	notRunning := map[stepRef]bool{}
	for _, j := range s.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if !j.Steps[ref.Step].LongRunning || notRunning[refOfStep(ref)] {
				return
			}
			w := f.Worker(t.Worker)
			if w == nil || w.Run(ref) == nil || w.Run(ref).Progress < tbfleet.FullSpeed {
				notRunning[refOfStep(ref)] = true
			}
		})
	}
	return notRunning
}

// setWeights sets the weights of the best-effort images by the work that is waiting beyond what
// the suitable instances do within minBacklog.
func (g *rebalanceRound) setWeights(backlog map[string]map[string]float64) {
	for class, c := range g.classes {
		sum := 0.0
		for i, image := range c.colocation.bestEffort {
			suitableWork := 0.0
			for _, r := range c.workers {
				if r.reserved <= 0 || r.tolerated[i]/r.reserved > 1-minMinorityShare {
					suitableWork += float64(r.worker.Capacity.MilliProcessors) / 1000 * bestEffortShare
				}
			}
			c.weights[i] = max(0, backlog[class][image]-suitableWork*minBacklog.Seconds())
			sum += c.weights[i]
		}
		for i := range c.weights {
			c.weights[i] /= max(1, sum)
		}
		c.dropUnweighted()
	}
}

// selectTargets chooses the workers that a round tries to move tasks to; successive rounds
// choose different ones.
func (g *rebalanceRound) selectTargets(round int) {
	for _, c := range g.classes {
		c.targets = c.workers
		if n := len(c.workers); n > maxTargetsPerRound {
			first := round * maxTargetsPerRound % n
			c.targets = append(c.workers[first:n:n], c.workers[:first]...)[:maxTargetsPerRound]
		}
	}
}

// dropUnweighted removes the best-effort images without a weight and computes all sums again.
func (c *rebalanceClass) dropUnweighted() {
	keep := func(values []float64) []float64 {
		var selected []float64
		for i, w := range c.weights {
			if w > 0 {
				selected = append(selected, values[i])
			}
		}
		return selected
	}
	for _, image := range c.images {
		image.tolerance = keep(image.tolerance)
	}
	c.weights = keep(c.weights)
	n := len(c.weights)
	c.fromSums, c.toSums = make([]float64, n), make([]float64, n)
	for _, r := range c.workers {
		parts := make([]float64, n*len(r.tasks))
		r.reserved, r.tolerated = 0, make([]float64, n)
		for _, t := range r.tasks {
			t.tolerated, parts = parts[:n:n], parts[n:]
			for i, tolerance := range t.image.tolerance {
				t.tolerated[i] = t.need() * tolerance
			}
			r.add(t, 1)
		}
	}
}

func (t *rebalanceTask) need() float64 { return float64(t.step.Need.MilliProcessors) }

// add adds a long-running task to the sums of a worker or, with sign -1, removes it.
func (r *rebalanceWorker) add(t *rebalanceTask, sign float64) {
	r.reserved += sign * t.need()
	addScaled(r.tolerated, r.tolerated, t.tolerated, sign)
}

// addScaled sets dst to a + sign*b, element by element.
func addScaled(dst, a, b []float64, sign float64) {
	for i, x := range a {
		dst[i] = x + sign*b[i]
	}
}

// image returns the tolerances of a long-running image.
func (c *rebalanceClass) image(name string) *rebalanceImage {
	if cached := c.images[name]; cached != nil {
		return cached
	}
	image := &rebalanceImage{}
	for _, harm := range c.colocation.severitiesOf(name) {
		if math.IsNaN(harm) {
			harm = 1 - unknownTolerance
		}
		image.tolerance = append(image.tolerance, 1-harm)
	}
	c.images[name] = image
	return image
}

// suitability returns how well a worker suits the waiting work, from 0 to 1.
//
// The squares favour uniform workers: two workers that are each half sensitive are worth less
// than a tolerant one and a sensitive one.
func (c *rebalanceClass) suitability(r *rebalanceWorker) float64 {
	return c.suitabilityOf(r.reserved, r.tolerated)
}

func (c *rebalanceClass) suitabilityOf(reserved float64, tolerated []float64) float64 {
	sum := 0.0
	for i, w := range c.weights {
		sum += w * tolerated[i] * tolerated[i]
	}
	return normalize(sum, reserved)
}

// relocation moves one task to another worker and, unless back is nil, one task the other way.
type relocation struct {
	class    *rebalanceClass
	from, to *rebalanceWorker
	task     *rebalanceTask
	back     *rebalanceTask
	gain     float64
}

func (ch relocation) moves() []Move {
	moves := []Move{{Ref: ch.task.ref, From: ch.from.worker.ID, To: ch.to.worker.ID, Gain: ch.gain}}
	if ch.back != nil {
		moves = append(moves, Move{Ref: ch.back.ref, From: ch.to.worker.ID, To: ch.from.worker.ID, Gain: ch.gain})
	}
	return moves
}

// bestRelocation returns the relocation with the highest gain.
//
// Each source worker caches its best relocation for the next search, until a committed
// relocation invalidates it.
func (g *rebalanceRound) bestRelocation() relocation {
	var best relocation
	for _, class := range slices.Sorted(maps.Keys(g.classes)) {
		c := g.classes[class]
		for _, from := range c.mixedWorkers() {
			if from.best == nil || !from.best.isValid() {
				from.best = c.bestRelocationFrom(from)
			}
			if from.best.gain > best.gain {
				best = *from.best
			}
		}
	}
	return best
}

func (c *rebalanceClass) bestRelocationFrom(from *rebalanceWorker) *relocation {
	best := &relocation{}
	for _, to := range c.targets {
		if to != from && !to.inMove {
			c.improveBetween(best, from, to)
		}
	}
	return best
}

// isValid reports whether a cached relocation is still possible.
func (ch *relocation) isValid() bool {
	return ch.task == nil || !ch.from.inMove && !ch.to.inMove && ch.task.movable && (ch.back == nil || ch.back.movable)
}

// mixedWorkers returns the workers that are neither fully suitable nor fully unsuitable, the
// most suitable first.
func (c *rebalanceClass) mixedWorkers() []*rebalanceWorker {
	var mixed []*rebalanceWorker
	for _, r := range c.workers {
		if !r.inMove && c.isMixed(r) {
			mixed = append(mixed, r)
		}
	}
	for _, r := range mixed {
		r.suitability = c.suitability(r)
	}
	slices.SortStableFunc(mixed, func(a, b *rebalanceWorker) int { return cmp.Compare(b.suitability, a.suitability) })
	return mixed[:min(len(mixed), maxSourcesPerRound)]
}

// minMinorityShare is the share of an instance above which a minority of its long-running tasks
// counts.
const minMinorityShare = 0.02

func (c *rebalanceClass) isMixed(r *rebalanceWorker) bool {
	for i, w := range c.weights {
		if share := r.tolerated[i] / max(1, r.reserved); w > 0 && share > minMinorityShare && share < 1-minMinorityShare {
			return true
		}
	}
	return false
}

// improveBetween replaces best by a relocation between two workers that gains more, if there is
// one.
func (c *rebalanceClass) improveBetween(best *relocation, from, to *rebalanceWorker) {
	before := c.suitability(from) + c.suitability(to)
	for _, t := range from.tasks {
		if !t.movable || !to.canHost(t, from) {
			continue
		}
		reservedFrom, reservedTo := from.reserved-t.need(), to.reserved+t.need()
		addScaled(c.fromSums, from.tolerated, t.tolerated, -1)
		addScaled(c.toSums, to.tolerated, t.tolerated, 1)
		if t.step.Need.Fits(to.free) {
			if gain := c.suitabilityOf(reservedFrom, c.fromSums) + c.suitabilityOf(reservedTo, c.toSums) - before; gain > best.gain {
				*best = relocation{class: c, from: from, to: to, task: t, gain: gain}
			}
		}
		for _, u := range to.tasks {
			if !u.movable || u.image == t.image || !t.step.Need.Fits(to.free.Add(u.step.Need)) ||
				!u.step.Need.Fits(from.free.Add(t.step.Need)) || u.ref.Job == t.ref.Job || !from.canHost(u, to) {
				continue
			}
			suitabilityFrom, suitabilityTo := c.suitabilityOfBoth(reservedFrom+u.need(), reservedTo-u.need(), u.tolerated)
			if gain := suitabilityFrom + suitabilityTo - before; gain > best.gain {
				*best = relocation{class: c, from: from, to: to, task: t, back: u, gain: gain}
			}
		}
	}
}

// suitabilityOfBoth is suitabilityOf for the two workers of a swap: fromSums and toSums
// describe them after the first task has moved, and back is the task that moves the other way.
func (c *rebalanceClass) suitabilityOfBoth(reservedFrom, reservedTo float64, back []float64) (from, to float64) {
	n := len(c.weights)
	fromSums, toSums, back := c.fromSums[:n], c.toSums[:n], back[:n]
	for i, w := range c.weights {
		x, y := fromSums[i]+back[i], toSums[i]-back[i]
		from += w * x * x
		to += w * y * y
	}
	return normalize(from, reservedFrom), normalize(to, reservedTo)
}

// normalize divides a weighted sum of squares by the square of the reserved processors; it
// returns 1 if none are reserved.
func normalize(sum, reserved float64) float64 {
	if reserved <= 0 {
		return 1
	}
	return sum / (reserved * reserved)
}

// updateSums applies a relocation to the sums of both workers.
func (c *rebalanceClass) updateSums(ch relocation) {
	ch.from.add(ch.task, -1)
	ch.to.add(ch.task, 1)
	if ch.back != nil {
		ch.to.add(ch.back, -1)
		ch.from.add(ch.back, 1)
	}
}

func (g *rebalanceRound) commit(ch relocation) {
	ch.class.updateSums(ch)
	ch.from.inMove, ch.to.inMove = true, true
	// The other tasks of the same steps stay until the moved ones are running again.
	for _, c := range g.classes {
		for _, r := range c.workers {
			for _, t := range r.tasks {
				if refOfStep(t.ref) == refOfStep(ch.task.ref) || ch.back != nil && refOfStep(t.ref) == refOfStep(ch.back.ref) {
					t.movable = false
				}
			}
		}
	}
}

// canHost reports whether a task of another worker may run on this one, regardless of free
// capacity.
func (r *rebalanceWorker) canHost(t *rebalanceTask, from *rebalanceWorker) bool {
	switch {
	case t.step.Gang || t.step.RackLocal:
		return false
	case t.step.Rack != "" && from.worker.Rack == t.step.Rack && r.worker.Rack != t.step.Rack:
		return false
	}
	present := 0
	if t.step.SpreadLimit > 0 {
		present = r.spreadCounts[refOfStep(t.ref)]
	}
	return satisfiesConstraints(t.step, r.worker, present)
}

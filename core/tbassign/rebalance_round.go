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

// rebalanceRound holds the usable workers and their long-running tasks by worker class, for the
// classes in which best-effort work is waiting.
type rebalanceRound struct {
	classes map[string]*rebalanceClass
}

type rebalanceClass struct {
	severityCache *severityCache
	// weights are proportional to the waiting work by best-effort image beyond what the
	// suitable workers do within ignoredBacklog, with a sum of at most 1. They are in the order
	// of severityCache.bestEffort until setWeights drops the images of weight 0 from all slices
	// by image.
	weights []float64
	images  map[string]*rebalanceImage
	workers []*rebalanceWorker
	// destinations are the workers that this round tries to move tasks to.
	destinations []*rebalanceWorker
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

// rebalanceWorker is one worker and its long-running tasks.
type rebalanceWorker struct {
	worker *tbfleet.Worker
	free   tbresource.Amount
	tasks  []*rebalanceTask
	// spreadCounts counts the tasks of steps with a spread limit.
	spreadCounts map[stepRef]int
	// requested is the sum of the requests of the long-running tasks, in millicores.
	requested float64
	// tolerated is, for each best-effort image, the sum of the same requests, each weighted by
	// the task's tolerance of the image.
	tolerated []float64
	// isMoving is true when a relocation of this or an earlier round involves the worker.
	isMoving bool
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
	rr := &rebalanceRound{classes: map[string]*rebalanceClass{}}
	cache := newSeverityCache(l)
	for class := range backlog {
		rr.classes[class] = &rebalanceClass{
			severityCache: cache, weights: make([]float64, len(cache.bestEffort)), images: map[string]*rebalanceImage{},
		}
	}
	notRunning := stepsNotRunning(s, f)
	for _, w := range f.Workers() {
		c := rr.classes[w.Class]
		if c == nil || !f.Usable(w, now) {
			continue
		}
		r := &rebalanceWorker{worker: w, free: w.Capacity.Sub(s.Usage(w.ID).Reserved),
			spreadCounts: map[stepRef]int{}, tolerated: make([]float64, len(c.weights))}
		s.EachRun(w.ID, func(ref tbflow.TaskRef, t *tbflow.Task) {
			step := s.StepOf(ref)
			if step.SpreadLimit > 0 {
				r.spreadCounts[stepRefOf(ref)]++
			}
			if !step.LongRunning || s.Jobs[ref.Job].Phase.Ended() {
				return
			}
			run := w.Run(ref)
			_, onCooldown := lastMoved[ref]
			age := time.Duration(s.NowMs-t.AssignedMs) * time.Millisecond
			r.tasks = append(r.tasks, &rebalanceTask{ref: ref, step: step, image: c.imageOf(step.Image),
				movable: !onCooldown && age > minRunTimeBeforeMove && !notRunning[stepRefOf(ref)] && run != nil && run.Phase == tbfleet.RunExecuting})
		})
		slices.SortFunc(r.tasks, func(a, b *rebalanceTask) int { return compareRefs(a.ref, b.ref) })
		for _, t := range r.tasks {
			r.requested += t.need()
			for i, tolerance := range t.image.tolerance {
				r.tolerated[i] += t.need() * tolerance
			}
		}
		c.workers = append(c.workers, r)
	}
	return rr
}

func compareRefs(a, b tbflow.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// stepsNotRunning returns the long-running steps with at least one task whose progress is not
// known to be 100 percent.
func stepsNotRunning(s *tbflow.State, f *tbfleet.Fleet) map[stepRef]bool {
	notRunning := map[stepRef]bool{}
	for _, j := range s.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if !j.Steps[ref.Step].LongRunning || notRunning[stepRefOf(ref)] {
				return
			}
			w := f.Worker(t.Worker)
			if w == nil || w.Run(ref) == nil || w.Run(ref).Progress < tbfleet.FullSpeed {
				notRunning[stepRefOf(ref)] = true
			}
		})
	}
	return notRunning
}

// setWeights sets the weights of the best-effort images by the work that is waiting beyond what
// the suitable workers do within ignoredBacklog, and drops the images of weight 0.
func (rr *rebalanceRound) setWeights(backlog map[string]map[string]float64) {
	for class, c := range rr.classes {
		sum := 0.0
		for i, image := range c.severityCache.bestEffort {
			suitableWork := 0.0
			for _, r := range c.workers {
				if r.requested <= 0 || r.tolerated[i]/r.requested > 1-minMinorityShare {
					suitableWork += float64(r.worker.Capacity.MilliProcessors) / 1000 * bestEffortShare
				}
			}
			c.weights[i] = max(0, backlog[class][image]-suitableWork*ignoredBacklog.Seconds())
			sum += c.weights[i]
		}
		for i := range c.weights {
			c.weights[i] /= max(1, sum)
		}
		c.dropUnweighted()
	}
}

// selectDestinations chooses the workers that a round tries to move tasks to; successive rounds
// choose different ones.
func (rr *rebalanceRound) selectDestinations(round int) {
	for _, c := range rr.classes {
		c.destinations = c.workers
		if n := len(c.workers); n > maxDestinationsPerRound {
			first := round * maxDestinationsPerRound % n
			c.destinations = append(c.workers[first:n:n], c.workers[:first]...)[:maxDestinationsPerRound]
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
		r.requested, r.tolerated = 0, make([]float64, n)
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
	r.requested += sign * t.need()
	addScaled(r.tolerated, r.tolerated, t.tolerated, sign)
}

// addScaled sets dst to a + sign*b, element by element.
func addScaled(dst, a, b []float64, sign float64) {
	for i, x := range a {
		dst[i] = x + sign*b[i]
	}
}

// imageOf returns a long-running image with its tolerances, which are computed once.
func (c *rebalanceClass) imageOf(name string) *rebalanceImage {
	if cached := c.images[name]; cached != nil {
		return cached
	}
	image := &rebalanceImage{}
	for _, harm := range c.severityCache.severitiesOf(name) {
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
	return c.suitabilityOf(r.requested, r.tolerated)
}

func (c *rebalanceClass) suitabilityOf(requested float64, tolerated []float64) float64 {
	sum := 0.0
	for i, w := range c.weights {
		sum += w * tolerated[i] * tolerated[i]
	}
	return normalize(sum, requested)
}

// relocation moves one task to another worker and, unless back is nil, one task the other way.
type relocation struct {
	class    *rebalanceClass
	from, to *rebalanceWorker
	task     *rebalanceTask
	back     *rebalanceTask
	gain     float64
}

func (rel relocation) moves() []Move {
	moves := []Move{{Ref: rel.task.ref, From: rel.from.worker.ID, To: rel.to.worker.ID, Gain: rel.gain}}
	if rel.back != nil {
		moves = append(moves, Move{Ref: rel.back.ref, From: rel.to.worker.ID, To: rel.from.worker.ID, Gain: rel.gain})
	}
	return moves
}

// bestRelocation returns the relocation with the highest gain; its gain is 0 if there is none.
//
// Each source worker caches its best relocation for the next search, until an applied
// relocation invalidates it.
func (rr *rebalanceRound) bestRelocation() relocation {
	var best relocation
	for _, class := range slices.Sorted(maps.Keys(rr.classes)) {
		c := rr.classes[class]
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
	for _, to := range c.destinations {
		if to != from && !to.isMoving {
			c.improveBetween(best, from, to)
		}
	}
	return best
}

// isValid reports whether a cached relocation is still possible.
func (rel *relocation) isValid() bool {
	return rel.task == nil || !rel.from.isMoving && !rel.to.isMoving && rel.task.movable && (rel.back == nil || rel.back.movable)
}

// mixedWorkers returns at most maxSourcesPerRound of the workers that are neither fully
// suitable nor fully unsuitable, the most suitable first.
func (c *rebalanceClass) mixedWorkers() []*rebalanceWorker {
	var mixed []*rebalanceWorker
	for _, r := range c.workers {
		if !r.isMoving && c.isMixed(r) {
			mixed = append(mixed, r)
		}
	}
	for _, r := range mixed {
		r.suitability = c.suitability(r)
	}
	slices.SortStableFunc(mixed, func(a, b *rebalanceWorker) int { return cmp.Compare(b.suitability, a.suitability) })
	return mixed[:min(len(mixed), maxSourcesPerRound)]
}

// minMinorityShare is the smallest share of a worker's requested processors at which a minority
// of tolerant or of sensitive tasks counts. A worker is mixed if, for some best-effort image,
// more than this share and less than 1 minus this share is tolerated.
const minMinorityShare = 0.02

func (c *rebalanceClass) isMixed(r *rebalanceWorker) bool {
	for i, w := range c.weights {
		if share := r.tolerated[i] / max(1, r.requested); w > 0 && share > minMinorityShare && share < 1-minMinorityShare {
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
		requestedFrom, requestedTo := from.requested-t.need(), to.requested+t.need()
		addScaled(c.fromSums, from.tolerated, t.tolerated, -1)
		addScaled(c.toSums, to.tolerated, t.tolerated, 1)
		if t.step.Need.Fits(to.free) {
			if gain := c.suitabilityOf(requestedFrom, c.fromSums) + c.suitabilityOf(requestedTo, c.toSums) - before; gain > best.gain {
				*best = relocation{class: c, from: from, to: to, task: t, gain: gain}
			}
		}
		for _, other := range to.tasks {
			if !other.movable || other.image == t.image || !t.step.Need.Fits(to.free.Add(other.step.Need)) ||
				!other.step.Need.Fits(from.free.Add(t.step.Need)) || other.ref.Job == t.ref.Job || !from.canHost(other, to) {
				continue
			}
			suitabilityFrom, suitabilityTo := c.suitabilityOfBoth(requestedFrom+other.need(), requestedTo-other.need(), other.tolerated)
			if gain := suitabilityFrom + suitabilityTo - before; gain > best.gain {
				*best = relocation{class: c, from: from, to: to, task: t, back: other, gain: gain}
			}
		}
	}
}

// suitabilityOfBoth is suitabilityOf for the two workers of a swap: fromSums and toSums
// describe them after the first task has moved, and back is the task that moves the other way.
func (c *rebalanceClass) suitabilityOfBoth(requestedFrom, requestedTo float64, back []float64) (from, to float64) {
	n := len(c.weights)
	fromSums, toSums, back := c.fromSums[:n], c.toSums[:n], back[:n]
	for i, w := range c.weights {
		x, y := fromSums[i]+back[i], toSums[i]-back[i]
		from += w * x * x
		to += w * y * y
	}
	return normalize(from, requestedFrom), normalize(to, requestedTo)
}

// normalize divides a weighted sum of squares by the square of the requested processors; it
// returns 1 if none are requested.
func normalize(sum, requested float64) float64 {
	if requested <= 0 {
		return 1
	}
	return sum / (requested * requested)
}

// updateSums applies a relocation to the sums of both workers.
func (c *rebalanceClass) updateSums(rel relocation) {
	rel.from.add(rel.task, -1)
	rel.to.add(rel.task, 1)
	if rel.back != nil {
		rel.to.add(rel.back, -1)
		rel.from.add(rel.back, 1)
	}
}

func (rr *rebalanceRound) apply(rel relocation) {
	rel.class.updateSums(rel)
	rel.from.isMoving, rel.to.isMoving = true, true
	// The other tasks of the same steps stay until the moved ones are running again.
	for _, c := range rr.classes {
		for _, r := range c.workers {
			for _, t := range r.tasks {
				if stepRefOf(t.ref) == stepRefOf(rel.task.ref) || rel.back != nil && stepRefOf(t.ref) == stepRefOf(rel.back.ref) {
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
		present = r.spreadCounts[stepRefOf(t.ref)]
	}
	return satisfiesConstraints(t.step, r.worker, present)
}

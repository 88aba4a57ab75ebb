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

// rebalance.go describes why relocations are needed. The search for the best of thousands of
// relocations blocks everything else that the leader does. Rating one relocation must therefore be
// fast: it takes only two sums over the best-effort images that are waiting.

// rebalanceRound holds the worker classes in which best-effort work is waiting. Each class has its
// usable workers and their long-running tasks.
type rebalanceRound struct {
	classesByName map[string]*rebalanceClass
	// consideredShare is the share of the fleet that the round considers, from 0 to 1.
	consideredShare float64
}

type rebalanceClass struct {
	severityCache *severityCache
	// weights holds a weight for each best-effort image, with a sum of at most 1. A weight is
	// proportional to the waiting work that is left after the suitable workers have worked for
	// ignoredDrainTime. The order is that of severityCache.bestEffortImages until setWeights drops
	// the images of weight 0. It drops them from weights and from all other slices by image.
	weights      []float64
	imagesByName map[string]*rebalanceImage
	workers      []*rebalanceWorker
	// destinations holds the workers to which this round tries to move tasks.
	destinations []*rebalanceWorker
	// fromSums and toSums are scratch space. They hold the tolerated sums of two workers after one
	// task has moved from the first worker to the second.
	fromSums []float64
	toSums   []float64
}

// rebalanceImage is a long-running image.
type rebalanceImage struct {
	// tolerances holds how well the image tolerates each best-effort image, from 0 to 1.
	tolerances []float64
}

// rebalanceWorker is one worker with its long-running tasks.
type rebalanceWorker struct {
	worker *tbfleet.Worker
	free   tbresource.Amount
	tasks  []*rebalanceTask
	// spreadCounts holds the number of tasks on the worker for each step with a spread limit.
	spreadCounts map[stepRef]int
	// requestedMillicores is the sum of the processors that the long-running tasks request, in
	// millicores.
	requestedMillicores float64
	// toleratedSums holds one sum for each best-effort image: the request of each long-running task
	// times its tolerance of the image.
	toleratedSums []float64
	// inRelocation is true if a relocation of this round or an unfinished one of an earlier round
	// involves the worker.
	inRelocation bool
	// suitability says how well the worker suits the waiting best-effort images, from 0 to 1.
	// mixedWorkers computes it with rebalanceClass.suitability to sort the workers.
	suitability float64
	// bestRelocation is the best relocation of a task from this worker. It is nil until it has
	// been searched for.
	bestRelocation *relocation
}

type rebalanceTask struct {
	ref     tbflow.TaskRef
	step    *tbflow.Step
	image   *rebalanceImage
	movable bool
	// toleratedParts holds what the task adds to each of the worker's toleratedSums.
	toleratedParts []float64
}

func newRebalanceRound(
	now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, g *Rebalancer, backlog map[string]map[string]float64,
) *rebalanceRound {
	rr := &rebalanceRound{classesByName: map[string]*rebalanceClass{}}
	cache := newSeverityCache(l)
	for class := range backlog {
		rr.classesByName[class] = &rebalanceClass{
			severityCache: cache, weights: make([]float64, len(cache.bestEffortImages)), imagesByName: map[string]*rebalanceImage{},
		}
	}
	notRunningSteps := stepsNotRunning(s, f)
	nowMs := s.TimeAt(now)
	for _, w := range rr.selectWorkers(f, g.roundNumber) {
		c := rr.classesByName[w.Class]
		if c == nil || !f.Usable(w, now) || s.IsEvacuated(w.DataCentre) {
			continue
		}
		r := &rebalanceWorker{worker: w, free: w.Capacity.Sub(s.Usage(w.ID).Reserved),
			spreadCounts: map[stepRef]int{}, toleratedSums: make([]float64, len(c.weights))}
		s.EachRun(w.ID, func(ref tbflow.TaskRef, t *tbflow.Task) {
			step := s.StepOf(ref)
			if step.SpreadLimit > 0 {
				r.spreadCounts[stepRefOf(ref)]++
			}
			if !step.LongRunning || s.Jobs[ref.Job].Phase.Ended() {
				return
			}
			run := w.Run(ref)
			_, onCooldown := g.movePlannedAt[ref]
			age := time.Duration(nowMs-t.AssignedMs) * time.Millisecond
			r.tasks = append(r.tasks, &rebalanceTask{ref: ref, step: step, image: c.imageOf(step.Image),
				movable: !onCooldown && !s.IsBound(ref) && age > minRunTimeBeforeMove && !notRunningSteps[stepRefOf(ref)] && run != nil && run.Phase == tbfleet.RunExecuting})
		})
		slices.SortFunc(r.tasks, func(a, b *rebalanceTask) int { return compareRefs(a.ref, b.ref) })
		for _, t := range r.tasks {
			r.requestedMillicores += t.neededMillicores()
			for i, tolerance := range t.image.tolerances {
				r.toleratedSums[i] += t.neededMillicores() * tolerance
			}
		}
		c.workers = append(c.workers, r)
	}
	return rr
}

// selectWorkers returns the workers that a round considers. Successive rounds consider different
// workers of a large fleet.
func (rr *rebalanceRound) selectWorkers(f *tbfleet.Fleet, roundNumber int) []*tbfleet.Worker {
	workers := f.Workers()
	rr.consideredShare = 1
	n := len(workers)
	if n <= maxWorkersPerRound {
		return workers
	}
	rr.consideredShare = float64(maxWorkersPerRound) / float64(n)
	firstIndex := roundNumber * maxWorkersPerRound % n
	return append(workers[firstIndex:n:n], workers[:firstIndex]...)[:maxWorkersPerRound]
}

func compareRefs(a, b tbflow.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// stepsNotRunning returns the long-running steps with at least one task whose progress is not
// known to be 100 percent.
func stepsNotRunning(s *tbflow.State, f *tbfleet.Fleet) map[stepRef]bool {
	notRunningSteps := map[stepRef]bool{}
	for _, j := range s.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if !j.Steps[ref.Step].LongRunning || notRunningSteps[stepRefOf(ref)] {
				return
			}
			w := f.Worker(t.Worker)
			if w == nil || w.Run(ref) == nil || w.Run(ref).Progress < tbfleet.FullSpeed {
				notRunningSteps[stepRefOf(ref)] = true
			}
		})
	}
	return notRunningSteps
}

// setWeights computes the weights of the best-effort images from the waiting work, less the work
// that suitable workers can do within ignoredDrainTime. It then drops the images of weight 0.
func (rr *rebalanceRound) setWeights(backlog map[string]map[string]float64) {
	for class, c := range rr.classesByName {
		weightSum := 0.0
		for i, image := range c.severityCache.bestEffortImages {
			suitableWork := 0.0
			for _, r := range c.workers {
				if r.requestedMillicores <= 0 || r.toleratedSums[i]/r.requestedMillicores > 1-minMinorityShare {
					suitableWork += float64(r.worker.Capacity.MilliProcessors) / 1000 * bestEffortProcessorShare
				}
			}
			c.weights[i] = max(0, backlog[class][image]*rr.consideredShare-suitableWork*ignoredDrainTime.Seconds())
			weightSum += c.weights[i]
		}
		for i := range c.weights {
			c.weights[i] /= max(1, weightSum)
		}
		c.dropUnweighted()
	}
}

// selectDestinations chooses the workers to which a round tries to move tasks. Successive rounds
// choose different workers of a large class.
func (rr *rebalanceRound) selectDestinations(roundNumber int) {
	for _, c := range rr.classesByName {
		c.destinations = c.workers
		if n := len(c.workers); n > maxDestinationsPerRound {
			firstIndex := roundNumber * maxDestinationsPerRound % n
			c.destinations = append(c.workers[firstIndex:n:n], c.workers[:firstIndex]...)[:maxDestinationsPerRound]
		}
	}
}

// dropUnweighted removes the best-effort images of weight 0 and computes all sums again.
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
	for _, image := range c.imagesByName {
		image.tolerances = keep(image.tolerances)
	}
	c.weights = keep(c.weights)
	n := len(c.weights)
	c.fromSums, c.toSums = make([]float64, n), make([]float64, n)
	for _, r := range c.workers {
		parts := make([]float64, n*len(r.tasks))
		r.requestedMillicores, r.toleratedSums = 0, make([]float64, n)
		for _, t := range r.tasks {
			t.toleratedParts, parts = parts[:n:n], parts[n:]
			for i, tolerance := range t.image.tolerances {
				t.toleratedParts[i] = t.neededMillicores() * tolerance
			}
			r.addToSums(t, 1)
		}
	}
}

func (t *rebalanceTask) neededMillicores() float64 { return float64(t.step.Need.MilliProcessors) }

// addToSums adds a long-running task to the sums of a worker. With sign -1, it subtracts the task.
func (r *rebalanceWorker) addToSums(t *rebalanceTask, sign float64) {
	r.requestedMillicores += sign * t.neededMillicores()
	addScaled(r.toleratedSums, r.toleratedSums, t.toleratedParts, sign)
}

// addScaled sets dst to a + sign*b, element by element.
func addScaled(dst, a, b []float64, sign float64) {
	for i, x := range a {
		dst[i] = x + sign*b[i]
	}
}

// imageOf returns a long-running image with its tolerances, which are computed in the first call
// for the image.
func (c *rebalanceClass) imageOf(name string) *rebalanceImage {
	if cached := c.imagesByName[name]; cached != nil {
		return cached
	}
	image := &rebalanceImage{}
	for _, severity := range c.severityCache.severitiesOf(name) {
		if math.IsNaN(severity) {
			severity = 1 - unknownTolerance
		}
		image.tolerances = append(image.tolerances, 1-severity)
	}
	c.imagesByName[name] = image
	return image
}

// suitability returns how well a worker suits the waiting work, from 0 to 1.
//
// Tolerated sums are squared to favour uniform workers. Two workers with half sensitive and half
// tolerant tasks are together worth less than one sensitive and one tolerant worker.
func (c *rebalanceClass) suitability(r *rebalanceWorker) float64 {
	return c.suitabilityOf(r.requestedMillicores, r.toleratedSums)
}

func (c *rebalanceClass) suitabilityOf(requested float64, tolerated []float64) float64 {
	sum := 0.0
	for i, w := range c.weights {
		sum += w * tolerated[i] * tolerated[i]
	}
	return normalize(sum, requested)
}

// relocation moves task from one worker to another. If swapTask is not nil, the relocation is a
// swap: swapTask moves in the opposite direction.
type relocation struct {
	class    *rebalanceClass
	from, to *rebalanceWorker
	task     *rebalanceTask
	swapTask *rebalanceTask
	gain     float64
}

func (rel relocation) moves() []Move {
	moves := []Move{{Ref: rel.task.ref, From: rel.from.worker.ID, To: rel.to.worker.ID, Gain: rel.gain}}
	if rel.swapTask != nil {
		moves = append(moves, Move{Ref: rel.swapTask.ref, From: rel.to.worker.ID, To: rel.from.worker.ID, Gain: rel.gain})
	}
	return moves
}

// bestRelocation returns the relocation with the highest gain. If no relocation has a gain above
// 0, it returns the zero relocation.
//
// The best relocation from each source worker is cached. It is searched for again only after an
// applied relocation has made the cached one impossible.
func (rr *rebalanceRound) bestRelocation() relocation {
	var best relocation
	for _, class := range slices.Sorted(maps.Keys(rr.classesByName)) {
		c := rr.classesByName[class]
		for _, from := range c.mixedWorkers() {
			if from.bestRelocation == nil || !from.bestRelocation.isValid() {
				from.bestRelocation = c.bestRelocationFrom(from)
			}
			if from.bestRelocation.gain > best.gain {
				best = *from.bestRelocation
			}
		}
	}
	return best
}

func (c *rebalanceClass) bestRelocationFrom(from *rebalanceWorker) *relocation {
	best := &relocation{}
	for _, to := range c.destinations {
		if to != from && !to.inRelocation {
			c.improveBetween(best, from, to)
		}
	}
	return best
}

// isValid reports whether a cached relocation is still possible. A cached result without a
// relocation stays valid.
func (rel *relocation) isValid() bool {
	return rel.task == nil || !rel.from.inRelocation && !rel.to.inRelocation && rel.task.movable && (rel.swapTask == nil || rel.swapTask.movable)
}

// mixedWorkers returns mixed workers (see minMinorityShare), the most suitable first, at most
// maxSourcesPerSearch of them. Workers in a relocation are left out.
func (c *rebalanceClass) mixedWorkers() []*rebalanceWorker {
	var mixed []*rebalanceWorker
	for _, r := range c.workers {
		if !r.inRelocation && c.isMixed(r) {
			mixed = append(mixed, r)
		}
	}
	for _, r := range mixed {
		r.suitability = c.suitability(r)
	}
	slices.SortStableFunc(mixed, func(a, b *rebalanceWorker) int { return cmp.Compare(b.suitability, a.suitability) })
	return mixed[:min(len(mixed), maxSourcesPerSearch)]
}

// A worker is mixed if, for some best-effort image, the tolerated share of its requested
// processors is more than minMinorityShare and less than 1 minus minMinorityShare. A smaller
// minority of tolerant or sensitive tasks is ignored.
const minMinorityShare = 0.02

func (c *rebalanceClass) isMixed(r *rebalanceWorker) bool {
	for i, w := range c.weights {
		if share := r.toleratedSums[i] / max(1, r.requestedMillicores); w > 0 && share > minMinorityShare && share < 1-minMinorityShare {
			return true
		}
	}
	return false
}

// improveBetween replaces best by the relocation between two workers with the highest gain, if
// that gain is higher than the gain of best.
func (c *rebalanceClass) improveBetween(best *relocation, from, to *rebalanceWorker) {
	suitabilityBefore := c.suitability(from) + c.suitability(to)
	for _, t := range from.tasks {
		if !t.movable || !to.canHost(t, from) {
			continue
		}
		requestedFrom, requestedTo := from.requestedMillicores-t.neededMillicores(), to.requestedMillicores+t.neededMillicores()
		addScaled(c.fromSums, from.toleratedSums, t.toleratedParts, -1)
		addScaled(c.toSums, to.toleratedSums, t.toleratedParts, 1)
		if t.step.Need.Fits(to.free) {
			if gain := c.suitabilityOf(requestedFrom, c.fromSums) + c.suitabilityOf(requestedTo, c.toSums) - suitabilityBefore; gain > best.gain {
				*best = relocation{class: c, from: from, to: to, task: t, gain: gain}
			}
		}
		for _, other := range to.tasks {
			if !other.movable || other.image == t.image || !t.step.Need.Fits(to.free.Add(other.step.Need)) ||
				!other.step.Need.Fits(from.free.Add(t.step.Need)) || other.ref.Job == t.ref.Job || !from.canHost(other, to) {
				continue
			}
			suitabilityFrom, suitabilityTo := c.suitabilityOfBoth(requestedFrom+other.neededMillicores(), requestedTo-other.neededMillicores(), other.toleratedParts)
			if gain := suitabilityFrom + suitabilityTo - suitabilityBefore; gain > best.gain {
				*best = relocation{class: c, from: from, to: to, task: t, swapTask: other, gain: gain}
			}
		}
	}
}

// suitabilityOfBoth returns the suitabilities of the two workers of a swap. fromSums and toSums
// hold their sums after the first task has moved; back holds the toleratedParts of the task that
// moves in the opposite direction.
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

// normalize divides a weighted sum of squares by the square of the requested processors. It
// returns 1 if no processors are requested.
func normalize(sum, requested float64) float64 {
	if requested <= 0 {
		return 1
	}
	return sum / (requested * requested)
}

// updateSums applies a relocation to the sums of its two workers.
func (c *rebalanceClass) updateSums(rel relocation) {
	rel.from.addToSums(rel.task, -1)
	rel.to.addToSums(rel.task, 1)
	if rel.swapTask != nil {
		rel.to.addToSums(rel.swapTask, -1)
		rel.from.addToSums(rel.swapTask, 1)
	}
}

func (rr *rebalanceRound) apply(rel relocation) {
	rel.class.updateSums(rel)
	rel.from.inRelocation, rel.to.inRelocation = true, true
	// Only one task of a step may be interrupted at a time. In later rounds, stepsNotRunning keeps
	// the other tasks in place until the moved tasks are running again.
	for _, c := range rr.classesByName {
		for _, r := range c.workers {
			for _, t := range r.tasks {
				if stepRefOf(t.ref) == stepRefOf(rel.task.ref) || rel.swapTask != nil && stepRefOf(t.ref) == stepRefOf(rel.swapTask.ref) {
					t.movable = false
				}
			}
		}
	}
}

// canHost reports whether a task of the worker from may run on r, regardless of free capacity.
func (r *rebalanceWorker) canHost(t *rebalanceTask, from *rebalanceWorker) bool {
	switch {
	case t.step.Gang || t.step.RackLocal:
		return false
	case t.step.Rack != "" && from.worker.Rack == t.step.Rack && r.worker.Rack != t.step.Rack:
		return false
	}
	presentTasks := 0
	if t.step.SpreadLimit > 0 {
		presentTasks = r.spreadCounts[stepRefOf(t.ref)]
	}
	return satisfiesConstraints(t.step, r.worker, presentTasks)
}

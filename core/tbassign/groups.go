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

// Load pattern: that of rebalancing. The best of thousands of changes is looked for while
// everything else of the leader waits, so that each is only two sums over the filling
// images that wait.

// groups are the instances with their lasting tasks, as far as these may be moved.
type groups struct {
	class map[string]*classGroups
}

type classGroups struct {
	colocation *colocation
	// weights are the shares of the waiting work by filling image, in the order of
	// colocation.filling; once these are set, all figures are of the images with a weight.
	weights []float64
	images  map[string]*groupImage
	rooms   []*groupRoom
	// targets are the rooms that this round tries to move tasks to.
	targets []*groupRoom
	// without and with hold a pair of rooms between which one task has moved.
	without []float64
	with    []float64
}

// groupImage is a lasting image.
type groupImage struct {
	// tolerance tells how well each filling image is borne, from 0 to 1.
	tolerance []float64
}

// groupRoom is one instance.
type groupRoom struct {
	worker *tbfleet.Worker
	free   tbresource.Amount
	tasks  []*groupTask
	// steps counts the tasks of steps with a spread limit.
	steps map[stepRef]int
	// lasting is the sum of processors that lasting tasks reserve.
	lasting float64
	// tolerant sums the same, weighted by how well each filling image is borne.
	tolerant []float64
	// busy is true when a change in this round already involves the instance.
	busy bool
	// suits is how well the room suits the waiting work while rooms are put in order by it.
	suits float64
	// best is the best change that moves a task from here, once it was looked for.
	best *change
}

type groupTask struct {
	ref     tbflow.TaskRef
	step    *tbflow.Step
	image   *groupImage
	movable bool
	// tolerant is its part of the room's sums.
	tolerant []float64
}

func newGroups(
	now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, moved map[tbflow.TaskRef]time.Time,
	demand map[string]map[string]float64,
) *groups {
	g := &groups{class: map[string]*classGroups{}}
	colocation := newColocation(l)
	for class := range demand {
		g.class[class] = &classGroups{
			colocation: colocation, weights: make([]float64, len(colocation.filling)), images: map[string]*groupImage{},
		}
	}
	away := tasksAway(s, f)
	for _, w := range f.Workers() {
		c := g.class[w.Class]
		if c == nil || !f.Usable(w, now) {
			continue
		}
		r := &groupRoom{worker: w, free: w.Capacity.Sub(s.Use(w.ID).Reserved), steps: map[stepRef]int{}, tolerant: make([]float64, len(c.weights))}
		s.EachRun(w.ID, func(ref tbflow.TaskRef, t *tbflow.Task) {
			step := s.StepOf(ref)
			if step.SpreadLimit > 0 {
				r.steps[refOfStep(ref)]++
			}
			if !step.Lasting || s.Jobs[ref.Job].Phase.Ended() {
				return
			}
			run := w.Run(ref)
			_, rests := moved[ref]
			age := time.Duration(s.NowMs-t.AssignedMs) * time.Millisecond
			r.tasks = append(r.tasks, &groupTask{ref: ref, step: step, image: c.image(step.Image),
				movable: !rests && age > settledAfter && !away[refOfStep(ref)] && run != nil && run.Phase == tbfleet.RunGoingOn})
		})
		slices.SortFunc(r.tasks, func(a, b *groupTask) int { return compareRefs(a.ref, b.ref) })
		for _, t := range r.tasks {
			r.lasting += t.need()
			for i, tolerance := range t.image.tolerance {
				r.tolerant[i] += t.need() * tolerance
			}
		}
		c.rooms = append(c.rooms, r)
	}
	return g
}

func compareRefs(a, b tbflow.TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Index, b.Index))
}

// tasksAway returns the lasting steps of which some task is not at work.
func tasksAway(s *tbflow.State, f *tbfleet.Fleet) map[stepRef]bool {
	away := map[stepRef]bool{}
	for _, j := range s.Active() {
		j.EachTask(func(ref tbflow.TaskRef, t *tbflow.Task) {
			if !j.Steps[ref.Step].Lasting || away[refOfStep(ref)] {
				return
			}
			w := f.Worker(t.Worker)
			if w == nil || w.Run(ref) == nil || w.Run(ref).Percent < tbfleet.FullPace {
				away[refOfStep(ref)] = true
			}
		})
	}
	return away
}

// weigh sets the weights of filling images to the work that waits beyond what the
// instances that suit them do within a moment.
func (g *groups) weigh(demand map[string]map[string]float64) {
	for class, c := range g.class {
		sum := 0.0
		for i, image := range c.colocation.filling {
			suited := 0.0
			for _, r := range c.rooms {
				if r.lasting <= 0 || r.tolerant[i]/r.lasting > 1-mixedShare {
					suited += float64(r.worker.Capacity.MilliProcessors) / 1000 * fillShare
				}
			}
			c.weights[i] = max(0, demand[class][image]-suited*shortBacklog.Seconds())
			sum += c.weights[i]
		}
		for i := range c.weights {
			c.weights[i] /= max(1, sum)
		}
		c.keepWeighted()
	}
}

// aim chooses the rooms that a round tries to move tasks to, others in each round.
func (g *groups) aim(round int) {
	for _, c := range g.class {
		c.targets = c.rooms
		if n := len(c.rooms); n > rebalanceTargets {
			first := round * rebalanceTargets % n
			c.targets = append(c.rooms[first:n:n], c.rooms[:first]...)[:rebalanceTargets]
		}
	}
}

// keepWeighted drops the filling images without a weight and counts again what is left.
func (c *classGroups) keepWeighted() {
	keep := func(figures []float64) []float64 {
		var kept []float64
		for i, w := range c.weights {
			if w > 0 {
				kept = append(kept, figures[i])
			}
		}
		return kept
	}
	for _, image := range c.images {
		image.tolerance = keep(image.tolerance)
	}
	c.weights = keep(c.weights)
	n := len(c.weights)
	c.without, c.with = make([]float64, n), make([]float64, n)
	for _, r := range c.rooms {
		parts := make([]float64, n*len(r.tasks))
		r.lasting, r.tolerant = 0, make([]float64, n)
		for _, t := range r.tasks {
			t.tolerant, parts = parts[:n:n], parts[n:]
			for i, tolerance := range t.image.tolerance {
				t.tolerant[i] = t.need() * tolerance
			}
			r.add(t, 1)
		}
	}
}

func (t *groupTask) need() float64 { return float64(t.step.Need.MilliProcessors) }

// add counts a lasting task in or out of a room.
func (r *groupRoom) add(t *groupTask, sign float64) {
	r.lasting += sign * t.need()
	addAll(r.tolerant, r.tolerant, t.tolerant, sign)
}

// addAll sets sums to the figures a and, by their sign, b.
func addAll(sums, a, b []float64, sign float64) {
	for i, x := range a {
		sums[i] = x + sign*b[i]
	}
}

// image returns how well a lasting image bears each filling one.
func (c *classGroups) image(name string) *groupImage {
	if known := c.images[name]; known != nil {
		return known
	}
	image := &groupImage{}
	for _, harm := range c.colocation.of(name) {
		if math.IsNaN(harm) {
			harm = 1 - unknownTolerance
		}
		image.tolerance = append(image.tolerance, 1-harm)
	}
	c.images[name] = image
	return image
}

// suits returns how well a room suits the waiting work, from 0 to 1.
//
// The square rewards rooms of one kind: two rooms half of which is sensitive are worth
// less than a tough one and a sensitive one.
func (c *classGroups) suits(r *groupRoom) float64 { return c.suitsOf(r.lasting, r.tolerant) }

func (c *classGroups) suitsOf(lasting float64, tolerant []float64) float64 {
	sum := 0.0
	for i, w := range c.weights {
		sum += w * tolerant[i] * tolerant[i]
	}
	return orAll(sum, lasting)
}

// change is a task that moves from one room to another and, unless back is nil, one that moves the other way.
type change struct {
	class    *classGroups
	from, to *groupRoom
	task     *groupTask
	back     *groupTask
	gain     float64
}

func (ch change) moves() []Move {
	moves := []Move{{Ref: ch.task.ref, From: ch.from.worker.ID, To: ch.to.worker.ID, Gain: ch.gain}}
	if ch.back != nil {
		moves = append(moves, Move{Ref: ch.back.ref, From: ch.to.worker.ID, To: ch.from.worker.ID, Gain: ch.gain})
	}
	return moves
}

// best returns the change with the highest gain.
//
// Of the rooms from which tasks may move, each remembers its best change for the next
// best one, as long as nothing that was carried out in between concerns it.
func (g *groups) best() change {
	var best change
	for _, class := range slices.Sorted(maps.Keys(g.class)) {
		c := g.class[class]
		for _, from := range c.mixed() {
			if from.best == nil || !from.best.possible() {
				from.best = c.bestFrom(from)
			}
			if from.best.gain > best.gain {
				best = *from.best
			}
		}
	}
	return best
}

func (c *classGroups) bestFrom(from *groupRoom) *change {
	best := &change{}
	for _, to := range c.targets {
		if to != from && !to.busy {
			c.improve(best, from, to)
		}
	}
	return best
}

// possible reports whether both rooms and all tasks of a change are as they were.
func (ch *change) possible() bool {
	return ch.task == nil || !ch.from.busy && !ch.to.busy && ch.task.movable && (ch.back == nil || ch.back.movable)
}

// mixed returns the rooms that are neither fully suitable nor fully unsuitable, the best first.
func (c *classGroups) mixed() []*groupRoom {
	var rooms []*groupRoom
	for _, r := range c.rooms {
		if !r.busy && c.isMixed(r) {
			rooms = append(rooms, r)
		}
	}
	for _, r := range rooms {
		r.suits = c.suits(r)
	}
	slices.SortStableFunc(rooms, func(a, b *groupRoom) int { return cmp.Compare(b.suits, a.suits) })
	return rooms[:min(len(rooms), rebalanceRooms)]
}

// mixedShare is the share of an instance from which on a minority of its lasting tasks counts.
const mixedShare = 0.02

func (c *classGroups) isMixed(r *groupRoom) bool {
	for i, w := range c.weights {
		if share := r.tolerant[i] / max(1, r.lasting); w > 0 && share > mixedShare && share < 1-mixedShare {
			return true
		}
	}
	return false
}

// improve looks for a better change between two rooms than best.
func (c *classGroups) improve(best *change, from, to *groupRoom) {
	before := c.suits(from) + c.suits(to)
	for _, t := range from.tasks {
		if !t.movable || !to.admits(t, from) {
			continue
		}
		lastingFrom, lastingTo := from.lasting-t.need(), to.lasting+t.need()
		addAll(c.without, from.tolerant, t.tolerant, -1)
		addAll(c.with, to.tolerant, t.tolerant, 1)
		if t.step.Need.Fits(to.free) {
			if gain := c.suitsOf(lastingFrom, c.without) + c.suitsOf(lastingTo, c.with) - before; gain > best.gain {
				*best = change{class: c, from: from, to: to, task: t, gain: gain}
			}
		}
		for _, u := range to.tasks {
			if !u.movable || u.image == t.image || !t.step.Need.Fits(to.free.Add(u.step.Need)) ||
				!u.step.Need.Fits(from.free.Add(t.step.Need)) || u.ref.Job == t.ref.Job || !from.admits(u, to) {
				continue
			}
			suitsFrom, suitsTo := c.suitsBoth(lastingFrom+u.need(), lastingTo-u.need(), u.tolerant)
			if gain := suitsFrom + suitsTo - before; gain > best.gain {
				*best = change{class: c, from: from, to: to, task: t, back: u, gain: gain}
			}
		}
	}
}

// suitsBoth is suitsOf for the two rooms between which one task has moved, once another
// one has moved back.
func (c *classGroups) suitsBoth(lastingFrom, lastingTo float64, back []float64) (from, to float64) {
	n := len(c.weights)
	without, with, back := c.without[:n], c.with[:n], back[:n]
	for i, w := range c.weights {
		x, y := without[i]+back[i], with[i]-back[i]
		from += w * x * x
		to += w * y * y
	}
	return orAll(from, lastingFrom), orAll(to, lastingTo)
}

// orAll divides a sum of squares by that of the lasting processors, and is 1 without those.
func orAll(sum, lasting float64) float64 {
	if lasting <= 0 {
		return 1
	}
	return sum / (lasting * lasting)
}

// apply moves the sums of both rooms.
func (c *classGroups) apply(ch change) {
	ch.from.add(ch.task, -1)
	ch.to.add(ch.task, 1)
	if ch.back != nil {
		ch.to.add(ch.back, -1)
		ch.from.add(ch.back, 1)
	}
}

func (g *groups) carryOut(ch change) {
	ch.class.apply(ch)
	ch.from.busy, ch.to.busy = true, true
	// The other tasks of the same steps stay until these are back at work.
	for _, c := range g.class {
		for _, r := range c.rooms {
			for _, t := range r.tasks {
				if refOfStep(t.ref) == refOfStep(ch.task.ref) || ch.back != nil && refOfStep(t.ref) == refOfStep(ch.back.ref) {
					t.movable = false
				}
			}
		}
	}
}

// admits reports whether a task of another room may run in this one, room for it aside.
func (r *groupRoom) admits(t *groupTask, from *groupRoom) bool {
	switch {
	case t.step.Gang || t.step.RackLocal:
		return false
	case t.step.Rack != "" && from.worker.Rack == t.step.Rack && r.worker.Rack != t.step.Rack:
		return false
	}
	beside := 0
	if t.step.SpreadLimit > 0 {
		beside = r.steps[refOfStep(t.ref)]
	}
	return admitted(t.step, r.worker, beside)
}

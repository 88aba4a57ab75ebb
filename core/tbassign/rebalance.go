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

// Load pattern: lasting tasks fill nine tenths of a worker class, so that a new one goes
// wherever a gap is left, and within half a minute most instances mix sensitive and
// tough images. Filling work that waits for an instance without sensitive images then
// finds none, though there is room for it. Lasting tasks change places, a pair at a time,
// until images that suffer from the same filling work share instances again. A lasting
// task is away for less than a second each time.

// Bounds of rebalancing.
const (
	// rebalanceInterval is the time between two rounds; a change of places takes about half of it.
	rebalanceInterval = time.Second
	// rebalanceSwaps is the most changes of places in one round.
	rebalanceSwaps = 3
	// rebalanceRooms is the most instances whose tasks a round tries to move, which bounds its time.
	rebalanceRooms = 12
	// leastGain is the least gain of a change, in instances that suit all waiting work; the
	// loss of its pause is below a tenth of that.
	leastGain = 0.05
	// restAfterMove is how long a task stays where it was moved to.
	restAfterMove = 12 * time.Second
	// settledAfter is how long a task runs before it can be moved.
	settledAfter = 4 * time.Second
	// shortBacklog is the waiting work that is not worth a move: a pair of moves takes about half of it.
	shortBacklog = time.Second
	// unknownTolerance is assumed of a lasting image beside a filling image that was not seen with it.
	unknownTolerance = 0.5
)

// Rebalancer moves lasting tasks so that more instances suit the filling work that waits.
type Rebalancer struct {
	next  time.Time
	pins  map[tbflow.TaskRef]pin
	moved map[tbflow.TaskRef]time.Time
}

// Move is a lasting task that should give up its place for another one.
type Move struct {
	Ref  tbflow.TaskRef
	From string
	To   string
	// Gain is how many instances more suit the waiting work by the whole change.
	Gain float64
}

// NewRebalancer returns a rebalancer that has moved nothing yet.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{pins: map[tbflow.TaskRef]pin{}, moved: map[tbflow.TaskRef]time.Time{}}
}

// Moves returns the lasting tasks to stop now; Plan starts them again at their new places.
func (g *Rebalancer) Moves(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner) []Move {
	if now.Before(g.next) {
		return nil
	}
	g.next = now.Add(rebalanceInterval)
	g.forget(now)
	demand := waitingFill(s, l)
	if len(demand) == 0 {
		return nil
	}
	groups := newGroups(now, s, f, l, g.moved, demand)
	groups.keepOut(g.changing(now, s))
	groups.weigh(demand)
	var moves []Move
	for range rebalanceSwaps {
		best := groups.best()
		if best.gain < leastGain {
			break
		}
		groups.carryOut(best)
		g.hold(now, s, best.moves())
		moves = append(moves, best.moves()...)
	}
	return moves
}

func (g *Rebalancer) forget(now time.Time) {
	maps.DeleteFunc(g.pins, func(_ tbflow.TaskRef, p pin) bool { return now.Sub(p.until) > pinFor })
	maps.DeleteFunc(g.moved, func(_ tbflow.TaskRef, at time.Time) bool { return now.Sub(at) > restAfterMove })
}

// waitingFill returns the work that filling tasks wait for, by image and worker class, in processor seconds.
func waitingFill(s *tbflow.State, l *Learner) map[string]map[string]float64 {
	demand := map[string]map[string]float64{}
	for _, j := range s.Active() {
		for k := range j.Tasks {
			for i := range j.Steps {
				step := &j.Steps[i]
				if !step.Fills || j.DueMs(k) > s.NowMs || !j.StepReady(k, i) {
					continue
				}
				work := waitingWork(j, l, k, i)
				if work == 0 {
					continue
				}
				if demand[j.WorkerClass] == nil {
					demand[j.WorkerClass] = map[string]float64{}
				}
				demand[j.WorkerClass][step.Image] += work
			}
		}
	}
	return demand
}

// groups are the instances with their lasting tasks, as far as these may be moved.
type groups struct {
	class map[string]*classGroups
}

type classGroups struct {
	colocation *colocation
	// weights are the shares of the waiting work by filling image, in the order of colocation.filling.
	weights []float64
	rooms   []*groupRoom
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
}

type groupTask struct {
	ref     tbflow.TaskRef
	step    *tbflow.Step
	movable bool
}

func newGroups(
	now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, moved map[tbflow.TaskRef]time.Time,
	demand map[string]map[string]float64,
) *groups {
	g := &groups{class: map[string]*classGroups{}}
	colocation := newColocation(l)
	for class := range demand {
		g.class[class] = &classGroups{colocation: colocation, weights: make([]float64, len(colocation.filling))}
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
			c.add(r, step, 1)
			r.tasks = append(r.tasks, &groupTask{ref: ref, step: step, movable: !rests && age > settledAfter &&
				!away[refOfStep(ref)] && run != nil && run.Phase == tbfleet.RunGoingOn})
		})
		slices.SortFunc(r.tasks, func(a, b *groupTask) int { return cmp.Compare(a.ref.String(), b.ref.String()) })
		c.rooms = append(c.rooms, r)
	}
	return g
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
	}
}

// add counts a lasting task in or out of a room.
func (c *classGroups) add(r *groupRoom, step *tbflow.Step, sign float64) {
	need := float64(step.Need.MilliProcessors) * sign
	r.lasting += need
	for i, harm := range c.colocation.of(step.Image) {
		tolerance := 1 - harm
		if math.IsNaN(harm) {
			tolerance = unknownTolerance
		}
		r.tolerant[i] += need * tolerance
	}
}

// suits returns how well a room suits the waiting work, from 0 to 1.
//
// The square rewards rooms of one kind: two rooms half of which is sensitive are worth
// less than a tough one and a sensitive one.
func (c *classGroups) suits(r *groupRoom) float64 {
	if r.lasting <= 0 {
		return 1
	}
	sum := 0.0
	for i, w := range c.weights {
		share := r.tolerant[i] / r.lasting
		sum += w * share * share
	}
	return sum
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
func (g *groups) best() change {
	var best change
	for _, class := range slices.Sorted(maps.Keys(g.class)) {
		c := g.class[class]
		for _, from := range c.mixed() {
			for _, to := range c.rooms {
				if to != from && !to.busy {
					c.improve(&best, from, to)
				}
			}
		}
	}
	return best
}

// mixed returns the rooms that are neither fully suitable nor fully unsuitable, the best first.
func (c *classGroups) mixed() []*groupRoom {
	var rooms []*groupRoom
	for _, r := range c.rooms {
		if !r.busy && c.isMixed(r) {
			rooms = append(rooms, r)
		}
	}
	slices.SortStableFunc(rooms, func(a, b *groupRoom) int { return cmp.Compare(c.suits(b), c.suits(a)) })
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
		if t.step.Need.Fits(to.free) {
			c.consider(best, change{class: c, from: from, to: to, task: t}, before)
		}
		for _, u := range to.tasks {
			if u.movable && u.step.Image != t.step.Image && u.ref.Job != t.ref.Job && from.admits(u, to) &&
				t.step.Need.Fits(to.free.Add(u.step.Need)) && u.step.Need.Fits(from.free.Add(t.step.Need)) {
				c.consider(best, change{class: c, from: from, to: to, task: t, back: u}, before)
			}
		}
	}
}

func (c *classGroups) consider(best *change, ch change, before float64) {
	c.apply(ch, 1)
	ch.gain = c.suits(ch.from) + c.suits(ch.to) - before
	c.apply(ch, -1)
	if ch.gain > best.gain {
		*best = ch
	}
}

// apply moves the sums of both rooms, or moves them back.
func (c *classGroups) apply(ch change, sign float64) {
	c.add(ch.from, ch.task.step, -sign)
	c.add(ch.to, ch.task.step, sign)
	if ch.back != nil {
		c.add(ch.to, ch.back.step, -sign)
		c.add(ch.from, ch.back.step, sign)
	}
}

func (g *groups) carryOut(ch change) {
	ch.class.apply(ch, 1)
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
	return admitted(t.step, r.worker, r.steps[refOfStep(t.ref)])
}

package tbassign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Load pattern: lasting tasks reserve most of a worker class, and instances are lost. What
// is free then lies in gaps of a few processors on each instance, so that short tasks which
// ask for a quarter of an instance wait until the day is over, with many times what they
// ask for free. Lasting tasks move into the gaps that just take them, and what they leave
// joins the gap beside them.

// Bounds of joining gaps.
const (
	// joinInterval is the time between two rounds.
	joinInterval = 200 * time.Millisecond
	// joinsAtOnce is the most moves of one round.
	joinsAtOnce = 6
	// leastJoins and, for each worker, joinsOf are the most changes of place under way with
	// which a round starts more.
	leastJoins = 2
	joinsOf    = 0.05
	// joinNeeds is the most waiting tasks that a round looks at.
	joinNeeds = 64
	// joinPlaces is the number of tightest places among which the lasting images decide.
	joinPlaces = 12
)

// Joins returns the lasting tasks to stop now so that waiting tasks find gaps that are
// large enough; Plan starts them again at their new places.
func (g *Rebalancer) Joins(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner) []Move {
	if now.Before(g.nextJoin) {
		return nil
	}
	g.nextJoin = now.Add(joinInterval)
	g.forget(now)
	steps := waitingToReserve(s, l)
	changing := g.changing(now, s)
	if len(steps) == 0 || len(changing)/2 >= max(leastJoins, int(joinsOf*float64(len(s.Workers)))) {
		return nil
	}
	classes := map[string]map[string]float64{}
	for _, w := range steps {
		classes[w.job.WorkerClass] = nil
	}
	groups := newGroups(now, s, f, l, g.moved, classes)
	groups.keepOut(changing)
	g.foresee(now, s, groups)
	var moves []Move
	looked := 0
	for i := range steps {
		w := &steps[i]
		c := groups.class[w.job.WorkerClass]
		for range w.refs {
			if looked++; looked > joinNeeds || len(moves) >= joinsAtOnce {
				return moves
			}
			if c.takeTightest(w) {
				continue
			}
			ch, ok := c.join(w)
			if !ok {
				break
			}
			ch.from.free = ch.from.free.Add(ch.task.step.Need).Sub(w.step.Need)
			ch.to.free = ch.to.free.Sub(ch.task.step.Need)
			groups.keep(ch)
			g.hold(now, s, ch.moves())
			moves = append(moves, ch.moves()...)
		}
	}
	return moves
}

// waitingToReserve returns the steps that wait for processors of their own, in the order in which they should start.
func waitingToReserve(s *tbflow.State, l *Learner) []waitingStep {
	steps := slices.DeleteFunc(waitingSteps(s, l), func(w waitingStep) bool { return w.step.Fills || w.step.Gang })
	slices.SortStableFunc(steps, compareWaiting)
	return steps
}

// foresee counts the changes under way as if they were done.
func (g *Rebalancer) foresee(now time.Time, s *tbflow.State, groups *groups) {
	rooms := map[string]*groupRoom{}
	for _, c := range groups.class {
		for _, r := range c.rooms {
			rooms[r.worker.ID] = r
		}
	}
	for ref := range g.pins {
		to := g.pinned(now, s, ref)
		if to == "" {
			continue
		}
		need := s.StepOf(ref).Need
		if r := rooms[to]; r != nil {
			r.free = r.free.Sub(need)
		}
		if t := s.Jobs[ref.Job].Task(ref); t.Phase == tbflow.TaskAssigned && rooms[t.Worker] != nil {
			rooms[t.Worker].free = rooms[t.Worker].free.Add(need)
		}
	}
}

// takeTightest takes the tightest room that a plan would give to a task of a step, if there
// is one: a lasting task leaves room for short ones, or one more gap of its size.
func (c *classGroups) takeTightest(w *waitingStep) bool {
	var best, bestKept *groupRoom
	kept := 0
	for _, r := range c.rooms {
		if !w.step.Need.Fits(r.free) || !r.takes(w) {
			continue
		}
		if w.step.Lasting && !keepsReserve(r.free, w.step, r.worker) {
			kept++
			bestKept = tighter(bestKept, r)
			continue
		}
		best = tighter(best, r)
	}
	if best == nil && kept >= 2 {
		best = bestKept
	}
	if best == nil {
		return false
	}
	best.free = best.free.Sub(w.step.Need)
	best.steps[w.ref()]++
	return true
}

// tighter returns the room with less left, the first of two equal ones; a may be nil.
func tighter(a, b *groupRoom) *groupRoom {
	if a == nil || b.free.MilliProcessors < a.free.MilliProcessors {
		return b
	}
	return a
}

// takes reports whether a room may run another task of a step, room for it aside.
func (r *groupRoom) takes(w *waitingStep) bool { return admitted(w.step, r.worker, r.steps[w.ref()]) }

// join returns the move of a lasting task that leaves enough room for a task of a step.
//
// Of all such moves the smallest task goes, to one of the tightest places.
func (c *classGroups) join(w *waitingStep) (change, bool) {
	need := w.step.Need
	byFree := slices.Clone(c.rooms)
	slices.SortStableFunc(byFree, func(a, b *groupRoom) int {
		return cmp.Compare(a.free.MilliProcessors, b.free.MilliProcessors)
	})
	best, found := change{class: c}, false
	for _, from := range c.rooms {
		if from.busy || !from.takes(w) {
			continue
		}
		for _, t := range from.tasks {
			if !t.movable || !need.Fits(from.free.Add(t.step.Need)) || found && !smaller(t, best.task) {
				continue
			}
			if to := c.placeFor(t, from, byFree); to != nil {
				best.from, best.to, best.task, found = from, to, t, true
			}
		}
	}
	return best, found
}

func smaller(a, b *groupTask) bool {
	return a.step.Need.MilliProcessors < b.step.Need.MilliProcessors
}

// placeFor returns the room to which a task moves: of the tightest, the one whose lasting
// images are most like its own.
func (c *classGroups) placeFor(t *groupTask, from *groupRoom, byFree []*groupRoom) *groupRoom {
	first, _ := slices.BinarySearchFunc(byFree, t.step.Need, func(r *groupRoom, need tbresource.Amount) int {
		return cmp.Compare(r.free.MilliProcessors, need.MilliProcessors)
	})
	var best *groupRoom
	least, places := math.Inf(1), 0
	for _, to := range byFree[first:] {
		if to == from || to.busy || !t.step.Need.Fits(to.free) || !to.admits(t, from) {
			continue
		}
		if cost := to.unlike(t); cost < least {
			best, least = to, cost
		}
		if places++; places >= joinPlaces {
			break
		}
	}
	return best
}

// unlike returns how differently a room's lasting tasks and another one bear filling work, from 0 to 1.
func (r *groupRoom) unlike(t *groupTask) float64 {
	if r.lasting <= 0 || len(r.tolerant) == 0 {
		return 0
	}
	sum := 0.0
	for i, tolerance := range t.image.tolerance {
		sum += math.Abs(tolerance - r.tolerant[i]/r.lasting)
	}
	return sum / float64(len(r.tolerant))
}

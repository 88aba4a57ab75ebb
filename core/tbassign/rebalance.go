package tbassign

import (
	"maps"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
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
	// rebalanceTargets is the most instances of a class that a round tries to move tasks to; the
	// next round goes on with the others.
	rebalanceTargets = 200
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
	round int
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
	groups.aim(g.round)
	g.round++
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

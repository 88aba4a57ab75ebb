package tbassign

import (
	"maps"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: long-running tasks fill nine tenths of a worker class, so that a new one goes
// wherever there is a gap, and within half a minute most workers mix sensitive and tolerant
// images. Best-effort work that needs a worker without sensitive images then finds none, though
// there is enough capacity. Long-running tasks are therefore moved or swapped in pairs until
// images that suffer from the same best-effort work share workers again. Each move interrupts a
// long-running task for less than a second.

// Parameters of rebalancing.
const (
	// rebalanceInterval is the time between two rounds; a swap takes about half of it.
	rebalanceInterval = time.Second
	// maxRelocationsPerRound is the largest number of relocations in one round.
	maxRelocationsPerRound = 3
	// maxDestinationsPerRound is the largest number of workers of a class that a round tries to
	// move tasks to; the next round continues with the others.
	maxDestinationsPerRound = 200
	// maxSourcesPerRound is the largest number of workers of a class whose tasks each search of
	// a round tries to move, which limits its run time.
	maxSourcesPerRound = 12
	// minGain is the smallest gain of a relocation, in workers that suit all waiting work; the
	// interruption costs less than a tenth of that.
	minGain = 0.05
	// moveCooldown is how long a moved task stays on its new worker.
	moveCooldown = 12 * time.Second
	// minRunTimeBeforeMove is how long a task runs before it can be moved.
	minRunTimeBeforeMove = 4 * time.Second
	// ignoredBacklog is the time whose work is not worth a move: what the suitable workers can
	// do of the waiting work within it is ignored. A swap takes about half of this time.
	ignoredBacklog = time.Second
	// unknownTolerance is assumed of a long-running image for a best-effort image whose effect
	// on it is not known.
	unknownTolerance = 0.5
)

// Rebalancer moves long-running tasks so that more workers suit the waiting best-effort work.
type Rebalancer struct {
	nextRound    time.Time
	round        int
	reservations map[tbflow.TaskRef]reservation
	lastMoved    map[tbflow.TaskRef]time.Time
}

// Move is a long-running task that should stop on one worker and start on another. A relocation
// is one move, or the two moves of a swap.
type Move struct {
	Ref  tbflow.TaskRef
	From string
	To   string
	// Gain is the number of workers that the whole relocation adds to those that suit the
	// waiting work.
	Gain float64
}

// NewRebalancer returns a rebalancer without any moves in progress.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{reservations: map[tbflow.TaskRef]reservation{}, lastMoved: map[tbflow.TaskRef]time.Time{}}
}

// PlanMoves returns the long-running tasks to stop now and reserves capacity for them; Plan
// starts them again on their new workers. It returns nil until the next round is due.
func (g *Rebalancer) PlanMoves(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner) []Move {
	if now.Before(g.nextRound) {
		return nil
	}
	g.nextRound = now.Add(rebalanceInterval)
	g.removeOld(now)
	backlog := bestEffortBacklog(s, l)
	if len(backlog) == 0 {
		return nil
	}
	round := newRebalanceRound(now, s, f, l, g.lastMoved, backlog)
	round.excludeWorkers(g.workersInMoves(now, s))
	round.setWeights(backlog)
	round.selectDestinations(g.round)
	g.round++
	var moves []Move
	for range maxRelocationsPerRound {
		best := round.bestRelocation()
		if best.gain < minGain {
			break
		}
		round.apply(best)
		g.reserve(now, s, best.moves())
		moves = append(moves, best.moves()...)
	}
	return moves
}

func (g *Rebalancer) removeOld(now time.Time) {
	maps.DeleteFunc(g.reservations, func(_ tbflow.TaskRef, r reservation) bool { return now.Sub(r.stopDeadline) > restartTimeout })
	maps.DeleteFunc(g.lastMoved, func(_ tbflow.TaskRef, at time.Time) bool { return now.Sub(at) > moveCooldown })
}

// bestEffortBacklog returns the work of the waiting best-effort tasks by worker class and
// image, in processor seconds.
func bestEffortBacklog(s *tbflow.State, l *Learner) map[string]map[string]float64 {
	backlog := map[string]map[string]float64{}
	for _, j := range s.Active() {
		for k := range j.Tasks {
			for i := range j.Steps {
				step := &j.Steps[i]
				if !step.BestEffort || j.DueMs(k) > s.NowMs || !j.StepReady(k, i) {
					continue
				}
				work := sumWaitingWork(j, l, k, i)
				if work == 0 {
					continue
				}
				if backlog[j.WorkerClass] == nil {
					backlog[j.WorkerClass] = map[string]float64{}
				}
				backlog[j.WorkerClass][step.Image] += work
			}
		}
	}
	return backlog
}

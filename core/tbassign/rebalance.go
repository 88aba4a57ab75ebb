package tbassign

import (
	"maps"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: long-running tasks fill nine tenths of a worker class, so that a new one goes
// wherever there is a gap, and within half a minute most instances mix sensitive and tolerant
// images. Best-effort work that needs an instance without sensitive images then finds none,
// though there is enough capacity. Long-running tasks are therefore swapped, a pair at a time,
// until images that suffer from the same best-effort work share instances again. Each move
// interrupts a long-running task for less than a second.

// Parameters of rebalancing.
const (
	// rebalanceInterval is the time between two rounds; a swap takes about half of it.
	rebalanceInterval = time.Second
	// maxRelocationsPerRound is the largest number of relocations in one round.
	maxRelocationsPerRound = 3
	// maxTargetsPerRound is the largest number of instances of a class that a round tries to
	// move tasks to; the next round continues with the others.
	maxTargetsPerRound = 200
	// maxSourcesPerRound is the largest number of instances whose tasks a round tries to move,
	// which limits its run time.
	maxSourcesPerRound = 12
	// minGain is the smallest gain of a relocation, in instances that suit all waiting work;
	// the loss by its interruption is below a tenth of that.
	minGain = 0.05
	// moveCooldown is how long a moved task stays on its new worker.
	moveCooldown = 12 * time.Second
	// minRunTimeBeforeMove is how long a task runs before it can be moved.
	minRunTimeBeforeMove = 4 * time.Second
	// minBacklog is the amount of waiting work that is not worth a move; a pair of moves takes
	// about half of this time.
	minBacklog = time.Second
	// unknownTolerance is assumed of a long-running image beside a best-effort image with which
	// it has not run.
	unknownTolerance = 0.5
)

// Rebalancer moves long-running tasks so that more instances suit the waiting best-effort work.
type Rebalancer struct {
	nextRound    time.Time
	round        int
	reservations map[tbflow.TaskRef]reservation
	lastMoved    map[tbflow.TaskRef]time.Time
}

// Move is a long-running task that should stop on one worker and start on another.
type Move struct {
	Ref  tbflow.TaskRef
	From string
	To   string
	// Gain is the number of instances that the whole relocation adds to those that suit the
	// waiting work.
	Gain float64
}

// NewRebalancer returns a rebalancer without any moves in progress.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{reservations: map[tbflow.TaskRef]reservation{}, lastMoved: map[tbflow.TaskRef]time.Time{}}
}

// PlanMoves returns the long-running tasks to stop now; Plan starts them again on their new
// workers. It returns nil until the next round is due.
func (g *Rebalancer) PlanMoves(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner) []Move {
	if now.Before(g.nextRound) {
		return nil
	}
	g.nextRound = now.Add(rebalanceInterval)
	g.removeExpired(now)
	backlog := bestEffortBacklog(s, l)
	if len(backlog) == 0 {
		return nil
	}
	round := newRebalanceRound(now, s, f, l, g.lastMoved, backlog)
	round.excludeWorkers(g.workersInMoves(now, s))
	round.setWeights(backlog)
	round.selectTargets(g.round)
	g.round++
	var moves []Move
	for range maxRelocationsPerRound {
		best := round.bestRelocation()
		if best.gain < minGain {
			break
		}
		round.commit(best)
		g.reserve(now, s, best.moves())
		moves = append(moves, best.moves()...)
	}
	return moves
}

func (g *Rebalancer) removeExpired(now time.Time) {
	maps.DeleteFunc(g.reservations, func(_ tbflow.TaskRef, p reservation) bool { return now.Sub(p.stopDeadline) > restartTimeout })
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
				work := waitingWork(j, l, k, i)
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

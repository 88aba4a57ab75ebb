package tbassign

import (
	"maps"
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Long-running tasks fill nine tenths of a worker class, so a new one is placed wherever it fits.
// Within half a minute, most workers have both sensitive and tolerant images. Best-effort work
// that needs a worker without sensitive images then finds none, although there is enough capacity
// in total.
//
// Therefore, relocations are made: one long-running task is moved to another worker, or two tasks
// are swapped between two workers. Relocations continue until images that suffer from the same
// best-effort work share workers again. Each move interrupts a long-running task for less than a
// second.

// Parameters of rebalancing.
const (
	// rebalanceInterval is the time between two rounds. A round leaves out workers with a move in
	// progress. A swap takes about half of this time, so swaps of the previous round are normally
	// complete.
	rebalanceInterval = time.Second
	// maxRelocationsPerRound is the largest number of relocations in one round.
	maxRelocationsPerRound = 3
	// maxWorkersPerRound is the largest number of workers that a round considers. The next round
	// continues behind them. It bounds the run time of a round.
	maxWorkersPerRound = 512
	// maxDestinationsPerRound is the largest number of workers of a class to which one round tries
	// to move tasks. The next round continues with other workers.
	maxDestinationsPerRound = 200
	// maxSourcesPerSearch is the largest number of workers of a class that one search for the best
	// relocation considers as sources. It bounds the run time of the search.
	maxSourcesPerSearch = 12
	// minGain is the smallest gain for which a relocation is made. The unit is one worker that
	// suits all waiting work. The interruption costs less than a tenth of minGain.
	minGain = 0.05
	// moveCooldown is the time after a move of a task was planned during which no further move of
	// that task is planned.
	moveCooldown = 12 * time.Second
	// minRunTimeBeforeMove is how long a task has to be assigned to its worker before it can be
	// moved.
	minRunTimeBeforeMove = 4 * time.Second
	// Of the waiting work, the amount that the suitable workers can do within ignoredDrainTime is
	// ignored. Work that is done so soon is not worth a move, because a swap alone takes about half
	// of ignoredDrainTime.
	ignoredDrainTime = time.Second
	// unknownTolerance is the assumed tolerance of a long-running image for a best-effort image if
	// the effect of the best-effort image is not known.
	unknownTolerance = 0.5
)

// Rebalancer plans moves of long-running tasks so that more workers suit the waiting best-effort
// work.
type Rebalancer struct {
	nextRoundAt   time.Time
	roundNumber   int
	reservations  map[tbflow.TaskRef]reservation
	movePlannedAt map[tbflow.TaskRef]time.Time
}

// Move is a long-running task that should stop on one worker and start on another. A relocation
// consists of one move or, for a swap, of two.
type Move struct {
	Ref  tbflow.TaskRef
	From string
	To   string
	// Gain is the gain of the whole relocation, in workers that suit the waiting work.
	Gain float64
}

// NewRebalancer returns a rebalancer without any moves in progress.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{reservations: map[tbflow.TaskRef]reservation{}, movePlannedAt: map[tbflow.TaskRef]time.Time{}}
}

// PlanMoves returns the long-running tasks to stop now and reserves capacity for them on their new
// workers. Plan starts them there later. Before the next round is due, PlanMoves returns nil.
func (g *Rebalancer) PlanMoves(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner) []Move {
	if now.Before(g.nextRoundAt) {
		return nil
	}
	g.nextRoundAt = now.Add(rebalanceInterval)
	g.removeExpired(now)
	backlog := bestEffortBacklog(now, s, l)
	if len(backlog) == 0 {
		return nil
	}
	round := newRebalanceRound(now, s, f, l, g, backlog)
	round.excludeWorkers(g.workersInMoves(now, s))
	round.setWeights(backlog)
	round.selectDestinations(g.roundNumber)
	g.roundNumber++
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

func (g *Rebalancer) removeExpired(now time.Time) {
	maps.DeleteFunc(g.reservations, func(_ tbflow.TaskRef, r reservation) bool { return now.Sub(r.stopDeadline) > restartTimeout })
	maps.DeleteFunc(g.movePlannedAt, func(_ tbflow.TaskRef, at time.Time) bool { return now.Sub(at) > moveCooldown })
}

// bestEffortBacklog returns the work of the waiting best-effort tasks that may start, by worker
// class and image, in processor seconds.
func bestEffortBacklog(now time.Time, s *tbflow.State, l *Learner) map[string]map[string]float64 {
	backlog := map[string]map[string]float64{}
	for _, j := range s.Active() {
		if !j.HasWaitingTasks() {
			continue
		}
		for k := range j.Tasks {
			for i := range j.Steps {
				step := &j.Steps[i]
				if !step.BestEffort || !j.IsDue(k, now) || !j.StepReady(k, i) {
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

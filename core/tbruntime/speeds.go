package tbruntime

import (
	"math"
	"time"
)

// Workers differ: by their machines, by what else runs there, and for a while after they were started. What a worker
// says of itself does not tell that, but its run times do.

const (
	// speedWeight is the weight of one run in the moving average of a worker.
	speedWeight = 0.1
	// maxLogRatio bounds what one run says, since a run may be long because of its work.
	maxLogRatio = 1.0
	// speedHalfLife is the time in which half of what is known of a worker is forgotten, so that a slow worker that
	// gets no tasks is tried again.
	speedHalfLife = 20 * time.Second
	// minSlowness is the slowness from which a worker counts as slow. Below, the work of its runs may have been long
	// by chance.
	minSlowness = 1.4
)

// Speeds holds how slow workers are, as their run times tell.
type Speeds struct{ byWorker map[string]speed }

// speed is the moving average of the logarithm of run time divided by expected run time.
type speed struct {
	logRatio   float64
	observedAt time.Time
}

// NewSpeeds returns speeds without observations.
func NewSpeeds() *Speeds { return &Speeds{byWorker: map[string]speed{}} }

// Observe learns from a run on a worker that was expected to take as long as expected.
func (s *Speeds) Observe(now time.Time, worker string, runTime, expected time.Duration) {
	if runTime <= 0 || expected <= 0 {
		return
	}
	ratio := min(max(math.Log(float64(runTime)/float64(expected)), -maxLogRatio), maxLogRatio)
	known := s.logRatioAt(now, worker)
	s.byWorker[worker] = speed{logRatio: known + speedWeight*(ratio-known), observedAt: now}
}

// Slowness returns how many times as long as elsewhere runs take on a worker. It is 1 for a worker that is not known to
// be slow.
func (s *Speeds) Slowness(now time.Time, worker string) float64 {
	if slowness := math.Exp(s.logRatioAt(now, worker)); slowness >= minSlowness {
		return slowness
	}
	return 1
}

// Remove forgets a worker.
func (s *Speeds) Remove(worker string) { delete(s.byWorker, worker) }

func (s *Speeds) logRatioAt(now time.Time, worker string) float64 {
	known := s.byWorker[worker]
	return known.logRatio * math.Exp2(-float64(now.Sub(known.observedAt))/float64(speedHalfLife))
}

package tbruntime

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackbarrow/core/tbflow"
)

const (
	// maxKinds bounds the distributions of queues, and those of images. Names come from jobs, so there may be
	// any number of them over time; the one without an observation for the longest time is replaced.
	maxKinds = 128
	// priorWeight is the number of observations of an image that count as much as what is known of its queue,
	// and of a queue that count as much as the estimates of its jobs.
	priorWeight = 10
)

// Kind identifies runs that are expected to take similarly long in relation to their estimates.
type Kind struct {
	Queue tbflow.QueueKey
	Image string
}

// Learner holds the distributions of run times. Runs of an image without observations are expected to take
// as long as those of its queue, and those of a queue without observations as long as their estimates.
type Learner struct {
	byQueue map[tbflow.QueueKey]*distribution
	byKind  map[Kind]*distribution
	// observations counts all observations.
	observations uint64
	scratch      *hdrhistogram.Histogram
}

// New returns a learner without observations.
func New() *Learner {
	return &Learner{
		byQueue: map[tbflow.QueueKey]*distribution{}, byKind: map[Kind]*distribution{},
		scratch: hdrhistogram.New(1, max(maxMillis, maxRatio), significantDigits),
	}
}

// Observe learns from a run that ended successfully. Runs without an estimate are ignored.
func (l *Learner) Observe(k Kind, estimate, runTime time.Duration) {
	if estimate <= 0 {
		return
	}
	l.observations++
	for _, d := range []*distribution{ensureDistribution(l.byQueue, k.Queue), ensureDistribution(l.byKind, k)} {
		d.add(estimate, runTime)
		d.lastObservation = l.observations
	}
}

// ensureDistribution returns the distribution of a key. A new one may take the place of the one that was
// observed last the longest time ago.
func ensureDistribution[K comparable](distributions map[K]*distribution, key K) *distribution {
	if d := distributions[key]; d != nil {
		return d
	}
	var d *distribution
	if len(distributions) < maxKinds {
		d = newDistribution()
	} else {
		var oldest K
		for other, candidate := range distributions {
			if d == nil || candidate.lastObservation < d.lastObservation {
				oldest, d = other, candidate
			}
		}
		delete(distributions, oldest)
		d.reset()
	}
	distributions[key] = d
	return d
}

// Mean returns the expected run time of a run with this estimate.
func (l *Learner) Mean(k Kind, estimate time.Duration) time.Duration {
	return l.predict(k, estimate, func(d *distribution) time.Duration { return d.mean(estimate) })
}

// Quantile returns the run time that a run with this estimate does not exceed with probability p, from 0 to 1.
func (l *Learner) Quantile(k Kind, estimate time.Duration, p float64) time.Duration {
	return l.predict(k, estimate, func(d *distribution) time.Duration { return d.quantile(p, estimate, l.scratch) })
}

// Count returns the number of runs of this kind that a prediction is based on.
func (l *Learner) Count(k Kind) int {
	if d := l.byKind[k]; d != nil {
		return d.count()
	}
	return 0
}

// ExceedingShare returns the share of the observed runs of this kind that would take longer than runTime with this
// estimate, or 0 if there are none. Count says how many there are.
func (l *Learner) ExceedingShare(k Kind, estimate, runTime time.Duration) float64 {
	if d := l.byKind[k]; d != nil && estimate > 0 {
		return d.exceedingShare(estimate, runTime)
	}
	return 0
}

// predict moves from the estimate to what the queue and then the image says, the more there are observations.
func (l *Learner) predict(k Kind, estimate time.Duration, read func(d *distribution) time.Duration) time.Duration {
	prediction := estimate
	for _, d := range []*distribution{l.byQueue[k.Queue], l.byKind[k]} {
		if d != nil {
			weight := float64(d.count()) / float64(d.count()+priorWeight)
			prediction += time.Duration(weight * float64(read(d)-prediction))
		}
	}
	return prediction
}

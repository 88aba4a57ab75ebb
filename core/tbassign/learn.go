package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// learnWeight is the weight of one run in the mean ratio of run time to estimate.
const learnWeight = 0.05

// Learner knows how long tasks really take and what images do to each other.
type Learner struct {
	ratios map[tbflow.QueueKey]float64
	// harm holds the slopes by lasting image.
	harm      map[string]*slopes
	looks     map[string]lookAt
	overSince map[string]map[tbflow.TaskRef]time.Time
	// paced holds the workers whose paces changed since the last look that was learned from.
	paced map[string]bool
	mixes mixes
}

// NewLearner returns a learner that trusts all estimates.
func NewLearner() *Learner {
	return &Learner{
		ratios: map[tbflow.QueueKey]float64{}, harm: map[string]*slopes{},
		looks: map[string]lookAt{}, overSince: map[string]map[tbflow.TaskRef]time.Time{}, paced: map[string]bool{},
	}
}

// RunTime returns the expected run time of one task of a step.
func (l *Learner) RunTime(j *tbflow.Job, step *tbflow.Step) time.Duration {
	ratio, ok := l.ratios[j.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(step.Estimate))
}

// Ended takes the run time of a task that ended well.
func (l *Learner) Ended(j *tbflow.Job, step *tbflow.Step, ran time.Duration) {
	if step.Lasting || step.Estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(step.Estimate)
	known, ok := l.ratios[j.Queue]
	if !ok {
		known = 1
	}
	l.ratios[j.Queue] = known + learnWeight*(ratio-known)
}

// Forget drops what was read at a worker that is gone.
func (l *Learner) Forget(worker string) {
	delete(l.looks, worker)
	delete(l.overSince, worker)
	delete(l.paced, worker)
	l.mixes.forget(worker)
}

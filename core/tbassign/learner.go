package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// runTimeWeight is the weight of one run in the moving average of run time divided by estimate.
const runTimeWeight = 0.05

// Learner estimates how long tasks really take and how images slow each other down.
type Learner struct {
	ratios map[tbflow.QueueKey]float64
	// filters holds the slopes by long-running image.
	filters        map[string]*slopeFilter
	samples        map[string]pollSample
	violatingSince map[string]map[tbflow.TaskRef]time.Time
	// speedChanged holds the workers whose speeds have changed since the last poll that was
	// learned from.
	speedChanged map[string]bool
	workloads    workloadCache
}

// NewLearner returns a learner that takes all estimates as exact.
func NewLearner() *Learner {
	return &Learner{
		ratios: map[tbflow.QueueKey]float64{}, filters: map[string]*slopeFilter{},
		samples: map[string]pollSample{}, violatingSince: map[string]map[tbflow.TaskRef]time.Time{}, speedChanged: map[string]bool{},
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

// ObserveRunTime records the run time of a task that ended successfully.
func (l *Learner) ObserveRunTime(j *tbflow.Job, step *tbflow.Step, ran time.Duration) {
	if step.LongRunning || step.Estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(step.Estimate)
	known, ok := l.ratios[j.Queue]
	if !ok {
		known = 1
	}
	l.ratios[j.Queue] = known + runTimeWeight*(ratio-known)
}

// RemoveWorker drops the measurements of a removed worker.
func (l *Learner) RemoveWorker(worker string) {
	delete(l.samples, worker)
	delete(l.violatingSince, worker)
	delete(l.speedChanged, worker)
	l.workloads.remove(worker)
}

package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// runTimeWeight is the weight of one run in the moving average of run time divided by estimate.
const runTimeWeight = 0.05

// Learner keeps what a leader derives from polls and ended runs: how long tasks really take and
// how images slow each other down. It also holds the cache of workloads that Plan uses.
type Learner struct {
	// runTimeRatios holds the moving average of run time divided by estimate by queue; a queue
	// without one counts as 1.
	runTimeRatios map[tbflow.QueueKey]float64
	// filters holds the slopes by long-running image. samples and violatingSince are by worker
	// id.
	filters        map[string]*slopeFilter
	samples        map[string]pollSample
	violatingSince map[string]map[tbflow.TaskRef]time.Time
	// speedChanged holds the workers whose speeds have changed since the last poll that was not
	// ignored.
	speedChanged map[string]bool
	workloads    workloadCache
}

// NewLearner returns a learner without observations; it takes all estimates as exact.
func NewLearner() *Learner {
	return &Learner{
		runTimeRatios: map[tbflow.QueueKey]float64{}, filters: map[string]*slopeFilter{},
		samples: map[string]pollSample{}, violatingSince: map[string]map[tbflow.TaskRef]time.Time{}, speedChanged: map[string]bool{},
	}
}

// RunTime returns the expected run time of one task of a step.
func (l *Learner) RunTime(j *tbflow.Job, step *tbflow.Step) time.Duration {
	ratio, ok := l.runTimeRatios[j.Queue]
	if !ok {
		ratio = 1
	}
	return time.Duration(ratio * float64(step.Estimate))
}

// ObserveRunTime updates the queue's average with the run time of a task that ended
// successfully. Long-running tasks and tasks without an estimate are ignored.
func (l *Learner) ObserveRunTime(j *tbflow.Job, step *tbflow.Step, ran time.Duration) {
	if step.LongRunning || step.Estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(step.Estimate)
	known, ok := l.runTimeRatios[j.Queue]
	if !ok {
		known = 1
	}
	l.runTimeRatios[j.Queue] = known + runTimeWeight*(ratio-known)
}

// RemoveWorker drops the measurements of a removed worker.
func (l *Learner) RemoveWorker(worker string) {
	delete(l.samples, worker)
	delete(l.violatingSince, worker)
	delete(l.speedChanged, worker)
	l.workloads.remove(worker)
}

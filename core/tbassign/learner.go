package tbassign

import (
	"time"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbruntime"
)

// runTimeWeight is the weight of one run in the moving average of run time divided by estimate.
const runTimeWeight = 0.05

// Learner keeps what a leader learns from polls and ended runs: how long tasks really run and how
// images slow each other down. It also holds the cache of workloads and the memory that Plan
// reuses.
type Learner struct {
	// Features are the optional decisions that are switched on.
	Features Features
	// runTimeRatios holds, for each queue, the moving average of run time divided by estimate. The
	// ratio of a queue without an entry is taken as 1.
	runTimeRatios map[tbflow.QueueKey]float64
	// runTimes holds the distributions of run times by queue and image.
	runTimes *tbruntime.Learner
	// workerSpeeds holds how slow workers are.
	workerSpeeds *tbruntime.Speeds
	// slopeFilters holds the estimated slopes by long-running image.
	slopeFilters map[string]*slopeFilter
	// lastSamples holds, by worker ID, the sample of the newest poll that ObservePoll did not
	// ignore.
	lastSamples map[string]pollSample
	// violatingSince holds, by worker ID and task, when the task's tail latency was first measured
	// over its target. The entry is removed once the task's margin reaches recoveredMargin.
	violatingSince map[string]map[tbflow.TaskRef]time.Time
	// speedChangedWorkers holds the IDs of the workers on which a speed has changed since the
	// newest poll that ObservePoll did not ignore.
	speedChangedWorkers map[string]bool
	// shortDemands holds the observed demand of short tasks by worker class.
	shortDemands map[string]shortDemand
	// largeDemands holds the observed demand of large short tasks by worker class, with Features.LookAhead.
	largeDemands map[string]shortDemand
	// shortArrivals holds the observed arrival of short work, and loads what the last full plan has left waiting by
	// worker class. Both are used only with Features.PredictedAdmission.
	shortArrivals map[demandKey]*demandRate
	loads         map[string]*classLoad
	// startRate is the rate of best-effort starts.
	startRate startRate
	// shortOfRoom holds the queues whose useful work the last full plan has left waiting for room. It is used only with
	// Features.FairShares.
	shortOfRoom map[tbflow.QueueKey]bool
	// heldNotedMs holds the times at which plans have noted what holds a long-running task (see noteHeld).
	heldNotedMs  map[tbflow.TaskRef]int64
	workerCounts workerCounts
	workloads    workloadCache
	lookAhead    lookAhead
	planBuffers  planBuffers
}

// NewLearner returns a learner without observations. Until run times are observed, it takes the
// estimate of each step as the run time of the step.
func NewLearner() *Learner {
	return &Learner{
		runTimeRatios: map[tbflow.QueueKey]float64{}, runTimes: tbruntime.New(), workerSpeeds: tbruntime.NewSpeeds(), slopeFilters: map[string]*slopeFilter{},
		lastSamples: map[string]pollSample{}, violatingSince: map[string]map[tbflow.TaskRef]time.Time{}, speedChangedWorkers: map[string]bool{}, shortDemands: map[string]shortDemand{}, largeDemands: map[string]shortDemand{},
		shortArrivals: map[demandKey]*demandRate{}, loads: map[string]*classLoad{}, shortOfRoom: map[tbflow.QueueKey]bool{},
		heldNotedMs: map[tbflow.TaskRef]int64{},
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

// RunTimeQuantile returns the run time that a task of a step does not exceed with probability p, from 0 to 1.
func (l *Learner) RunTimeQuantile(j *tbflow.Job, step *tbflow.Step, p float64) time.Duration {
	return l.runTimes.Quantile(kindOf(j, step), step.Estimate, p)
}

func kindOf(j *tbflow.Job, step *tbflow.Step) tbruntime.Kind {
	return tbruntime.Kind{Queue: j.Queue, Image: step.Image}
}

// ObserveRunTime learns from the run time of a task that ended successfully. Long-running tasks and tasks
// without an estimate are ignored.
func (l *Learner) ObserveRunTime(j *tbflow.Job, step *tbflow.Step, runTime time.Duration) {
	if step.LongRunning || step.Estimate <= 0 {
		return
	}
	ratio := float64(runTime) / float64(step.Estimate)
	averageRatio, ok := l.runTimeRatios[j.Queue]
	if !ok {
		averageRatio = 1
	}
	l.runTimeRatios[j.Queue] = averageRatio + runTimeWeight*(ratio-averageRatio)
	l.runTimes.Observe(kindOf(j, step), step.Estimate, runTime)
}

// ObserveWorker learns how slow a worker is from the run time of a task that ended successfully there. It has to be
// called before ObserveRunTime. Best-effort tasks are ignored, because their speed depends on other tasks.
func (l *Learner) ObserveWorker(now time.Time, worker string, j *tbflow.Job, step *tbflow.Step, runTime time.Duration) {
	if isShort(step) {
		l.workerSpeeds.Observe(now, worker, runTime, l.RunTimeQuantile(j, step, 0.5))
	}
}

// slowPenalty returns what is subtracted from the score of a worker for a short task. It outweighs the differences in
// free capacity once tasks take twice as long there.
func (l *Learner) slowPenalty(now time.Time, worker string) float64 {
	if !l.Features.WorkerSpeeds {
		return 0
	}
	return l.workerSpeeds.Slowness(now, worker) - 1
}

// RemoveWorker drops all measurements of a removed worker and its cached workload.
func (l *Learner) RemoveWorker(worker string) {
	delete(l.lastSamples, worker)
	delete(l.violatingSince, worker)
	delete(l.speedChangedWorkers, worker)
	l.workerSpeeds.Remove(worker)
	l.workloads.remove(worker)
	delete(l.lookAhead.endsByWorker, worker)
}

package tbassign

import (
	"cmp"
	"math"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Best-effort work may be waiting while long-running tasks come close to their latency targets. The
// load of each long-running task varies over seconds. The gain of best-effort work is compared with
// the cost of the target violations that this work is expected to cause. A violation has a fixed
// cost (violationCostProcessors), so only a limited amount of best-effort work is given up to avoid
// it.

// Constants for weighing best-effort work against the latency targets of long-running tasks.
const (
	// violationCostProcessors is the cost of one long-running task over its target, in processors
	// of best-effort work. The users' contract counts such a task four times.
	violationCostProcessors = 9.0
	// riskMidpointMargin is the margin (latency target divided by tail latency) at which a task is
	// over its target by the next poll with a probability of one half.
	riskMidpointMargin = 1.05
	// minBaselineMargin is the lower bound of a long-running task's margin without best-effort
	// tasks beside it. If the baseline computed from the last poll is lower, the difference is
	// attributed to interference (see unexplainedSlope).
	minBaselineMargin = 1.25
	// riskMarginScale says how much a margin may change until the next poll. It is the scale of the
	// logistic function in violationProbability.
	riskMarginScale = 0.12
	// A task of a harmful image is started only if each long-running task with a latency target
	// keeps an expected margin of at least minStartMargin.
	minStartMargin = 1.8
)

// violationProbability returns the probability, from 0 to 1, that a task with the given
// expected margin is over its target by the next poll.
func violationProbability(margin float64) float64 {
	return 1 / (1 + math.Exp((margin-riskMidpointMargin)/riskMarginScale))
}

// colocatedTasks holds the best-effort tasks of one worker and its long-running tasks with a
// latency target.
type colocatedTasks struct {
	learner         *Learner
	latencyTasks    []latencyTask
	bestEffortLoads []imageLoad
}

// latencyTask is a long-running task with a target for its tail latency.
type latencyTask struct {
	image string
	// baselineMargin is the expected margin of the task without any best-effort tasks.
	baselineMargin float64
	// unexplainedSlope describes interference that no learned slope explains. It is the loss of
	// margin per share of the worker that best-effort tasks use. It is 0 or positive and is
	// subtracted from every slope.
	unexplainedSlope float64
}

// imageLoad describes all tasks of one best-effort image on a worker.
type imageLoad struct {
	image string
	// requestedShare is the request of all tasks as a fraction of the worker's processors.
	// requestedProcessors is the same request in processors. speed is the fraction of full speed at
	// which the tasks run, from 0 to 1.
	requestedShare      float64
	requestedProcessors float64
	speed               float64
}

// slope returns the expected change of a task's margin if a best-effort image used all processors
// of the worker.
func (c *colocatedTasks) slope(t latencyTask, bestEffort string) float64 {
	return c.learner.slope(t.image, bestEffort) - t.unexplainedSlope
}

// expectedMargin returns the expected margin of a long-running task beside the best-effort tasks at
// their speeds.
func (c *colocatedTasks) expectedMargin(t latencyTask) float64 {
	margin := t.baselineMargin
	for _, load := range c.bestEffortLoads {
		margin += c.slope(t, load.image) * load.requestedShare * load.speed
	}
	return margin
}

// fullSpeedEffects returns how much each best-effort image at full speed changes the margin of each
// long-running task. The values are ordered by task and then by image.
func (c *colocatedTasks) fullSpeedEffects() []float64 {
	all := make([]float64, 0, len(c.latencyTasks)*len(c.bestEffortLoads))
	for _, t := range c.latencyTasks {
		for _, load := range c.bestEffortLoads {
			all = append(all, c.slope(t, load.image)*load.requestedShare)
		}
	}
	return all
}

// netBenefit returns the processors of best-effort work that run, less the cost of the expected
// target violations.
func (c *colocatedTasks) netBenefit(effects []float64) float64 {
	sum := 0.0
	for _, load := range c.bestEffortLoads {
		sum += load.requestedProcessors * load.speed
	}
	for i, t := range c.latencyTasks {
		margin := t.baselineMargin
		for k, effect := range effects[i*len(c.bestEffortLoads) : (i+1)*len(c.bestEffortLoads)] {
			margin += effect * c.bestEffortLoads[k].speed
		}
		sum -= violationCostProcessors * violationProbability(margin)
	}
	return sum
}

// speedLevels are the candidate speeds, as fractions of full speed.
var speedLevels = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1}

// optimizeSpeeds searches for the speeds with the highest net benefit. It uses coordinate ascent:
// it changes the speed of one image at a time.
func (c *colocatedTasks) optimizeSpeeds() {
	for i := range c.bestEffortLoads {
		c.bestEffortLoads[i].speed = 1
	}
	effects := c.fullSpeedEffects()
	const rounds = 2
	for range rounds {
		for i := range c.bestEffortLoads {
			best, bestSpeed := math.Inf(-1), 1.0
			for _, speed := range speedLevels {
				c.bestEffortLoads[i].speed = speed
				if sum := c.netBenefit(effects); sum >= best {
					best, bestSpeed = sum, speed
				}
			}
			c.bestEffortLoads[i].speed = bestSpeed
		}
	}
}

// colocatedTasksOf returns two groups of tasks of a worker: the long-running tasks with a latency
// target, and the best-effort tasks for which include returns true. The speeds of the best-effort
// tasks are set to full speed. The baseline margins come from the last observed poll if the
// worker's incarnation has not changed since. A task without a baseline margin gets defaultMargin.
func (l *Learner) colocatedTasksOf(s *tbflow.State, w *tbfleet.Worker, include func(*tbfleet.Run) bool) *colocatedTasks {
	c := &colocatedTasks{learner: l}
	sample := l.lastSamples[w.ID]
	usedShare := 0.0
	for _, use := range sample.usageShares {
		usedShare += use
	}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil {
			return
		}
		if step.BestEffort && include(r) {
			c.addBestEffort(step, w)
		}
		if !step.LongRunning || step.TailTarget <= 0 {
			return
		}
		task := latencyTask{image: step.Image, baselineMargin: defaultMargin}
		if baseline, ok := sample.baselineMargins[ref]; ok && sample.incarnation == w.Incarnation {
			task.baselineMargin = max(baseline, minBaselineMargin)
			if usedShare > 0 && baseline < minBaselineMargin {
				task.unexplainedSlope = (minBaselineMargin - baseline) / usedShare
			}
		}
		c.latencyTasks = append(c.latencyTasks, task)
	})
	slices.SortFunc(c.bestEffortLoads, func(a, b imageLoad) int { return cmp.Compare(a.image, b.image) })
	return c
}

func (c *colocatedTasks) addBestEffort(step *tbflow.Step, w *tbfleet.Worker) {
	i := slices.IndexFunc(c.bestEffortLoads, func(load imageLoad) bool { return load.image == step.Image })
	if i < 0 {
		i = len(c.bestEffortLoads)
		c.bestEffortLoads = append(c.bestEffortLoads, imageLoad{image: step.Image, speed: 1})
	}
	c.bestEffortLoads[i].requestedShare += processorShare(step.Need.MilliProcessors, w)
	c.bestEffortLoads[i].requestedProcessors += float64(step.Need.MilliProcessors) / 1000
}

package tbassign

import (
	"cmp"
	"math"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Best-effort work may be waiting while long-running tasks come close to their latency targets.
// The load of each long-running task varies over seconds. The gain of best-effort work is compared
// with the cost of the target violations that it is expected to cause. To avoid a
// violation, only a limited amount of best-effort work is given up (see violationCost).

// Constants for weighing best-effort work against the latency targets of long-running tasks.
const (
	// violationCost is the cost of one long-running task over its target, in processors of
	// best-effort work. The users' contract counts such a task four times.
	violationCost = 9.0
	// riskMidpoint is the margin at which a task is over its target by the next poll with a
	// probability of one half.
	riskMidpoint = 1.05
	// minBaselineMargin is the lower bound of a long-running task's margin without best-effort
	// tasks beside it. If the baseline computed from the last poll is lower, the difference is
	// attributed to interference (see unexplainedSlope).
	minBaselineMargin = 1.25
	// riskScale says how much a margin may change until the next poll. It is the scale of the
	// logistic function in violationProbability.
	riskScale = 0.12
	// A task of a harmful image is started only if each long-running task with a latency target
	// keeps an expected margin of at least minStartMargin.
	minStartMargin = 1.8
)

// violationProbability returns the probability, from 0 to 1, that a task with the given
// expected margin is over its target by the next poll.
func violationProbability(margin float64) float64 {
	return 1 / (1 + math.Exp((margin-riskMidpoint)/riskScale))
}

// contention holds the best-effort and the long-running tasks of one worker.
type contention struct {
	learner    *Learner
	tasks      []latencyTask
	bestEffort []imageLoad
}

// latencyTask is a long-running task with a target for its tail latency.
type latencyTask struct {
	image string
	// baseline is the expected margin of the task without any best-effort tasks.
	baseline float64
	// unexplainedSlope describes interference that no learned slope explains. It is the loss of
	// margin per share of the worker that best-effort tasks use. It is 0 or positive and is
	// subtracted from every slope.
	unexplainedSlope float64
}

// imageLoad describes all tasks of one best-effort image on a worker.
type imageLoad struct {
	image string
	// share is the request of all tasks as a fraction of the worker's processors. processors is
	// the same request in processors. speed is the fraction of full speed at which the tasks run,
	// from 0 to 1.
	share      float64
	processors float64
	speed      float64
}

// slope returns the expected change of a task's margin if a best-effort image used all processors
// of the worker.
func (c *contention) slope(t latencyTask, bestEffort string) float64 {
	return c.learner.slope(t.image, bestEffort) - t.unexplainedSlope
}

// margin returns the expected margin of a long-running task beside the best-effort tasks at their
// speeds.
func (c *contention) margin(t latencyTask) float64 {
	margin := t.baseline
	for _, load := range c.bestEffort {
		margin += c.slope(t, load.image) * load.share * load.speed
	}
	return margin
}

// effects returns how much each best-effort image at full speed changes the margin of each
// long-running task. The values are ordered by task and then by image.
func (c *contention) effects() []float64 {
	all := make([]float64, 0, len(c.tasks)*len(c.bestEffort))
	for _, t := range c.tasks {
		for _, load := range c.bestEffort {
			all = append(all, c.slope(t, load.image)*load.share)
		}
	}
	return all
}

// netBenefit returns the processors of best-effort work that run, less the cost of the expected
// target violations.
func (c *contention) netBenefit(effects []float64) float64 {
	sum := 0.0
	for _, load := range c.bestEffort {
		sum += load.processors * load.speed
	}
	for i, t := range c.tasks {
		margin := t.baseline
		for k, effect := range effects[i*len(c.bestEffort) : (i+1)*len(c.bestEffort)] {
			margin += effect * c.bestEffort[k].speed
		}
		sum -= violationCost * violationProbability(margin)
	}
	return sum
}

// speedLevels are the candidate speeds, as fractions of full speed.
var speedLevels = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1}

// optimize searches for the speeds with the highest net benefit. It uses coordinate ascent: it
// changes the speed of one image at a time.
func (c *contention) optimize() {
	for i := range c.bestEffort {
		c.bestEffort[i].speed = 1
	}
	effects := c.effects()
	const rounds = 2
	for range rounds {
		for i := range c.bestEffort {
			best, bestSpeed := math.Inf(-1), 1.0
			for _, speed := range speedLevels {
				c.bestEffort[i].speed = speed
				if sum := c.netBenefit(effects); sum >= best {
					best, bestSpeed = sum, speed
				}
			}
			c.bestEffort[i].speed = bestSpeed
		}
	}
}

// contentionOf returns the long-running tasks of a worker that have a latency target and the
// best-effort tasks for which include returns true. The best-effort tasks are at full speed. A
// baseline comes from the last observed poll if that poll was of the present incarnation. A task
// without a baseline gets defaultMargin.
func (l *Learner) contentionOf(s *tbflow.State, w *tbfleet.Worker, include func(*tbfleet.Run) bool) *contention {
	c := &contention{learner: l}
	sample := l.samples[w.ID]
	used := 0.0
	for _, use := range sample.usage {
		used += use
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
		task := latencyTask{image: step.Image, baseline: defaultMargin}
		if baseline, ok := sample.baselines[ref]; ok && sample.incarnation == w.Incarnation {
			task.baseline = max(baseline, minBaselineMargin)
			if used > 0 && baseline < minBaselineMargin {
				task.unexplainedSlope = (minBaselineMargin - baseline) / used
			}
		}
		c.tasks = append(c.tasks, task)
	})
	slices.SortFunc(c.bestEffort, func(a, b imageLoad) int { return cmp.Compare(a.image, b.image) })
	return c
}

func (c *contention) addBestEffort(step *tbflow.Step, w *tbfleet.Worker) {
	i := slices.IndexFunc(c.bestEffort, func(load imageLoad) bool { return load.image == step.Image })
	if i < 0 {
		i = len(c.bestEffort)
		c.bestEffort = append(c.bestEffort, imageLoad{image: step.Image, speed: 1})
	}
	c.bestEffort[i].share += processorShare(step.Need.MilliProcessors, w)
	c.bestEffort[i].processors += float64(step.Need.MilliProcessors) / 1000
}

package tbassign

import (
	"cmp"
	"math"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: best-effort work is waiting while long-running tasks, each with its own load
// that varies over seconds, come close to their latency targets. Best-effort work is weighed
// against the long-running tasks that it would push over their targets: a short violation is
// worth some processors of best-effort work, and no more.

// Weights of best-effort work against long-running tasks.
const (
	// violationCost is the number of processors of best-effort work that one long-running task
	// over its target outweighs; the users' contract counts such a task four times.
	violationCost = 9.0
	// riskMidpoint is the margin at which a task has an even chance of being over its target by
	// the next poll.
	riskMidpoint = 1.05
	// minBaselineMargin is the lower bound of a long-running task's margin without best-effort
	// tasks beside it. If the baseline computed from the last poll is lower, the difference
	// counts as interference (see unexplainedSlope).
	minBaselineMargin = 1.25
	// riskScale is the scale of the change of a margin until the next poll.
	riskScale = 0.12
	// minStartMargin is the smallest expected margin at which a harmful image is started.
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
	// baseline is the expected margin without the best-effort tasks.
	baseline float64
	// unexplainedSlope is interference that no learned slope accounts for, per share of the
	// worker that best-effort tasks use. It is 0 or positive and is subtracted from every
	// slope.
	unexplainedSlope float64
}

// imageLoad is the sum of the requests of all tasks of one best-effort image on a worker.
type imageLoad struct {
	image string
	// share is the sum as a fraction of the worker's processors, processors the sum in
	// processors, and speed the fraction of full speed, from 0 to 1.
	share      float64
	processors float64
	speed      float64
}

// slope returns the expected change of a task's margin if a best-effort image used the whole
// worker.
func (c *contention) slope(t latencyTask, bestEffort string) float64 {
	return c.learner.slope(t.image, bestEffort) - t.unexplainedSlope
}

// margin returns the expected margin of a long-running task beside the best-effort tasks.
func (c *contention) margin(t latencyTask) float64 {
	margin := t.baseline
	for _, load := range c.bestEffort {
		margin += c.slope(t, load.image) * load.share * load.speed
	}
	return margin
}

// effects returns the change of each long-running task's margin caused by each best-effort
// image at full speed, ordered by task and then by image.
func (c *contention) effects() []float64 {
	all := make([]float64, 0, len(c.tasks)*len(c.bestEffort))
	for _, t := range c.tasks {
		for _, load := range c.bestEffort {
			all = append(all, c.slope(t, load.image)*load.share)
		}
	}
	return all
}

// netBenefit returns the best-effort work done less the cost of expected target violations, in
// processors.
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

// optimize searches for the speeds with the highest net benefit by coordinate ascent, one image
// after the other.
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

// contentionOf returns the long-running tasks of a worker that have a latency target and those
// best-effort tasks that include accepts, at full speed. Baselines come from the last observed
// poll of this incarnation; a task without one gets defaultMargin.
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
			c.add(step, w)
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

// add adds one best-effort task.
func (c *contention) add(step *tbflow.Step, w *tbfleet.Worker) {
	i := slices.IndexFunc(c.bestEffort, func(load imageLoad) bool { return load.image == step.Image })
	if i < 0 {
		i = len(c.bestEffort)
		c.bestEffort = append(c.bestEffort, imageLoad{image: step.Image, speed: 1})
	}
	c.bestEffort[i].share += processorShare(step.Need.MilliProcessors, w)
	c.bestEffort[i].processors += float64(step.Need.MilliProcessors) / 1000
}

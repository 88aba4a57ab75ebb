package tbassign

import (
	"cmp"
	"math"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: filling work waits while lasting tasks, each with a load of its own that
// swings over seconds, come close to their targets. Filling work is weighed against the
// lasting tasks that it would push over their targets: a tail that is over for a moment
// is worth some processors of filling work, and no more.

// Weights of filling work against lasting tasks.
const (
	// overCost is how many processors of filling work one lasting task over its target
	// outweighs; the users' contract counts such a task four times.
	overCost = 9.0
	// safeMargin is the margin at which a tail is over its target by the next look as
	// often as not.
	safeMargin = 1.05
	// aloneMargin is the least margin of a lasting task without filling ones beside it;
	// what is missing to it is put down to those.
	aloneMargin = 1.25
	// soonSpread is how far a margin strays until the next look.
	soonSpread = 0.12
	// startMargin is the least expected margin with which a harmful image is started.
	startMargin = 1.8
)

// risk returns how likely a tail is over its target soon, from its expected margin.
func risk(margin float64) float64 { return 1 / (1 + math.Exp((margin-safeMargin)/soonSpread)) }

// contention is the filling and the lasting tasks of one worker.
type contention struct {
	learner *Learner
	tasks   []lastingTail
	fills   []fillingShare
}

// lastingTail is a lasting task with a tail to keep.
type lastingTail struct {
	image string
	// clean is its margin without the filling tasks.
	clean float64
	// unexplained is harm that no learned slope accounts for, for each share of the worker
	// that filling tasks use.
	unexplained float64
}

// fillingShare is what the tasks of one image use at full pace.
type fillingShare struct {
	image string
	// share is their share of the worker, and processors the same in processors.
	share      float64
	processors float64
	pace       float64
}

// slope returns what a filling image is expected to do to a lasting task.
func (c *contention) slope(t lastingTail, filling string) float64 {
	return c.learner.slope(t.image, filling) - t.unexplained
}

// margin returns what is left of a lasting task's margin beside the filling tasks.
func (c *contention) margin(t lastingTail) float64 {
	margin := t.clean
	for _, f := range c.fills {
		margin += c.slope(t, f.image) * f.share * f.pace
	}
	return margin
}

// effects returns what each filling image at full pace does to the margin of each lasting
// task, by task and then by image.
func (c *contention) effects() []float64 {
	all := make([]float64, 0, len(c.tasks)*len(c.fills))
	for _, t := range c.tasks {
		for _, f := range c.fills {
			all = append(all, c.slope(t, f.image)*f.share)
		}
	}
	return all
}

// benefit is the filling work done less what the lasting tasks lose by it, in processors.
func (c *contention) benefit(effects []float64) float64 {
	sum := 0.0
	for _, f := range c.fills {
		sum += f.processors * f.pace
	}
	for i, t := range c.tasks {
		margin := t.clean
		for k, effect := range effects[i*len(c.fills) : (i+1)*len(c.fills)] {
			margin += effect * c.fills[k].pace
		}
		sum -= overCost * risk(margin)
	}
	return sum
}

// paceLevels are the paces that are tried.
var paceLevels = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1}

// optimize sets the paces with the best balance, one image after the other.
func (c *contention) optimize() {
	for i := range c.fills {
		c.fills[i].pace = 1
	}
	effects := c.effects()
	const rounds = 2
	for range rounds {
		for i := range c.fills {
			best, bestPace := math.Inf(-1), 1.0
			for _, pace := range paceLevels {
				c.fills[i].pace = pace
				if sum := c.benefit(effects); sum >= best {
					best, bestPace = sum, pace
				}
			}
			c.fills[i].pace = bestPace
		}
	}
}

// contentionOf returns the tasks of a worker at full pace, as far as counts accepts the
// filling ones; margins are those of the last look.
func (l *Learner) contentionOf(s *tbflow.State, w *tbfleet.Worker, counts func(*tbfleet.Run) bool) *contention {
	c := &contention{learner: l}
	look := l.looks[w.ID]
	used := 0.0
	for _, use := range look.uses {
		used += use
	}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil {
			return
		}
		if step.Fills && counts(r) {
			c.add(step, w)
		}
		if !step.Lasting || step.TailTarget <= 0 {
			return
		}
		tail := lastingTail{image: step.Image, clean: usualMargin}
		if clean, ok := look.clean[ref]; ok && look.born == w.Born {
			tail.clean = max(clean, aloneMargin)
			if used > 0 && clean < aloneMargin {
				tail.unexplained = (aloneMargin - clean) / used
			}
		}
		c.tasks = append(c.tasks, tail)
	})
	slices.SortFunc(c.fills, func(a, b fillingShare) int { return cmp.Compare(a.image, b.image) })
	return c
}

// add counts one more filling task.
func (c *contention) add(step *tbflow.Step, w *tbfleet.Worker) {
	i := slices.IndexFunc(c.fills, func(f fillingShare) bool { return f.image == step.Image })
	if i < 0 {
		i = len(c.fills)
		c.fills = append(c.fills, fillingShare{image: step.Image, pace: 1})
	}
	c.fills[i].share += share(step.Need.MilliProcessors, w)
	c.fills[i].processors += float64(step.Need.MilliProcessors) / 1000
}

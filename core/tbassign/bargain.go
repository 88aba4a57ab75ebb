package tbassign

import (
	"math"

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

// bargain is the filling and the lasting tasks of one worker.
type bargain struct {
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

func (b *bargain) margin(t lastingTail) float64 {
	margin := t.clean
	for _, f := range b.fills {
		margin += (b.learner.slope(t.image, f.image) - t.unexplained) * f.share * f.pace
	}
	return margin
}

// balance is the filling work done less what the lasting tasks lose by it, in processors.
func (b *bargain) balance() float64 {
	sum := 0.0
	for _, f := range b.fills {
		sum += f.processors * f.pace
	}
	for _, t := range b.tasks {
		sum -= overCost * risk(b.margin(t))
	}
	return sum
}

// paceLevels are the paces that are tried.
var paceLevels = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1}

// settle sets the paces with the best balance, one image after the other.
func (b *bargain) settle() {
	for i := range b.fills {
		b.fills[i].pace = 1
	}
	const rounds = 2
	for range rounds {
		for i := range b.fills {
			best, bestPace := math.Inf(-1), 1.0
			for _, pace := range paceLevels {
				b.fills[i].pace = pace
				if sum := b.balance(); sum >= best {
					best, bestPace = sum, pace
				}
			}
			b.fills[i].pace = bestPace
		}
	}
}

// bargainAt returns the tasks of a worker as the last look at it showed them.
func (l *Learner) bargainAt(s *tbflow.State, w *tbfleet.Worker) *bargain {
	b := &bargain{learner: l, tasks: l.tails(s, w)}
	at := map[string]int{}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !step.Fills || r.Phase != tbfleet.RunGoingOn {
			return
		}
		i, ok := at[step.Image]
		if !ok {
			i = len(b.fills)
			at[step.Image] = i
			b.fills = append(b.fills, fillingShare{image: step.Image})
		}
		b.fills[i].share += share(step.Need.MilliProcessors, w)
		b.fills[i].processors += float64(step.Need.MilliProcessors) / 1000
	})
	return b
}

// tails returns the lasting tasks of a worker with their margins.
func (l *Learner) tails(s *tbflow.State, w *tbfleet.Worker) []lastingTail {
	var all []lastingTail
	look := l.looks[w.ID]
	used := 0.0
	for _, use := range look.uses {
		used += use
	}
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		step := s.StepOf(ref)
		if step == nil || !step.Lasting || step.TailTarget <= 0 {
			return
		}
		tail := lastingTail{image: step.Image, clean: usualMargin}
		if clean, ok := look.clean[ref]; ok && look.born == w.Born {
			tail.clean = max(clean, aloneMargin)
			if used > 0 && clean < aloneMargin {
				tail.unexplained = (aloneMargin - clean) / used
			}
		}
		all = append(all, tail)
	})
	return all
}

// bears reports whether the lasting tasks of a room bear another filling task.
func (p *pools) bears(r *room, step *tbflow.Step) bool {
	if p.learner.worstSlope(r.lasting, step.Image) > harmlessSlope {
		return true
	}
	if r.bargain == nil {
		r.bargain = p.bargainOf(r)
	}
	b := r.bargain
	b.add(step, r.worker, 1)
	defer func() { b.fills = b.fills[:len(b.fills)-1] }()
	for _, t := range b.tasks {
		if b.margin(t) < startMargin {
			return false
		}
	}
	return true
}

// bargainOf returns the tasks of a room at full pace, with those that the last look does not show.
func (p *pools) bargainOf(r *room) *bargain {
	b := &bargain{learner: p.learner, tasks: p.learner.tails(p.state, r.worker)}
	r.worker.EachRun(func(ref tbflow.TaskRef, run *tbfleet.Run) {
		if step := p.state.StepOf(ref); step != nil && step.Fills && run.Phase != tbfleet.RunEnding {
			b.add(step, r.worker, 1)
		}
	})
	return b
}

func (b *bargain) add(step *tbflow.Step, w *tbfleet.Worker, pace float64) {
	b.fills = append(b.fills, fillingShare{
		image: step.Image, share: share(step.Need.MilliProcessors, w),
		processors: float64(step.Need.MilliProcessors) / 1000, pace: pace,
	})
}

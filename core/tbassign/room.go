package tbassign

import (
	"math"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// room is what a worker has left.
type room struct {
	worker *tbfleet.Worker
	// index is its place among the rooms of its class.
	index int
	free  tbresource.Amount
	// unused estimates the processors that tasks which do not fill leave unused, less what fills already.
	unused int64
	// lasting counts the lasting tasks by image, in order of their numbers.
	lasting []imageCount
	// contention weighs more filling tasks against the lasting ones, once it was needed, and
	// tails holds what it says of each.
	contention *contention
	tails      []tailLeft
	// tasks counts the tasks of steps with a spread limit.
	tasks map[stepRef]int

	// worst and scarce are kept by filling image while the lasting images stay the same;
	// scarce is NaN where it was not needed yet.
	worst  []float64
	scarce []float64
}

// imageCount is a number of tasks of one lasting image.
type imageCount struct {
	image int
	tasks int
}

// tailLeft is the margin of a lasting task beside the filling ones.
type tailLeft struct {
	image       int
	margin      float64
	unexplained float64
}

type stepRef struct {
	job        string
	occurrence int
	step       int
}

func refOfStep(ref tbflow.TaskRef) stepRef { return stepRef{ref.Job, ref.Occurrence, ref.Step} }

// hold counts a task that is to come as if it was there already, or with sign -1 takes that back.
func (r *room) hold(s *tbflow.State, ref tbflow.TaskRef, sign int) {
	step := s.StepOf(ref)
	r.reserve(step, refOfStep(ref), step.Need, sign)
}

// reserve takes what one task of a step needs from the room, or with sign -1 gives it back.
func (r *room) reserve(step *tbflow.Step, ref stepRef, need tbresource.Amount, sign int) {
	if sign > 0 {
		r.free = r.free.Sub(need)
	} else {
		r.free = r.free.Add(need)
	}
	if step.SpreadLimit > 0 {
		r.spread(ref, sign)
	}
}

func (r *room) spread(step stepRef, n int) {
	if r.tasks == nil {
		r.tasks = map[stepRef]int{}
	}
	r.tasks[step] += n
}

// addLasting counts lasting tasks of an image in or out.
func (r *room) addLasting(image, n int) {
	images := len(r.lasting)
	r.lasting = countImage(r.lasting, image, n)
	if len(r.lasting) != images {
		r.worst, r.scarce = r.worst[:0], r.scarce[:0]
	}
}

// worstSlope returns the strongest effect that a filling image has on any of the lasting images.
func (p *pools) worstSlope(r *room, filling int) float64 {
	for i := len(r.worst); i <= filling; i++ {
		worst := 0.0
		for _, c := range r.lasting {
			worst = min(worst, p.images.slopes[c.image][i])
		}
		r.worst = append(r.worst, worst)
	}
	return r.worst[filling]
}

// occupy counts what a task that does not fill is expected to use, or with sign -1 takes that back.
func (p *pools) occupy(r *room, step *tbflow.Step, sign int) {
	if step.Lasting {
		r.addLasting(p.images.lastingNumber(step.Image), sign)
	}
	r.unused -= int64(sign) * usedBy(step)
}

func (p *pools) take(r *room, w *waitingStep) { p.change(r, w, 1) }

func (p *pools) giveBack(r *room, w *waitingStep) { p.change(r, w, -1) }

func (p *pools) change(r *room, w *waitingStep, sign int) {
	need := w.step.Need
	if w.step.Fills {
		r.unused -= int64(sign) * need.MilliProcessors
		if r.contention != nil && sign > 0 {
			r.contention.add(w.step, r.worker)
			p.readTails(r)
		}
		need.MilliProcessors = 0
	} else {
		p.occupy(r, w.step, sign)
	}
	r.reserve(w.step, w.ref(), need, sign)
}

// bears reports whether the lasting tasks of a room bear another filling task.
func (p *pools) bears(r *room, w *waitingStep) bool {
	if p.worstSlope(r, w.filling) > harmlessSlope {
		return true
	}
	if r.contention == nil {
		r.contention = p.learner.contentionOf(p.state, r.worker, func(run *tbfleet.Run) bool { return run.Phase != tbfleet.RunEnding })
		p.readTails(r)
	}
	more := share(w.step.Need.MilliProcessors, r.worker)
	for _, t := range r.tails {
		if t.margin+(p.images.slopes[t.image][w.filling]-t.unexplained)*more < startMargin {
			return false
		}
	}
	return true
}

func (p *pools) readTails(r *room) {
	r.tails = r.tails[:0]
	for _, t := range r.contention.tasks {
		r.tails = append(r.tails, tailLeft{p.images.lastingNumber(t.image), r.contention.margin(t), t.unexplained})
	}
}

// scarcity returns how much the other filling images need this room: the mean, over
// those that it suits, of the share of rooms that they harm.
func (p *pools) scarcity(r *room, w *waitingStep) float64 {
	for len(r.scarce) <= w.filling {
		r.scarce = append(r.scarce, math.NaN())
	}
	if known := r.scarce[w.filling]; !math.IsNaN(known) {
		return known
	}
	if p.restricted == nil {
		p.restricted = p.restrictions(p.classes[w.job.WorkerClass])
	}
	sum := 0.0
	for image, share := range p.restricted {
		if image != w.filling && p.worstSlope(r, image) > harmlessSlope {
			sum += share
		}
	}
	r.scarce[w.filling] = sum / float64(max(1, len(p.restricted)))
	return r.scarce[w.filling]
}

// restrictions returns, for each learned filling image, the share of rooms that it harms.
func (p *pools) restrictions(rooms []*room) []float64 {
	shares := make([]float64, p.images.learned)
	for image := range shares {
		harmed := 0
		for _, r := range rooms {
			if p.worstSlope(r, image) <= harmlessSlope {
				harmed++
			}
		}
		shares[image] = float64(harmed) / float64(max(1, len(rooms)))
	}
	return shares
}

package tbassign

import (
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: lasting tasks reserve most of the processors and use about half of
// them, short jobs need small gaps at once, and wide steps of filling work arrive in
// bursts. Short and lasting tasks go where the least room is left over, which keeps
// large gaps for large tasks; filling tasks go where the most processors are unused.

// Scores of rooms for filling tasks, in shares of an instance.
const (
	// scarceWeight is the score lost on instances that other filling images need more.
	scarceWeight = 1.0
	// harmWeight is the score lost for each unit of slope on the lasting images of an instance.
	harmWeight = 0.5
)

// lastingLoad is the share of its reserved processors that a lasting task is expected to use.
const lastingLoad = 0.45

// fillOvercommit bounds what filling tasks may ask for, as a share of the unused processors.
const fillOvercommit = 1.0

// place assigns as many tasks of a step as fit, a gang as a whole.
func (p *pools) place(w waitingStep, limit int) []tbflow.Assignment {
	if w.step.Gang {
		return p.placeGang(w, limit)
	}
	var plan []tbflow.Assignment
	for _, ref := range w.refs {
		if len(plan) >= limit {
			break
		}
		t := w.job.Task(ref)
		r, held := p.pinnedRoom(w, ref, t)
		if held && r == nil {
			continue
		}
		if r == nil {
			r = p.choose(w, t)
		}
		if r == nil {
			// The next task of the step needs the same and may only avoid another worker.
			if t.LastFailedOn == "" {
				break
			}
			continue
		}
		r.take(w)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: t.Run + 1, Worker: r.worker.ID, Born: r.worker.Born})
	}
	return plan
}

// pinnedRoom returns the place held for a task that is being moved, or nil while another
// task has yet to leave it, and whether there is one.
func (p *pools) pinnedRoom(w waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (*room, bool) {
	r := p.byWorker[p.rebalancer.pinned(p.now, p.state, ref)]
	if r == nil {
		return nil, false
	}
	r.hold(p.state, ref, -1)
	switch {
	case !w.step.Need.Fits(r.free):
		r.hold(p.state, ref, 1)
		return nil, true
	case !p.allowed(r, w, t, len(p.classes[w.job.WorkerClass])):
		return nil, false
	}
	return r, true
}

// placeGang assigns all tasks of a gang or none, under one run number.
func (p *pools) placeGang(w waitingStep, limit int) []tbflow.Assignment {
	tasks := w.job.Tasks[w.occurrence][w.index]
	if len(w.refs) < len(tasks) || len(w.refs) > limit {
		return nil
	}
	run := uint64(0)
	for i := range tasks {
		run = max(run, tasks[i].Run)
	}
	var plan []tbflow.Assignment
	var taken []*room
	for _, ref := range w.refs {
		r := p.choose(w, w.job.Task(ref))
		if r == nil {
			for _, r := range taken {
				r.giveBack(w)
			}
			return nil
		}
		r.take(w)
		taken = append(taken, r)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: run + 1, Worker: r.worker.ID, Born: r.worker.Born})
	}
	return plan
}

// choose returns the best room for a task, or nil.
//
// A lasting task may use the room kept for short ones when it has waited for a while
// and would fit at least twice.
func (p *pools) choose(w waitingStep, t *tbflow.Task) *room {
	var best, bestKept *room
	var bestScore, bestKeptScore float64
	kept := 0
	rooms := p.classes[w.job.WorkerClass]
	for _, r := range rooms {
		if !p.allowed(r, w, t, len(rooms)) {
			continue
		}
		score := p.score(r, w)
		if w.step.Lasting && !r.keepsReserve(w.step) {
			kept++
			if bestKept == nil || score > bestKeptScore {
				bestKept, bestKeptScore = r, score
			}
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	if best == nil && kept >= 2 && p.state.NowMs-t.WaitingMs > reserveHoldMs {
		return bestKept
	}
	return best
}

func (p *pools) allowed(r *room, w waitingStep, t *tbflow.Task, rooms int) bool {
	need := w.step.Need
	if w.step.Fills {
		need.MilliProcessors = 0
		if int64(float64(w.step.Need.MilliProcessors)*fillOvercommit) > r.unused {
			return false
		}
		if !p.bears(r, w.step) {
			return false
		}
	}
	switch {
	case !need.Fits(r.free):
		return false
	case t.LastFailedOn == r.worker.ID && rooms > 1:
		return false
	}
	return admitted(w.step, r.worker, r.tasks[w.ref()])
}

// admitted reports whether a worker has the step's label and may run one more of its
// tasks beside those that it has.
func admitted(step *tbflow.Step, w *tbfleet.Worker, beside int) bool {
	return (step.Label == "" || slices.Contains(w.Labels, step.Label)) &&
		(step.SpreadLimit <= 0 || beside < step.SpreadLimit)
}

// shortReserve is the share of an instance's processors that lasting tasks leave to short ones.
const shortReserve = 0.08

// reserveHoldMs is how long, in milliseconds, lasting tasks are held back for it; the platform's rules bear 3 s.
const reserveHoldMs = 1500

// keepsReserve reports whether a lasting task leaves room for short ones, or fits twice.
func (r *room) keepsReserve(step *tbflow.Step) bool {
	left := r.free.MilliProcessors - step.Need.MilliProcessors
	return left >= step.Need.MilliProcessors || share(left, r.worker) >= shortReserve
}

// farPenalty is the score lost on a rack without the data; it outweighs any difference in room.
const farPenalty = 1e6

// score is higher for a better place.
func (p *pools) score(r *room, w waitingStep) float64 {
	score := 0.0
	if w.step.Rack != "" && r.worker.Rack != w.step.Rack {
		score -= farPenalty
	}
	if w.step.Fills {
		return score + p.fillScore(r, w)
	}
	left := r.free.Sub(w.step.Need)
	if w.step.Lasting {
		score -= colocationWeight * p.colocation.cost(w.step.Image, r.lasting)
	}
	return score - left.Share(r.worker.Capacity) - float64(r.worker.Failures)
}

// fillScore prefers unused processors, keeps filling images away from those that they
// harm, and leaves instances to the images that can go nowhere else.
func (p *pools) fillScore(r *room, w waitingStep) float64 {
	score := share(r.unused, r.worker) - float64(r.worker.Failures)
	slope := p.learner.worstSlope(r.lasting, w.step.Image)
	return score + harmWeight*slope - scarceWeight*p.scarcity(r, w)
}

// scarcity returns how much the other filling images need this room: the mean, over
// those that it suits, of the share of rooms that they harm.
func (p *pools) scarcity(r *room, w waitingStep) float64 {
	if p.restricted == nil {
		p.restricted = p.restrictions(p.classes[w.job.WorkerClass])
	}
	sum := 0.0
	for image, share := range p.restricted {
		if image != w.step.Image && p.learner.worstSlope(r.lasting, image) > harmlessSlope {
			sum += share
		}
	}
	return sum / float64(max(1, len(p.restricted)))
}

// restrictions returns, for each filling image, the share of rooms that it harms.
func (p *pools) restrictions(rooms []*room) map[string]float64 {
	shares := map[string]float64{}
	for _, image := range p.learner.fillingImages() {
		harmed := 0
		for _, r := range rooms {
			if p.learner.worstSlope(r.lasting, image) <= harmlessSlope {
				harmed++
			}
		}
		shares[image] = float64(harmed) / float64(max(1, len(rooms)))
	}
	return shares
}

func (r *room) take(w waitingStep) { r.change(w, 1) }

func (r *room) giveBack(w waitingStep) { r.change(w, -1) }

func (r *room) change(w waitingStep, sign int) {
	need := w.step.Need
	if w.step.Fills {
		r.unused -= int64(sign) * need.MilliProcessors
		if r.contention != nil && sign > 0 {
			r.contention.add(w.step, r.worker)
		}
		need.MilliProcessors = 0
	} else {
		r.occupy(w.step, sign)
	}
	r.reserve(w.step, w.ref(), need, sign)
}

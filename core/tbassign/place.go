package tbassign

import (
	"math"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
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
func (p *pools) place(w *waitingStep, limit int) []tbflow.Assignment {
	if p.isFull(w) {
		return nil
	}
	p.countSpread(w)
	if w.step.Gang {
		return p.placeGang(w, limit)
	}
	var plan []tbflow.Assignment
	var fit *candidates
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
			if fit == nil {
				if fit = p.rate(w); fit.none() {
					p.noteFull(w)
				}
			}
			r = fit.choose(t)
		}
		if r == nil {
			// The next task of the step needs the same and may only avoid another worker.
			if t.LastFailedOn == "" {
				break
			}
			continue
		}
		p.take(r, w)
		if fit != nil {
			fit.renew(r)
		}
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: t.Run + 1, Worker: r.worker.ID, Born: r.worker.Born})
	}
	return plan
}

// isFull reports whether a filling step of the same image that needs no more found no room.
//
// Rooms only lose by what is placed, but for a place that is no longer held.
func (p *pools) isFull(w *waitingStep) bool {
	if !w.step.Fills {
		return false
	}
	needed, ok := p.full[w.filling]
	return ok && needed.Fits(w.step.Need)
}

// noteFull notes that no room takes a filling step, unless only some workers may run it.
func (p *pools) noteFull(w *waitingStep) {
	if w.step.Fills && w.step.Label == "" && w.step.SpreadLimit <= 0 {
		p.full[w.filling] = w.step.Need
	}
}

// pinnedRoom returns the place held for a task that is being moved, or nil while another
// task has yet to leave it, and whether there is one.
func (p *pools) pinnedRoom(w *waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (*room, bool) {
	r := p.byWorker[p.rebalancer.pinned(p.now, p.state, ref)]
	if r == nil {
		return nil, false
	}
	r.hold(p.state, ref, -1)
	switch {
	case !w.step.Need.Fits(r.free):
		r.hold(p.state, ref, 1)
		return nil, true
	case !p.allowed(r, w) || avoids(t, r, len(p.classes[w.job.WorkerClass])):
		// What was rated with the place held is rated again.
		clear(p.full)
		if p.rated.step == w {
			p.rated.renew(r)
		}
		return nil, false
	}
	return r, true
}

// placeGang assigns all tasks of a gang or none, under one run number.
func (p *pools) placeGang(w *waitingStep, limit int) []tbflow.Assignment {
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
	fit := p.rate(w)
	for _, ref := range w.refs {
		r := fit.choose(w.job.Task(ref))
		if r == nil {
			for _, r := range taken {
				p.giveBack(r, w)
			}
			return nil
		}
		p.take(r, w)
		fit.renew(r)
		taken = append(taken, r)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: run + 1, Worker: r.worker.ID, Born: r.worker.Born})
	}
	return plan
}

// candidates are the rooms of a step's class with their scores; a room is rated again
// only when a task of the step has taken some of it.
type candidates struct {
	pools  *pools
	step   *waitingStep
	rooms  []*room
	scores []float64
	// kept is true for rooms of which a lasting task would take what is kept for short ones.
	kept []bool
}

// noRoom is the score of a room that takes no task of the step.
var noRoom = math.Inf(-1)

func (p *pools) rate(w *waitingStep) *candidates {
	c := &p.rated
	c.pools, c.step, c.rooms = p, w, p.classes[w.job.WorkerClass]
	c.scores = slices.Grow(c.scores[:0], len(c.rooms))[:len(c.rooms)]
	c.kept = slices.Grow(c.kept[:0], len(c.rooms))[:len(c.rooms)]
	for _, r := range c.rooms {
		c.renew(r)
	}
	return c
}

// none reports whether no room takes a task of the step.
func (c *candidates) none() bool {
	return !slices.ContainsFunc(c.scores, func(score float64) bool { return score != noRoom })
}

func (c *candidates) renew(r *room) {
	c.scores[r.index], c.kept[r.index] = noRoom, false
	if c.pools.allowed(r, c.step) {
		c.scores[r.index] = c.pools.score(r, c.step)
		c.kept[r.index] = c.step.step.Lasting && !keepsReserve(r.free, c.step.step, r.worker)
	}
}

// choose returns the best room for a task, or nil.
//
// A lasting task may use the room kept for short ones when it has waited for a while
// and would fit at least twice.
func (c *candidates) choose(t *tbflow.Task) *room {
	best, bestKept := -1, -1
	kept := 0
	for i, score := range c.scores {
		switch {
		case score == noRoom || t.LastFailedOn != "" && avoids(t, c.rooms[i], len(c.rooms)):
		case c.kept[i]:
			kept++
			if bestKept < 0 || score > c.scores[bestKept] {
				bestKept = i
			}
		case best < 0 || score > c.scores[best]:
			best = i
		}
	}
	switch {
	case best >= 0:
		return c.rooms[best]
	case kept >= 2 && c.pools.state.NowMs-t.WaitingMs > reserveHoldMs:
		return c.rooms[bestKept]
	}
	return nil
}

// avoids reports whether a task failed on the room's worker last and may go elsewhere.
func avoids(t *tbflow.Task, r *room, rooms int) bool {
	return t.LastFailedOn == r.worker.ID && rooms > 1
}

// allowed reports whether a room takes another task of a step.
func (p *pools) allowed(r *room, w *waitingStep) bool {
	need := w.step.Need
	if w.step.Fills {
		need.MilliProcessors = 0
		if int64(float64(w.step.Need.MilliProcessors)*fillOvercommit) > r.unused {
			return false
		}
		if !p.bears(r, w) {
			return false
		}
	}
	return need.Fits(r.free) && admitted(w.step, r.worker, r.tasks[w.ref()])
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
func keepsReserve(free tbresource.Amount, step *tbflow.Step, w *tbfleet.Worker) bool {
	left := free.MilliProcessors - step.Need.MilliProcessors
	return left >= step.Need.MilliProcessors || share(left, w) >= shortReserve
}

// farPenalty is the score lost on a rack without the data; it outweighs any difference in room.
const farPenalty = 1e6

// score is higher for a better place.
func (p *pools) score(r *room, w *waitingStep) float64 {
	score := 0.0
	if w.step.Rack != "" && r.worker.Rack != w.step.Rack {
		score -= farPenalty
	}
	if w.step.Fills {
		return score + p.fillScore(r, w)
	}
	left := r.free.Sub(w.step.Need)
	if w.step.Lasting {
		score -= colocationWeight * p.images.cost(p.images.lastingNumber(w.step.Image), r.lasting)
	}
	return score - left.Share(r.worker.Capacity) - float64(r.worker.Failures)
}

// fillScore prefers unused processors, keeps filling images away from those that they
// harm, and leaves instances to the images that can go nowhere else.
func (p *pools) fillScore(r *room, w *waitingStep) float64 {
	score := share(r.unused, r.worker) - float64(r.worker.Failures)
	slope := p.worstSlope(r, w.filling)
	return score + harmWeight*slope - scarceWeight*p.scarcity(r, w)
}

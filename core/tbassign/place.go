package tbassign

import (
	"math"
	"slices"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Load pattern: long-running tasks reserve most of the processors and use about half of them,
// short jobs need small gaps at once, and wide steps of best-effort work arrive in bursts.
// Short and long-running tasks are placed by best fit, which keeps large gaps for large tasks.
// Best-effort tasks are placed where the most processors are unused.

// Weights of the scores for best-effort tasks, in shares of a worker.
const (
	// scarcityWeight is the penalty per unit of scarcity; see planState.scarcity.
	scarcityWeight = 1.0
	// interferenceWeight times the worst slope on the long-running images of the worker, which
	// is never positive, is added to the score.
	interferenceWeight = 0.5
)

// longRunningUtilization is the share of its reserved processors that a long-running task is
// expected to use.
const longRunningUtilization = 0.45

// bestEffortRequestFactor scales the processors that a best-effort task requests before they
// are compared with the unused ones; a value below 1 overcommits.
const bestEffortRequestFactor = 1.0

// place assigns as many tasks of a step as fit; a gang is assigned completely or not at all.
func (p *planState) place(w *waitingStep, limit int) []tbflow.Assignment {
	if p.isUnplaceable(w) {
		return nil
	}
	p.countSpread(w)
	if w.step.Gang {
		return p.placeGang(w, limit)
	}
	var plan []tbflow.Assignment
	var cs *candidates
	for _, ref := range w.taskRefs {
		if len(plan) >= limit {
			break
		}
		t := w.job.Task(ref)
		r, reserved := p.claimReservation(w, ref, t)
		if reserved && r == nil {
			continue
		}
		if r == nil {
			if cs == nil {
				if cs = p.scoreWorkers(w); cs.isEmpty() {
					p.markUnplaceable(w)
				}
			}
			r = cs.choose(t)
		}
		if r == nil {
			// The next task of the step needs the same and can differ only in the worker that
			// it avoids.
			if t.LastFailedOn == "" {
				break
			}
			continue
		}
		p.allocate(r, w)
		if cs != nil {
			cs.rescore(r)
		}
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: t.Run + 1, Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	return plan
}

// isUnplaceable reports whether this plan already found no worker for a best-effort step of the
// same image with at most the demand of this one.
//
// Placements only reduce free capacity. claimReservation clears these results when it releases
// reserved capacity.
func (p *planState) isUnplaceable(w *waitingStep) bool {
	if !w.step.BestEffort {
		return false
	}
	needed, ok := p.unplaceable[w.imageIndex]
	return ok && needed.Fits(w.step.Need)
}

// markUnplaceable records that no worker can take a best-effort step, unless constraints of the
// step limit the workers.
func (p *planState) markUnplaceable(w *waitingStep) {
	if w.step.BestEffort && w.step.Label == "" && w.step.SpreadLimit <= 0 {
		p.unplaceable[w.imageIndex] = w.step.Need
	}
}

// claimReservation releases the reservation of a task that is being moved and returns its
// worker. It returns nil and true, and keeps the reservation, while the reserved capacity is
// not free yet and the task has to wait. It returns nil and false if there is no reservation
// that the task can use; any worker may be chosen then.
func (p *planState) claimReservation(w *waitingStep, ref tbflow.TaskRef, t *tbflow.Task) (*workerState, bool) {
	r := p.byWorker[p.rebalancer.reservedWorker(p.now, p.state, ref)]
	if r == nil {
		return nil, false
	}
	r.countReservation(p.state, ref, -1)
	switch {
	case !w.step.Need.Fits(r.free):
		r.countReservation(p.state, ref, 1)
		return nil, true
	case !p.canPlace(r, w) || avoids(t, r, len(p.classes[w.job.WorkerClass])):
		// Scores that counted the reservation are no longer valid.
		clear(p.unplaceable)
		if p.candidates.waiting == w {
			p.candidates.rescore(r)
		}
		return nil, false
	}
	return r, true
}

// placeGang assigns all tasks of a gang under one run number, or none.
func (p *planState) placeGang(w *waitingStep, limit int) []tbflow.Assignment {
	tasks := w.job.Tasks[w.occurrence][w.index]
	if len(w.taskRefs) < len(tasks) || len(w.taskRefs) > limit {
		return nil
	}
	run := uint64(0)
	for i := range tasks {
		run = max(run, tasks[i].Run)
	}
	var plan []tbflow.Assignment
	var taken []*workerState
	cs := p.scoreWorkers(w)
	for _, ref := range w.taskRefs {
		r := cs.choose(w.job.Task(ref))
		if r == nil {
			for _, r := range taken {
				p.release(r, w)
			}
			return nil
		}
		p.allocate(r, w)
		cs.rescore(r)
		taken = append(taken, r)
		plan = append(plan, tbflow.Assignment{Ref: ref, Run: run + 1, Worker: r.worker.ID, Incarnation: r.worker.Incarnation})
	}
	return plan
}

// candidates holds the scores of the workers of a step's class. A worker is scored again only
// when its free capacity changes.
type candidates struct {
	plan    *planState
	waiting *waitingStep
	workers []*workerState
	scores  []float64
	// usesHeadroom marks workers on which a long-running task would use the headroom for short
	// tasks.
	usesHeadroom []bool
}

// infeasible is the score of a worker that cannot take a task of the step.
var infeasible = math.Inf(-1)

func (p *planState) scoreWorkers(w *waitingStep) *candidates {
	c := &p.candidates
	c.plan, c.waiting, c.workers = p, w, p.classes[w.job.WorkerClass]
	c.scores = slices.Grow(c.scores[:0], len(c.workers))[:len(c.workers)]
	c.usesHeadroom = slices.Grow(c.usesHeadroom[:0], len(c.workers))[:len(c.workers)]
	for _, r := range c.workers {
		c.rescore(r)
	}
	return c
}

// isEmpty reports whether no worker can take a task of the step.
func (c *candidates) isEmpty() bool {
	return !slices.ContainsFunc(c.scores, func(score float64) bool { return score != infeasible })
}

func (c *candidates) rescore(r *workerState) {
	c.scores[r.index], c.usesHeadroom[r.index] = infeasible, false
	if c.plan.canPlace(r, c.waiting) {
		c.scores[r.index] = c.plan.score(r, c.waiting)
		c.usesHeadroom[r.index] = c.waiting.step.LongRunning && !keepsHeadroom(r.free, c.waiting.step, r.worker)
	}
}

// choose returns the best worker for a task, or nil.
//
// A long-running task that fits only within the headroom for short tasks may use it if it has
// waited for longer than headroomWaitMs and fits on at least two workers, so that another one
// keeps its headroom.
func (c *candidates) choose(t *tbflow.Task) *workerState {
	best, bestReserve := -1, -1
	reserveCount := 0
	for i, score := range c.scores {
		switch {
		case score == infeasible || t.LastFailedOn != "" && avoids(t, c.workers[i], len(c.workers)):
		case c.usesHeadroom[i]:
			reserveCount++
			if bestReserve < 0 || score > c.scores[bestReserve] {
				bestReserve = i
			}
		case best < 0 || score > c.scores[best]:
			best = i
		}
	}
	switch {
	case best >= 0:
		return c.workers[best]
	case reserveCount >= 2 && c.plan.state.NowMs-t.WaitingSinceMs > headroomWaitMs:
		return c.workers[bestReserve]
	}
	return nil
}

// avoids reports whether the last run of a task failed on this worker and there are others.
func avoids(t *tbflow.Task, r *workerState, workers int) bool {
	return t.LastFailedOn == r.worker.ID && workers > 1
}

// canPlace reports whether a worker can take another task of a step.
func (p *planState) canPlace(r *workerState, w *waitingStep) bool {
	need := w.step.Need
	if w.step.BestEffort {
		need.MilliProcessors = 0
		if int64(float64(w.step.Need.MilliProcessors)*bestEffortRequestFactor) > r.unused {
			return false
		}
		if !p.tolerates(r, w) {
			return false
		}
	}
	return need.Fits(r.free) && satisfiesConstraints(w.step, r.worker, r.spreadCounts[w.stepRef()])
}

// satisfiesConstraints reports whether a worker has the step's label and may run one more of
// its tasks beside those already present.
func satisfiesConstraints(step *tbflow.Step, w *tbfleet.Worker, present int) bool {
	return (step.Label == "" || slices.Contains(w.Labels, step.Label)) &&
		(step.SpreadLimit <= 0 || present < step.SpreadLimit)
}

// shortHeadroom is the share of a worker's processors that long-running tasks leave to short
// ones.
const shortHeadroom = 0.08

// headroomWaitMs is how long, in milliseconds, a long-running task waits before it may use the
// headroom for short tasks. A task that has not run before is overdue after the same time. The
// users' contract tolerates 3 s.
const headroomWaitMs = 1500

// keepsHeadroom reports whether a long-running task leaves the headroom for short tasks free or
// leaves enough processors for a second task of its step.
func keepsHeadroom(free tbresource.Amount, step *tbflow.Step, w *tbfleet.Worker) bool {
	left := free.MilliProcessors - step.Need.MilliProcessors
	return left >= step.Need.MilliProcessors || processorShare(left, w) >= shortHeadroom
}

// remoteRackPenalty is the penalty for a rack without the data; it outweighs any difference in
// capacity.
const remoteRackPenalty = 1e6

// score rates a worker for a step; higher is better.
func (p *planState) score(r *workerState, w *waitingStep) float64 {
	score := 0.0
	if w.step.Rack != "" && r.worker.Rack != w.step.Rack {
		score -= remoteRackPenalty
	}
	if w.step.BestEffort {
		return score + p.bestEffortScore(r, w)
	}
	left := r.free.Sub(w.step.Need)
	if w.step.LongRunning {
		score -= colocationWeight * p.images.colocationCost(p.images.internLongRunning(w.step.Image), r.longRunning)
	}
	return score - left.DominantShare(r.worker.Capacity) - float64(r.worker.Failures)
}

// bestEffortScore favours unused processors, penalizes workers whose long-running tasks the
// image harms, and leaves workers to images that fit nowhere else.
func (p *planState) bestEffortScore(r *workerState, w *waitingStep) float64 {
	score := processorShare(r.unused, r.worker) - float64(r.worker.Failures)
	slope := p.worstSlope(r, w.imageIndex)
	return score + interferenceWeight*slope - scarcityWeight*p.scarcity(r, w)
}

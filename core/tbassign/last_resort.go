package tbassign

import (
	"cmp"
	"slices"

	"tamarackbarrow/core/tbflow"
)

// A worker that is avoided after failures gets no new tasks for up to several seconds. That is right while other workers can
// take them. A task that can run nowhere else would wait beside an idle worker, although most failures pass or are those of
// the task. It may use the avoided worker as a last resort, once it has waited as long as for another worker than that of its
// last failure.
//
// A worker that fails everything gets at most one task or gang from each plan, and a task that has failed there waits again
// before its next attempt. While the class is short of room, tasks that have waited for long are many, and only long-running
// tasks use avoided workers.

// avoidedWorkers holds the workers of a class that are avoided, but could take tasks otherwise.
type avoidedWorkers struct {
	workers []*workerState
	// use is the use of the class before the plan, that of the avoided workers included.
	use classUse
}

// avoidedOf returns the avoided workers of a class, or nil if there are none.
func (p *planState) avoidedOf(class string) *avoidedWorkers {
	if p.avoidedByClass == nil {
		p.addAvoided()
	}
	return p.avoidedByClass[class]
}

func (p *planState) addAvoided() {
	p.avoidedByClass = map[string]*avoidedWorkers{}
	for i := range p.fleet.Size() {
		w := p.fleet.WorkerAt(i)
		if w == nil || !p.now.Before(w.AvoidUntil) || !p.fleet.IsOnlyAvoided(w, p.now) || whyUnsuited(p.now, p.state, p.fleet, w) != "" {
			continue
		}
		r := p.newWorkerState(w)
		if r == nil {
			continue
		}
		c := p.avoidedByClass[w.Class]
		if c == nil {
			c = &avoidedWorkers{}
			p.avoidedByClass[w.Class] = c
		}
		r.unusedMillicores -= p.learner.workloads.get(w).expectedMillicores
		r.isAvoided = true
		c.workers = append(c.workers, r)
		c.use.add(r)
	}
	if len(p.avoidedByClass) == 0 {
		return
	}
	for i := range p.fleet.Size() {
		w := p.fleet.WorkerAt(i)
		if w == nil || p.avoidedByClass[w.Class] == nil || whyExcluded(p.now, p.state, p.fleet, w) != "" {
			continue
		}
		use := p.state.Usage(w.ID)
		used := use.Reserved
		used.MilliProcessors = min(used.MilliProcessors+use.BestEffortMilliProcessors, w.Capacity.MilliProcessors)
		c := p.avoidedByClass[w.Class]
		c.use.used, c.use.capacity = c.use.used.Add(used), c.use.capacity.Add(w.Capacity)
	}
	for _, c := range p.avoidedByClass {
		for _, r := range c.workers {
			use := c.use
			r.classUse = &use
		}
	}
}

// lastResorts holds the avoided workers that may take tasks of a step that no other worker can take.
type lastResorts struct {
	planState *planState
	step      *waitingStep
	workers   []*workerState
	isKnown   bool
}

// find finds the workers when they are first needed. Those with the fewest failures come first.
func (l *lastResorts) find() {
	if l.isKnown {
		return
	}
	l.isKnown = true
	c := l.planState.avoidedOf(l.step.job.WorkerClass)
	if c == nil || !l.step.step.LongRunning && c.use.keepsRoom() {
		return
	}
	for _, r := range c.workers {
		if r.plannedRuns > 0 {
			continue
		}
		if ref := l.step.stepRef(); l.step.step.SpreadLimit > 0 {
			r.addSpreadCount(ref, l.planState.countTasksOn(r.worker.ID, l.step)-r.spreadCounts[ref])
		}
		if l.canTake(r) {
			l.workers = append(l.workers, r)
		}
	}
	slices.SortStableFunc(l.workers, func(a, b *workerState) int { return cmp.Compare(a.worker.Failures, b.worker.Failures) })
}

// canTake reports whether the plan may place one more task of the step on a worker. It places one, or members of one gang.
func (l *lastResorts) canTake(r *workerState) bool {
	return (r.plannedRuns == 0 || l.step.step.Gang) && l.planState.hasRoom(r, l.step)
}

// isEmpty reports whether no avoided worker can take a task of the step.
func (l *lastResorts) isEmpty() bool {
	l.find()
	return !slices.ContainsFunc(l.workers, l.canTake)
}

// choose returns the worker for a task that no other worker can take, or nil. The worker of the last failure comes last.
func (l *lastResorts) choose(t *tbflow.Task) *workerState {
	if l.planState.nowMs-t.WaitingSinceMs <= avoidWaitMs {
		return nil
	}
	l.find()
	var lastFailed *workerState
	for _, r := range l.workers {
		switch {
		case !l.canTake(r):
		case r.worker.ID == t.LastFailedOn:
			lastFailed = r
		default:
			return r
		}
	}
	return lastFailed
}

// countTasksOn returns the number of assigned tasks and copies of a step on a worker.
func (p *planState) countTasksOn(workerID string, w *waitingStep) int {
	n := 0
	for i := range w.job.Tasks[w.occurrence][w.stepIndex] {
		if t := &w.job.Tasks[w.occurrence][w.stepIndex][i]; t.Phase == tbflow.TaskAssigned && t.Worker == workerID {
			n++
		}
	}
	for ref, c := range p.state.Copies {
		if c.IsAssigned() && c.Worker == workerID && stepRefOf(ref) == w.stepRef() {
			n++
		}
	}
	return n
}

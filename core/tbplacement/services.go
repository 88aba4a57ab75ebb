package tbplacement

import (
	"tamarackbarrow/core/tbneighbour"
	"tamarackbarrow/core/tbstate"
)

func (st *workerState) task(j *tbstate.Job) tbneighbour.Task {
	return tbneighbour.Task{Job: j.ID, Kind: j.Kind, Share: j.Resources.DominantShare(st.worker.Capacity)}
}

// colocation is a runner on the same instance as a worker.
type colocation struct {
	runner  string
	service string
	st      *workerState
}

// findColocations finds the runners on the instances of workers and updates the learned interference.
func (r *round) findColocations() {
	if !r.p.cfg.ProtectServices {
		return
	}
	workers := map[string]*workerState{}
	for _, st := range r.workers {
		workers[st.worker.ID] = st
	}
	var runners []tbneighbour.Runner
	for _, id := range r.s.RunnerIDs() {
		runner := r.s.Runners[id]
		st := workers[runner.Worker]
		if st == nil || runner.Phase != tbstate.RunnerPresent {
			continue
		}
		st.services = append(st.services, runner.Service)
		r.colocations = append(r.colocations, colocation{runner: id, service: runner.Service, st: st})
		runners = append(runners, tbneighbour.Runner{ID: id, Service: runner.Service, Tasks: st.tasks})
	}
	r.p.interference.Learn(runners, r.now)
}

// wouldSlowService reports whether a job is expected to slow down a service on the same instance
// beyond MaxSlowdown.
func (r *round) wouldSlowService(st *workerState, j *tbstate.Job) bool {
	for _, service := range st.services {
		added := r.p.interference.Cost(service, st.task(j))
		if added > 0 && r.p.interference.Predict(service, st.tasks)+added > r.p.cfg.MaxSlowdown {
			return true
		}
	}
	return false
}

// protectServices throttles, evicts or unthrottles at most one task on each worker per
// MeasurementDelay.
//
// A measurement made before MeasurementDelay has passed since the last action may not show the
// effect of that action. Acting on such measurements would evict one task after another for the same
// cause, so they are ignored.
func (r *round) protectServices() {
	r.dropEndedThrottled()
	for _, c := range r.colocations {
		measured := r.p.interference.Measured(c.runner)
		worker := c.st.worker.ID
		if measured.At.IsZero() || measured.At.Before(r.p.lastActionAt[worker].Add(r.p.cfg.MeasurementDelay)) {
			continue
		}
		acted := false
		switch {
		case measured.Slowdown > r.p.cfg.MaxSlowdown:
			acted = r.throttleOrEvict(c)
		case measured.Slowdown < r.p.cfg.UnthrottleBelow:
			acted = r.unthrottle(c)
		}
		if acted {
			r.p.lastActionAt[worker] = r.now
		}
	}
}

func (r *round) dropEndedThrottled() {
	for id := range r.p.throttled {
		if j := r.s.Jobs[id]; j == nil || j.Phase != tbstate.JobRunning {
			delete(r.p.throttled, id)
		}
	}
}

// throttleOrEvict throttles the task that slows down a co-located service most. If the task is
// already throttled, throttleOrEvict evicts the task if evictions are allowed and the task is
// checkpointable. It reports whether it did either.
func (r *round) throttleOrEvict(c colocation) bool {
	j := r.costliestTask(c)
	if j == nil {
		return false
	}
	if !r.p.throttled[j.ID] {
		r.p.throttled[j.ID] = true
		return true
	}
	if r.p.evictionTokens < 1 || !isCheckpointable(r.s, j) || r.recentlyEvicted(j) {
		return false
	}
	r.evict(j, tbstate.EvictedForService)
	return true
}

// costliestTask returns the running task that adds most to the slowdown of the service. Among tasks
// of equal or unknown cost, it returns the largest. It skips urgent and recently evicted tasks.
func (r *round) costliestTask(c colocation) *tbstate.Job {
	var best *tbstate.Job
	bestCost := -1.0
	for _, t := range c.st.tasks {
		j := r.s.Jobs[t.Job]
		if j == nil || j.Phase != tbstate.JobRunning || j.Urgent || r.recentlyEvicted(j) {
			continue
		}
		const sizeWeight = 0.001
		cost := r.p.interference.Cost(c.service, t) + sizeWeight*t.Share
		if cost > bestCost {
			best, bestCost = j, cost
		}
	}
	return best
}

// unthrottle ends the throttling of one task and reports whether a task was throttled.
func (r *round) unthrottle(c colocation) bool {
	for _, t := range c.st.tasks {
		if r.p.throttled[t.Job] {
			delete(r.p.throttled, t.Job)
			return true
		}
	}
	return false
}

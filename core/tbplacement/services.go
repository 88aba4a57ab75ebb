package tbplacement

import (
	"tamarackbarrow/core/tbneighbour"
	"tamarackbarrow/core/tbstate"
)

func (st *seat) task(j *tbstate.Job) tbneighbour.Task {
	return tbneighbour.Task{Job: j.ID, Kind: j.Kind, Share: j.Resources.Share(st.worker.Capacity)}
}

// neighbour is a runner that shares an instance with a worker.
type neighbour struct {
	runner  string
	service string
	seat    *seat
}

// findServices relates the runners to the workers on the same instances and lets the learner look.
func (r *round) findServices() {
	if !r.p.policy.LearnNeighbours {
		return
	}
	seats := map[string]*seat{}
	for _, st := range r.seats {
		seats[st.worker.ID] = st
	}
	var runners []tbneighbour.Runner
	for _, id := range r.s.RunnerIDs() {
		runner := r.s.Runners[id]
		st := seats[runner.Worker]
		if st == nil || runner.Phase != tbstate.RunnerPresent {
			continue
		}
		st.services = append(st.services, runner.Service)
		r.neighbours = append(r.neighbours, neighbour{runner: id, service: runner.Service, seat: st})
		runners = append(runners, tbneighbour.Runner{ID: id, Service: runner.Service, Tasks: st.tasks})
	}
	r.p.neighbours.Learn(runners, r.now)
}

// wouldSlow reports whether a job would slow a service on the same instance too much.
func (r *round) wouldSlow(st *seat, j *tbstate.Job) bool {
	for _, service := range st.services {
		added := r.p.neighbours.Cost(service, st.task(j))
		if added > 0 && r.p.neighbours.Predict(service, st.tasks)+added > r.p.policy.SlowLimit {
			return true
		}
	}
	return false
}

// protectServices acts on each instance at most once for each fresh measurement.
//
// A measurement from before the last action took effect says nothing about it;
// acting on it again would stop one task after another for the same cause.
func (r *round) protectServices() {
	r.dropEndedThrottles()
	for _, n := range r.neighbours {
		measured := r.p.neighbours.Measured(n.runner)
		worker := n.seat.worker.ID
		if measured.At.IsZero() || measured.At.Before(r.p.actedAt[worker].Add(r.p.policy.MeasureLag)) {
			continue
		}
		acted := false
		switch {
		case measured.Slowdown > r.p.policy.SlowLimit:
			acted = r.relieve(n)
		case measured.Slowdown < r.p.policy.CalmLimit:
			acted = r.release(n)
		}
		if acted {
			r.p.actedAt[worker] = r.now
		}
	}
}

func (r *round) dropEndedThrottles() {
	for id := range r.p.throttled {
		if j := r.s.Jobs[id]; j == nil || j.Phase != tbstate.JobRunning {
			delete(r.p.throttled, id)
		}
	}
}

// relieve throttles the costliest task beside a service, and stops it if that did not help.
func (r *round) relieve(n neighbour) bool {
	j := r.costliest(n)
	if j == nil {
		return false
	}
	if !r.p.throttled[j.ID] {
		r.p.throttled[j.ID] = true
		return true
	}
	if r.p.evictTokens < 1 || !checkpointable(r.s, j) || r.evictedLately(j) {
		return false
	}
	r.evict(j, tbstate.EvictedForService)
	return true
}

// costliest returns the running task that adds most to the slowdown; unknown costs go by size.
func (r *round) costliest(n neighbour) *tbstate.Job {
	var best *tbstate.Job
	bestCost := -1.0
	for _, t := range n.seat.tasks {
		j := r.s.Jobs[t.Job]
		if j == nil || j.Phase != tbstate.JobRunning || j.Urgent || r.evictedLately(j) {
			continue
		}
		const sizeWeight = 0.001
		cost := r.p.neighbours.Cost(n.service, t) + sizeWeight*t.Share
		if cost > bestCost {
			best, bestCost = j, cost
		}
	}
	return best
}

// release gives one throttled task its processors back.
func (r *round) release(n neighbour) bool {
	for _, t := range n.seat.tasks {
		if r.p.throttled[t.Job] {
			delete(r.p.throttled, t.Job)
			return true
		}
	}
	return false
}

package tbfleet

import "time"

// maxUnreachedPolls limits the polls in flight to workers that this leader has not reached.
//
// A new leader has reached none. 3,000 simultaneous polls, each on a new connection, keep a replica
// busy until all have timed out, and it then sends them again. A worker that does not answer holds
// a permit for the timeout of a poll.
const maxUnreachedPolls = 256

// pollID is the worker incarnation to which a poll is addressed.
type pollID struct {
	worker      string
	incarnation int64
}

// isUnreached reports whether the worker has answered no poll yet, or did not answer the last one.
func (w *Worker) isUnreached() bool { return !w.adopted || w.Unresponsive }

// acquirePermit reports whether a poll may be sent now; half of the permits are reserved for
// workers with runs, whose leases expire.
func (f *Fleet) acquirePermit(w *Worker) bool {
	if !w.isUnreached() {
		return true
	}
	if len(f.pollPermits) >= w.permitLimit() {
		return false
	}
	f.pollPermits[pollID{w.ID, w.Incarnation}] = true
	return true
}

// permitLimit returns how many permits may be in use when the worker acquires one.
func (w *Worker) permitLimit() int {
	if len(w.runs) == 0 {
		return maxUnreachedPolls / 2
	}
	return maxUnreachedPolls
}

// releasePermit ends a poll and gives its permit to the next workers in turn.
func (f *Fleet) releasePermit(now time.Time, a PollAnswered) {
	id := pollID{a.Worker, a.Incarnation}
	if !f.pollPermits[id] {
		return
	}
	delete(f.pollPermits, id)
	for i, start := 1, f.lastPermitIndex; i <= len(f.sorted) && len(f.pollPermits) < maxUnreachedPolls; i++ {
		at := (start + i) % len(f.sorted)
		w, inUse := f.sorted[at], len(f.pollPermits)
		if !w.isUnreached() || w.polling || inUse >= w.permitLimit() {
			continue
		}
		if f.reconcile(now, w); len(f.pollPermits) > inUse {
			f.lastPermitIndex = at
		}
	}
}

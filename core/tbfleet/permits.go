package tbfleet

import "time"

// maxUnreachedPolls limits the polls in flight to unreached workers: those that have answered no
// poll of this leader, or not the last one.
//
// A new leader has reached none. 3,000 simultaneous polls, each on a new connection, keep a replica
// busy until all have timed out, and it then sends them again. A worker that does not answer holds
// a permit for the timeout of a poll.
const maxUnreachedPolls = 256

// incarnationKey identifies the worker incarnation to which a poll is addressed.
type incarnationKey struct {
	worker      string
	incarnation int64
}

// isUnreached reports whether the worker has answered no poll yet, or did not answer the last one.
func (w *Worker) isUnreached() bool { return !w.adopted || w.Unresponsive }

// acquirePermit takes a permit if the worker needs one, and reports whether a poll may be sent now.
// Half of the permits are reserved for workers with runs, whose leases expire.
func (f *Fleet) acquirePermit(w *Worker) bool {
	if !w.isUnreached() {
		return true
	}
	if len(f.pollPermits) >= w.permitLimit() {
		return false
	}
	f.pollPermits[incarnationKey{w.ID, w.Incarnation}] = true
	return true
}

// permitLimit returns how many permits may be in use when the worker acquires one.
func (w *Worker) permitLimit() int {
	if len(w.runs) == 0 {
		return maxUnreachedPolls / 2
	}
	return maxUnreachedPolls
}

// releasePermit releases the permit of a poll that was answered or has timed out, and sends polls
// that wait for permits, in order of IDs after the worker that last got one this way.
func (f *Fleet) releasePermit(now time.Time, a PollAnswered) {
	id := incarnationKey{a.Worker, a.Incarnation}
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

package tbfleet

import "time"

// maxUnreachedPolls limits the polls in flight to unreached workers, see isUnreached.
//
// A new leader has reached no worker yet. If it polled 3,000 workers at once, each on a new
// connection, it would be busy until all polls had timed out. It would then send all polls again. A
// worker that does not answer holds a permit until its poll times out.
const maxUnreachedPolls = 256

// incarnationKey identifies the worker incarnation to which a poll is addressed.
type incarnationKey struct {
	worker      string
	incarnation int64
}

// isUnreached reports whether the worker has not answered any poll of this leader, the last poll
// failed, or the last start was not sent.
func (w *Worker) isUnreached() bool {
	return !w.hasAnswered || w.Unresponsive || !w.unreachedAt.IsZero()
}

// acquirePermit reports whether a poll may be sent now. An unreached worker needs a permit, which
// acquirePermit takes if one is free. Half of the permits are reserved for workers with runs,
// because a run ends if no poll renews the lease in time.
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

// permitLimit returns the limit of permits in use, by all workers together, for this worker. It can
// get a permit only while fewer are in use.
func (w *Worker) permitLimit() int {
	if len(w.runs) == 0 {
		return maxUnreachedPolls / 2
	}
	return maxUnreachedPolls
}

// releasePermit releases the permit of a poll that was answered or has timed out. It then sends
// polls that have waited for a permit, in order of worker IDs, beginning after the worker that last
// got a released permit.
func (f *Fleet) releasePermit(now time.Time, a PollAnswered) {
	id := incarnationKey{a.Worker, a.Incarnation}
	if !f.pollPermits[id] {
		return
	}
	delete(f.pollPermits, id)
	for i, startIndex := 1, f.lastPermitIndex; i <= len(f.sortedWorkers) && len(f.pollPermits) < maxUnreachedPolls; i++ {
		at := (startIndex + i) % len(f.sortedWorkers)
		w, permitsInUse := f.sortedWorkers[at], len(f.pollPermits)
		if !w.isUnreached() || w.pollInFlight || permitsInUse >= w.permitLimit() {
			continue
		}
		if f.reconcile(now, w); len(f.pollPermits) > permitsInUse {
			f.lastPermitIndex = at
		}
	}
}

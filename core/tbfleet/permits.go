package tbfleet

import "time"

// Limits of the polls in flight to unreached workers, see isUnreached.
//
// A new leader has reached no worker yet. If it polled 3,000 workers at once, each on a new
// connection, it would be busy until all polls had timed out. It would then send all polls again. A
// worker that does not answer holds a permit until its poll times out.
const (
	// minPermits is the limit at first.
	minPermits = 256
	// reachTime is the time in which the leader tries to reach the workers that it has not reached yet.
	reachTime = 1500 * time.Millisecond
	// permitGrowth is the factor by which the limit grows, and minRateGrowth that by which the rate of answers then has to grow.
	permitGrowth  = 2
	minRateGrowth = 1.4
)

// permitWindow is the limit of permits in use. By Little's law, the rate of answers is the number of polls in flight divided by the
// time that an answer takes, so that workers that answer slowly need more polls in flight. If the leader itself is slow, more polls
// do not raise the rate: the limit then returns to the one before, and stays until most workers are reached.
type permitWindow struct {
	// limit is 0 as long as it is minPermits.
	limit     int
	isLimited bool
	// A round begins at startedAt, and ends once as many permits are released as were in use at most.
	startedAt                    time.Time
	mostInUse, released, reached int
	// rateBefore is the number of workers reached in a second before the limit last grew.
	rateBefore float64
}

func (p *permitWindow) currentLimit() int { return max(p.limit, minPermits) }

// noteInUse records the number of permits in use after one was taken.
func (p *permitWindow) noteInUse(now time.Time, n int) {
	if p.mostInUse == 0 {
		p.startedAt = now
	}
	p.mostInUse = max(p.mostInUse, n)
}

// endRound adapts the limit at the end of a round to the number of workers that are still to be reached.
func (p *permitWindow) endRound(now time.Time, unreached, inUse int) {
	rate := float64(p.reached) / max(now.Sub(p.startedAt), time.Millisecond).Seconds()
	// Workers without runs take half of the permits at most.
	isFull := 2*p.mostInUse >= p.currentLimit()
	// More permits do not help with workers that do not answer.
	mostAnswer := 2*p.reached >= p.released
	switch {
	case 2*unreached <= minPermits:
		*p = permitWindow{}
	case p.isLimited || !isFull:
	case p.rateBefore > 0 && rate < minRateGrowth*p.rateBefore:
		p.limit, p.isLimited = p.currentLimit()/permitGrowth, true
	case mostAnswer && rate*reachTime.Seconds() < float64(unreached):
		p.limit, p.rateBefore = p.currentLimit()*permitGrowth, rate
	default:
		p.rateBefore = 0
	}
	p.startedAt, p.mostInUse, p.released, p.reached = now, inUse, 0, 0
}

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
func (f *Fleet) acquirePermit(now time.Time, w *Worker) bool {
	if !w.isUnreached() {
		return true
	}
	if len(f.pollPermits) >= f.permitLimit(w) {
		return false
	}
	f.pollPermits[incarnationKey{w.ID, w.Incarnation}] = true
	f.permits.noteInUse(now, len(f.pollPermits))
	return true
}

// permitLimit returns the limit of permits in use, by all workers together, for this worker. It can
// get a permit only while fewer are in use.
func (f *Fleet) permitLimit(w *Worker) int {
	if len(w.runs) == 0 {
		return f.permits.currentLimit() / 2
	}
	return f.permits.currentLimit()
}

// noteReleased records that a permit was released, and whether the worker was reached.
func (f *Fleet) noteReleased(now time.Time, isReached bool) {
	p := &f.permits
	p.released++
	if isReached {
		p.reached++
	}
	if p.released < p.mostInUse {
		return
	}
	unreached := 0
	for _, w := range f.sortedWorkers {
		if w.registered && w.isUnreached() {
			unreached++
		}
	}
	p.endRound(now, unreached, len(f.pollPermits))
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
	f.noteReleased(now, a.Outcome == Accepted)
	for i, startIndex := 1, f.lastPermitIndex; i <= len(f.sortedWorkers) && len(f.pollPermits) < f.permits.currentLimit(); i++ {
		at := (startIndex + i) % len(f.sortedWorkers)
		w, permitsInUse := f.sortedWorkers[at], len(f.pollPermits)
		if !w.isUnreached() || w.pollInFlight || permitsInUse >= f.permitLimit(w) {
			continue
		}
		if f.reconcile(now, w); len(f.pollPermits) > permitsInUse {
			f.lastPermitIndex = at
		}
	}
}

package tbfleet

import "time"

// renewals is what the leader knows of the orders to a worker that renew its lease and may still be executed. A later
// incarnation that has executed a start may also execute such an order, and its runs then end later.
//
// An order that was answered is not executed again, and one that was not sent is not executed at all. A start that is
// refused for lack of room renews the lease all the same. The renewals of a worker ID outlast its incarnations and its
// removal.
type renewals struct {
	// inFlight is the number of orders without a result. lastIssuedAt is when the newest order was issued.
	inFlight     int
	lastIssuedAt time.Time
	// executableUntil is the latest time at which an order with a result may be executed.
	executableUntil time.Time
}

// renewalsPerLease is how many times within a lease an order renews the lease of a worker with unanswered starts.
const renewalsPerLease = 3

// renewalInterval returns the time between two renewals of the lease of a worker with unanswered starts.
//
// Each renewal that gets no answer prolongs the wait for the tasks of a worker that is lost. Most polls of such a worker
// therefore do not renew the lease, and those that do are answered at once, so that few are in flight when it is lost.
func (p Params) renewalInterval() time.Duration { return p.Lease / renewalsPerLease }

// mayRenew reports whether a poll may renew the worker's lease now.
func (f *Fleet) mayRenew(now time.Time, w *Worker) bool {
	if len(w.runs) == 0 || w.Unresponsive || w.lapse == lapsing || f.isSilent(w.ID) {
		return false
	}
	return !f.hasUnansweredStart(w) || now.Sub(w.renewalAnsweredFrom) >= f.params.renewalInterval()
}

// isRenewalDue reports whether a worker with executing runs has to be polled so that they keep their lease. A worker that does not
// answer has to answer before its lease is renewed.
func (f *Fleet) isRenewalDue(now time.Time, w *Worker) bool {
	if !w.Unresponsive && (!f.mayRenew(now, w) || now.Sub(w.renewalAnsweredFrom) < f.params.renewalInterval()) {
		return false
	}
	for _, run := range w.runs {
		if run.Phase != RunEnding {
			return true
		}
	}
	return false
}

// hasUnansweredStart reports whether a start to the worker or to its address got no answer and may still be executed.
// A start that is in flight does not count, because a renewal beside it hardly prolongs the wait for it.
func (f *Fleet) hasUnansweredStart(w *Worker) bool {
	if f.outstanding.existAt(w) {
		return true
	}
	for _, run := range w.runs {
		if run.Phase == RunUnconfirmed && !run.listed && !run.startReceived {
			return true
		}
	}
	return false
}

func (f *Fleet) renewalsOf(worker string) *renewals {
	r := f.renewals[worker]
	if r == nil {
		r = &renewals{}
		f.renewals[worker] = r
	}
	return r
}

// assumeRenewals records that an earlier leader may have renewed the lease of a worker until the given time.
func (f *Fleet) assumeRenewals(until time.Time, worker string) {
	f.renewalsOf(worker).executableUntil = until.Add(f.params.MaxOrderDelay)
}

// noteRenewalResult handles the result of an order that renews the lease. issuedAt is when the order was issued or a
// later time, and sentBefore is as in the result.
func (f *Fleet) noteRenewalResult(now time.Time, worker string, outcome Outcome, issuedAt, sentBefore time.Time) {
	r := f.renewalsOf(worker)
	r.inFlight = max(0, r.inFlight-1)
	switch outcome {
	case Unconfirmed:
		r.executableUntil = maxTime(r.executableUntil, f.executableUntil(issuedAt, sentBefore))
	case Accepted, Refused:
		// An incarnation that this leader does not know may have executed it just now.
		r.executableUntil = maxTime(r.executableUntil, now)
	}
}

// executableUntil returns the latest time at which a worker may execute an order without an answer.
func (f *Fleet) executableUntil(issuedAt, sentBefore time.Time) time.Time {
	if sentBefore.IsZero() {
		return issuedAt.Add(f.params.MaxOrderDelay)
	}
	return sentBefore.Add(f.params.MaxDeliveryDelay)
}

// latestLeaseEnd returns the latest time at which a run may end whose start a later incarnation of the worker has
// executed, even if the worker is unreachable. startUntil is the latest time of that start.
func (f *Fleet) latestLeaseEnd(worker string, startUntil time.Time) time.Time {
	until := startUntil
	if r := f.renewals[worker]; r != nil {
		until = maxTime(until, r.executableUntil)
		if r.inFlight > 0 {
			until = maxTime(until, r.lastIssuedAt.Add(f.params.MaxOrderDelay))
		}
	}
	return until.Add(f.maxLeaseDuration(f.params.MaxLease))
}

package tbfleet

import "time"

// The timeout of an order follows the times in which its worker answers, as that of TCP does (RFC 6298). A worker that reports,
// but does not answer in time, may be slow. Since an order without an answer says nothing about how slow, the timeout then
// doubles until an order is answered. How long an order may take to be sent does not depend on its timeout.

// timeEstimate estimates a time that varies. The zero estimate has no sample.
type timeEstimate struct {
	smoothed  time.Duration
	deviation time.Duration
}

func (e *timeEstimate) observe(d time.Duration) {
	if e.smoothed == 0 {
		e.smoothed, e.deviation = d, d/2
		return
	}
	e.deviation += time.Duration(deviationWeight * float64((e.smoothed-d).Abs()-e.deviation))
	e.smoothed += time.Duration(answerTimeWeight * float64(d-e.smoothed))
}

// bound returns a time that few samples exceed.
func (e *timeEstimate) bound() time.Duration { return e.smoothed + deviationFactor*e.deviation }

// maxAnswerTime returns the longest timeout of an order, not counting the time for which a worker may hold a poll open.
//
// The time between two renewals of a lease is at most that until the next one is due and that until the answer to an order that is
// in flight then. The renewal takes up to another answer time, together with the time that passed since the clock was read on which
// it is based. So a worker that answers in this time keeps its lease.
func (p Params) maxAnswerTime() time.Duration {
	return max(p.OrderTimeout, (p.Lease-max(p.maxPollWait(), p.renewalInterval()))/2)
}

// orderTimeout returns the timeout of an order to the worker, not counting the time for which it may hold a poll open.
func (f *Fleet) orderTimeout(w *Worker) time.Duration {
	return min(max(f.params.OrderTimeout, w.answers.bound(), w.backedOffTimeout), f.params.maxAnswerTime())
}

// initialTimeout is the timeout of a start while no answer time is known, as in RFC 6298.
const initialTimeout = time.Second

// startTimeout returns the timeout of a start. A start that times out too early costs a run, so until the worker has answered,
// the timeout also follows the usual answer time of all workers. A poll that times out too early is only repeated.
func (f *Fleet) startTimeout(w *Worker) time.Duration {
	timeout := f.orderTimeout(w)
	switch {
	case w.answers.smoothed > 0:
	case f.answers.smoothed > 0:
		timeout = max(timeout, f.answers.bound())
	default:
		timeout = max(timeout, initialTimeout)
	}
	return min(timeout, f.params.maxAnswerTime())
}

// noteAnswerTime records how long an order to the worker took to be answered.
func (w *Worker) noteAnswerTime(d time.Duration) {
	w.answers.observe(d)
	w.backedOffTimeout = 0
}

// notePollTime records how long a poll took to be answered that the worker may have held open for up to wait.
func (w *Worker) notePollTime(d, wait time.Duration) {
	if d >= wait {
		w.noteAnswerTime(d - wait)
	} else if d < w.answers.smoothed {
		w.noteAnswerTime(d)
	}
}

// noteTimeout doubles the timeout of orders to a worker that reports, unless the order was issued before the last change.
func (f *Fleet) noteTimeout(now time.Time, w *Worker, issuedAt time.Time) {
	if !f.KnowsCapacity(w, now) || issuedAt.Before(w.backedOffAt) {
		return
	}
	w.backedOffTimeout, w.backedOffAt = min(2*f.orderTimeout(w), f.params.maxAnswerTime()), now
}

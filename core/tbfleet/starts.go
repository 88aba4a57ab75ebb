package tbfleet

import "time"

// Most workers answer a start within milliseconds, but some do not answer at all. An order times out only
// after many times as long. Until then, starts to silent workers would count as work under way, and the
// silent workers would get further tasks, because they look free. A start is therefore overdue as soon as
// it takes much longer than usual, by the estimate that TCP uses for its retransmissions (RFC 6298).

// Weights of a new answer time in the estimates, and the time for which the shortest one counts.
const (
	answerTimeWeight = 1.0 / 8
	deviationWeight  = 1.0 / 4
	// deviationFactor is the number of deviations after which a start is overdue.
	deviationFactor = 4
	shortestPeriod  = 10 * time.Second
)

// answerTimes estimates the time from the order of a start to the handling of its answer.
type answerTimes struct {
	timeEstimate
	// shortest is the shortest answer time of the current period, which began at periodStart, and
	// previousShortest that of the period before.
	shortest         time.Duration
	previousShortest time.Duration
	periodStart      time.Time
}

func (t *answerTimes) observe(now time.Time, d time.Duration) {
	switch {
	case t.smoothed == 0:
		t.shortest, t.previousShortest, t.periodStart = d, d, now
	case now.Sub(t.periodStart) >= shortestPeriod:
		t.shortest, t.previousShortest, t.periodStart = d, t.shortest, now
	}
	t.shortest = min(t.shortest, d)
	t.timeEstimate.observe(d)
}

// overdueAfter returns the age from which an unanswered start is overdue.
func (f *Fleet) overdueAfter() time.Duration {
	if f.answers.smoothed == 0 {
		return f.params.OrderTimeout
	}
	return min(f.params.maxAnswerTime(), max(2*f.answers.smoothed, f.answers.bound()))
}

// trackStart records that the start of a run was ordered.
func (f *Fleet) trackStart(now time.Time, w *Worker, run *Run, isBestEffort bool) {
	if w.unansweredStarts == 0 {
		w.unansweredSince = now
	}
	w.unansweredStarts++
	if isBestEffort {
		run.isUnderWay = true
		f.bestEffortUnderWay++
		f.bestEffortStarts = append(f.bestEffortStarts, run)
	}
}

// trackAnswer records that a start was answered or has timed out. The run is nil if it is not at the worker any
// more.
func (f *Fleet) trackAnswer(now time.Time, w *Worker, run *Run, a StartAnswered) {
	if w.Incarnation == a.Incarnation {
		w.unansweredStarts = max(0, w.unansweredStarts-1)
	}
	if run == nil {
		return
	}
	w.unansweredSince = maxTime(w.unansweredSince, run.startSentAt)
	if run.isUnderWay {
		run.isUnderWay = false
		f.bestEffortUnderWay--
	}
	if a.Outcome == Accepted && run.Phase == RunOrdered {
		f.answers.observe(now, now.Sub(run.startSentAt))
		w.noteAnswerTime(now.Sub(run.startSentAt))
	}
}

// hasOverdueStart reports whether the worker has not answered a start for much longer than usual. Well after its
// timeout, a start says nothing more: its result has come.
func (f *Fleet) hasOverdueStart(w *Worker, now time.Time) bool {
	age := now.Sub(w.unansweredSince)
	return w.unansweredStarts > 0 && f.answers.smoothed > 0 && age > f.overdueAfter() && age < 2*f.orderTimeout(w)
}

// BestEffortUnderWay returns the number of starts of best-effort tasks that are neither answered nor overdue.
func (f *Fleet) BestEffortUnderWay(now time.Time) int {
	overdueAfter := f.overdueAfter()
	n := 0
	for n < len(f.bestEffortStarts) {
		run := f.bestEffortStarts[n]
		if run.isUnderWay {
			if now.Sub(run.startSentAt) <= overdueAfter {
				break
			}
			run.isUnderWay = false
			f.bestEffortUnderWay--
		}
		f.bestEffortStarts[n] = nil
		n++
	}
	f.bestEffortStarts = f.bestEffortStarts[n:]
	return f.bestEffortUnderWay
}

// AnswerTime returns the usual time from the order of a start to the handling of its answer, and the shortest one
// of the last seconds. Both are 0 if no start was answered yet.
func (f *Fleet) AnswerTime() (usual, shortest time.Duration) {
	return f.answers.smoothed, min(f.answers.shortest, f.answers.previousShortest)
}

// OrderTimeout returns the time after which an order without an answer is unconfirmed at a worker whose answers take the usual
// time.
func (f *Fleet) OrderTimeout() time.Duration {
	return min(max(f.params.OrderTimeout, f.answers.bound()), f.params.maxAnswerTime())
}

package tbfleet

import "time"

// UnusableReason says why a worker may get no new task now.
type UnusableReason uint8

// Reasons why a worker may get no new task, in the order in which they are checked.
const (
	// NotUnusable means that the worker may get a new task.
	NotUnusable UnusableReason = iota
	// NotRegistered means that the worker has not reported, has signed off, or was replaced.
	NotRegistered
	// Draining means that the worker drains.
	Draining
	// Silent means that the worker is recorded as silent, or that the end of its silence is not recorded yet.
	Silent
	// Unresponsive means that the last poll failed.
	Unresponsive
	// Unreached means that a start was not sent to the worker, and that it has not answered an order since.
	Unreached
	// Lapsing means that the lease of the worker has to end first.
	Lapsing
	// NotPolled means that this incarnation has not answered a poll since it became known, or since the takeover.
	NotPolled
	// ClockUnknown means that no reading of the worker's clock is known, so that no lease can be granted.
	ClockUnknown
	// UnackedEnds means that the worker lists too many ends that are recorded, but not acknowledged.
	UnackedEnds
	// NotHeard means that the worker was not heard from for SilenceTimeout.
	NotHeard
	// AvoidedFailures means that runs on the worker have failed repeatedly.
	AvoidedFailures
	// AvoidedNoRoom means that the worker has refused a start for lack of room.
	AvoidedNoRoom
	// AvoidedRefusedStart means that the worker has refused a start for another reason.
	AvoidedRefusedStart
	// AvoidedUnansweredStart means that the worker has not answered a start.
	AvoidedUnansweredStart
	// AvoidedStalledRun means that a run on the worker has made no progress.
	AvoidedStalledRun
	// Observed means that a task that may crash workers is observed at the worker.
	Observed
	// OverdueStart means that the worker has not answered a start for much longer than usual.
	OverdueStart
	// UnusableReasonCount is the number of the values above.
	UnusableReasonCount
)

var unusableReasonNames = [UnusableReasonCount]string{
	NotUnusable: "none", NotRegistered: "notRegistered", Draining: "draining", Silent: "silent", Unresponsive: "unresponsive", Unreached: "unreached", Lapsing: "lapsing",
	NotPolled: "notPolled", ClockUnknown: "clockUnknown", UnackedEnds: "unackedEnds", NotHeard: "notHeard", AvoidedFailures: "avoidedFailures",
	AvoidedNoRoom: "avoidedNoRoom", AvoidedRefusedStart: "avoidedRefusedStart", AvoidedUnansweredStart: "avoidedUnansweredStart", AvoidedStalledRun: "avoidedStalledRun", Observed: "observed", OverdueStart: "overdueStart",
}

// String returns the name of the reason in the log.
func (r UnusableReason) String() string { return unusableReasonNames[r] }

// Usable reports whether the worker may get a new task now.
func (f *Fleet) Usable(w *Worker, now time.Time) bool { return f.WhyUnusable(w, now) == NotUnusable }

// WhyUnusable returns the first reason why the worker may get no new task now, or NotUnusable.
func (f *Fleet) WhyUnusable(w *Worker, now time.Time) UnusableReason {
	switch {
	case !w.registered:
		return NotRegistered
	case w.Draining:
		return Draining
	case f.isSilent(w.ID):
		return Silent
	case w.Unresponsive:
		return Unresponsive
	case !w.unreachedAt.IsZero():
		return Unreached
	case w.lapse == lapsing:
		return Lapsing
	case w.needsFence:
		return NotPolled
	case !w.lastClockReading.isKnown():
		return ClockUnknown
	case w.unackedEndCount >= maxUnackedEnds:
		return UnackedEnds
	case now.Sub(w.LastHeardAt) >= f.params.SilenceTimeout:
		return NotHeard
	case now.Before(w.AvoidUntil):
		return w.avoidReason
	case now.Before(w.ObservedUntil):
		return Observed
	case f.hasOverdueStart(w, now):
		return OverdueStart
	}
	return NotUnusable
}

// IsOnlyAvoided reports whether the worker may get no new task now for the sole reason that it is avoided after failed runs,
// refused starts or runs without progress. A worker that lacks room or does not answer cannot take a task in any case.
func (f *Fleet) IsOnlyAvoided(w *Worker, now time.Time) bool {
	switch f.WhyUnusable(w, now) {
	case AvoidedFailures, AvoidedRefusedStart, AvoidedStalledRun:
		return !now.Before(w.ObservedUntil) && !f.hasOverdueStart(w, now)
	}
	return false
}

// avoid gives the worker no new tasks before a time, instead of the time that was set before.
func (w *Worker) avoid(until time.Time, reason UnusableReason) {
	w.AvoidUntil, w.avoidReason = until, reason
}

// avoidLonger gives the worker no new tasks before a time, or before the time that was set before if that is later.
func (w *Worker) avoidLonger(until time.Time, reason UnusableReason) {
	if until.After(w.AvoidUntil) {
		w.avoid(until, reason)
	}
}

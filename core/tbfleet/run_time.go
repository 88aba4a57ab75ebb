package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// A run that has executed for long does not crash its worker when it starts, and one that has begun just
// before a crash may have caused it. How long a run is known to have executed follows from proofs: the
// accepted start and the poll answers that list the run.

// KnownRunTime returns how long the run is known to have executed. It is measured on the worker's clock
// from the first proof that the run was executing to the newest one.
func (r *Run) KnownRunTime() time.Duration {
	return r.earlierRunTime + time.Duration(r.executingUntilMs-r.executingSinceMs)*time.Millisecond
}

// RunTimeSinceStart returns how long the run is known to have executed since it began. It returns false if this leader
// does not know when that was, because it did not start the run.
func (r *Run) RunTimeSinceStart() (time.Duration, bool) {
	return r.KnownRunTime(), !r.acceptedAt.IsZero()
}

// restoreRunTime sets what a new leader knows of a run that was assigned some time ago. If the state says
// that the worker has listed the run, an earlier leader has renewed its lease, so that it was executing at
// most a lease ago. Otherwise nothing is known: the worker may have crashed under the run soon after its
// assignment, and no leader may have had the time to find out. If the worker lists the run, it has most
// probably executed it since its assignment.
func (r *Run) restoreRunTime(sinceAssignment, lease time.Duration) {
	// The clocks of leaders differ, so that sinceAssignment may be too long. A lease is a wide margin for that.
	r.timeBeforeTerm = max(0, sinceAssignment-lease)
	if r.timeBeforeTerm > 0 && r.listed {
		r.earlierRunTime, r.isConfirmed, r.wasExecuting = r.timeBeforeTerm, true, true
	}
}

// noteExecuting records that the run was executing when the worker's clock showed clockMs. It is 0 if the
// worker gave no time.
func (r *Run) noteExecuting(clockMs int64) {
	r.isConfirmed, r.wasExecuting = true, true
	if clockMs == 0 {
		return
	}
	if r.executingSinceMs == 0 {
		r.executingSinceMs, r.earlierRunTime = clockMs, r.timeBeforeTerm
	}
	r.executingUntilMs = max(r.executingUntilMs, clockMs)
}

// noteProgress notes the progress of a run that a poll answer lists.
func (r *Run) noteProgress(progress int, clockMs int64) {
	if progress != r.Progress || r.progressMs == 0 || clockMs < r.listedMs || r.Speed < FullSpeed || r.SpeedUnknown || r.speedUnconfirmed {
		r.progressMs = clockMs
	}
	r.Progress, r.listedMs = progress, clockMs
}

// TimeWithoutProgress returns for how long the worker has listed the run at full speed with the same progress, in the time of
// the worker. A leader that handles poll answers late sees no progress meanwhile, although the run makes some.
func (r *Run) TimeWithoutProgress() time.Duration {
	return time.Duration(r.listedMs-r.progressMs) * time.Millisecond
}

// forgetRunTime forgets what is known of an execution, because the worker has restarted.
func (r *Run) forgetRunTime() {
	r.executingSinceMs, r.executingUntilMs, r.isConfirmed, r.wasExecuting = 0, 0, false, false
	r.earlierRunTime, r.timeBeforeTerm, r.acceptedAt = 0, 0, time.Time{}
	r.progressMs, r.listedMs = 0, 0
}

// noteAccepted records when the worker is first known to have executed the run.
func (r *Run) noteAccepted(at time.Time) {
	if r.acceptedAt.IsZero() {
		r.acceptedAt = at
	}
}

// UnprovenRuns returns the number of runs of the worker that are not known to have executed for the
// observation time of their tasks.
func (w *Worker) UnprovenRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.Phase != RunEnding && r.KnownRunTime() < max(r.observation, tbflow.ObservationTime(nil)) {
			n++
		}
	}
	return n
}

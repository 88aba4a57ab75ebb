package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// Run is a run that executes or may execute at a worker.
type Run struct {
	Number      uint64
	Phase       RunPhase
	Checkpoint  string
	Progress    int
	Measurement int64
	// ListedAt is when a poll answer last listed the run as running.
	ListedAt time.Time
	// Speed is the ordered speed in percent.
	Speed int
	// SpeedUnknown is true while an earlier leader may have ordered another speed.
	SpeedUnknown bool

	// progressMs is when the progress last changed, and listedMs when the run was last listed, on the clock of the worker, or 0.
	// While the speed is below FullSpeed, unknown or unconfirmed, each poll answer that lists the run also sets progressMs, so
	// that a slow run does not seem stalled.
	progressMs int64
	listedMs   int64
	// speedSentAt is when the speed was last ordered.
	speedSentAt time.Time
	// speedUnconfirmed is true until the worker has confirmed the ordered speed.
	speedUnconfirmed bool
	// unansweredSpeeds holds the unanswered orders of speeds that may still be executed.
	unansweredSpeeds []unansweredSpeed

	// earlierIncarnation is 0 unless a later incarnation than the assigned one may execute the run.
	// In that case, earlierIncarnation is the incarnation to which the state assigns the run.
	earlierIncarnation int64
	// listed is true once the incarnation to which the start was addressed has listed the run as
	// running in a poll answer.
	listed bool
	// startReceived is true once a worker is known to have executed or refused the start, or if the start was not
	// sent. It is then not executed later.
	startReceived bool
	// isUnanswered is true once it is proposed to record the start as outstanding.
	isUnanswered bool
	// longRunning is true for a run of a long-running task. speculative is true if several runs of the task may
	// execute at the same time.
	longRunning bool
	speculative bool
	// startSentAt is when the start was ordered, or the time of the takeover if an earlier leader
	// ordered it.
	startSentAt time.Time
	// startUntil is the latest time at which a worker may execute the start.
	startUntil time.Time
	// confirmedAt is the later of two times: when the start was accepted, and when the newest poll
	// was sent whose answer listed the run as running.
	confirmedAt time.Time
	// isConfirmed is true if the worker is known to have received the start: it has accepted the start,
	// listed the run, or closed the connection instead of answering.
	isConfirmed bool
	// wasExecuting is true if the worker is known to have executed the run: it has accepted the start or listed the run.
	wasExecuting bool
	// acceptedAt is when the worker is first known to have executed the run, or zero.
	acceptedAt time.Time
	// executingSinceMs and executingUntilMs are the first and the newest time, on the worker's clock, at
	// which the run is known to have been executing. Both are 0 if there is none. earlierRunTime is how long
	// the run is known to have executed before this leader's term, and timeBeforeTerm how long it was
	// assigned before.
	executingSinceMs int64
	executingUntilMs int64
	earlierRunTime   time.Duration
	timeBeforeTerm   time.Duration
	// observation is how long the run has to execute until it is proven. It is 0 for a task without crashes
	// and for a proven run.
	observation time.Duration
	// observedUntil is the time until which the worker is closed to other tasks because of this run, or
	// zero.
	observedUntil time.Time
	// isUnderWay is true for a best-effort run whose start is neither answered nor overdue.
	isUnderWay bool
	// stopRequested is true once the run is to be stopped.
	stopRequested bool
	// stopSentAt is when the stop was last ordered.
	stopSentAt time.Time
	// stopConfirmedAt is when the worker first confirmed the stop.
	stopConfirmedAt time.Time
}

// RunPhase is the leader's knowledge of a run at its worker.
type RunPhase uint8

// Phases of a run at its worker.
const (
	// RunUnknown means that an earlier leader may have ordered the run. No poll answer has shown
	// yet whether the worker executes it.
	RunUnknown RunPhase = iota
	// RunOrdered means that the start is in flight.
	RunOrdered
	// RunUnconfirmed means that the start is unconfirmed and may still be executed.
	RunUnconfirmed
	// RunExecuting means that the worker accepted or listed the run.
	RunExecuting
	// RunEnding means that an end is proposed but not yet recorded.
	RunEnding
)

// FullSpeed is the initial speed of a run, in percent.
const FullSpeed = 100

// Run returns the leader's view of a task's run at this worker, or nil if there is none.
func (w *Worker) Run(ref tbflow.TaskRef) *Run { return w.runs[ref] }

// mayBeAtLaterIncarnation reports whether the run may be at a later incarnation than the start was
// addressed to.
//
// If the intended incarnation has listed the run, the run is not at a later one, because a poll
// answer names the incarnation that sent it. An accepted start does not prove that, because its
// answer names no incarnation and has only a reading of the clock.
func (r *Run) mayBeAtLaterIncarnation() bool {
	return r.Phase != RunEnding && !r.listed
}

// latestRunEnd returns the latest time at which the run may execute, even on an unreachable worker.
//
// If the run is executing, this is the end of a lease of MaxLease granted at confirmedAt.
//
// Otherwise, the start may be executed until startUntil. The run then has a lease of at most
// MaxLease. A later incarnation that executes the start may also execute unanswered orders that
// renew the lease.
func (f *Fleet) latestRunEnd(w *Worker, r *Run) time.Time {
	if r.Phase == RunExecuting {
		return r.confirmedAt.Add(f.maxLeaseDuration(f.params.MaxLease))
	}
	return f.latestLeaseEnd(w.ID, r.startUntil)
}

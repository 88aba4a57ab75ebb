package tbstate

import (
	"time"

	"tamarackbarrow/core/tbresource"
)

// Reason is why a command was refused or a job is in its phase; OK, the empty reason, means that
// a command was applied.
type Reason string

// Reasons for refused commands and for the phases of jobs.
const (
	OK                            Reason = ""
	VersionTaken                  Reason = "versionTaken"
	VersionUnknown                Reason = "versionUnknown"
	VersionLower                  Reason = "versionLower"
	SessionUnknown                Reason = "sessionUnknown"
	RunnerUnknown                 Reason = "runnerUnknown"
	StaleIncarnation              Reason = "staleIncarnation"
	SlotsExceeded                 Reason = "slotsExceeded"
	GrantChanged                  Reason = "grantChanged"
	WorkerUnknown                 Reason = "workerUnknown"
	WorkerUnavailable             Reason = "workerUnavailable"
	ResourcesExceeded             Reason = "resourcesExceeded"
	QuotaExceeded                 Reason = "quotaExceeded"
	JobUnknown                    Reason = "jobUnknown"
	JobIDTaken                    Reason = "jobIdTaken"
	JobKindUnknown                Reason = "jobKindUnknown"
	TeamUnknown                   Reason = "teamUnknown"
	JobEnded                      Reason = "jobEnded"
	JobNotQueued                  Reason = "jobNotQueued"
	StaleRun                      Reason = "staleEpoch"
	ClaimInProgress               Reason = "claimInProgress"
	ClaimFinished                 Reason = "claimFinished"
	ClaimTableFull                Reason = "claimTableFull"
	NoSuchClaim                   Reason = "claimUnknown"
	ServiceUnknown                Reason = "serviceUnknown"
	TooManyJobs                   Reason = "tooManyJobs"
	NoActiveBundle                Reason = "noBundleInForce"
	NeverSchedulable              Reason = "neverSchedulable"
	EvictedForUrgentJob           Reason = "evictedForUrgentWork"
	EvictedForShortJob            Reason = "evictedForShortWork"
	EvictedForService             Reason = "evictedForService"
	EvictedForExceedingShortBound Reason = "evictedAfterOutrunningEstimate"
	EvictedForDrain               Reason = "evictedForDrain"
	WorkerLost                    Reason = "workerLost"
	TooManyFailures               Reason = "tooManyFailures"
	CancelledByOperator           Reason = "cancelled"
	EntryLost                     Reason = "entryLost"
)

// Session is one incarnation of an entry whose lease may not have ended yet.
type Session struct {
	// Key is the entry's id, an @ and its incarnation.
	Key        string
	ID         string
	DataCentre string
	Address    string
	// Changed is the log index of the last change.
	Changed uint64
}

// RunnerPhase determines whether a runner may receive new requests.
type RunnerPhase string

// Phases of a runner.
const (
	RunnerPresent  RunnerPhase = "present"
	RunnerAbsent   RunnerPhase = "absent"
	RunnerDraining RunnerPhase = "leaving"
)

// Grant is the number of a runner's slots that one session may use.
type Grant struct {
	Session string
	// Granted is the largest number of slots that the session may have in use.
	Granted int
	// Target is the number of slots that the session should use; if it is below Granted,
	// the session has to release the difference.
	Target int
	// Changed is the log index of the last change; a release of slots refers to it.
	Changed uint64
}

// Runner is a backend server that answers requests of one service.
type Runner struct {
	ID          string
	Incarnation uint64
	Address     string
	DataCentre  string
	Service     string
	Slots       int
	Phase       RunnerPhase
	// Worker is the id of the worker on the same instance, or empty.
	Worker string
	// Grants are ordered by session; the sum of Granted never exceeds Slots.
	Grants []Grant
	// Changed is the log index of the last change of the runner, excluding its grants.
	Changed uint64
}

// Granted returns the number of slots granted to all sessions together.
func (r *Runner) Granted() int {
	sum := 0
	for _, g := range r.Grants {
		sum += g.Granted
	}
	return sum
}

// Grant returns the grant of a session, or one of 0 slots.
func (r *Runner) Grant(session string) Grant {
	for _, g := range r.Grants {
		if g.Session == session {
			return g
		}
	}
	return Grant{Session: session}
}

// WorkerPhase determines whether a worker may receive new tasks.
type WorkerPhase string

// Phases of a worker.
const (
	WorkerPresent WorkerPhase = "present"
	// WorkerFenced means that no entry renews the worker's leases any more.
	WorkerFenced WorkerPhase = "fenced"
	// WorkerGone means that the leases have ended and the tasks are queued again.
	WorkerGone     WorkerPhase = "gone"
	WorkerDraining WorkerPhase = "draining"
)

// Worker is a backend server that runs tasks.
type Worker struct {
	ID          string
	Incarnation uint64
	Address     string
	DataCentre  string
	Rack        string
	Capacity    tbresource.Amount
	Phase       WorkerPhase
	// ConsecutiveFailures is the number of failed or refused tasks since the last finished one.
	ConsecutiveFailures int
	// BackoffUntilMs is the end of the backoff, compared with State.NowMs; until then the
	// worker receives no new task.
	BackoffUntilMs int64
	// Changed is the log index of the last change.
	Changed uint64
}

// JobPhase is the state of a job.
type JobPhase string

// Phases of a job.
const (
	JobQueued        JobPhase = "queued"
	JobRunning       JobPhase = "running"
	JobStopping      JobPhase = "stopping"
	JobFinished      JobPhase = "finished"
	JobFailed        JobPhase = "failed"
	JobCancelled     JobPhase = "cancelled"
	JobUnschedulable JobPhase = "unschedulable"
)

// Ended reports whether the job is finished, failed or cancelled and will not run again.
func (p JobPhase) Ended() bool {
	return p == JobFinished || p == JobFailed || p == JobCancelled
}

// Placed reports whether the job has resources reserved on a worker.
func (p JobPhase) Placed() bool { return p == JobRunning || p == JobStopping }

// Job is a batch job; while it is placed on a worker, it is also the task that runs there.
type Job struct {
	ID      string
	Kind    string
	Team    string
	Payload []byte
	Urgent  bool
	// Resources and Rank are copied from the bundle at submission.
	Resources tbresource.Amount
	Rank      int
	Phase     JobPhase
	// Reason is why the job is in its phase, or empty.
	Reason Reason
	// Worker is the id of the worker on which the job is placed, or empty.
	Worker            string
	WorkerIncarnation uint64
	// Run is the number of the latest run, 0 before the first; reports of other runs are refused.
	Run uint64
	// Checkpoint is where the next run resumes, or empty.
	Checkpoint string
	// Requeues counts the runs after which the job was queued again.
	Requeues int
	// Failures counts the failed runs.
	Failures int
	// Cancelled is true if the job must not be queued again once its task has stopped.
	Cancelled bool
	// RanLong is true once the job was evicted for running longer than a short job.
	RanLong     bool
	SubmittedMs int64
	StartedMs   int64
	EndedMs     int64
	// RanMs is the total run time of the runs that ended with a checkpoint.
	RanMs int64
	// Seq orders jobs by submission.
	Seq uint64
	// Changed is the log index of the last change.
	Changed uint64
}

// ClaimKey identifies a request that may run at most once.
type ClaimKey struct {
	Member  string
	Service string
	Key     string
}

// ClaimStatus is what is known about the run of a claimed request.
type ClaimStatus uint8

// Statuses of a claim.
const (
	ClaimHeld ClaimStatus = iota
	ClaimAnswered
	ClaimNotExecuted
	ClaimOutcomeUnknown
)

// Claim is the exclusive right of one attempt to run a request and, once it has run, its answer.
type Claim struct {
	Key     ClaimKey
	Session string
	CallID  uint64
	Status  ClaimStatus
	Answer  []byte
	Reason  string
	// ExpiresMs is the State.NowMs at which the claim is deleted; unset while it is running.
	ExpiresMs int64
	// RetentionMs is how long the claim is kept after its run has ended.
	RetentionMs int64
}

// KindStats is the run time of a job kind, measured on finished jobs.
type KindStats struct {
	Kind string
	// MeanMs is the weighted moving average of the run time.
	MeanMs float64
	// FinishedJobs is the number of finished jobs that MeanMs includes.
	FinishedJobs uint64
}

// Limits of the state.
const (
	// MaxQueuedJobs is the largest number of queued jobs; further ones are refused.
	MaxQueuedJobs = 200_000
	// EndedJobRetention is how long the record of an ended job is kept.
	EndedJobRetention = 24 * time.Hour
	// MaxStoredAnswerBytes is the size of the largest answer of a claim that is kept.
	MaxStoredAnswerBytes = 256 << 10
)

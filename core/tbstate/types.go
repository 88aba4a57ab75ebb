package tbstate

import (
	"time"

	"tamarackbarrow/core/tbresource"
)

// Reason tells why a command was refused or why a job is in its phase. OK, the empty reason, means
// that a command was applied.
type Reason string

// Reasons for refused commands and for the phases of jobs.
const (
	OK             Reason = ""
	VersionTaken   Reason = "versionTaken"
	VersionUnknown Reason = "versionUnknown"
	VersionLower   Reason = "versionLower"
	SessionUnknown Reason = "sessionUnknown"
	// RunnerUnknown means that no runner has this id and incarnation, or that RemoveRunner names a
	// runner in phase RunnerPresent.
	RunnerUnknown    Reason = "runnerUnknown"
	StaleIncarnation Reason = "staleIncarnation"
	// SlotsExceeded means that the grants would exceed the runner's slots.
	SlotsExceeded Reason = "slotsExceeded"
	// GrantChanged means that the grant has changed since the session proposed to release slots:
	// GrantChange.BasedOn differs from Grant.Changed, or GrantChange.Slots differs from Grant.Target.
	GrantChanged Reason = "grantChanged"
	// WorkerUnknown means that no worker has this id and incarnation. FenceWorker also returns
	// WorkerUnknown for a worker in phase WorkerGone. MarkWorkerGone also returns WorkerUnknown if the
	// worker has changed since it was fenced at log index MarkWorkerGone.FencedAt.
	WorkerUnknown Reason = "workerUnknown"
	// WorkerUnavailable means that the worker is not in phase WorkerPresent, or in an evacuated data centre.
	WorkerUnavailable Reason = "workerUnavailable"
	ResourcesExceeded Reason = "resourcesExceeded"
	QuotaExceeded     Reason = "quotaExceeded"
	JobUnknown        Reason = "jobUnknown"
	JobIDTaken        Reason = "jobIdTaken"
	JobKindUnknown    Reason = "jobKindUnknown"
	TeamUnknown       Reason = "teamUnknown"
	JobEnded          Reason = "jobEnded"
	JobNotQueued      Reason = "jobNotQueued"
	// StaleRun means that the command is not for the current run of the job, or that StartTask does
	// not give the number of the next run.
	StaleRun        Reason = "staleEpoch"
	ClaimInProgress Reason = "claimInProgress"
	ClaimFinished   Reason = "claimFinished"
	ClaimTableFull  Reason = "claimTableFull"
	// NoSuchClaim means that the call does not hold the claim.
	NoSuchClaim    Reason = "claimUnknown"
	ServiceUnknown Reason = "serviceUnknown"
	TooManyJobs    Reason = "tooManyJobs"
	// CommandTooLarge means that the commands have more bytes than a log entry may have.
	CommandTooLarge Reason = "commandTooLarge"
	NoActiveBundle  Reason = "noBundleInForce"
	// NeverSchedulable means that one job of the kind exceeds the whole quota of the team.
	NeverSchedulable              Reason = "neverSchedulable"
	EvictedForUrgentJob           Reason = "evictedForUrgentWork"
	EvictedForShortJob            Reason = "evictedForShortWork"
	EvictedForService             Reason = "evictedForService"
	EvictedForExceedingShortBound Reason = "evictedAfterOutrunningEstimate"
	EvictedForDrain               Reason = "evictedForDrain"
	WorkerLost                    Reason = "workerLost"
	TooManyFailures               Reason = "tooManyFailures"
	CrashedWorkers                Reason = "crashedWorkers"
	CancelledByOperator           Reason = "cancelled"
	EntryLost                     Reason = "entryLost"
)

// Session is a period in which an entry holds a lease. One incarnation of an entry may open several
// sessions, one after another. The record stays until the lease and the requests of the session are
// certain to have ended.
type Session struct {
	// Key is the entry's id, an @, the incarnation of the entry, a dot and the number of the session
	// within the incarnation.
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
	RunnerPresent RunnerPhase = "present"
	// RunnerAbsent means that the runner has not announced itself for too long; its grants stay.
	RunnerAbsent RunnerPhase = "absent"
	// RunnerDraining means that the runner has announced that it receives no new requests.
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
	// Changed is the log index at which SetGrants last changed the grant. ReleaseSlots gives this index
	// and is refused if the grant has changed since. ReleaseSlots does not change the index.
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
	WorkerGone WorkerPhase = "gone"
	// WorkerDraining means that the worker's tasks are evicted and it receives no new ones.
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
	// BackoffUntilMs is when the backoff ends, in milliseconds since 1970, or 0 if there was none. Until
	// then the worker receives no new task.
	BackoffUntilMs int64
	// Changed is the log index of the last change.
	Changed uint64
}

// JobPhase is the state of a job. The methods Ended and Placed classify the phases.
type JobPhase string

// Phases of a job.
const (
	JobQueued    JobPhase = "queued"
	JobRunning   JobPhase = "running"
	JobStopping  JobPhase = "stopping"
	JobFinished  JobPhase = "finished"
	JobFailed    JobPhase = "failed"
	JobCancelled JobPhase = "cancelled"
	// JobUnschedulable is not used.
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
	// Crashes counts the latest workers in a row that crashed soon after they started the task. SoleCrashes
	// counts those of them on which no other task was young.
	Crashes     int
	SoleCrashes int
	// Cancelled is true if the job must not be queued again once its task has stopped.
	Cancelled bool
	// RanLong is true once the job was evicted after exceeding ShortBound of the planner. The planner
	// then treats the job as long.
	RanLong bool
	// SubmittedMs is when the job was submitted, in milliseconds since 1970.
	SubmittedMs int64
	// StartedMs is when the latest run started, in milliseconds since 1970, or 0 before the first run.
	StartedMs int64
	// EndedMs is when the job ended, in milliseconds since 1970, or 0 before that.
	EndedMs int64
	// RanMs is the total run time of the runs that ended with a checkpoint.
	RanMs int64
	// Seq orders jobs by submission.
	Seq uint64
	// Changed is the log index of the last change.
	Changed uint64
}

// ClaimKey identifies a request that may be executed at most once.
type ClaimKey struct {
	Member  string
	Service string
	Key     string
}

// ClaimStatus is what is known about the execution of a claimed request.
type ClaimStatus uint8

// Statuses of a claim.
const (
	// ClaimHeld means that no result of the call has been recorded.
	ClaimHeld ClaimStatus = iota
	// ClaimAnswered means that the request was executed and answered.
	ClaimAnswered
	// ClaimNotExecuted means that the call ended without executing the request. Another call may
	// claim the key.
	ClaimNotExecuted
	// ClaimOutcomeUnknown means that the request may have been executed.
	ClaimOutcomeUnknown
)

// Claim gives one call the exclusive right to execute a request. Once the call has ended, the claim
// holds the result.
type Claim struct {
	Key     ClaimKey
	Session string
	CallID  uint64
	Status  ClaimStatus
	Answer  []byte
	// Reason is why the claim has its status or why Answer was not stored, or empty.
	Reason string
	// ExpiresMs is the value of State.NowMs at which the claim is deleted, or 0 while Status is
	// ClaimHeld.
	ExpiresMs int64
	// RetentionMs is how long the claim is kept after its call has ended.
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
	// MaxQueuedJobs is the number of queued jobs from which further submissions are refused.
	MaxQueuedJobs = 200_000
	// MaxPayloadBytes is the size of the payloads of all jobs that have not ended, in bytes. Further
	// submissions are refused. A full view of an entry has the payloads of all placed jobs.
	MaxPayloadBytes = 8 << 20
	// MaxAnswerBytes is the size of the kept answers, in bytes, from which further claims are refused.
	MaxAnswerBytes = 16 << 20
	// EndedJobRetention is how long the record of an ended job is kept.
	EndedJobRetention = 24 * time.Hour
	// MaxStoredAnswerBytes is the size of the largest answer that a claim stores.
	MaxStoredAnswerBytes = 256 << 10
)

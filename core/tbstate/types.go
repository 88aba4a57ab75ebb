package tbstate

import (
	"time"

	"tamarackbarrow/core/tbresource"
)

// Reason tells why a command was refused; the empty reason means that it was applied.
type Reason string

// Reasons to refuse a command.
const (
	OK                  Reason = ""
	VersionTaken        Reason = "versionTaken"
	VersionUnknown      Reason = "versionUnknown"
	VersionLower        Reason = "versionLower"
	SessionUnknown      Reason = "sessionUnknown"
	RunnerUnknown       Reason = "runnerUnknown"
	StaleIncarnation    Reason = "staleIncarnation"
	SlotsExceeded       Reason = "slotsExceeded"
	GrantChanged        Reason = "grantChanged"
	WorkerUnknown       Reason = "workerUnknown"
	WorkerUnavailable   Reason = "workerUnavailable"
	ResourcesExceeded   Reason = "resourcesExceeded"
	QuotaExceeded       Reason = "quotaExceeded"
	JobUnknown          Reason = "jobUnknown"
	JobIDTaken          Reason = "jobIdTaken"
	JobKindUnknown      Reason = "jobKindUnknown"
	TeamUnknown         Reason = "teamUnknown"
	JobEnded            Reason = "jobEnded"
	JobNotQueued        Reason = "jobNotQueued"
	StaleEpoch          Reason = "staleEpoch"
	ClaimInProgress     Reason = "claimInProgress"
	ClaimFinished       Reason = "claimFinished"
	ClaimTableFull      Reason = "claimTableFull"
	ClaimUnknown        Reason = "claimUnknown"
	ServiceUnknown      Reason = "serviceUnknown"
	TooManyJobs         Reason = "tooManyJobs"
	NoBundleInForce     Reason = "noBundleInForce"
	NeverSchedulable    Reason = "neverSchedulable"
	EvictedForUrgent    Reason = "evictedForUrgentWork"
	EvictedForShort     Reason = "evictedForShortWork"
	EvictedForService   Reason = "evictedForService"
	EvictedForOutrun    Reason = "evictedAfterOutrunningEstimate"
	EvictedForDrain     Reason = "evictedForDrain"
	WorkerLost          Reason = "workerLost"
	TooManyFailures     Reason = "tooManyFailures"
	CancelledByOperator Reason = "cancelled"
	EntryLost           Reason = "entryLost"
)

// Session is one incarnation of an entry that has, or may still use, a lease.
type Session struct {
	// Key is the entry's id, an @ and its incarnation.
	Key        string
	ID         string
	DataCentre string
	Address    string
	Changed    uint64
}

// RunnerPhase tells whether a runner may get new work.
type RunnerPhase string

// Phases of a runner.
const (
	RunnerPresent RunnerPhase = "present"
	RunnerAbsent  RunnerPhase = "absent"
	RunnerLeaving RunnerPhase = "leaving"
)

// Grant is the number of a runner's slots that one session may use.
type Grant struct {
	Session string
	// Granted bounds what the session may have in use at any moment.
	Granted int
	// Target is what the session is told to use; below Granted it has to surrender the rest.
	Target int
	// Changed is the log index of the last change, by which a surrender names what it answers.
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
	// Worker is the worker on the same instance, or empty.
	Worker string
	// Grants are ordered by session; the sum of Granted never exceeds Slots.
	Grants  []Grant
	Changed uint64
}

// Granted returns the sum of granted slots over all sessions.
func (r *Runner) Granted() int {
	sum := 0
	for _, g := range r.Grants {
		sum += g.Granted
	}
	return sum
}

// Grant returns the grant of a session, or a zero grant.
func (r *Runner) Grant(session string) Grant {
	for _, g := range r.Grants {
		if g.Session == session {
			return g
		}
	}
	return Grant{Session: session}
}

// WorkerPhase tells whether a worker may get new tasks.
type WorkerPhase string

// Phases of a worker.
const (
	WorkerPresent WorkerPhase = "present"
	// WorkerFenced means that no entry renews its leases any more.
	WorkerFenced   WorkerPhase = "fenced"
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
	// Failures counts failed tasks since the last finished one.
	Failures int
	// ProbationUntilMs is the state's time before which the worker gets no new task.
	ProbationUntilMs int64
	Changed          uint64
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

// Ended reports whether the job will never run again.
func (p JobPhase) Ended() bool {
	return p == JobFinished || p == JobFailed || p == JobCancelled
}

// Placed reports whether the job holds resources of a worker.
func (p JobPhase) Placed() bool { return p == JobRunning || p == JobStopping }

// Job is a batch job and, while it is placed, its task.
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
	// Reason explains the phase where it needs it.
	Reason            Reason
	Worker            string
	WorkerIncarnation uint64
	// Epoch counts the starts; a report of another epoch is dropped.
	Epoch      uint64
	Checkpoint string
	Evictions  int
	Failures   int
	// Cancelled is true when a stopping task must not be queued again.
	Cancelled bool
	// LongClass is true once the job outran what counts as short.
	LongClass   bool
	SubmittedMs int64
	StartedMs   int64
	EndedMs     int64
	// RanMs is the run time of all epochs that ended with a checkpoint.
	RanMs int64
	// Seq orders jobs by submission.
	Seq     uint64
	Changed uint64
}

// ClaimKey names a request that may run at most once.
type ClaimKey struct {
	Member  string
	Service string
	Key     string
}

// ClaimStatus is what is known of a claimed request.
type ClaimStatus uint8

// States of a claim.
const (
	ClaimRunning ClaimStatus = iota
	ClaimAnswered
	ClaimNotRun
	ClaimOutcomeUnknown
)

// Claim is the right of one attempt to run a request, and later its answer.
type Claim struct {
	Key         ClaimKey
	Session     string
	Attempt     uint64
	Status      ClaimStatus
	Answer      []byte
	Reason      string
	ExpiresMs   int64
	RetentionMs int64
}

// KindStats is what was learned of a job kind from finished runs.
type KindStats struct {
	Kind   string
	MeanMs float64
	Runs   uint64
}

// Limits of the state.
const (
	MaxQueuedJobs     = 200_000
	EndedJobRetention = 24 * time.Hour
	// UnkeptAnswerBytes is the size above which the answer of a claim is not kept.
	UnkeptAnswerBytes = 256 << 10
)

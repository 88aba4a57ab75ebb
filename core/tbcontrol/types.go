package tbcontrol

import (
	"time"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbshare"
	"tamarackbarrow/core/tbstate"
)

// Codec encodes and decodes batches and states.
type Codec interface {
	// EncodeCommands encodes commands as a part of a batch.
	EncodeCommands([]tbstate.Command) []byte
	// JoinBatch joins encoded commands to a batch at a time in milliseconds since 1970.
	JoinBatch(nowMs int64, parts [][]byte) []byte
	DecodeBatch([]byte) (tbstate.Batch, error)
	EncodeState(*tbstate.State) []byte
	DecodeState([]byte) (*tbstate.State, error)
}

// Config holds the parameters of a Control, which do not change during its lifetime.
type Config struct {
	Consensus  tbconsensus.Config
	EntryLease tblease.Params
	TaskLease  tblease.Params
	// BackendSilence is the silence after which a runner is marked absent and a worker is fenced.
	BackendSilence time.Duration
	// DeliveryMargin is the longest time that a request or a grant may be in transit. It is added to
	// run deadlines and to the bound on worker leases.
	DeliveryMargin time.Duration
	// RemoveAfter is the silence after which a runner is removed from the state.
	RemoveAfter time.Duration
	// GrantInterval is the time between two plans of slot grants.
	GrantInterval time.Duration
	// PlacementInterval is the time between two placement plans for single-task jobs.
	PlacementInterval time.Duration
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery uint64
	// SnapshotBytes is the size of the applied entries, in bytes, after which a snapshot is also taken, unless
	// the last snapshot was larger. Then as many bytes as that snapshot had are applied first, so that large
	// states are not written too often. 0 means no such limit.
	SnapshotBytes int
	// MaxInFlight bounds the batches that are proposed and not yet applied.
	MaxInFlight int
	// MaxBatchCommands bounds the commands of one log entry, unless a single proposal has more.
	MaxBatchCommands int
	// MaxBatchBytes bounds the encoded commands of one log entry, in bytes, unless a single proposal is
	// larger. 0 means no bound.
	MaxBatchBytes int
	// MaxCommandBytes bounds the encoded commands of one request, in bytes, and thereby every log entry.
	// Larger requests are refused. 0 means no bound.
	MaxCommandBytes int
	// MaxWaiting is the number of waiting proposals at which further requests are refused.
	MaxWaiting int
	// MaxWaitingBytes is the size of the waiting and the proposed commands, in bytes, at which further
	// requests are refused. 0 means no bound.
	MaxWaitingBytes int
	// MaxJobBytes bounds the size of all stored multi-step jobs, in bytes (see tbflow.State.JobBytesAt), and
	// thereby that of snapshots. Further jobs are refused. 0 means no bound.
	MaxJobBytes int
	// MaxApplied bounds the committed entries applied between two EventBatchEnded; 0 means no bound.
	MaxApplied int
	Share      tbshare.Policy
	Placement  tbplacement.Config
	// Fleet holds the time limits for workers that run multi-step jobs.
	Fleet tbfleet.Params
	// Scheduling holds the optional decisions about multi-step jobs.
	Scheduling tbassign.Features
	// GroupSize is the number of voters that the group maintains by itself, or 0 if only operators
	// change the membership.
	GroupSize int
}

// Event is an input of Control.Step.
type Event interface{ isEvent() }

// GoesFirst reports whether an event has to be handled before other queued events. These are the events from which a
// replica knows that its group still agrees with it: a leader that is late with other events would otherwise step down.
func GoesFirst(ev Event) bool {
	switch ev.(type) {
	case MessagesArrived, EntriesPersisted, DeliveryFailed:
		return true
	}
	return false
}

// MessagesArrived carries messages of other replicas.
type MessagesArrived struct{ Messages []tbconsensus.Message }

// Tick advances the time; it comes every few milliseconds.
type Tick struct{}

// EntriesPersisted reports that log entries up to Index, the last of which has Term, are synced to disk.
type EntriesPersisted struct {
	Term  uint64
	Index uint64
}

// ProposalArrived carries commands to be committed.
type ProposalArrived struct {
	Request  uint64
	Commands []tbstate.Command
}

// SyncArrived carries an entry's periodic report, which also asks for a view.
type SyncArrived struct {
	Request uint64
	Sync    Sync
}

// JobsQueried asks for single-task jobs by id.
type JobsQueried struct {
	Request uint64
	IDs     []string
}

// StatusQueried asks for the status that operators see.
type StatusQueried struct{ Request uint64 }

// MemberChangeArrived asks for a membership change of the control group; Address is used by
// AddLearner only.
type MemberChangeArrived struct {
	Request uint64
	Change  MemberChange
	Replica tbconsensus.ReplicaID
	Address string
}

// MemberChange is a kind of membership change; the zero value requests none.
type MemberChange uint8

// Kinds of membership change.
const (
	// AddLearner adds a replica without a vote.
	AddLearner MemberChange = iota + 1
	// Promote makes a learner a voter.
	Promote
	// Remove removes a learner or a voter.
	Remove
)

// EventBatchEnded reports that no more events are queued. Step then plans runs of multi-step jobs and
// proposes waiting commands. Load is what the caller observed since the last EventBatchEnded.
type EventBatchEnded struct{ Load tbassign.Load }

// DeliveryFailed reports that log entries or parts of a snapshot may not have reached a replica.
type DeliveryFailed struct{ To tbconsensus.ReplicaID }

// ShutdownStarted asks to transfer leadership because the process is stopping.
type ShutdownStarted struct{}

// StorageFailed reports that the disk accepts no more writes. Afterwards the replica must neither lead
// nor acknowledge entries.
type StorageFailed struct{}

func (MessagesArrived) isEvent()     {}
func (Tick) isEvent()                {}
func (EntriesPersisted) isEvent()    {}
func (ProposalArrived) isEvent()     {}
func (SyncArrived) isEvent()         {}
func (JobsQueried) isEvent()         {}
func (StatusQueried) isEvent()       {}
func (MemberChangeArrived) isEvent() {}
func (EventBatchEnded) isEvent()     {}
func (DeliveryFailed) isEvent()      {}
func (ShutdownStarted) isEvent()     {}
func (StorageFailed) isEvent()       {}

// Effect is an action that the caller of Control.Step has to carry out.
type Effect interface{ isEffect() }

// SendMessages sends messages to other replicas at once.
type SendMessages struct{ Messages []tbconsensus.Message }

// Save installs Install, replaces the log from Entries[0] on and stores HardState. A nil or empty field
// leaves its part of the disk unchanged. After a disk sync, Save sends Messages. If Entries is not empty,
// it then reports EntriesPersisted.
type Save struct {
	Install   *tbconsensus.Snapshot
	Entries   []tbconsensus.Entry
	HardState *tbconsensus.HardState
	Messages  []tbconsensus.Message
}

// SaveSnapshot writes a snapshot, which replaces the log entries up to Snapshot.Meta.Index.
type SaveSnapshot struct{ Snapshot tbconsensus.Snapshot }

// AnswerProposal answers a ProposalArrived. Outcomes has one element for each command. It is nil if
// NotLeader is true.
type AnswerProposal struct {
	Request uint64
	// Leader is the replica to ask if NotLeader is true, or 0 if none is known.
	Leader tbconsensus.ReplicaID
	// NotLeader is true if this replica does not lead or has MaxWaiting proposals already. It is also
	// true if the replica lost leadership before it applied the commands; these may still be committed.
	NotLeader bool
	Outcomes  []tbstate.Outcome
}

// AnswerSync answers a SyncArrived; View is set if NotLeader is false. Leader is the replica to ask, or
// 0 if none is known.
type AnswerSync struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	View      View
}

// AnswerJobs answers a JobsQueried. If NotLeader is false, Jobs has one element for each id of the query,
// in the same order. Leader is the replica to ask, or 0 if none is known.
type AnswerJobs struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	Jobs      []JobStatus
}

// AnswerStatus answers a StatusQueried; Status is set if NotLeader is false. Leader is the replica to
// ask, or 0 if none is known.
type AnswerStatus struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	Status    Status
}

// AnswerMemberChange answers a MemberChangeArrived. If NotLeader is true, Leader is the replica to ask,
// or 0 if none is known. If NotLeader is false, an empty Refusal means that the change was proposed.
type AnswerMemberChange struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	Refusal   tbconsensus.ChangeRefusal
}

// Log writes a log line.
type Log struct {
	Message string
	Detail  string
	// Reason says in one word why the decision was made or how it ended, or is empty. Decisions are counted by reason.
	Reason string
	// Args are additional fields, as alternating keys and values.
	Args []any
	// Runs describes each run that the line covers, as key=value pairs.
	Runs []string
	// Routine is true for a line that may be dropped. Refusals, failures and late assignments are never
	// routine.
	Routine bool
}

// PlanMade reports a plan of runs of multi-step jobs. The caller accounts for it, and passes the time that a
// full plan took with the next EventBatchEnded.
type PlanMade struct {
	// IsFull is false for a plan of short steps only.
	IsFull bool
	// Runs is the number of runs of the plan, and Limit the largest number of best-effort ones that it could have.
	Runs  int
	Limit int
	// WaitingSteps is the number of steps that the plan has considered.
	WaitingSteps int
	// ReservedWorkers is the number of workers with room reserved for large tasks.
	ReservedWorkers int
	// UnderWay is the number of best-effort starts that were neither answered nor overdue when the plan was made,
	// and AnswerTime the usual time until a start is answered.
	UnderWay   int
	AnswerTime time.Duration
}

func (PlanMade) isEffect()           {}
func (SendMessages) isEffect()       {}
func (Save) isEffect()               {}
func (SaveSnapshot) isEffect()       {}
func (AnswerProposal) isEffect()     {}
func (AnswerSync) isEffect()         {}
func (AnswerJobs) isEffect()         {}
func (AnswerStatus) isEffect()       {}
func (AnswerMemberChange) isEffect() {}
func (Log) isEffect()                {}

// ServiceLoad is one entry's load report for one service.
type ServiceLoad struct {
	Service  string
	InFlight int
	Queued   int
	// Free is the number of slots that the entry could use for further calls now. It is 0 while calls are
	// queued.
	Free int
	// Arrived is the number of calls from callers since the last report.
	Arrived int
	// ServiceTime is the entry's estimate of a runner's time for one request.
	ServiceTime time.Duration
	// SlowPercent is the percentage of the answers since the last report that came after the
	// service's target latency.
	SlowPercent int
}

// RunnerTiming is the mean response time of one runner's answers to an entry since the entry last sent
// timings.
type RunnerTiming struct {
	Runner  string
	Answers int
	Mean    time.Duration
}

// TaskUsage is the measured resource usage of one job's task. Age is the time since the measurement.
type TaskUsage struct {
	Job   string
	Usage tbresource.Amount
	Age   time.Duration
}

// Sync is an entry's report to the leader.
type Sync struct {
	Session tbstate.Session
	// SessionSeen is true once a view has shown the session as open.
	SessionSeen bool
	// ConfirmedVersion is the version of the bundle that the entry uses; 0 means none.
	ConfirmedVersion uint64
	// ViewIndex is the log index of the entry's current view; 0 asks for a full view.
	ViewIndex uint64
	// HeardRunners and HeardWorkers list the backend servers from which the entry received an
	// announcement since its last report.
	HeardRunners []string
	HeardWorkers []string
	Loads        []ServiceLoad
	Usages       []TaskUsage
	// Timings is empty in most reports: the entry sends timings less often than reports.
	Timings []RunnerTiming
}

// EntryLoad is the last load report of another entry.
type EntryLoad struct {
	Session string
	Loads   []ServiceLoad
}

// View is the state that an entry needs. Unless Full is true, View holds only what changed since
// Sync.ViewIndex.
type View struct {
	Term  uint64
	Index uint64
	Full  bool
	// LeaseGranted means that the entry's lease is renewed. If LeaseGranted and SessionClosed are both
	// false, the session is about to be opened or closed, and the entry gets no lease.
	LeaseGranted bool
	// SessionClosed means that the entry's session is closed, so that the entry needs a new one.
	SessionClosed   bool
	Bundle          *tbbundle.Bundle
	Sessions        []tbstate.Session
	RemovedSessions []string
	// In each of Runners, Grants holds only the grant of the entry that asked.
	Runners        []tbstate.Runner
	RemovedRunners []string
	Workers        []tbstate.Worker
	RemovedWorkers []string
	// PlacedJobs holds the single-task jobs that are placed on a worker. RemovedTasks holds the ids of the
	// jobs that are not placed any more.
	PlacedJobs   []tbstate.Job
	RemovedTasks []string
	Loads        []EntryLoad
	Replicas     []tbconsensus.Member
	// Throttled lists all jobs whose tasks may use only part of their processors.
	Throttled []string
}

// JobStatus is the answer to a query for one job. Known is false if the state has no such job. Waiting is
// set for a queued job.
type JobStatus struct {
	Job     tbstate.Job
	Known   bool
	Waiting tbplacement.WaitReason
}

// EntryStatus is an entry's session in the status, with the version of the bundle that the entry uses.
type EntryStatus struct {
	Session          tbstate.Session
	ConfirmedVersion uint64
	LeaseLeft        time.Duration
}

// WorkerStatus is a worker in the status, with its reservations and number of tasks.
type WorkerStatus struct {
	Worker   tbstate.Worker
	Reserved tbresource.Amount
	Tasks    int
}

// PhaseCount is the number of jobs in one phase.
type PhaseCount struct {
	Phase tbstate.JobPhase
	Count int
}

// Status is the state of the deployment that operators see. ActiveVersion is the version of the active
// bundle, Queued the number of queued single-task jobs, and Claims the number of idempotency claims.
type Status struct {
	Leader        tbconsensus.ReplicaID
	Term          uint64
	CommitIndex   uint64
	Bundles       []tbbundle.Bundle
	ActiveVersion uint64
	Entries       []EntryStatus
	Runners       []tbstate.Runner
	Workers       []WorkerStatus
	Replicas      []tbconsensus.Member
	Progress      []tbconsensus.Progress
	Jobs          []PhaseCount
	Queued        int
	Claims        int
	// Evacuations holds the data centres that are or were evacuated, sorted by name.
	Evacuations []EvacuationStatus
}

// EvacuationStatus is a data centre that is evacuated, or was.
type EvacuationStatus struct {
	DataCentre string
	Active     bool
	// SinceMs is when the evacuation was started or stopped, in milliseconds since 1970.
	SinceMs int64
	// Runs is the number of runs that are assigned to workers in the data centre.
	Runs int
}

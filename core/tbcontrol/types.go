package tbcontrol

import (
	"time"

	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbplacement"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbshare"
	"tamarackbarrow/core/tbstate"
)

// Codec turns batches and states into bytes and back.
type Codec interface {
	EncodeBatch(tbstate.Batch) []byte
	DecodeBatch([]byte) (tbstate.Batch, error)
	EncodeState(*tbstate.State) []byte
	DecodeState([]byte) (*tbstate.State, error)
}

// Config is fixed for the life of a Control.
type Config struct {
	Consensus  tbconsensus.Config
	EntryLease tblease.Terms
	TaskLease  tblease.Terms
	// BackendSilence is the silence after which a backend server counts as absent.
	BackendSilence time.Duration
	// DeliveryMargin is added to run deadlines for the time that a request is under way.
	DeliveryMargin time.Duration
	// ForgetAfter is how long an absent runner is kept.
	ForgetAfter   time.Duration
	ShareInterval time.Duration
	PlanInterval  time.Duration
	// SnapshotEvery is the number of applied entries between two snapshots.
	SnapshotEvery uint64
	// MaxInFlight is the number of batches proposed and not yet applied.
	MaxInFlight int
	// MaxBatchCommands bounds the commands of one log entry.
	MaxBatchCommands int
	// MaxWaiting bounds the commands that wait to be proposed.
	MaxWaiting int
	// MaxApplied bounds the committed entries that one batch of events applies; 0 means no bound.
	MaxApplied int
	Share      tbshare.Policy
	Placement  tbplacement.Policy
	// Fleet are the time limits of dealing with workers that run jobs of steps.
	Fleet tbfleet.Terms
	// GroupSize is the number of votes that the group keeps by itself, or 0 where only operators change it.
	GroupSize int
}

// Event is something that happened to the control role.
type Event interface{ isEvent() }

// MessagesArrived carries messages of other replicas.
type MessagesArrived struct{ Messages []tbconsensus.Message }

// Ticked lets time pass; it comes every few milliseconds.
type Ticked struct{}

// EntriesPersisted tells that log entries up to Index, the last of Term, are synced.
type EntriesPersisted struct {
	Term  uint64
	Index uint64
}

// ProposalArrived asks for commands to be committed.
type ProposalArrived struct {
	Request  uint64
	Commands []tbstate.Command
}

// SyncArrived is an entry's regular report and request for its view.
type SyncArrived struct {
	Request uint64
	Sync    Sync
}

// JobsQueried asks for jobs by id.
type JobsQueried struct {
	Request uint64
	IDs     []string
}

// StatusQueried asks for the whole status.
type StatusQueried struct{ Request uint64 }

// MemberChangeArrived asks for a change of the control group.
type MemberChangeArrived struct {
	Request uint64
	Change  MemberChange
	Replica tbconsensus.ReplicaID
	Address string
}

// MemberChange is a sort of change of the control group.
type MemberChange uint8

// Changes of the control group.
const (
	AddLearner MemberChange = iota + 1
	Promote
	Remove
)

// BatchEnded tells that no more events are at hand, so that waiting commands are proposed.
type BatchEnded struct{}

// DeliveryFailed tells that entries or parts of a snapshot may not have reached a replica.
type DeliveryFailed struct{ To tbconsensus.ReplicaID }

// StopBegun asks to hand over leadership.
type StopBegun struct{}

// StorageFailed tells that the disk takes no more writes; the replica must not lead or acknowledge.
type StorageFailed struct{}

func (MessagesArrived) isEvent()     {}
func (Ticked) isEvent()              {}
func (EntriesPersisted) isEvent()    {}
func (ProposalArrived) isEvent()     {}
func (SyncArrived) isEvent()         {}
func (JobsQueried) isEvent()         {}
func (StatusQueried) isEvent()       {}
func (MemberChangeArrived) isEvent() {}
func (BatchEnded) isEvent()          {}
func (DeliveryFailed) isEvent()      {}
func (StopBegun) isEvent()           {}
func (StorageFailed) isEvent()       {}

// Effect is something that the caller has to do.
type Effect interface{ isEffect() }

// SendMessages sends messages to other replicas at once.
type SendMessages struct{ Messages []tbconsensus.Message }

// Save writes and syncs, then sends Messages, then reports EntriesPersisted.
type Save struct {
	Install   *tbconsensus.Snapshot
	Entries   []tbconsensus.Entry
	HardState *tbconsensus.HardState
	Messages  []tbconsensus.Message
}

// SaveSnapshot writes a snapshot and drops the log before it.
type SaveSnapshot struct{ Snapshot tbconsensus.Snapshot }

// AnswerProposal answers ProposalArrived.
type AnswerProposal struct {
	Request uint64
	// Leader is the known leader when NotLeader is true, or 0.
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	Outcomes  []tbstate.Outcome
}

// AnswerSync answers SyncArrived.
type AnswerSync struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	View      View
}

// AnswerJobs answers JobsQueried.
type AnswerJobs struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	Jobs      []JobView
}

// AnswerStatus answers StatusQueried.
type AnswerStatus struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	Status    Status
}

// AnswerMemberChange answers MemberChangeArrived.
type AnswerMemberChange struct {
	Request   uint64
	Leader    tbconsensus.ReplicaID
	NotLeader bool
	Refusal   tbconsensus.ChangeRefusal
}

// Log asks for a log line.
type Log struct {
	Message string
	Detail  string
	// Args are further keys and values by turns.
	Args []any
	// Runs tells of single runs where one line is about several of a job, each as keys and values.
	Runs []string
	// Routine is true for a line without which every refusal, failure and late start is still told.
	Routine bool
}

func (SendMessages) isEffect()       {}
func (Save) isEffect()               {}
func (SaveSnapshot) isEffect()       {}
func (AnswerProposal) isEffect()     {}
func (AnswerSync) isEffect()         {}
func (AnswerJobs) isEffect()         {}
func (AnswerStatus) isEffect()       {}
func (AnswerMemberChange) isEffect() {}
func (Log) isEffect()                {}

// ServiceLoad is what one entry reports of one service.
type ServiceLoad struct {
	Service  string
	InFlight int
	Queued   int
	Free     int
	// Arrived counts the calls from callers since the last report.
	Arrived int
	// ServiceTime is the entry's estimate of a runner's time for one request.
	ServiceTime time.Duration
	// SlowPercent is the share of late answers since the last report.
	SlowPercent int
}

// RunnerTiming is how long one runner took for an entry's requests since its last report.
type RunnerTiming struct {
	Runner  string
	Answers int
	Mean    time.Duration
}

// TaskUsage is a lagged measurement of one task.
type TaskUsage struct {
	Job   string
	Usage tbresource.Amount
	Age   time.Duration
}

// Sync is an entry's report to the leader.
type Sync struct {
	Session tbstate.Session
	// SessionSeen is true once a view showed the session as open.
	SessionSeen      bool
	ConfirmedVersion uint64
	// ViewIndex names the view that the entry has.
	ViewIndex    uint64
	HeardRunners []string
	HeardWorkers []string
	Loads        []ServiceLoad
	Usages       []TaskUsage
	Timings      []RunnerTiming
}

// EntryLoad is the last report of another entry.
type EntryLoad struct {
	Session string
	Loads   []ServiceLoad
}

// View is what an entry needs to know; it holds only what changed unless Full.
type View struct {
	Term          uint64
	Index         uint64
	Full          bool
	LeaseGranted  bool
	SessionClosed bool
	Bundle        *tbbundle.Bundle
	Sessions      []tbstate.Session
	GoneSessions  []string
	// Runners carry only the grant of the entry that asked.
	Runners     []tbstate.Runner
	GoneRunners []string
	Workers     []tbstate.Worker
	GoneWorkers []string
	Tasks       []tbstate.Job
	GoneTasks   []string
	Loads       []EntryLoad
	Replicas    []tbconsensus.Member
	// Throttled lists all jobs whose tasks may use only part of their processors.
	Throttled []string
}

// JobView is what is told of a job.
type JobView struct {
	Job     tbstate.Job
	Known   bool
	Waiting tbplacement.WaitReason
}

// EntryView is what is told of an entry's session.
type EntryView struct {
	Session          tbstate.Session
	ConfirmedVersion uint64
	LeaseLeft        time.Duration
}

// WorkerView is what is told of a worker.
type WorkerView struct {
	Worker   tbstate.Worker
	Reserved tbresource.Amount
	Tasks    int
}

// PhaseCount counts jobs in one phase.
type PhaseCount struct {
	Phase tbstate.JobPhase
	Count int
}

// Status is the whole of what an operator sees.
type Status struct {
	Leader   tbconsensus.ReplicaID
	Term     uint64
	Commit   uint64
	Bundles  []tbbundle.Bundle
	InForce  uint64
	Entries  []EntryView
	Runners  []tbstate.Runner
	Workers  []WorkerView
	Replicas []tbconsensus.Member
	Progress []tbconsensus.Progress
	Jobs     []PhaseCount
	Queued   int
	Claims   int
}

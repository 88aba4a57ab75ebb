package tbentry

import (
	"time"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tblease"
	"tamarackbarrow/core/tbqueue"
	"tamarackbarrow/core/tbresource"
	"tamarackbarrow/core/tbrouting"
	"tamarackbarrow/core/tbstate"
)

// Config is fixed for the life of an Entry.
type Config struct {
	ID          string
	Incarnation uint64
	DataCentre  string
	PeerAddress string
	// Control lists the control replicas that the settings name.
	Control      []tbconsensus.Member
	EntryLease   tblease.Terms
	TaskLease    tblease.Terms
	SyncInterval time.Duration
	// DeliveryMargin is added to a run deadline before a silent runner's slot counts as free.
	DeliveryMargin time.Duration
	Routing        tbrouting.Policy
	QueueOrder     tbqueue.Order
	// Admission is false for the baseline that queues whatever fits.
	Admission bool
	// Handover is false for the baseline that keeps calls at the entry where they arrived.
	Handover bool
	Seed     uint64
}

// Status is what a caller is told about its request.
type Status uint8

// Outcomes of a call.
const (
	Answered Status = iota + 1
	// NotRun means that no runner ran the request or will run it.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Reason tells why a call was not answered or was tried again; each has a counter.
type Reason string

// Reasons of refusals, unknown outcomes and retries.
const (
	NoReason              Reason = ""
	EntryStopping         Reason = "entryStopping"
	NoLease               Reason = "noLease"
	NoBundle              Reason = "noBundle"
	ServiceUnknown        Reason = "serviceUnknown"
	QueueFull             Reason = "queueFull"
	WaitTooLong           Reason = "waitTooLong"
	DeadlineWhileQueued   Reason = "deadlineWhileQueued"
	DeadlineWhileClaiming Reason = "deadlineWhileClaiming"
	NoFreeSlot            Reason = "noFreeSlot"
	CallerLeftQueue       Reason = "callerLeftQueue"
	ClaimTableFull        Reason = "claimTableFull"
	ControlUnavailable    Reason = "controlUnavailable"
	RetryBudgetSpent      Reason = "retryBudgetSpent"
	RunnerRefused         Reason = "runnerRefused"
	RunnerNotReached      Reason = "runnerNotReached"
	ConnectionLost        Reason = "connectionLost"
	BadAnswer             Reason = "badAnswer"
	RunFailed             Reason = "runFailed"
	DeadlineWhileRunning  Reason = "deadlineWhileRunning"
	CallerLeftRunning     Reason = "callerLeftRunning"
	ClaimStillRunning     Reason = "claimInProgress"
	ClaimUndecided        Reason = "claimUndecided"
	HandoverLost          Reason = "handoverLost"
	StaleIncarnation      Reason = "staleIncarnation"
)

// Call is one request of a caller.
type Call struct {
	Service string
	Method  string
	Payload []byte
	Member  string
	// Key is the idempotency key, or empty.
	Key string
	// Within is the time in which an answer is of use.
	Within time.Duration
}

// Outcome answers a call.
type Outcome struct {
	Status  Status
	Payload []byte
	Reason  Reason
	Detail  string
}

// RunKind is how an attempt at a runner ended.
type RunKind uint8

// Ends of an attempt.
const (
	RunAnswered RunKind = iota + 1
	// RunRefused means that the runner says that it did not run the request.
	RunRefused
	// RunNotSent means that no byte of the request left this process.
	RunNotSent
	// RunLost means that the connection ended or the runner stayed silent.
	RunLost
	// RunBadAnswer means that the answer is cut short or belongs to another request.
	RunBadAnswer
	// RunError means that the runner answered with an error of its own.
	RunError
)

// Event is something that happened to the entry role.
type Event interface{ isEvent() }

// CallArrived is a request of a caller, or of a peer that has no free slot.
type CallArrived struct {
	ID       uint64
	Call     Call
	Handover bool
}

// CallerLeft tells that nobody waits for a call's answer any more.
type CallerLeft struct{ ID uint64 }

// RunEnded is the end of an attempt.
type RunEnded struct {
	Attempt uint64
	Kind    RunKind
	Payload []byte
	Detail  string
}

// HandoverEnded is a peer's answer; Lost means that no answer came.
type HandoverEnded struct {
	ID      uint64
	Lost    bool
	NotSent bool
	Outcome Outcome
}

// ProposalEnded answers SendProposal.
type ProposalEnded struct {
	ID uint64
	// Failed means that no answer came; the commands may have been committed.
	Failed    bool
	NotLeader bool
	Leader    tbconsensus.ReplicaID
	Outcomes  []tbstate.Outcome
}

// SyncEnded answers SendSync.
type SyncEnded struct {
	SentAt    time.Time
	Failed    bool
	NotLeader bool
	Leader    tbconsensus.ReplicaID
	View      tbcontrol.View
}

// RunnerAnnounced is a runner's regular announcement.
type RunnerAnnounced struct {
	Request uint64
	Runner  tbstate.Runner
}

// TaskReport is what a worker says of one task.
type TaskReport struct {
	Job        string
	Epoch      uint64
	Phase      tbstate.TaskPhase
	Checkpoint string
	RanMs      int64
	Usage      tbresource.Amount
	UsageAge   time.Duration
}

// WorkerAnnounced is a worker's regular announcement.
type WorkerAnnounced struct {
	Request uint64
	Worker  tbstate.Worker
	// ClockMs is the worker's own clock when it sent the announcement.
	ClockMs uint64
	Reports []TaskReport
}

// CommandsSubmitted asks for commands of a caller or operator to be committed.
type CommandsSubmitted struct {
	Request  uint64
	Commands []tbstate.Command
	Within   time.Duration
}

// Ticked lets time pass; it comes every few milliseconds.
type Ticked struct{}

// BatchEnded tells that no more events are at hand, so that proposals are sent.
type BatchEnded struct{}

// StopBegun starts a graceful shutdown.
type StopBegun struct{}

func (CallArrived) isEvent()       {}
func (CallerLeft) isEvent()        {}
func (RunEnded) isEvent()          {}
func (HandoverEnded) isEvent()     {}
func (ProposalEnded) isEvent()     {}
func (SyncEnded) isEvent()         {}
func (RunnerAnnounced) isEvent()   {}
func (WorkerAnnounced) isEvent()   {}
func (CommandsSubmitted) isEvent() {}
func (Ticked) isEvent()            {}
func (BatchEnded) isEvent()        {}
func (StopBegun) isEvent()         {}

// Effect is something that the caller of Step has to do.
type Effect interface{ isEffect() }

// AnswerCall answers CallArrived.
type AnswerCall struct {
	ID      uint64
	Outcome Outcome
}

// StartRun sends a request to a runner.
type StartRun struct {
	Attempt     uint64
	Runner      string
	Incarnation uint64
	Address     string
	Call        Call
	// Within is the run deadline that the runner keeps.
	Within time.Duration
	// GiveUp is when the entry stops waiting for an answer.
	GiveUp time.Duration
}

// StartHandover sends a call to a peer with a free slot.
type StartHandover struct {
	ID      uint64
	Address string
	Call    Call
	Left    time.Duration
}

// SendProposal sends commands to a control replica.
type SendProposal struct {
	ID       uint64
	Address  string
	Commands []tbstate.Command
}

// SendSync sends the regular report to a control replica.
type SendSync struct {
	Address string
	Sync    tbcontrol.Sync
	SentAt  time.Time
}

// AnswerRunner answers RunnerAnnounced.
type AnswerRunner struct {
	Request uint64
	Reason  Reason
}

// TaskOrder is what a worker has to do with one task.
type TaskOrder struct {
	Task tbstate.Job
	Stop bool
	// ThrottlePercent is the share of its processors that the task may use, 0 for all.
	ThrottlePercent int
}

// TaskAck tells a worker that a report is recorded.
type TaskAck struct {
	Job   string
	Epoch uint64
	// Accepted is false when another epoch counts; the worker then drops its result.
	Accepted bool
}

// Orders is all that a worker has to run, under leases that count from its own clock.
type Orders struct {
	Incarnation  uint64
	LeaseBaseMs  uint64
	Lease        time.Duration
	Tasks        []TaskOrder
	Acknowledged []TaskAck
}

// AnswerWorker answers WorkerAnnounced.
type AnswerWorker struct {
	Request uint64
	Reason  Reason
	Orders  Orders
}

// PushOrders sends orders to a worker ahead of its next announcement.
type PushOrders struct {
	Worker  string
	Address string
	Orders  Orders
}

// AnswerCommands answers CommandsSubmitted; a reason means that the commit is uncertain.
type AnswerCommands struct {
	Request  uint64
	Reason   Reason
	Outcomes []tbstate.Outcome
}

// Counter names a counter of refusals, retries or unknown outcomes.
type Counter struct {
	// Group is one of refused, unknown, retried, ejected, answered.
	Group  string
	Reason Reason
}

// Count adds one to a counter.
type Count struct{ Counter Counter }

// Stopped tells that a graceful shutdown has nothing more to wait for.
type Stopped struct{}

func (AnswerCall) isEffect()     {}
func (StartRun) isEffect()       {}
func (StartHandover) isEffect()  {}
func (SendProposal) isEffect()   {}
func (SendSync) isEffect()       {}
func (AnswerRunner) isEffect()   {}
func (AnswerWorker) isEffect()   {}
func (PushOrders) isEffect()     {}
func (AnswerCommands) isEffect() {}
func (Count) isEffect()          {}
func (Stopped) isEffect()        {}

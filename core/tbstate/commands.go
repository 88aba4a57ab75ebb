package tbstate

import (
	"tamarackbarrow/core/tbbundle"
	"tamarackbarrow/core/tbflow"
)

// Command is one change of the state.
type Command interface{ isCommand() }

// Batch is the commands of one log entry.
type Batch struct {
	// NowMs is the leader's wall time in milliseconds since 1970.
	NowMs    int64
	Commands []Command
}

// Outcome is the result of one command; the zero value means that it was applied.
type Outcome struct {
	Reason Reason
	Detail string
	// Claim is the existing claim if AcquireClaim found one, or nil.
	Claim *Claim
}

// SignOff stores a bundle under its version number.
type SignOff struct{ Bundle tbbundle.Bundle }

// RollOut activates a signed-off version.
type RollOut struct{ Version uint64 }

// OpenSession adds an entry's session.
type OpenSession struct{ Session Session }

// CloseSession removes a session whose lease and requests are certain to have ended.
type CloseSession struct{ Key string }

// AnnounceRunner adds a runner or changes the phase of a runner. A newer incarnation replaces the
// older one and starts without grants.
type AnnounceRunner struct{ Runner Runner }

// MarkRunnerAbsent records that a runner has not announced itself for too long.
type MarkRunnerAbsent struct {
	ID          string
	Incarnation uint64
}

// RemoveRunner removes a runner that is not in phase RunnerPresent.
type RemoveRunner struct {
	ID          string
	Incarnation uint64
}

// GrantChange is the new target of one session on one runner.
type GrantChange struct {
	Runner  string
	Session string
	Slots   int
	// BasedOn is Grant.Changed of the grant to which ReleaseSlots responds. SetGrants ignores
	// BasedOn.
	BasedOn uint64
}

// SetGrants sets targets and raises Granted to them; a lower target leaves Granted as it is.
//
// A change is skipped if the runner or session is unknown or if the grants would exceed the runner's
// slots. The outcome is that of the last skipped change.
type SetGrants struct{ Changes []GrantChange }

// ReleaseSlots releases the granted slots above a lowered target.
type ReleaseSlots struct{ Changes []GrantChange }

// AnnounceWorker adds a worker or changes the phase of a worker. A newer incarnation replaces the
// older one, whose tasks are queued again.
type AnnounceWorker struct{ Worker Worker }

// FenceWorker stops all entries from renewing the leases of an unresponsive worker.
type FenceWorker struct {
	ID          string
	Incarnation uint64
}

// MarkWorkerGone requeues the tasks of a fenced worker whose leases are certain to have ended.
type MarkWorkerGone struct {
	ID          string
	Incarnation uint64
	// FencedAt is the log index at which FenceWorker fenced the worker. MarkWorkerGone is refused if
	// the worker has changed after that index.
	FencedAt uint64
}

// DrainWorker evicts all tasks of a worker. The worker receives no new tasks.
type DrainWorker struct{ ID string }

// SubmitJob adds a job; repeating it with the same id and content has no effect.
type SubmitJob struct{ Job Job }

// CancelJob cancels a queued job at once. It cancels a placed job once the task has stopped.
type CancelJob struct{ ID string }

// StartTask places a queued job on a worker as a new run.
type StartTask struct {
	Job    string
	Worker string
	// Run is the number of the new run, one above Job.Run.
	Run uint64
}

// EvictTask asks a running task to checkpoint and stop.
type EvictTask struct {
	Job    string
	Run    uint64
	Reason Reason
}

// TaskPhase is the phase of a task as its worker reports it.
type TaskPhase string

// Phases of a task on its worker.
const (
	TaskRunning  TaskPhase = "running"
	TaskFinished TaskPhase = "finished"
	TaskFailed   TaskPhase = "failed"
	TaskStopped  TaskPhase = "stopped"
	TaskRefused  TaskPhase = "refused"
)

// ReportTask records how a run of a job ended on its worker.
type ReportTask struct {
	Job        string
	Worker     string
	Run        uint64
	Phase      TaskPhase
	Checkpoint string
	// RanMs is the run time of this run in milliseconds.
	RanMs int64
}

// AcquireClaim acquires the right to execute a request that has an idempotency key.
type AcquireClaim struct {
	Key     ClaimKey
	Session string
	// CallID is unique within the session; the same command sent again has the same CallID.
	CallID uint64
}

// FinishClaim records the result of a claimed request. With ClaimNotExecuted, it deletes the claim.
// If AcquireClaim has not been applied yet, there is no claim to delete; a late AcquireClaim of the
// same call is then refused.
type FinishClaim struct {
	Key     ClaimKey
	Session string
	CallID  uint64
	Status  ClaimStatus
	Answer  []byte
	Reason  string
}

// FlowChange changes the multi-step jobs.
type FlowChange struct{ Command tbflow.Command }

func (FlowChange) isCommand()       {}
func (SignOff) isCommand()          {}
func (RollOut) isCommand()          {}
func (OpenSession) isCommand()      {}
func (CloseSession) isCommand()     {}
func (AnnounceRunner) isCommand()   {}
func (MarkRunnerAbsent) isCommand() {}
func (RemoveRunner) isCommand()     {}
func (SetGrants) isCommand()        {}
func (ReleaseSlots) isCommand()     {}
func (AnnounceWorker) isCommand()   {}
func (FenceWorker) isCommand()      {}
func (MarkWorkerGone) isCommand()   {}
func (DrainWorker) isCommand()      {}
func (SubmitJob) isCommand()        {}
func (CancelJob) isCommand()        {}
func (StartTask) isCommand()        {}
func (EvictTask) isCommand()        {}
func (ReportTask) isCommand()       {}
func (AcquireClaim) isCommand()     {}
func (FinishClaim) isCommand()      {}

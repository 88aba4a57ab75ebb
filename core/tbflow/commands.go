package tbflow

import "tamarackbarrow/core/tbresource"

// Command is one change of the state.
type Command interface{ isCommand() }

// PutConfig replaces the configuration. A configuration whose version is not higher than the stored
// one is ignored.
type PutConfig struct{ Config Config }

// Submit adds a job. If the ID exists, the job is ignored, so a Submit can be repeated.
type Submit struct {
	Job Job
	// Host and Path select the queue, see Config.Match.
	Host string
	Path string
}

// Cancel ends the job with this ID. Host and Path must match the job's queue, see State.Find. The
// leader stops the job's runs afterwards.
type Cancel struct {
	ID   string
	Host string
	Path string
}

// Assignment assigns a run of a task to one incarnation of a worker.
type Assignment struct {
	Ref         TaskRef
	Run         uint64
	Worker      string
	Incarnation int64
}

// Assign records assignments. The start orders are sent to the workers only after that.
type Assign struct{ Assignments []Assignment }

// EndKind is the way in which a run ended.
type EndKind uint8

// Kinds of end.
const (
	// EndDone means that the run ended successfully.
	EndDone EndKind = iota
	// EndFailed means that the run failed. Task.Failures then increases by one, unless the task is
	// long-running.
	EndFailed
	// EndStopped means that the run ended without success or failure. For example, it was stopped
	// because its gang was incomplete, or its lease expired.
	EndStopped
	// EndNeverRan means that the run is treated as never executed. In one case, its start was not
	// executed and can no longer be executed, or is recorded as outstanding (see RecordUnanswered). In the
	// other case, it is unknown whether the start was executed, and any lease of the run has expired.
	EndNeverRan
)

// End is the end of one run.
type End struct {
	Ref        TaskRef
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// RecordEnds records ends of runs that are assigned to one incarnation of a worker.
//
// LastEnd is the new value of WorkerRecord.LastRecordedEnd, unless the recorded value is higher or
// another incarnation is recorded. All ends that the incarnation has listed with numbers up to
// LastEnd are recorded once the command is applied. If LastEnd is 0, the recorded value is
// unchanged.
type RecordEnds struct {
	Worker      string
	Incarnation int64
	LastEnd     uint64
	Ends        []End
}

// RunRef identifies one run of a task.
type RunRef struct {
	Ref TaskRef
	Run uint64
}

// RecordListed records that a worker incarnation has listed runs as running. Runs that are not
// assigned to that incarnation are ignored.
//
// A listed run is known to execute at the incarnation to which it is assigned. A new leader
// therefore need not consider that a later incarnation may execute the start of the run.
type RecordListed struct {
	Worker      string
	Incarnation int64
	Runs        []RunRef
}

// RecordWorker records the address and the properties of one incarnation of a worker.
type RecordWorker struct {
	Worker      string
	Incarnation int64
	Address     string
	Class       string
	DataCentre  string
	Rack        string
	Labels      []string
	Capacity    tbresource.Amount
}

// RemoveWorker removes the record of a worker incarnation. The command has no effect if runs are
// assigned to the worker, or if another incarnation is recorded.
type RemoveWorker struct {
	Worker      string
	Incarnation int64
}

// Interference is the learned effect of best-effort image BestEffortImage on a co-located
// long-running image LongRunningImage. Slope is the change in the margin of the long-running task
// if the best-effort image used the whole instance. The margin is the target tail latency divided
// by the measured one, so the latency rises if Slope is below 0.
type Interference struct {
	LongRunningImage string
	BestEffortImage  string
	Slope            float64
}

// RecordInterference replaces the learned effects. The effects are stored so that the next leader
// need not learn them again.
type RecordInterference struct{ Interference []Interference }

// RecordDraining records that a worker incarnation is draining. Assignments to that incarnation are
// rejected from then on.
type RecordDraining struct {
	Worker      string
	Incarnation int64
}

// RecordSignedOff records that a drained worker incarnation has signed off.
type RecordSignedOff struct {
	Worker      string
	Incarnation int64
}

func (RecordSignedOff) isCommand()    {}
func (PutConfig) isCommand()          {}
func (Submit) isCommand()             {}
func (Cancel) isCommand()             {}
func (Assign) isCommand()             {}
func (RecordEnds) isCommand()         {}
func (RecordInterference) isCommand() {}
func (RecordDraining) isCommand()     {}
func (RecordWorker) isCommand()       {}
func (RemoveWorker) isCommand()       {}
func (RecordListed) isCommand()       {}

// Reason says why a command was rejected. The empty reason means that the command was applied or
// had no effect.
type Reason string

// Reasons for rejecting a command. NotReady means that the task's step depends on steps that are not
// done. StartOutstanding means that another worker may still execute a start of the task. InEvacuated means that the
// worker is in an evacuated data centre. OrderInDoubt means that an order may be a late copy of an earlier one.
// CopyNotAllowed means that the step allows no second runs, or that the task has no run, has a second run, or runs on
// that worker.
const (
	OK               Reason = ""
	NoConfig         Reason = "noConfigurationYet"
	QueueUnknown     Reason = "queueUnknown"
	JobInvalid       Reason = "jobInvalid"
	JobUnknown       Reason = "jobUnknown"
	TaskUnknown      Reason = "taskUnknown"
	TaskNotWaiting   Reason = "taskNotWaiting"
	RunStale         Reason = "runStale"
	JobEnded         Reason = "jobEnded"
	NotReady         Reason = "dependenciesNotDone"
	AttemptsUsed     Reason = "attemptsUsed"
	OtherIncarnation Reason = "otherLifeOfWorker"
	WorkerDraining   Reason = "workerDraining"
	StartOutstanding Reason = "startOutstanding"
	InEvacuated      Reason = "dataCentreEvacuated"
	OrderInDoubt     Reason = "orderInDoubt"
	CopyNotAllowed   Reason = "copyNotAllowed"
)

package tbflow

import "tamarackbarrow/core/tbresource"

// Command is one change of the state.
type Command interface{ isCommand() }

// PutConfig replaces the configuration; a version that is not newer than the stored one is ignored.
type PutConfig struct{ Config Config }

// Submit adds a job. It is idempotent by job ID: a job with an existing ID is ignored.
type Submit struct {
	Job Job
	// Host and Path select the queue, see Config.Match.
	Host string
	Path string
}

// Cancel ends the job with ID if Host and Path match the key of its queue, see State.Find; its runs
// are stopped afterwards.
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

// Assign records assignments before the start orders are sent to the workers.
type Assign struct{ Assignments []Assignment }

// EndKind is the way in which a run ended.
type EndKind uint8

// Kinds of end.
const (
	// EndDone means that the run ended successfully.
	EndDone EndKind = iota
	// EndFailed means that the run failed; unless the task is long-running, that counts as a
	// failure of the task.
	EndFailed
	// EndStopped means that the run was stopped, for example because its gang was incomplete, or
	// that its lease expired: the run did not fail.
	EndStopped
	// EndNeverRan means that the run has no effect that counts: the start was never executed and
	// cannot be any more, or its execution is unconfirmed and any lease of the run has expired.
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
// LastEnd is the number up to which the ends that the incarnation lists are recorded, or 0 to leave
// that unchanged.
type RecordEnds struct {
	Worker      string
	Incarnation int64
	LastEnd     uint64
	Ends        []End
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

// RemoveWorker removes the record of a worker incarnation, unless runs are assigned to the worker.
type RemoveWorker struct {
	Worker      string
	Incarnation int64
}

// Interference is the learned effect of a co-located image: Slope is the change in the margin of
// long-running image LongRunningImage if best-effort image BestEffortImage used the whole instance.
// The margin of a task is its target tail latency divided by the measured one, so a Slope below 0
// means that the latency rises.
type Interference struct {
	LongRunningImage string
	BestEffortImage  string
	Slope            float64
}

// RecordInterference replaces the learned effects, so that the next leader need not learn them
// again.
type RecordInterference struct{ Interference []Interference }

// RecordDraining records that a worker incarnation is draining and gets no new tasks.
type RecordDraining struct {
	Worker      string
	Incarnation int64
}

func (PutConfig) isCommand()          {}
func (Submit) isCommand()             {}
func (Cancel) isCommand()             {}
func (Assign) isCommand()             {}
func (RecordEnds) isCommand()         {}
func (RecordInterference) isCommand() {}
func (RecordDraining) isCommand()     {}
func (RecordWorker) isCommand()       {}
func (RemoveWorker) isCommand()       {}

// Reason says why a command was rejected; the empty reason means that it was applied or had no
// effect.
type Reason string

// Reasons for rejecting a command.
const (
	OK               Reason = ""
	NoConfig         Reason = "noConfigurationYet"
	QueueUnknown     Reason = "queueUnknown"
	JobUnknown       Reason = "jobUnknown"
	TaskUnknown      Reason = "taskUnknown"
	TaskNotWaiting   Reason = "taskNotWaiting"
	RunStale         Reason = "runStale"
	JobEnded         Reason = "jobEnded"
	NotReady         Reason = "dependenciesNotDone"
	AttemptsUsed     Reason = "attemptsUsed"
	OtherIncarnation Reason = "otherLifeOfWorker"
	WorkerDraining   Reason = "workerDraining"
)

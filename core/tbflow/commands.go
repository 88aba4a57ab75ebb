package tbflow

import "tamarackbarrow/core/tbresource"

// Command is one change of the state.
type Command interface{ isCommand() }

// PutConfig replaces the configuration; a version that is not newer than the stored one is ignored.
type PutConfig struct{ Config Config }

// Submit adds a job. It is idempotent by job ID: a job with an existing ID is ignored.
type Submit struct {
	Job Job
	// Host and Path select the queue.
	Host string
	Path string
}

// Cancel ends the job with ID if it belongs to the queue that Host and Path select; its runs are
// stopped afterwards.
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
	// EndFailed means that the run failed; unless the task is long-running, that counts as an
	// attempt.
	EndFailed
	// EndStopped covers stops, expired leases and incomplete gangs: the run did not fail.
	EndStopped
	// EndNeverRan means that the start order did not take effect and never will.
	EndNeverRan
)

// End is the end of one run.
type End struct {
	Ref        TaskRef
	Run        uint64
	Kind       EndKind
	Checkpoint string
}

// RecordEnds records the ends that one incarnation of a worker reported, up to number LastEnd.
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

// Interference is the learned effect of a co-located image: Slope is the change in the latency
// margin of long-running image LongRunningImage if best-effort image BestEffortImage used the whole
// instance.
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

// Reason is the cause for which a command was rejected; the empty reason means that it was applied.
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

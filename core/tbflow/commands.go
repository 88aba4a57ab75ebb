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
	Ref    TaskRef
	Run    uint64
	Worker string
	Born   int64
}

// Assign records assignments before the start orders are sent to the workers.
type Assign struct{ Runs []Assignment }

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

// NoteEnds records the ends that one incarnation of a worker reported, up to number Through.
type NoteEnds struct {
	Worker  string
	Born    int64
	Through uint64
	Ends    []End
}

// NoteWorker records the address and the properties of one incarnation of a worker.
type NoteWorker struct {
	Worker     string
	Born       int64
	Address    string
	Class      string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   tbresource.Amount
}

// ForgetWorker removes the record of a worker incarnation, unless runs are assigned to the worker.
type ForgetWorker struct {
	Worker string
	Born   int64
}

// Slope is the learned effect of a co-located image: Mean is the change in the latency margin of
// long-running image Lasting if best-effort image Filling used the whole instance.
type Slope struct {
	Lasting string
	Filling string
	Mean    float64
}

// NoteSlopes replaces the learned effects, so that the next leader need not learn them again.
type NoteSlopes struct{ Slopes []Slope }

// NoteDraining records that a worker incarnation is draining and gets no new tasks.
type NoteDraining struct {
	Worker string
	Born   int64
}

func (PutConfig) isCommand()    {}
func (Submit) isCommand()       {}
func (Cancel) isCommand()       {}
func (Assign) isCommand()       {}
func (NoteEnds) isCommand()     {}
func (NoteSlopes) isCommand()   {}
func (NoteDraining) isCommand() {}
func (NoteWorker) isCommand()   {}
func (ForgetWorker) isCommand() {}

// Reason is the cause for which a command was rejected; the empty reason means that it was applied.
type Reason string

// Reasons for rejecting a command.
const (
	OK             Reason = ""
	NoConfig       Reason = "noConfigurationYet"
	QueueUnknown   Reason = "queueUnknown"
	JobUnknown     Reason = "jobUnknown"
	TaskUnknown    Reason = "taskUnknown"
	TaskNotWaiting Reason = "taskNotWaiting"
	RunStale       Reason = "runStale"
	JobNotRunnable Reason = "jobEnded"
	NotReady       Reason = "dependenciesNotDone"
	AttemptsUsed   Reason = "attemptsUsed"
	WorkerIsOther  Reason = "otherLifeOfWorker"
	WorkerDraining Reason = "workerDraining"
)

package tbflow

import (
	"strconv"
	"time"

	"tamarackbarrow/core/tbresource"
)

// TaskRef names one task of a job.
type TaskRef struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name of the task, as job.occurrence.step.index.
func (r TaskRef) String() string {
	var space [64]byte
	b := append(space[:0], r.Job...)
	for _, n := range [...]int{r.Occurrence, r.Step, r.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// Step is a number of equal tasks that may start once other steps are done.
type Step struct {
	Count int
	Need  tbresource.Amount
	// Estimate is the submitter's rough guess of a task's run time.
	Estimate time.Duration
	// DependsOn lists earlier steps, all of whose tasks must be done first.
	DependsOn []int
	// Checkpoints is true when tasks save their progress.
	Checkpoints bool
	// Gang is true when the tasks work only while all of them run.
	Gang bool
	// RackLocal is true when tasks on several racks slow each other.
	RackLocal bool
	// Label is one that the worker must have, or empty.
	Label string
	// Rack is where the data is, or empty.
	Rack string
	// SpreadLimit is the most tasks of an occurrence on one worker, or 0 for no limit.
	SpreadLimit int
	// Copies is true when a second copy of a task may run.
	Copies bool
	// Lasting is true when tasks run until the job is cancelled.
	Lasting bool
	// Image names what the tasks run; tasks of one image behave alike.
	Image string
	// TailTarget is the tail latency that a lasting task must keep for its own users, or 0.
	TailTarget time.Duration
	// Fills is true when tasks use only the processors that others leave unused.
	Fills bool
	// MissAllowed is how many lasting tasks may be away at once by our own doing.
	MissAllowed int
}

// Phase is the state of a job.
type Phase uint8

// Phases of a job.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[p]
}

// Ended reports whether the job starts nothing any more.
func (p Phase) Ended() bool { return p >= Completed }

// TaskPhase is the state of a task.
type TaskPhase uint8

// Phases of a task.
const (
	TaskWaiting TaskPhase = iota
	// TaskAssigned means that a run was ordered from a worker and may be going on.
	TaskAssigned
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Phase TaskPhase
	// Run numbers the newest start.
	Run uint64
	// Worker and Born name the life of the worker that has the run while Phase is TaskAssigned.
	Worker     string
	Born       int64
	Failures   int
	Checkpoint string
	// AssignedMs is the time of the last assignment, and WaitingMs since when the task could
	// have started; both are times of the state.
	AssignedMs int64
	WaitingMs  int64
	// LastFailedOn is the worker of the last failed run, which a retry avoids.
	LastFailedOn string
}

// Job is a submitted job.
type Job struct {
	ID    string
	Queue QueueKey
	// WorkerClass, Priority, MaxAttempts, Target and Slack follow the queue while it exists.
	WorkerClass string
	Priority    int
	MaxAttempts int
	Target      time.Duration
	Slack       float64
	Spec        string
	Steps       []Step
	// Repeat is the number of occurrences, or 0 for a job that runs once at once.
	Repeat     int
	StartAtMs  int64
	IntervalMs int64
	Phase      Phase
	// Started is true once a run is known to have taken effect.
	Started bool
	// SubmittedMs and EndedMs are the state's times, in milliseconds since 1970.
	SubmittedMs int64
	EndedMs     int64
	Seq         uint64
	// Tasks are indexed by occurrence, step and index.
	Tasks [][][]Task
}

// Task returns a task of the job, or nil.
func (j *Job) Task(ref TaskRef) *Task {
	if ref.Occurrence < 0 || ref.Occurrence >= len(j.Tasks) || ref.Step < 0 || ref.Step >= len(j.Steps) {
		return nil
	}
	tasks := j.Tasks[ref.Occurrence][ref.Step]
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return nil
	}
	return &tasks[ref.Index]
}

// DueMs returns when an occurrence may start.
func (j *Job) DueMs(occurrence int) int64 {
	if j.Repeat == 0 {
		return j.SubmittedMs
	}
	return j.StartAtMs + int64(occurrence)*j.IntervalMs
}

// StepDone reports whether all tasks of a step are done.
func (j *Job) StepDone(occurrence, step int) bool {
	for i := range j.Tasks[occurrence][step] {
		if j.Tasks[occurrence][step][i].Phase != TaskDone {
			return false
		}
	}
	return true
}

// StepReady reports whether all steps that a step depends on are done.
func (j *Job) StepReady(occurrence, step int) bool {
	for _, dep := range j.Steps[step].DependsOn {
		if !j.StepDone(occurrence, dep) {
			return false
		}
	}
	return true
}

// assigned reports whether a run of any task is ordered or going on.
func (j *Job) assigned() bool {
	found := false
	j.EachTask(func(_ TaskRef, t *Task) { found = found || t.Phase == TaskAssigned })
	return found
}

// EachTask calls visit for each task in order.
func (j *Job) EachTask(visit func(ref TaskRef, t *Task)) {
	for k := range j.Tasks {
		for s := range j.Tasks[k] {
			for i := range j.Tasks[k][s] {
				visit(TaskRef{Job: j.ID, Occurrence: k, Step: s, Index: i}, &j.Tasks[k][s][i])
			}
		}
	}
}

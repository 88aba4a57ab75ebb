package tbflow

import (
	"strconv"
	"time"

	"tamarackbarrow/core/tbresource"
)

// TaskRef identifies one task of a job by the indexes of its occurrence (a repetition of the job),
// its step and the task within the step.
type TaskRef struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the reference as job.occurrence.step.index.
func (r TaskRef) String() string {
	var buf [64]byte
	b := append(buf[:0], r.Job...)
	for _, n := range [...]int{r.Occurrence, r.Step, r.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return string(b)
}

// Step is a set of identical tasks that become ready once the steps in DependsOn are done.
type Step struct {
	Count int
	// Need is what one task requires.
	Need tbresource.Amount
	// Estimate is the submitter's rough estimate of a task's execution time.
	Estimate time.Duration
	// DependsOn lists the indexes of earlier steps, all of whose tasks must be done first.
	DependsOn []int
	// Checkpoints is true when tasks save their progress.
	Checkpoints bool
	// Gang is true when tasks make progress only while all of them are executing.
	Gang bool
	// RackLocal is true when tasks are slower if they are spread over several racks.
	RackLocal bool
	// Label is one that the worker must have, or empty for none.
	Label string
	// Rack is the rack that holds the step's data, or empty.
	Rack string
	// SpreadLimit is the maximum number of tasks of an occurrence on one worker, or 0 for no limit.
	SpreadLimit int
	// Speculative is true when a speculative second copy of a task may be started.
	Speculative bool
	// LongRunning is true for long-running tasks: they run until the job is cancelled.
	LongRunning bool
	// Image identifies the program that the tasks execute; tasks of one image behave alike.
	Image string
	// TailTarget is the target for the tail latency that a long-running task offers its own users,
	// or 0 for none.
	TailTarget time.Duration
	// BestEffort is true for best-effort tasks, which use only the processors that others leave
	// unused.
	BestEffort bool
	// MaxInterrupted is the requested limit on long-running tasks that the scheduler interrupts at
	// once. It is only stored; assignment does not read it.
	MaxInterrupted int
}

// JobPhase is the phase of a job.
type JobPhase uint8

// Phases of a job.
const (
	// Queued means that no run is assigned and none has taken effect.
	Queued JobPhase = iota
	// Running means that a run is assigned or one has taken effect, and the job has not ended.
	Running
	// Completed means that all tasks are done.
	Completed
	// Failed means that MaxFailures runs of a task failed.
	Failed
	// Cancelled means that a caller cancelled the job.
	Cancelled
)

// String returns the phase in lower case.
func (p JobPhase) String() string {
	return [...]string{"queued", "running", "completed", "failed", "cancelled"}[p]
}

// Ended reports whether the job has ended, so that none of its tasks is started any more.
func (p JobPhase) Ended() bool { return p >= Completed }

// TaskPhase is the phase of a task.
type TaskPhase uint8

// Phases of a task.
const (
	// TaskWaiting means that no run is assigned.
	TaskWaiting TaskPhase = iota
	// TaskAssigned means that a run was assigned to a worker and may be executing.
	TaskAssigned
	// TaskDone means that a run ended successfully; the task is not started again.
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Phase TaskPhase
	// Run is the number of the newest run.
	Run uint64
	// Worker and Incarnation identify the worker incarnation to which the run is assigned while
	// Phase is TaskAssigned.
	Worker      string
	Incarnation int64
	// Failures counts the failed runs; those of long-running tasks do not count.
	Failures int
	// Checkpoint is the opaque text of the last saved progress, or empty for none.
	Checkpoint string
	// AssignedMs is the time of the last assignment, and WaitingSinceMs the latest of the
	// submission, the time at which the step became ready and the end of the last run, both in the
	// state's time (milliseconds since 1970).
	AssignedMs     int64
	WaitingSinceMs int64
	// LastFailedOn is the worker of the last failed run, which a retry avoids.
	LastFailedOn string
}

// Job is a submitted job.
type Job struct {
	ID    string
	Queue QueueKey
	// WorkerClass, Priority, MaxFailures, Target and Slack are copied from the queue, and updated
	// with it while it exists.
	WorkerClass string
	Priority    int
	MaxFailures int
	Target      time.Duration
	Slack       float64
	// Spec is the specification that start orders pass to workers unchanged.
	Spec  string
	Steps []Step
	// Repeat is the number of occurrences, or 0 for a job that is executed once, immediately.
	Repeat int
	// StartAtMs is the due time of the first occurrence, in milliseconds since 1970, and IntervalMs
	// the time between two occurrences; both are unused if Repeat is 0.
	StartAtMs  int64
	IntervalMs int64
	Phase      JobPhase
	// HasRun is true once a run has ended in another way than EndNeverRan.
	HasRun bool
	// SubmittedMs and EndedMs are in the state's time, in milliseconds since 1970.
	SubmittedMs int64
	EndedMs     int64
	// Seq numbers the jobs in order of submission.
	Seq uint64
	// Tasks are indexed by occurrence, step and index.
	Tasks [][][]Task
}

// Task returns the task that ref identifies, or nil.
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

// DueMs returns the earliest start of an occurrence, in milliseconds since 1970.
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

// hasAssignedTask reports whether a run of any task is assigned to a worker.
func (j *Job) hasAssignedTask() bool {
	found := false
	j.EachTask(func(_ TaskRef, t *Task) { found = found || t.Phase == TaskAssigned })
	return found
}

// EachTask calls visit for each task in order of occurrence, step and index.
func (j *Job) EachTask(visit func(ref TaskRef, t *Task)) {
	for k := range j.Tasks {
		for s := range j.Tasks[k] {
			for i := range j.Tasks[k][s] {
				visit(TaskRef{Job: j.ID, Occurrence: k, Step: s, Index: i}, &j.Tasks[k][s][i])
			}
		}
	}
}

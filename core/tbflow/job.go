package tbflow

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"tamarackbarrow/core/tbresource"
)

// TaskRef identifies one task of a job. Occurrence is the index of a repetition of the job, Step
// that of a step, and Index that of a task in the step.
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
	// Estimate is the submitter's rough estimate of the execution time of one task.
	Estimate time.Duration
	// DependsOn lists the indexes of earlier steps. All tasks of these steps must be done before
	// this step becomes ready.
	DependsOn []int
	// Checkpoints is true when the tasks save their progress.
	Checkpoints bool
	// Gang is true when the tasks make progress only while all tasks of the step are executing.
	Gang bool
	// RackLocal is true when the tasks are slower if they are spread over several racks.
	RackLocal bool
	// Label is a label that the worker must have, or empty if none is required.
	Label string
	// Rack is the rack that holds the step's data, or empty if there is none.
	Rack string
	// SpreadLimit is the maximum number of this step's tasks, within one occurrence of the job, on
	// one worker. 0 means no limit.
	SpreadLimit int
	// Speculative is true when a speculative second copy of a task may be started.
	Speculative bool
	// LongRunning is true for long-running tasks, which run until the job is cancelled.
	LongRunning bool
	// Image identifies the program that the tasks execute; tasks of one image behave alike.
	Image string
	// TailTarget is the target for the tail latency of a long-running task that serves requests. 0
	// means no target.
	TailTarget time.Duration
	// BestEffort is true for best-effort tasks, which use only processors that other tasks leave
	// unused.
	BestEffort bool
	// MaxInterrupted is the requested maximum number of long-running tasks that the scheduler
	// interrupts at the same time. It is only stored; assignment does not read it.
	MaxInterrupted int
}

// JobPhase is the phase of a job.
type JobPhase uint8

// Phases of a job.
const (
	// Queued means that no run is assigned and that every earlier run, if any, ended with
	// EndNeverRan.
	Queued JobPhase = iota
	// Running means that the job has not ended, and that a run is assigned or HasRun is true.
	Running
	// Completed means that all tasks are done.
	Completed
	// Failed means that one task has no attempts left (see Job.HasAttempts), or that the job was given up because a task
	// crashes its workers.
	Failed
	// Cancelled means that a caller cancelled the job.
	Cancelled
)

// String returns the phase in lower case.
func (p JobPhase) String() string {
	names := [...]string{"queued", "running", "completed", "failed", "cancelled"}
	if int(p) >= len(names) {
		// A replica of a later version may send phases that this version does not know.
		return fmt.Sprintf("phase%d", p)
	}
	return names[p]
}

// Ended reports whether the job has ended, so that none of its tasks is started any more.
func (p JobPhase) Ended() bool { return p >= Completed }

// TaskPhase is the phase of a task.
type TaskPhase uint8

// Phases of a task.
const (
	// TaskWaiting means that no run is assigned and the task is not done.
	TaskWaiting TaskPhase = iota
	// TaskAssigned means that a run was assigned to a worker and may be executing.
	TaskAssigned
	// TaskDone means that a run of the task, or of another task of its gang, ended successfully.
	// The task is not started again.
	TaskDone
)

// Task is one task of a step.
type Task struct {
	Phase TaskPhase
	// Run is the number of the newest run.
	Run uint64
	// Worker and Incarnation identify the worker incarnation to which the run is assigned. They are
	// set while Phase is TaskAssigned.
	Worker      string
	Incarnation int64
	// Failures is the number of failed runs. It stays 0 for a long-running task.
	Failures int
	// Checkpoint is the opaque text of the last saved progress, or empty for none.
	Checkpoint string
	// AssignedMs is the time of the last assignment. WaitingSinceMs is when the current wait began:
	// at the submission, when the step became ready or when the last run ended, whichever was last.
	// Both are in the state's time, in milliseconds since 1970.
	AssignedMs     int64
	WaitingSinceMs int64
	// LastFailedOn is the worker of the last failed run. A retry avoids that worker.
	LastFailedOn string
}

// Job is a submitted job.
type Job struct {
	ID    string
	Queue QueueKey
	// WorkerClass, Priority, MaxFailures, Target and Slack are copied from the queue. A new
	// configuration updates them if it still contains the queue and the job has not ended.
	WorkerClass string
	Priority    int
	MaxFailures int
	Target      time.Duration
	Slack       float64
	// Spec is the specification of the job. Start orders pass it to workers unchanged.
	Spec  string
	Steps []Step
	// Repeat is the number of occurrences. If it is 0, the job is executed once, and is due at its
	// submission.
	Repeat int
	// StartAtMs is the due time of the first occurrence, in milliseconds since 1970. IntervalMs is
	// the time between two occurrences, in milliseconds. Neither is used if Repeat is 0.
	StartAtMs  int64
	IntervalMs int64
	Phase      JobPhase
	// HasRun is true once a run has ended with another kind than EndNeverRan.
	HasRun bool
	// SubmittedMs is the time of the submission, and EndedMs the time when the job ended. Both are
	// in the state's time, in milliseconds since 1970.
	SubmittedMs int64
	EndedMs     int64
	// Seq is the number of the job in order of submission.
	Seq uint64
	// Tasks are indexed by occurrence, step and index.
	Tasks [][][]Task
	// CallerDataCentre is the data centre of the instance that took the submission from the caller, or empty if it is
	// not known.
	CallerDataCentre string

	// counts holds the task counts by occurrence and step. waitingTasks is the number of waiting
	// tasks in all occurrences. Both are computed from Tasks.
	counts       [][]stepCounts
	waitingTasks int
}

// stepCounts holds how many tasks of a step are waiting and how many are done.
type stepCounts struct{ waiting, done int }

func (c *stepCounts) add(p TaskPhase, n int) {
	switch p {
	case TaskWaiting:
		c.waiting += n
	case TaskDone:
		c.done += n
	}
}

// countTasks computes the counts from Tasks.
func (j *Job) countTasks() {
	j.counts, j.waitingTasks = make([][]stepCounts, len(j.Tasks)), 0
	for k := range j.Tasks {
		j.counts[k] = make([]stepCounts, len(j.Tasks[k]))
		for i := range j.Tasks[k] {
			c := &j.counts[k][i]
			for n := range j.Tasks[k][i] {
				c.add(j.Tasks[k][i][n].Phase, 1)
			}
			j.waitingTasks += c.waiting
		}
	}
}

// setPhase sets the phase of a task and updates the counts.
func (j *Job) setPhase(ref TaskRef, t *Task, p TaskPhase) {
	c := &j.counts[ref.Occurrence][ref.Step]
	waitingBefore := c.waiting
	c.add(t.Phase, -1)
	t.Phase = p
	c.add(p, 1)
	j.waitingTasks += c.waiting - waitingBefore
}

// WaitingTasks returns the number of waiting tasks of a step.
func (j *Job) WaitingTasks(occurrence, step int) int { return j.counts[occurrence][step].waiting }

// AssignedTasks returns the number of tasks of a step that have an assigned run.
func (j *Job) AssignedTasks(occurrence, step int) int {
	c := j.counts[occurrence][step]
	return len(j.Tasks[occurrence][step]) - c.waiting - c.done
}

// HasWaitingTasks reports whether any task of the job is waiting, in any occurrence.
func (j *Job) HasWaitingTasks() bool { return j.waitingTasks > 0 }

// MaxTasks is the largest number of tasks of a job, in all occurrences together.
const MaxTasks = 20000

// Validate returns an error if the job could not be stored or executed.
//
// Each replica creates the tasks of a committed job. A job with impossible numbers would therefore
// end the processes of all replicas, and end them again after each restart.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("job has no steps")
	}
	if j.Repeat < 0 || j.Repeat > MaxTasks {
		return fmt.Errorf("job is repeated %d times, must be 0 to %d", j.Repeat, MaxTasks)
	}
	taskCount := 0
	for i := range j.Steps {
		step := &j.Steps[i]
		if step.Count < 1 || step.Count > MaxTasks {
			return fmt.Errorf("step %d has %d tasks, must be 1 to %d", i, step.Count, MaxTasks)
		}
		if step.Need.MilliProcessors < 0 || step.Need.MemoryMB < 0 || step.Need.Accelerators < 0 || step.Estimate < 0 {
			return fmt.Errorf("step %d has a negative amount or estimate", i)
		}
		for _, dep := range step.DependsOn {
			if dep < 0 || dep >= i {
				return fmt.Errorf("step %d depends on step %d, which is not an earlier step", i, dep)
			}
		}
		if taskCount += step.Count; taskCount > MaxTasks {
			return fmt.Errorf("job has more than %d tasks in one occurrence", MaxTasks)
		}
	}
	if n := taskCount * max(1, j.Repeat); n > MaxTasks {
		return fmt.Errorf("job has %d tasks, at most %d are allowed", n, MaxTasks)
	}
	return nil
}

// Task returns the task that ref identifies, or nil if there is none.
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

// DueMs returns the time, in milliseconds since 1970, before which an occurrence is not started.
func (j *Job) DueMs(occurrence int) int64 {
	if j.Repeat == 0 {
		return j.SubmittedMs
	}
	return j.StartAtMs + int64(occurrence)*j.IntervalMs
}

// StepDone reports whether all tasks of a step are done.
func (j *Job) StepDone(occurrence, step int) bool {
	return j.counts[occurrence][step].done == len(j.Tasks[occurrence][step])
}

// StepReady reports whether all steps in the DependsOn list of a step are done.
func (j *Job) StepReady(occurrence, step int) bool {
	for _, dep := range j.Steps[step].DependsOn {
		if !j.StepDone(occurrence, dep) {
			return false
		}
	}
	return true
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

package tbassign

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// Bursts of best-effort jobs with many tasks arrive beside a steady stream of short jobs with tight
// objectives. Long-running tasks have to run all the time. Queues of higher priority (lower number)
// go first. Within a priority, steps are ordered by their rank (see rank).

// waitingStep is a step that may start and has waiting tasks.
type waitingStep struct {
	job        *tbflow.Job
	step       *tbflow.Step
	occurrence int
	stepIndex  int
	// taskRefs holds the waiting tasks. It is nil until waitingTasks is first called, because most
	// steps in a long backlog are not reached by a plan.
	taskRefs []tbflow.TaskRef
	// imageIndex is the index of a best-effort step's image in the imageTable. It is set by
	// orderForStart and is meaningless for other steps.
	imageIndex int
	// latestStartMs is the time by which the step has to start for its job to be on time. If that
	// time has passed, latestStartMs is the time by which the step has to start for the result to
	// be of use. For a long-running step, latestStartMs is always the time by which the step has to
	// start for its job to be on time.
	latestStartMs int64
	// deadlineMs is the time by which the job has to end to be on time.
	deadlineMs int64
	lateness   lateness
	// postponed is true if other jobs would be late because of this job (see markPostponed).
	postponed bool
	// startsInRoom is true for a gang whose class kept no room when the plan began to place its members. These start
	// together, so that the first of them do not make the class keep room from the others.
	startsInRoom bool
	// occurrenceWork is the work of all waiting tasks of the occurrence, in processor seconds.
	occurrenceWork float64
	// hasOverdueTask is true if a long-running task of the step has waited for too long (see
	// isOverdue).
	hasOverdueTask bool
}

// lateness says whether the job of a step can still meet its objective. Long-running steps are
// always onTime.
type lateness uint8

const (
	// onTime means that the job can still meet its objective.
	onTime lateness = iota
	// late means that the job can no longer meet its objective, but can still end within
	// usefulFactor times its objective.
	late
	// tooLate means that the job can no longer end within usefulFactor times its objective. Its
	// result is of no use, but the job is finished all the same.
	tooLate
)

// A result is of use up to usefulFactor times the objective of its job. After that, the users'
// contract gives it no value.
const usefulFactor = 3

func (w *waitingStep) stepRef() stepRef { return stepRef{w.job.ID, w.occurrence, w.stepIndex} }

// waitingTasks returns the waiting tasks of the step that have attempts left.
func (w *waitingStep) waitingTasks() []tbflow.TaskRef {
	if w.taskRefs == nil {
		w.taskRefs = make([]tbflow.TaskRef, 0, w.job.WaitingTasks(w.occurrence, w.stepIndex))
		for n := range w.job.Tasks[w.occurrence][w.stepIndex] {
			if t := &w.job.Tasks[w.occurrence][w.stepIndex][n]; t.Phase == tbflow.TaskWaiting && w.job.HasAttempts(w.stepIndex, t) {
				w.taskRefs = append(w.taskRefs, tbflow.TaskRef{Job: w.job.ID, Occurrence: w.occurrence, Step: w.stepIndex, Index: n})
			}
		}
	}
	return w.taskRefs
}

// waitingSteps returns all steps that may start now.
func waitingSteps(now time.Time, s *tbflow.State, l *Learner) []*waitingStep {
	var all []*waitingStep
	for _, j := range s.Active() {
		if !j.HasWaitingTasks() {
			continue
		}
		for k := range j.Tasks {
			if !j.IsDue(k, now) {
				continue
			}
			all = appendWaiting(all, now, s, l, j, k)
		}
	}
	return all
}

// orderForStart marks the best-effort steps to postpone, sets the image indexes of best-effort
// steps, and sorts all steps by the order in which they should start.
func (p *planState) orderForStart(all []*waitingStep) {
	markPostponed(p.nowMs, all, p.bestEffortCapacity)
	for _, w := range all {
		if w.step.BestEffort {
			w.imageIndex = p.images.internBestEffort(w.step.Image)
		}
	}
	slices.SortStableFunc(all, compareWaiting)
	p.orderByShares(all)
}

func waitingStepsOf(now time.Time, s *tbflow.State, l *Learner, j *tbflow.Job, k int) []*waitingStep {
	return appendWaiting(nil, now, s, l, j, k)
}

// appendWaiting appends the waiting steps of one occurrence of a job.
func appendWaiting(all []*waitingStep, now time.Time, s *tbflow.State, l *Learner, j *tbflow.Job, k int) []*waitingStep {
	nowMs := s.TimeAt(now)
	var remainingByStep []time.Duration
	var longestPath time.Duration
	var work float64
	for i := range j.Steps {
		if j.WaitingTasks(k, i) == 0 || !j.StepReady(k, i) {
			continue
		}
		if remainingByStep == nil {
			remainingByStep, longestPath = remainingTimes(j, l)
			work = sumOccurrenceWork(j, l, k)
		}
		w := &waitingStep{job: j, step: &j.Steps[i], occurrence: k, stepIndex: i, occurrenceWork: work}
		objectiveMs := int64(j.Slack*float64(longestPath.Milliseconds())) + j.Target.Milliseconds()
		remainingMs := remainingByStep[i].Milliseconds()
		// The critical path may start at another step and be longer than the path from the first
		// step. The first step is treated as if it were on the critical path.
		if i == 0 {
			remainingMs = longestPath.Milliseconds()
		}
		w.deadlineMs = j.DueMs(k) + objectiveMs
		w.latestStartMs = w.deadlineMs - remainingMs
		w.hasOverdueTask = w.step.LongRunning && hasOverdueTask(nowMs, j, w.waitingTasks())
		if w.latestStartMs < nowMs && !w.step.LongRunning {
			w.lateness = late
			w.latestStartMs = j.DueMs(k) + usefulFactor*objectiveMs - remainingMs
			if w.latestStartMs < nowMs {
				w.lateness = tooLate
			}
		}
		all = append(all, w)
	}
	return all
}

// A long-running task that has run before is overdue after it has waited for restartWaitMs
// milliseconds. Overdue tasks start before short jobs.
const restartWaitMs = 500

// hasOverdueTask reports whether one of the given long-running tasks is overdue.
func hasOverdueTask(nowMs int64, j *tbflow.Job, refs []tbflow.TaskRef) bool {
	return slices.ContainsFunc(refs, func(ref tbflow.TaskRef) bool { return isOverdue(nowMs, j.Task(ref)) })
}

// isOverdue reports whether a long-running task has waited for too long. The limit is
// restartWaitMs for a task that has run before, otherwise headroomWaitMs.
func isOverdue(nowMs int64, t *tbflow.Task) bool {
	waitMs := int64(headroomWaitMs)
	if t.Run > 0 {
		waitMs = restartWaitMs
	}
	return nowMs-t.WaitingSinceMs > waitMs
}

// remainingTimes returns the expected time of the longest path from the start of each step to the
// end of the job, and the longest of these times.
func remainingTimes(j *tbflow.Job, l *Learner) ([]time.Duration, time.Duration) {
	longestFromStep := make([]time.Duration, len(j.Steps))
	var longestPath time.Duration
	for i := len(j.Steps) - 1; i >= 0; i-- {
		longestFromStep[i] += l.RunTime(j, &j.Steps[i])
		for _, dep := range j.Steps[i].DependsOn {
			longestFromStep[dep] = max(longestFromStep[dep], longestFromStep[i])
		}
		longestPath = max(longestPath, longestFromStep[i])
	}
	return longestFromStep, longestPath
}

// sumOccurrenceWork returns the work of all waiting tasks of an occurrence, in processor
// seconds.
func sumOccurrenceWork(j *tbflow.Job, l *Learner, k int) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += sumWaitingWork(j, l, k, i)
	}
	return sum
}

// sumWaitingWork returns the work of the waiting tasks of one step, in processor seconds.
func sumWaitingWork(j *tbflow.Job, l *Learner, k, i int) float64 {
	workPerTask := float64(j.Steps[i].Need.MilliProcessors) / 1000 * l.RunTime(j, &j.Steps[i]).Seconds()
	return workPerTask * float64(j.WaitingTasks(k, i))
}

func compareWaiting(a, b *waitingStep) int {
	if c := cmp.Compare(rank(a), rank(b)); c != 0 {
		return c
	}
	if a.postponed && b.postponed {
		return cmp.Compare(a.occurrenceWork, b.occurrenceWork)
	}
	return cmp.Compare(a.latestStartMs, b.latestStartMs)
}

// ranksPerPriority is the number of ranks within a priority.
const ranksPerPriority = 6

// rank returns the first criterion of the start order; steps of a lower rank start first. Queues
// of a higher priority have lower ranks. Within a priority, the order is:
//
//   - overdue long-running steps,
//   - steps that can be on time,
//   - other long-running steps,
//   - postponed steps,
//   - late steps,
//   - steps that are too late to be of use.
//
// Within a rank, the step with the smallest latestStartMs starts first. Of postponed steps, the
// one with the least work starts first.
//
// A short job ends within a second and then frees its capacity. A long-running task that waits for
// it loses one of many seconds, so short jobs go first. However, a long-running task needs more
// free capacity at once. If overdue steps had no rank of their own, a steady stream of short jobs
// would always take the free capacity first.
func rank(w *waitingStep) int {
	value := ranksPerPriority * w.job.Priority
	switch {
	case w.hasOverdueTask:
	case w.step.LongRunning:
		value += 2
	case w.postponed:
		value += 3
	case w.lateness == late:
		value += 4
	case w.lateness == tooLate:
		value += 5
	default:
		value++
	}
	return value
}

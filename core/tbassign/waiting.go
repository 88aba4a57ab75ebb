package tbassign

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// Load pattern: bursts of wide best-effort jobs arrive beside a steady stream of short jobs
// with tight objectives and long-running tasks that have to run all the time. Queues of higher
// priority (lower number) go first. Within one priority, the job with the least time left to
// start goes first, and jobs that are already late come after those that are not.

// waitingStep holds the waiting tasks of one step that may start.
type waitingStep struct {
	job        *tbflow.Job
	step       *tbflow.Step
	occurrence int
	index      int
	taskRefs   []tbflow.TaskRef
	// imageIndex is the index of a best-effort step's image in the imageTable. startOrder sets
	// it; it has no meaning for other steps.
	imageIndex int
	// latestStartMs is when the step has to start for its job to be on time or, once that has
	// passed, for its job to be of some use.
	latestStartMs int64
	// deadlineMs is when the job has to end to be on time.
	deadlineMs int64
	lateness   lateness
	// postponed is true when finishing this job on time would make other jobs late.
	postponed bool
	// occurrenceWork is the work of all waiting tasks of the occurrence, in processor seconds.
	occurrenceWork float64
	// overdue is true when a long-running task of the step has waited for too long (see
	// isOverdue).
	overdue bool
}

// lateness classifies a step by whether its job can still meet its objective; it is always
// onTime for long-running steps.
type lateness uint8

const (
	// onTime means that the job can still meet its objective.
	onTime lateness = iota
	// late means that the job can end within usefulFactor times its objective.
	late
	// tooLate means that the result is of no use any more; the job is finished all the same.
	tooLate
)

// usefulFactor is the multiple of its objective up to which a result is of use; the users'
// contract gives it no value beyond.
const usefulFactor = 3

func (w *waitingStep) stepRef() stepRef { return stepRef{w.job.ID, w.occurrence, w.index} }

// waitingSteps returns all steps that may start.
func waitingSteps(s *tbflow.State, l *Learner) []waitingStep {
	var all []waitingStep
	for _, j := range s.Active() {
		for k := range j.Tasks {
			if j.DueMs(k) > s.NowMs {
				continue
			}
			all = appendWaiting(all, s, l, j, k)
		}
	}
	return all
}

// startOrder postpones best-effort steps where necessary, sets their image indexes, and returns
// all steps in the order in which they should start.
func (p *planState) startOrder(all []waitingStep) []*waitingStep {
	postpone(p.state.NowMs, all, p.bestEffortCapacity)
	ordered := make([]*waitingStep, len(all))
	for i := range all {
		ordered[i] = &all[i]
		if all[i].step.BestEffort {
			all[i].imageIndex = p.images.internBestEffort(all[i].step.Image)
		}
	}
	slices.SortStableFunc(ordered, func(a, b *waitingStep) int { return compareWaiting(*a, *b) })
	return ordered
}

func waitingStepsOf(s *tbflow.State, l *Learner, j *tbflow.Job, k int) []waitingStep {
	return appendWaiting(nil, s, l, j, k)
}

// appendWaiting appends the waiting steps of one occurrence.
func appendWaiting(all []waitingStep, s *tbflow.State, l *Learner, j *tbflow.Job, k int) []waitingStep {
	var remaining []time.Duration
	var total time.Duration
	var work float64
	for i := range j.Steps {
		waiting := countWaiting(j, k, i)
		if waiting == 0 || !j.StepReady(k, i) {
			continue
		}
		if remaining == nil {
			remaining, total = remainingTimes(j, l)
			work = sumOccurrenceWork(j, l, k)
		}
		refs := make([]tbflow.TaskRef, 0, waiting)
		for n := range j.Tasks[k][i] {
			if j.Tasks[k][i][n].Phase == tbflow.TaskWaiting {
				refs = append(refs, tbflow.TaskRef{Job: j.ID, Occurrence: k, Step: i, Index: n})
			}
		}
		w := waitingStep{job: j, step: &j.Steps[i], occurrence: k, index: i, taskRefs: refs, occurrenceWork: work}
		objective := int64(j.Slack*float64(total.Milliseconds())) + j.Target.Milliseconds()
		remainingMs := remaining[i].Milliseconds()
		// The first step counts with the critical path of the whole job, even if that starts at
		// another step.
		if i == 0 {
			remainingMs = total.Milliseconds()
		}
		w.deadlineMs = j.DueMs(k) + objective
		w.latestStartMs = w.deadlineMs - remainingMs
		w.overdue = w.step.LongRunning && hasOverdue(s.NowMs, j, refs)
		if w.latestStartMs < s.NowMs && !w.step.LongRunning {
			w.lateness = late
			w.latestStartMs = j.DueMs(k) + usefulFactor*objective - remainingMs
			if w.latestStartMs < s.NowMs {
				w.lateness = tooLate
			}
		}
		all = append(all, w)
	}
	return all
}

// restartWaitMs is the waiting time, in milliseconds, after which a long-running task that has
// run before is overdue, so that it starts before short jobs.
const restartWaitMs = 500

// hasOverdue reports whether one of the given long-running tasks is overdue.
func hasOverdue(nowMs int64, j *tbflow.Job, refs []tbflow.TaskRef) bool {
	return slices.ContainsFunc(refs, func(ref tbflow.TaskRef) bool { return isOverdue(nowMs, j.Task(ref)) })
}

// isOverdue reports whether a long-running task has waited for longer than headroomWaitMs, or
// restartWaitMs if it has run before.
func isOverdue(nowMs int64, t *tbflow.Task) bool {
	waitMs := int64(headroomWaitMs)
	if t.Run > 0 {
		waitMs = restartWaitMs
	}
	return nowMs-t.WaitingSinceMs > waitMs
}

// remainingTimes returns the expected time of the critical path from each step on, and that of
// the whole job.
func remainingTimes(j *tbflow.Job, l *Learner) ([]time.Duration, time.Duration) {
	longest := make([]time.Duration, len(j.Steps))
	var best time.Duration
	for i := len(j.Steps) - 1; i >= 0; i-- {
		longest[i] += l.RunTime(j, &j.Steps[i])
		for _, dep := range j.Steps[i].DependsOn {
			longest[dep] = max(longest[dep], longest[i])
		}
		best = max(best, longest[i])
	}
	return longest, best
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
	perTask := float64(j.Steps[i].Need.MilliProcessors) / 1000 * l.RunTime(j, &j.Steps[i]).Seconds()
	return perTask * float64(countWaiting(j, k, i))
}

// countWaiting counts the waiting tasks of one step.
func countWaiting(j *tbflow.Job, k, i int) int {
	waiting := 0
	for n := range j.Tasks[k][i] {
		if j.Tasks[k][i][n].Phase == tbflow.TaskWaiting {
			waiting++
		}
	}
	return waiting
}

func compareWaiting(a, b waitingStep) int {
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

// rank returns the first criterion of the start order; lower ranks start first. Within a rank,
// the step with the earlier latest start goes first or, of postponed ones, the one with less
// work. Within a priority, overdue long-running steps come first, then steps that can be on
// time, other long-running steps, postponed steps, late ones and those that are too late.
//
// A short job is over in a second and frees its capacity; a long-running task that starts a
// second later loses one of many seconds. It needs a larger gap, though, and without the rank
// for overdue steps a steady stream of short jobs would fill each gap before it.
func rank(w waitingStep) int {
	c := ranksPerPriority * w.job.Priority
	switch {
	case w.overdue:
	case w.step.LongRunning:
		c += 2
	case w.postponed:
		c += 3
	case w.lateness == late:
		c += 4
	case w.lateness == tooLate:
		c += 5
	default:
		c++
	}
	return c
}

package tbassign

import (
	"cmp"
	"slices"
	"time"

	"tamarackbarrow/core/tbflow"
)

// Load pattern: bursts of wide filling jobs beside a steady stream of short jobs with
// tight objectives and lasting tasks that have to be at work all the time. Queues of
// higher priority go first; within one priority, the job that has the least time left
// to start goes first, and jobs that are late already come after those that are not.

// waitingStep is the waiting tasks of one step that may start.
type waitingStep struct {
	job        *tbflow.Job
	step       *tbflow.Step
	occurrence int
	index      int
	refs       []tbflow.TaskRef
	// filling is the number of a filling step's image in the plan.
	filling int
	// latestStartMs is when the step has to start for its job to be on time, or, once that
	// has passed, for its job to be of some use.
	latestStartMs int64
	// endMs is when the job has to end to be on time.
	endMs    int64
	lateness lateness
	// postponed is true when the job would make others late that can be on time.
	postponed bool
	// work is what the step and those behind it still have to do, in processor seconds.
	work float64
	// overdue is true when a lasting task has waited for longer than it may.
	overdue bool
}

// lateness tells what can still become of a job.
type lateness uint8

const (
	// onTime means that the job can still meet its objective.
	onTime lateness = iota
	// late means that it can end within usefulFor times its objective.
	late
	// tooLate means that nobody waits for it any more; it is finished all the same.
	tooLate
)

// usefulFor is how many times its objective a result is of use; the users' contract values it at nothing beyond.
const usefulFor = 3

func (w *waitingStep) ref() stepRef { return stepRef{w.job.ID, w.occurrence, w.index} }

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

// inOrder returns the steps in the order in which they should start.
func (p *pools) inOrder(all []waitingStep) []*waitingStep {
	postpone(p.state.NowMs, all, p.capacity)
	ordered := make([]*waitingStep, len(all))
	for i := range all {
		ordered[i] = &all[i]
		if all[i].step.Fills {
			all[i].filling = p.images.fillingNumber(all[i].step.Image)
		}
	}
	slices.SortStableFunc(ordered, func(a, b *waitingStep) int { return compareWaiting(*a, *b) })
	return ordered
}

func waitingOf(s *tbflow.State, l *Learner, j *tbflow.Job, k int) []waitingStep {
	return appendWaiting(nil, s, l, j, k)
}

// appendWaiting appends the waiting steps of one occurrence.
func appendWaiting(all []waitingStep, s *tbflow.State, l *Learner, j *tbflow.Job, k int) []waitingStep {
	var rest []time.Duration
	var whole time.Duration
	var work float64
	for i := range j.Steps {
		waiting := waitingTasks(j, k, i)
		if waiting == 0 || !j.StepReady(k, i) {
			continue
		}
		if rest == nil {
			rest, whole = chains(j, l)
			work = workLeft(j, l, k)
		}
		refs := make([]tbflow.TaskRef, 0, waiting)
		for n := range j.Tasks[k][i] {
			if j.Tasks[k][i][n].Phase == tbflow.TaskWaiting {
				refs = append(refs, tbflow.TaskRef{Job: j.ID, Occurrence: k, Step: i, Index: n})
			}
		}
		w := waitingStep{job: j, step: &j.Steps[i], occurrence: k, index: i, refs: refs, work: work}
		objective := int64(j.Slack*float64(whole.Milliseconds())) + j.Target.Milliseconds()
		restMs := rest[i].Milliseconds()
		if i == 0 {
			restMs = whole.Milliseconds()
		}
		w.endMs = j.DueMs(k) + objective
		w.latestStartMs = w.endMs - restMs
		w.overdue = w.step.Lasting && anyOverdue(s.NowMs, j, refs)
		if w.latestStartMs < s.NowMs && !w.step.Lasting {
			w.lateness = late
			w.latestStartMs = j.DueMs(k) + usefulFor*objective - restMs
			if w.latestStartMs < s.NowMs {
				w.lateness = tooLate
			}
		}
		all = append(all, w)
	}
	return all
}

// restartHoldMs is how long, in milliseconds, short jobs go before a lasting task that has run already.
const restartHoldMs = 500

// anyOverdue reports whether one of the lasting tasks named has waited for too long.
func anyOverdue(nowMs int64, j *tbflow.Job, refs []tbflow.TaskRef) bool {
	return slices.ContainsFunc(refs, func(ref tbflow.TaskRef) bool { return overdue(nowMs, j.Task(ref)) })
}

// overdue reports whether a lasting task has waited for too long.
func overdue(nowMs int64, t *tbflow.Task) bool {
	hold := int64(reserveHoldMs)
	if t.Run > 0 {
		hold = restartHoldMs
	}
	return nowMs-t.WaitingMs > hold
}

// chains returns the expected time of the longest chain of steps from each step on, and
// that of the longest of all.
func chains(j *tbflow.Job, l *Learner) ([]time.Duration, time.Duration) {
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

// workLeft returns the work of all tasks of an occurrence that wait, in processor seconds.
func workLeft(j *tbflow.Job, l *Learner, k int) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += waitingWork(j, l, k, i)
	}
	return sum
}

// waitingWork returns the work of the waiting tasks of one step, in processor seconds.
func waitingWork(j *tbflow.Job, l *Learner, k, i int) float64 {
	one := float64(j.Steps[i].Need.MilliProcessors) / 1000 * l.RunTime(j, &j.Steps[i]).Seconds()
	return one * float64(waitingTasks(j, k, i))
}

// waitingTasks counts the waiting tasks of one step.
func waitingTasks(j *tbflow.Job, k, i int) int {
	waiting := 0
	for n := range j.Tasks[k][i] {
		if j.Tasks[k][i][n].Phase == tbflow.TaskWaiting {
			waiting++
		}
	}
	return waiting
}

func compareWaiting(a, b waitingStep) int {
	if c := cmp.Compare(class(a), class(b)); c != 0 {
		return c
	}
	if a.postponed && b.postponed {
		return cmp.Compare(a.work, b.work)
	}
	return cmp.Compare(a.latestStartMs, b.latestStartMs)
}

// classes is the number of classes within a priority.
const classes = 6

// class orders steps before their time is compared: within a priority, lasting steps that
// have waited for too long, steps that can be on time, then other lasting ones, then late ones.
//
// A short job is over in a second and frees what it used; a lasting task that starts a
// second later loses a second of its minutes. It needs a larger gap, though, and short
// jobs that keep coming would fill each one before it.
func class(w waitingStep) int {
	c := classes * w.job.Priority
	switch {
	case w.overdue:
	case w.step.Lasting:
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

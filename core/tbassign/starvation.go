package tbassign

import (
	"cmp"
	"slices"

	"tamarackbarrow/core/tbflow"
)

// While the start window limits best-effort work, steps that start first take all starts for as many tasks as they have.
// A job behind many wide ones would then be starved: it has nothing running for long, although the class has room. A starved job
// therefore gets one start before other best-effort work.

// maxStarvationMs is how long, in milliseconds, the window may starve a job. A start takes a while to reach its worker when
// the leader is slow, so it is made well before the job has had nothing running for twice headroomWaitMs.
const maxStarvationMs = headroomWaitMs * 3 / 2

// placeStarved adds a run of each best-effort step whose job is starved, while the window limits the plan, those that have
// been starved for longest first. It returns the number of runs, which is more than the window if jobs have been starved for
// maxStarvationMs.
func (p *planState) placeStarved(plan *PlannedRuns, steps []*waitingStep, limit planLimit) int {
	if !windowLimits(steps, limit.bestEffort) {
		return 0
	}
	type starvedStep struct {
		*waitingStep
		sinceMs int64
	}
	var starved []starvedStep
	for _, w := range steps {
		if !isWindowed(w.step) || p.isShortOfRoom(w.job.WorkerClass) || hasAssignedTasks(w.job, w.occurrence) {
			continue
		}
		if sinceMs := starvedSinceMs(w); p.nowMs-sinceMs > headroomWaitMs {
			starved = append(starved, starvedStep{w, sinceMs})
		}
	}
	slices.SortStableFunc(starved, func(a, b starvedStep) int { return cmp.Compare(a.sinceMs, b.sinceMs) })
	placed := 0
	for _, w := range starved {
		if len(plan.Runs) >= limit.runs || placed >= limit.bestEffort && p.nowMs-w.sinceMs <= maxStarvationMs {
			break
		}
		runs := p.place(w.waitingStep, 1)
		for _, r := range runs {
			w.taskRefs = slices.DeleteFunc(w.taskRefs, func(ref tbflow.TaskRef) bool { return ref == r.Ref })
		}
		plan.Runs = append(plan.Runs, runs...)
		placed += len(runs)
	}
	return placed
}

// isWindowed reports whether the start window bounds the starts of a step. A gang starts whole, so it could not start
// while the window is smaller than the gang.
func isWindowed(step *tbflow.Step) bool { return step.BestEffort && !step.Gang }

// windowLimits reports whether more best-effort tasks wait than a plan may start.
func windowLimits(steps []*waitingStep, starts int) bool {
	waiting := 0
	for _, w := range steps {
		if isWindowed(w.step) {
			if waiting += w.job.WaitingTasks(w.occurrence, w.stepIndex); waiting > starts {
				return true
			}
		}
	}
	return false
}

// isShortOfRoom reports whether at least half of a class is in use and the room may be what keeps work waiting. It is
// not if the window has kept the last full plan from more runs. Tasks on their way to a worker count as in use, so that
// the class may have much room where the leader sees none.
func (p *planState) isShortOfRoom(class string) bool {
	use := p.classUse[class]
	return use == nil || use.keepsRoom() && !p.learner.startRate.isLimiting
}

// hasAssignedTasks reports whether any task of an occurrence has an assigned run.
func hasAssignedTasks(j *tbflow.Job, occurrence int) bool {
	for i := range j.Steps {
		if j.AssignedTasks(occurrence, i) > 0 {
			return true
		}
	}
	return false
}

// starvedSinceMs returns since when an occurrence without assigned tasks has had nothing running, as far as the times
// of its tasks tell: since the step's first task waits, or at the earliest since the last assignment.
func starvedSinceMs(w *waitingStep) int64 {
	refs := w.waitingTasks()
	if len(refs) == 0 {
		return w.job.DueMs(w.occurrence)
	}
	sinceMs := w.job.Task(refs[0]).WaitingSinceMs
	for i := range w.job.Steps {
		for n := range w.job.Tasks[w.occurrence][i] {
			sinceMs = max(sinceMs, w.job.Tasks[w.occurrence][i][n].AssignedMs)
		}
	}
	return sinceMs
}

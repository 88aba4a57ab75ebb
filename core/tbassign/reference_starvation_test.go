package tbassign

import (
	"slices"

	"tamarackbarrow/core/tbflow"
)

// placeStarved places one task of each best-effort step whose job stands (see planState.placeStarved), at most limit.
func (p *referenceState) placeStarved(steps []waitingStep, window, limit int) []tbflow.Assignment {
	waiting := 0
	var standing []*waitingStep
	for i := range steps {
		w := &steps[i]
		if !isWindowed(w.step) {
			continue
		}
		waiting += len(w.taskRefs)
		if !p.keepsRoom(*w) && p.state.TimeAt(p.now)-p.standingSince(w) > headroomWaitMs {
			standing = append(standing, w)
		}
	}
	if waiting <= window {
		return nil
	}
	slices.SortStableFunc(standing, func(a, b *waitingStep) int { return int(p.standingSince(a) - p.standingSince(b)) })
	var plan []tbflow.Assignment
	for _, w := range standing {
		if len(plan) >= limit {
			break
		}
		for _, run := range p.place(*w, 1) {
			plan = append(plan, run)
			w.taskRefs = slices.DeleteFunc(slices.Clone(w.taskRefs), func(ref tbflow.TaskRef) bool { return ref == run.Ref })
		}
	}
	return plan
}

// standingSince returns since when an occurrence has had nothing running, or the present time if it has.
func (p *referenceState) standingSince(w *waitingStep) int64 {
	since := w.job.Task(w.taskRefs[0]).WaitingSinceMs
	for _, tasks := range w.job.Tasks[w.occurrence] {
		for _, t := range tasks {
			if t.Phase == tbflow.TaskAssigned {
				return p.state.TimeAt(p.now)
			}
			since = max(since, t.AssignedMs)
		}
	}
	return since
}

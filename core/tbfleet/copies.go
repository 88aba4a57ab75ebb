package tbfleet

import (
	"time"

	"tamarackbarrow/core/tbflow"
)

// stopUnneededCopy stops the second run of a task that is done. The run occupies its worker, and is ordered to stop
// again and again, until its end is recorded, also by a later leader.
func (f *Fleet) stopUnneededCopy(now time.Time, s *tbflow.State, ref tbflow.TaskRef) {
	c := s.Copies[ref]
	j := s.Jobs[ref.Job]
	if !c.IsAssigned() || j == nil || j.Task(ref).Phase != tbflow.TaskDone {
		return
	}
	f.Stop(now, c.Worker, ref)
}

// MayCopy reports whether a second run of the task may be assigned to the worker, which must not have a run of the
// task, not even one that is not assigned.
func (f *Fleet) MayCopy(s *tbflow.State, w *Worker, ref tbflow.TaskRef) bool {
	return w.runs[ref] == nil && !f.mayHaveRun(w, ref) && f.MayStart(s, w, ref)
}

package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// On some workers, tasks make no progress although the worker answers and seems healthy. Progress
// is a whole percentage, so the progress of a healthy run changes about 100 times during its
// expected run time. A run is stalled if its progress has not changed for longer than stallBaseTime
// plus stallRunTimePercent of its expected run time. A stalled run is restarted on another worker,
// from its checkpoint if it has one.

// Time limits for runs without progress.
const (
	// stallBaseTime is the part of the limit that does not depend on the expected run time. It is
	// longer than the time between two polls, which is about one second.
	stallBaseTime = 1300 * time.Millisecond
	// stallRunTimePercent is added to stallBaseTime. It is a percentage of the expected run time.
	stallRunTimePercent = 4
	// longRunningStartTimeout replaces stallBaseTime and stallRunTimePercent for a long-running
	// task. While its progress is below 100 percent, the task is stalled if the progress has not
	// changed for longer than longRunningStartTimeout.
	longRunningStartTimeout = 3 * time.Second
)

// StalledRuns returns the tasks of a worker whose runs are stalled.
func (l *Learner) StalledRuns(now time.Time, s *tbflow.State, w *tbfleet.Worker) []tbflow.TaskRef {
	var stalled []tbflow.TaskRef
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		j := s.Jobs[ref.Job]
		if j == nil || r.Phase != tbfleet.RunExecuting || r.Progress >= tbfleet.FullSpeed {
			return
		}
		step := &j.Steps[ref.Step]
		limit := stallBaseTime + l.RunTime(j, step)*stallRunTimePercent/100
		if step.LongRunning {
			limit = longRunningStartTimeout
		}
		if r.TimeWithoutProgress() > limit {
			stalled = append(stalled, ref)
		}
	})
	return stalled
}

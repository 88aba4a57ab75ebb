package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: on some workers, tasks make no progress while the worker answers and seems
// healthy. Progress is reported in percent, so a healthy run changes it about once in one
// percent of its expected run time. A run whose progress has not changed for longer than
// stallBase plus stallRunTimePercent of its expected run time is restarted on another worker,
// from its checkpoint if it has one.

// Thresholds of a stall.
const (
	// stallBase is the time that any run may go without progress; polls come about once a
	// second.
	stallBase = 1300 * time.Millisecond
	// stallRunTimePercent is the part of its expected run time, in percent, that a run may go
	// without progress in addition.
	stallRunTimePercent = 4
	// longRunningStartTimeout is how long a long-running task that is not at 100 percent yet
	// may go without progress.
	longRunningStartTimeout = 3 * time.Second
)

// StalledRuns returns the runs of a worker that make no progress.
func (l *Learner) StalledRuns(now time.Time, s *tbflow.State, w *tbfleet.Worker) []tbflow.TaskRef {
	var stalled []tbflow.TaskRef
	w.EachRun(func(ref tbflow.TaskRef, r *tbfleet.Run) {
		j := s.Jobs[ref.Job]
		if j == nil || r.Phase != tbfleet.RunExecuting || r.ProgressAt.IsZero() || r.Progress >= tbfleet.FullSpeed {
			return
		}
		step := &j.Steps[ref.Step]
		limit := stallBase + l.RunTime(j, step)*stallRunTimePercent/100
		if step.LongRunning {
			limit = longRunningStartTimeout
		}
		if r.ListedAt.Sub(r.ProgressAt) > limit {
			stalled = append(stalled, ref)
		}
	})
	return stalled
}

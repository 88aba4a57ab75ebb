package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Work may arrive faster than the workers can do it, for much longer than the objectives of the
// jobs. Every accepted job is finished eventually, so accepting more jobs would make all of them
// later. A job is therefore rejected at once if the backlog of its worker class takes longer than
// maxDrainTime to drain, and the caller is told when to retry. Below that limit, a job is accepted
// even if it will end after its deadline, because late results of batch work are still useful.

// Bounds of the accepted backlog.
const (
	// maxDrainTime is the longest accepted time to drain the backlog of a worker class. A result is
	// of use for three times its objective (usefulFactor). maxDrainTime is about twice that time
	// for the queue with the longest objective.
	maxDrainTime = 90 * time.Second
	// bestEffortProcessorShare is the share of all processors that best-effort work is expected to
	// get.
	bestEffortProcessorShare = 0.4
)

// admitByBacklog reports whether a job may be accepted. If not, it also returns the delay after which the
// caller should retry; the delay of an accepted job is 0.
func admitByBacklog(now time.Time, s *tbflow.State, f *tbfleet.Fleet, l *Learner, q *tbflow.Queue, job *tbflow.Job) (bool, time.Duration) {
	bestEffort := job.Steps[0].BestEffort
	processors := 0.0
	for i := range f.Size() {
		w := f.WorkerAt(i)
		if w != nil && w.Class == q.WorkerClass && mayTakeTasks(s, w) {
			processors += float64(w.Capacity.MilliProcessors) / 1000
		}
	}
	if processors == 0 {
		// The leader knows no worker of this class that can help, for example right after a change
		// of leader. The time to drain the backlog cannot be computed, so the job is accepted.
		return true, 0
	}
	if bestEffort {
		processors *= bestEffortProcessorShare
	}
	drainTime := time.Duration(backlog(now, s, l, q.WorkerClass, bestEffort) / processors * float64(time.Second))
	if drainTime <= maxDrainTime {
		return true, 0
	}
	return false, drainTime - maxDrainTime
}

// backlog returns the work of the waiting tasks of a worker class, in processor seconds.
// Occurrences that are not due yet are skipped. If bestEffort is true, the sum includes only
// best-effort tasks. If bestEffort is false, the sum includes only tasks that are neither
// best-effort nor long-running.
func backlog(now time.Time, s *tbflow.State, l *Learner, class string, bestEffort bool) float64 {
	sum := 0.0
	for _, j := range s.Active() {
		if j.WorkerClass != class || !j.HasWaitingTasks() {
			continue
		}
		for k := range j.Tasks {
			for i := range j.Steps {
				step := &j.Steps[i]
				if step.LongRunning || step.BestEffort != bestEffort || j.WaitingTasks(k, i) == 0 || !j.IsDue(k, now) {
					continue
				}
				sum += sumWaitingWork(j, l, k, i)
			}
		}
	}
	return sum
}

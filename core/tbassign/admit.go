package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: work arrives faster than the workers can do it, for much longer than the
// objectives of the jobs. An accepted job is always finished, so accepting more only makes
// everything later. A job is rejected at once when the backlog of its worker class takes longer
// than maxBacklog to drain, and the caller is told when to retry. Jobs that will merely be late
// are still accepted: for batch work, late is better than never.

// Bounds of the accepted backlog.
const (
	// maxBacklog is the longest time that the backlog of a worker class may take. It is about
	// twice the time in which a result of the queue with the longest objective is of use, which
	// is three times that objective (usefulFactor).
	maxBacklog = 90 * time.Second
	// bestEffortShare is the share of all processors that best-effort work can count on.
	bestEffortShare = 0.4
)

// Admit reports whether a job may be accepted and, if not, after how long its caller should
// retry; that delay is 0 if the job is accepted.
func Admit(s *tbflow.State, f *tbfleet.Fleet, l *Learner, q *tbflow.Queue, job *tbflow.Job) (bool, time.Duration) {
	bestEffort := job.Steps[0].BestEffort
	processors := 0.0
	for _, w := range f.Workers() {
		// Workers that a new leader has not heard from yet, and workers that are avoided only
		// for a moment, will take part in draining the backlog.
		if w.Class == q.WorkerClass && !w.Draining && !w.Unresponsive {
			processors += float64(w.Capacity.MilliProcessors) / 1000
		}
	}
	if processors == 0 {
		// No worker is known yet, for example right after a change of leader.
		return true, 0
	}
	if bestEffort {
		processors *= bestEffortShare
	}
	wait := time.Duration(backlog(s, l, q.WorkerClass, bestEffort) / processors * float64(time.Second))
	if wait <= maxBacklog {
		return true, 0
	}
	return false, wait - maxBacklog
}

// backlog returns the work, in processor seconds, of the due waiting tasks of a worker class
// that are best-effort or, if bestEffort is false, neither best-effort nor long-running.
func backlog(s *tbflow.State, l *Learner, class string, bestEffort bool) float64 {
	sum := 0.0
	for _, j := range s.Active() {
		if j.WorkerClass != class {
			continue
		}
		for k := range j.Tasks {
			for i := range j.Steps {
				step := &j.Steps[i]
				if step.LongRunning || step.BestEffort != bestEffort || j.DueMs(k) > s.NowMs {
					continue
				}
				sum += sumWaitingWork(j, l, k, i)
			}
		}
	}
	return sum
}

package tbassign

import (
	"time"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Load pattern: far more work arrives than the workers can do, for much longer than
// its objectives last. Accepted work is always finished, so that more of it would only
// make everything later. A job is turned away at once when the work that waits for its
// worker class takes longer than a bound, and told to come back when that has drained.
// Work that is merely late is still accepted: for a batch, late is better than never.

// Bounds of accepted work.
const (
	// longestBacklog is how long the work that waits for a worker class may take; three
	// times the longest objective of the users' queues is about half of it.
	longestBacklog = 90 * time.Second
	// fillShare is the share of all processors that filling work can count on.
	fillShare = 0.4
)

// Admit reports whether a job may be accepted, or else when its caller should come back.
func Admit(s *tbflow.State, f *tbfleet.Fleet, l *Learner, q *tbflow.Queue, job *tbflow.Job) (bool, time.Duration) {
	fills := job.Steps[0].Fills
	drain := 0.0
	for _, w := range f.Workers() {
		// Workers that a new leader has not heard yet, or that are only avoided for a
		// moment, will do their part of the backlog.
		if w.Class == q.WorkerClass && !w.Draining && !w.Silent {
			drain += float64(w.Capacity.MilliProcessors) / 1000
		}
	}
	if drain == 0 {
		// Nothing is known of the workers yet, for example after a change of leader.
		return true, 0
	}
	if fills {
		drain *= fillShare
	}
	wait := time.Duration(backlog(s, l, q.WorkerClass, fills) / drain * float64(time.Second))
	if wait <= longestBacklog {
		return true, 0
	}
	return false, wait - longestBacklog
}

// backlog returns the work of all waiting tasks of a class, in processor seconds.
func backlog(s *tbflow.State, l *Learner, class string, fills bool) float64 {
	sum := 0.0
	for _, j := range s.Active() {
		if j.WorkerClass != class {
			continue
		}
		for k := range j.Tasks {
			for i := range j.Steps {
				step := &j.Steps[i]
				if step.Lasting || step.Fills != fills || j.DueMs(k) > s.NowMs {
					continue
				}
				sum += waitingWork(j, l, k, i)
			}
		}
	}
	return sum
}

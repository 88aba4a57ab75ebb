package tbcontrol_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A long-running task has to run again within maxRestartWait of its last run.
const maxRestartWait = 6 * time.Second

// newLateLeader returns a simulation in which long-running tasks reserve three quarters of the processors and the leader
// is too slow for the load.
func newLateLeader(t *testing.T) *loadSimulation {
	const workers = 550
	s := newLoadSimulation(t, 1, workers, busySlowdown)
	s.workerDelay = busyWorkerDelay
	s.startLongRunning(workers * 25 / 100)
	s.slowdown = 10
	return s
}

// overload submits several times the work that the leader can handle, while workers drain.
func (s *loadSimulation) overload(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.drain(len(s.workers) / 100)
		s.submitLoad(jobRates{short: 10, fill: 25}, time.Second)
	}
}

// checkRestarts checks the times between two runs of long-running tasks.
func (s *loadSimulation) checkRestarts(t *testing.T, minRestarts int) {
	t.Helper()
	for ref, endedAt := range s.stoppedTasks {
		if wait := s.now.Sub(endedAt); wait > maxRestartWait {
			t.Errorf("%s does not run again after %s", ref, wait)
		}
	}
	qt.Assert(t, len(s.restartWaits) >= minRestarts, qt.IsTrue, qt.Commentf("only %d tasks run again", len(s.restartWaits)))
	slices.Sort(s.restartWaits)
	n := len(s.restartWaits)
	t.Logf("%d tasks run again, half after %s, the last one after %s", n, s.restartWaits[n/2], s.restartWaits[n-1])
	qt.Check(t, s.restartWaits[n-1] < maxRestartWait, qt.IsTrue)
}

func TestLongRunningTasksDoNotWaitForALateLeader(t *testing.T) {
	s := newLateLeader(t)
	s.overload(8 * time.Second)
	qt.Check(t, s.fillWait() > time.Second, qt.IsTrue, qt.Commentf("the leader is not late: best-effort tasks wait for %s", s.fillWait()))
	s.checkRestarts(t, 50)
}

func TestLongRunningTasksDoNotWaitForALateNewLeader(t *testing.T) {
	s := newLateLeader(t)
	s.overload(3 * time.Second)
	s.leader().stopped = true
	s.overload(8 * time.Second)
	s.checkRestarts(t, 50)
}

// Workers announce their end 2 s before it. A leader that stops their tasks in time need not wait for the end of their
// leases.
func TestLongRunningTasksLeaveDrainingWorkersInTimeWithALateLeader(t *testing.T) {
	for _, slowdown := range []float64{6, 10} {
		s := newLateLeader(t)
		s.slowdown = slowdown
		for range 10 {
			s.leave(len(s.workers)/110, 2*time.Second)
			s.submitLoad(jobRates{short: 7, fill: 20}, time.Second)
		}
		s.submitLoad(jobRates{short: 7, fill: 20}, 10*time.Second)
		s.checkRestarts(t, 200)
	}
}

// A leader that is late hears its followers in time all the same. Each new leader would have to poll all workers and
// count their leases again, and would be as late.
func TestLateLeaderKeepsItsLeadership(t *testing.T) {
	for _, test := range []struct {
		workers  int
		slowdown float64
	}{{1000, 10}, {1800, 6}} {
		s := newLoadSimulation(t, 1, test.workers, busySlowdown)
		s.workerDelay = busyWorkerDelay
		s.startLongRunning(test.workers * 22 / 100)
		leader := s.leader()
		term := leader.control.Replica().Term()
		s.slowdown = test.slowdown
		share := float64(test.workers) / 550
		s.submitLoad(jobRates{short: 7 * share, fill: 20 * share}, 15*time.Second)
		for _, r := range s.replicas {
			qt.Check(t, r.control.Replica().Term(), qt.Equals, term, qt.Commentf("replica %d, %d workers", r.id, test.workers))
		}
		qt.Check(t, leader.control.IsConfirmedLeader(s.now), qt.IsTrue, qt.Commentf("%d workers", test.workers))
	}
}

package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// maxStandstill is how long an accepted job may have nothing running while there is room for it and its workers can
// be reached.
const maxStandstill = 3 * time.Second

// runningTasks returns the number of tasks that execute on the workers.
func (s *loadSimulation) runningTasks() int {
	n := 0
	for _, w := range s.workers {
		n += len(w.running)
	}
	return n
}

// Guards against jobs with nothing running because of connections to workers that were slow before: each start that was
// not sent in time counted as a failure of its worker.
func TestJobsStartOnceConnectionsToWorkersAreEstablishedAgain(t *testing.T) {
	t.Parallel()
	for _, outage := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 5 * time.Second, 6 * time.Second, 12 * time.Second} {
		s := newLoadSimulation(t, 1, 300, busySlowdown)
		const jobs, tasksPerJob = 50, 24
		for i := range jobs {
			s.submit(longRunsQueue, tbflow.Job{ID: fmt.Sprintf("watch%d", i), Steps: []tbflow.Step{{
				Count: tasksPerJob, Need: tbresource.Amount{MilliProcessors: 3000, MemoryMB: 2000}, LongRunning: true, Image: "watch",
			}}})
		}
		s.disconnectedUntil = s.now.Add(outage)
		s.run(outage)
		wellSince := s.now
		for s.runningTasks() < jobs*tasksPerJob && s.now.Sub(wellSince) < time.Minute {
			s.run(50 * time.Millisecond)
		}
		qt.Check(t, s.now.Sub(wellSince) <= maxStandstill, qt.IsTrue, qt.Commentf("outage of %v: all tasks run after %v", outage, s.now.Sub(wellSince)))
	}
}

package tbcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// standingTimes measures how long accepted jobs have nothing running.
type standingTimes struct {
	since   map[string]time.Time
	longest map[string]time.Duration
}

// sample observes the active jobs of a queue now.
func (m *standingTimes) sample(s *loadSimulation, queue string) {
	running := map[string]bool{}
	for _, w := range s.workers {
		for ref := range w.running {
			running[ref.Job] = true
		}
	}
	for _, j := range s.jobs {
		state := s.leader().control.State().Flow.Jobs[j.id]
		if j.queue != queue || state == nil || state.Phase.Ended() || running[j.id] || allAssigned(state) {
			delete(m.since, j.id)
			continue
		}
		if _, ok := m.since[j.id]; !ok {
			m.since[j.id] = s.now
		}
		m.longest[j.id] = max(m.longest[j.id], s.now.Sub(m.since[j.id]))
	}
}

// allAssigned reports whether no task of a job waits.
func allAssigned(j *tbflow.Job) bool { return !j.HasWaitingTasks() }

// Guards against accepted best-effort jobs with nothing running beside idle workers: one answer in ten takes 4 ms and the
// others 400 ms, whatever the leader does, and the window of best-effort starts stays closed.
func TestBestEffortJobsDoNotStandOnMachinesThatAnswerSlowly(t *testing.T) {
	t.Parallel()
	const (
		workers = 1800
		period  = 20 * time.Millisecond
		// maxStanding is how long a job may have nothing running while there is room for it.
		maxStanding = 3 * time.Second
	)
	rates := jobRates{short: 2, fill: 4}
	s := newLoadSimulation(t, 1, workers, busySlowdown)
	s.workerDelay = busyWorkerDelay
	s.startLongRunning(workers * 12 / 100)
	s.submitLoad(rates, time.Second)
	n := 0
	var alternate func()
	alternate = func() {
		s.workerDelay = 200 * time.Millisecond
		if n++; n%10 == 0 {
			s.workerDelay = 2 * time.Millisecond
		}
		s.at(s.now.Add(period), alternate)
	}
	alternate()
	m := standingTimes{since: map[string]time.Time{}, longest: map[string]time.Duration{}}
	for range 200 {
		s.submitLoad(rates, 100*time.Millisecond)
		m.sample(s, fillQueue)
	}
	for range 100 {
		s.run(100 * time.Millisecond)
		m.sample(s, fillQueue)
	}
	standing, longest := 0, time.Duration(0)
	for _, d := range m.longest {
		longest = max(longest, d)
		if d > maxStanding {
			standing++
		}
	}
	t.Logf("%d best-effort runs were assigned", len(s.fillWaits))
	qt.Check(t, standing, qt.Equals, 0, qt.Commentf("jobs that had nothing running for longer than %s, the longest for %s", maxStanding, longest))
}

package tbcontrol_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// longRunning returns how many long-running tasks run on one worker at least.
func (s *loadSimulation) longRunning() int {
	tasks := map[tbflow.TaskRef]bool{}
	for _, w := range s.workers {
		for ref, run := range w.running {
			tasks[ref] = tasks[ref] || run.endsAt.IsZero()
		}
	}
	n := 0
	for _, isLongRunning := range tasks {
		if isLongRunning {
			n++
		}
	}
	return n
}

// runsOfLongRunning returns the number of the run of each long-running task that runs.
func (s *loadSimulation) runsOfLongRunning() map[tbflow.TaskRef]uint64 {
	runs := map[tbflow.TaskRef]uint64{}
	for _, w := range s.workers {
		for ref, run := range w.running {
			if run.endsAt.IsZero() {
				runs[ref] = max(runs[ref], run.number)
			}
		}
	}
	return runs
}

func (s *loadSimulation) submitLongRunning(name string, jobs int) {
	for i := range jobs {
		s.submit(longRunsQueue, tbflow.Job{ID: fmt.Sprintf("%s%d", name, i), Steps: []tbflow.Step{{
			Count: 24, Need: tbresource.Amount{MilliProcessors: 3000, MemoryMB: 2000}, LongRunning: true, Image: name,
		}}})
	}
}

// slowAnswers are the times in which slow workers answer.
var slowAnswers = []time.Duration{600 * time.Millisecond, time.Second, 1500 * time.Millisecond}

// checkSlowWorkers checks that workers that report, but answer slowly from some time on, get and keep tasks.
func checkSlowWorkers(t *testing.T, answerTime time.Duration, isSlow func(i int) bool) {
	const workers, jobs = 100, 10
	s := newLoadSimulation(t, 1, workers, busySlowdown)
	s.submitLongRunning("early", jobs)
	s.run(6 * time.Second)
	before := s.runsOfLongRunning()
	qt.Assert(t, before, qt.HasLen, 24*jobs)
	s.slowWorkers = map[string]time.Duration{}
	for i, w := range s.workers {
		if isSlow(i) {
			s.slowWorkers[w.id] = answerTime / 2
		}
	}
	s.submitLongRunning("late", jobs)
	s.submitLoad(jobRates{short: 0.5, fill: 0.5}, 20*time.Second)
	qt.Check(t, s.longRunning(), qt.Equals, 2*24*jobs, qt.Commentf("long-running tasks while answers are slow"))
	restarted := 0
	for ref, run := range s.runsOfLongRunning() {
		if first, ok := before[ref]; ok && run != first {
			restarted++
		}
	}
	qt.Check(t, restarted, qt.Equals, 0, qt.Commentf("restarted long-running tasks"))
	slowUntil := s.now
	s.slowWorkers = nil
	s.run(5 * time.Second)
	qt.Check(t, s.longRunning(), qt.Equals, 2*24*jobs, qt.Commentf("long-running tasks after answers are fast again"))
	unusable := 0
	fleet := s.leader().control.Fleet()
	for _, w := range s.workers {
		if v := fleet.Worker(w.id); v == nil || !fleet.Usable(v, s.now) {
			unusable++
		}
	}
	qt.Check(t, unusable, qt.Equals, 0, qt.Commentf("unusable workers 5 s after answers are fast again"))
	s.submitLoad(jobRates{short: 2}, 3*time.Second)
	s.run(4 * time.Second)
	share, n := s.onTimeShare(shortQueue, slowUntil.Add(5*time.Second), s.now)
	qt.Check(t, share, qt.Equals, 1.0, qt.Commentf("share of %d short jobs on time after answers are fast again", n))
}

// Guards against a timeout that is shorter than what all workers need: all starts were unconfirmed and stopped, and all
// workers counted as lost.
func TestAllWorkersAnswerSlowly(t *testing.T) {
	for _, d := range slowAnswers {
		t.Run(d.String(), func(t *testing.T) { checkSlowWorkers(t, d, func(int) bool { return true }) })
	}
}

func TestThirdOfTheWorkersAnswersSlowly(t *testing.T) {
	for _, d := range slowAnswers {
		t.Run(d.String(), func(t *testing.T) { checkSlowWorkers(t, d, func(i int) bool { return i%3 == 0 }) })
	}
}

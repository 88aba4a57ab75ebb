package tbcontrol_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
	"tamarackbarrow/core/tbfleet"
)

// baseRates are the mean rates of a day on 1,800 workers: 290 tasks of short jobs and 2,140 of best-effort
// jobs a second.
var baseRates = jobRates{short: 22.2, fill: 26.7}

// timesFill returns the rates with x times the best-effort jobs.
func (r jobRates) timesFill(x float64) jobRates { return jobRates{short: r.short, fill: r.fill * x} }

// A leader's processor is a fifth slower, and a worker's answer takes 40 ms, as on a busy machine.
const (
	busySlowdown    = 1.2
	busyWorkerDelay = 20 * time.Millisecond
)

// Best-effort tasks have to start within a quarter of the target of their queue, as long as the leader and the
// workers have time for them.
const maxFillWait = 250 * time.Millisecond

// newBusySimulation returns a simulation with long-running tasks that has been under load for a second.
func newBusySimulation(t *testing.T, workers int, slowdown float64) *loadSimulation {
	s := newLoadSimulation(t, 1, workers, slowdown)
	s.workerDelay = busyWorkerDelay
	s.startLongRunning(workers * 12 / 100)
	s.submitLoad(baseRates, time.Second)
	s.fillWaits = nil
	return s
}

// fillWait returns the 95th percentile of the waits of best-effort tasks.
func (s *loadSimulation) fillWait() time.Duration {
	slices.Sort(s.fillWaits)
	return s.fillWaits[len(s.fillWaits)*95/100]
}

// checkLoad checks the 95th percentile of the waits of best-effort tasks and the share of the short jobs
// submitted since a time that end within their objective.
func (s *loadSimulation) checkLoad(t *testing.T, since time.Time, maxWait time.Duration, minShortShare float64) {
	t.Helper()
	until := s.now
	s.run(4 * time.Second)
	share, jobs := s.onTimeShare(shortQueue, since, until)
	t.Logf("%d best-effort runs, 95th percentile of their waits %s; %.3f of %d short jobs on time", len(s.fillWaits), s.fillWait(), share, jobs)
	qt.Check(t, s.fillWait() < maxWait, qt.IsTrue)
	qt.Check(t, share >= minShortShare, qt.IsTrue)
}

func TestBurstOfBestEffortWorkIsNotThrottled(t *testing.T) {
	t.Parallel()
	s := newBusySimulation(t, 1800, busySlowdown)
	since := s.now
	s.submitLoad(baseRates.timesFill(1.7), 4*time.Second)
	s.checkLoad(t, since, maxFillWait, 0.95)
}

func TestBurstOnThreeThousandWorkersIsNotThrottled(t *testing.T) {
	t.Parallel()
	s := newBusySimulation(t, 3000, busySlowdown)
	since := s.now
	s.submitLoad(baseRates.timesFill(1.7), 4*time.Second)
	s.checkLoad(t, since, maxFillWait, 0.95)
}

// A new leader has to poll all workers while the load goes on.
func TestBestEffortWorkIsNotThrottledAfterTakeover(t *testing.T) {
	t.Parallel()
	s := newBusySimulation(t, 1800, busySlowdown)
	s.leader().stopped = true
	for s.leader() == nil {
		s.run(100 * time.Millisecond)
	}
	since := s.now.Add(time.Second)
	s.submitLoad(baseRates.timesFill(1.5), 4*time.Second)
	s.checkLoad(t, since, maxFillWait, 0.95)
}

// Starts to silent workers are not under way, and after one overdue start a worker gets no others. Short jobs
// with a task on such a worker are late: 508 of 1,800 workers become silent at once.
func TestBestEffortWorkIsNotThrottledBySilentWorkers(t *testing.T) {
	t.Parallel()
	s := newBusySimulation(t, 1800, busySlowdown)
	since := s.now
	s.silence(508, 3*time.Second)
	s.submitLoad(baseRates.timesFill(1.5), 4*time.Second)
	s.checkLoad(t, since, maxFillWait, 0.75)
}

func TestBestEffortWorkIsNotThrottledByLostAnswers(t *testing.T) {
	t.Parallel()
	s := newBusySimulation(t, 1800, busySlowdown)
	since := s.now
	s.lostAnswers = 0.05
	s.submitLoad(baseRates.timesFill(1.6), 4*time.Second)
	s.checkLoad(t, since, maxFillWait, 0.95)
}

// A leader whose processor is far too slow for the load keeps short jobs on time. Best-effort work waits.
func TestBestEffortWorkWaitsFirstWhenTheLeaderIsTooSlow(t *testing.T) {
	t.Parallel()
	s := newBusySimulation(t, 1800, 2.5)
	since := s.now
	s.submitLoad(baseRates.timesFill(1.7), 4*time.Second)
	s.checkLoad(t, since, time.Hour, 0.95)
}

// savingsObserver counts what a leader saves when its events wait.
type savingsObserver struct{ polls, longPolls, planned int }

func (o *savingsObserver) step(r *loadReplica, now time.Time, ev tbcontrol.Event) []tbcontrol.Effect {
	effects := r.control.Step(now, ev)
	for _, e := range effects {
		switch e := e.(type) {
		case tbcontrol.SendOrder:
			if poll, ok := e.Order.(tbfleet.Poll); ok {
				o.polls++
				if poll.Wait > loadPollWait {
					o.longPolls++
				}
			}
		case tbcontrol.PlanMade:
			o.planned += e.Runs
		}
	}
	return effects
}

// On a leader whose events wait, polls of workers that are well are the first to become fewer. A leader with
// time left saves nothing.
func TestLeaderWhoseEventsWaitSavesPollsFirst(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		slowdown float64
		saves    bool
	}{{busySlowdown, false}, {3, true}} {
		s := newBusySimulation(t, 1800, test.slowdown)
		o := &savingsObserver{}
		s.observe = o
		s.submitLoad(baseRates.timesFill(1.7), 3*time.Second)
		t.Logf("slowdown %.1f: %d polls, %d of them longer, %d runs planned", test.slowdown, o.polls, o.longPolls, o.planned)
		qt.Check(t, o.longPolls > 0, qt.Equals, test.saves)
		if test.saves {
			qt.Check(t, o.longPolls > o.polls/4, qt.IsTrue)
		}
	}
}

// A leader says once a second which workers may get tasks and what waits.
func TestLeaderLogsASummaryOnceASecond(t *testing.T) {
	t.Parallel()
	s := newBusySimulation(t, 300, busySlowdown)
	var lines []tbcontrol.Log
	s.observe = logObserver(func(l tbcontrol.Log) {
		if l.Message == "workers and waiting tasks" {
			lines = append(lines, l)
		}
	})
	s.silence(100, 3*time.Second)
	s.submitLoad(baseRates, 4*time.Second)
	qt.Assert(t, len(lines) >= 3 && len(lines) <= 5, qt.IsTrue, qt.Commentf("%d lines in 4 s", len(lines)))
	fields := map[any]any{}
	args := lines[len(lines)-2].Args
	for i := 0; i < len(args); i += 2 {
		fields[args[i]] = args[i+1]
	}
	qt.Check(t, fields["workers"], qt.Equals, 300)
	usable := fields["usable"].(int)
	qt.Check(t, usable > 0 && usable < 300, qt.IsTrue, qt.Commentf("%v", fields))
	qt.Check(t, len(fields["unusable"].([]string)) > 0, qt.IsTrue)
	qt.Check(t, fields["window"].(int) > 0, qt.IsTrue)
}

// logObserver calls itself for each log line of any replica.
type logObserver func(tbcontrol.Log)

func (o logObserver) step(r *loadReplica, now time.Time, ev tbcontrol.Event) []tbcontrol.Effect {
	effects := r.control.Step(now, ev)
	for _, e := range effects {
		if l, ok := e.(tbcontrol.Log); ok {
			o(l)
		}
	}
	return effects
}

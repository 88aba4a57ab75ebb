package tbcontrol

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// newSummaryFixture returns a state and a fleet with workers that have reported.
func newSummaryFixture(t testing.TB, workers int) (*tbflow.State, *tbfleet.Fleet, time.Time) {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{
		Version: 1, Classes: []tbflow.WorkerClass{{Name: "c", EnforcesCapacity: true}},
		Queues: []tbflow.Queue{{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/"}, WorkerClass: "c", MaxFailures: 3}},
	}})
	f := tbfleet.New(tbfleet.Params{
		Lease: 4 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, ClockRateBound: 0.02,
		PollWait: time.Second, OrderTimeout: 400 * time.Millisecond, SilenceTimeout: 3 * time.Second, PollRetryDelay: time.Second,
	}, 1)
	for i := range workers {
		r := tbfleet.Report{ID: fmt.Sprintf("w%04d", i), Address: fmt.Sprint(i), Incarnation: 1, Class: "c", DataCentre: fmt.Sprintf("d%d", i%2), ClockMs: 1, Sequence: 1,
			Capacity: tbresource.Amount{MilliProcessors: 32_000, MemoryMB: 100_000}}
		f.HandleReport(now, r)
		qt.Assert(t, s.Apply(now.UnixMilli(), tbflow.RecordWorker{Worker: r.ID, Incarnation: 1, Address: r.Address, Class: "c", DataCentre: r.DataCentre, Capacity: r.Capacity}), qt.Equals, tbflow.OK)
	}
	return s, f, now
}

func submitSteps(t testing.TB, s *tbflow.State, now time.Time, id string, steps ...tbflow.Step) {
	qt.Assert(t, s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/" + id, Job: tbflow.Job{ID: id, Steps: steps}}), qt.Equals, tbflow.OK)
}

func TestWaitingTasksAreCountedByKind(t *testing.T) {
	s, _, now := newSummaryFixture(t, 1)
	submitSteps(t, s, now, "short", tbflow.Step{Count: 3}, tbflow.Step{Count: 5, DependsOn: []int{0}})
	submitSteps(t, s, now.Add(time.Second), "fill", tbflow.Step{Count: 7, BestEffort: true})
	submitSteps(t, s, now.Add(2*time.Second), "long", tbflow.Step{Count: 2, LongRunning: true})
	assigned := tbflow.Assignment{Ref: tbflow.TaskRef{Job: "fill"}, Run: 1, Worker: "w0000", Incarnation: 1}
	later := now.Add(3 * time.Second)
	qt.Assert(t, s.Apply(later.UnixMilli(), tbflow.Assign{Assignments: []tbflow.Assignment{assigned}}), qt.Equals, tbflow.OK)
	want := waitingByKind{short: waitingTasks{3, 3000}, bestEffort: waitingTasks{6, 2000}, longRunning: waitingTasks{2, 1000}}
	qt.Check(t, countWaiting(later, s), qt.Equals, want)

	// The start gets no answer, so that its task may start there only.
	qt.Assert(t, s.Apply(later.UnixMilli(), tbflow.RecordUnanswered{Worker: "w0000", Incarnation: 1, Address: "0", Runs: []tbflow.RunRef{{Ref: assigned.Ref, Run: 1}}}), qt.Equals, tbflow.OK)
	want.bestEffort.tasks, want.bound = 7, waitingTasks{1, 0}
	qt.Check(t, countWaiting(later, s), qt.Equals, want)
}

func TestWorkersAreCountedByWhatExcludesThem(t *testing.T) {
	s, f, now := newSummaryFixture(t, 10)
	f.HandlePollAnswered(now, tbfleet.PollAnswered{Worker: "w0000", Incarnation: 1, Outcome: tbfleet.Unconfirmed})
	f.HandlePollAnswered(now, tbfleet.PollAnswered{Worker: "w0001", Incarnation: 1, Outcome: tbfleet.Unconfirmed})
	usable, excluded := tbassign.CountWorkers(now, s, f)
	qt.Check(t, usable, qt.Equals, 8)
	qt.Check(t, excluded, qt.DeepEquals, map[string]int{"unresponsive": 2})
	qt.Assert(t, s.Apply(now.UnixMilli(), tbflow.SetEvacuation{DataCentre: "d1", Active: true}), qt.Equals, tbflow.OK)
	usable, excluded = tbassign.CountWorkers(now, s, f)
	qt.Check(t, usable, qt.Equals, 4)
	qt.Check(t, excluded, qt.DeepEquals, map[string]int{"unresponsive": 2, "evacuated": 4})
	usable, excluded = tbassign.CountWorkers(now.Add(3*time.Second), s, f)
	qt.Check(t, usable, qt.Equals, 0)
	qt.Check(t, excluded, qt.DeepEquals, map[string]int{"unresponsive": 2, "notHeard": 8})
}

// BenchmarkSummary counts 1,800 workers, a third of which are excluded, and 5,000 tasks, half of which wait.
func BenchmarkSummary(b *testing.B) {
	s, f, now := newSummaryFixture(b, 1800)
	for i := range 600 {
		f.HandlePollAnswered(now, tbfleet.PollAnswered{Worker: fmt.Sprintf("w%04d", 3*i), Incarnation: 1, Outcome: tbfleet.Unconfirmed})
	}
	var assignments []tbflow.Assignment
	for i := range 250 {
		id := fmt.Sprintf("j%d", i)
		submitSteps(b, s, now, id, tbflow.Step{Count: 20, LongRunning: i%2 == 0, BestEffort: i%4 == 1})
		for n := range 10 {
			assignments = append(assignments, tbflow.Assignment{Ref: tbflow.TaskRef{Job: id, Index: n}, Run: 1, Worker: fmt.Sprintf("w%04d", len(assignments)%1800), Incarnation: 1})
		}
	}
	s.Apply(now.UnixMilli(), tbflow.Assign{Assignments: assignments})
	now = now.Add(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		usable, excluded := tbassign.CountWorkers(now, s, f)
		waiting := countWaiting(now, s)
		if usable != 1200 || excluded["unresponsive"] != 600 || waiting.short.tasks+waiting.bestEffort.tasks+waiting.longRunning.tasks != 2500 {
			b.Fatal(usable, excluded, waiting)
		}
	}
}

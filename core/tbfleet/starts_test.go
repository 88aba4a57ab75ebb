package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// newStartsFixture returns a fleet of two workers and a state with a best-effort job of many tasks.
func newStartsFixture(t *testing.T) (*Fleet, *tbflow.State, time.Time) {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	reason := s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{{Count: 100, BestEffort: true}}}})
	qt.Assert(t, reason, qt.Equals, tbflow.OK)
	f := New(Params{
		Lease: 4 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, ClockRateBound: 0.02,
		PollWait: time.Second, OrderTimeout: 400 * time.Millisecond, SilenceTimeout: time.Hour, PollRetryDelay: time.Second,
	}, 1)
	for _, id := range []string{"a", "b"} {
		f.HandleReport(now, Report{ID: id, Address: id, Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1})
	}
	return f, s, now
}

// orderStart commits and orders the start of a task.
func orderStart(f *Fleet, s *tbflow.State, now time.Time, index int, worker string) tbflow.Assignment {
	a := tbflow.Assignment{Ref: tbflow.TaskRef{Job: "j", Index: index}, Run: 1, Worker: worker, Incarnation: 1}
	c := tbflow.Assign{Assignments: []tbflow.Assignment{a}}
	s.Apply(now.UnixMilli(), c)
	f.HandleApplied(now, s, c)
	return a
}

func answerStart(f *Fleet, now time.Time, a tbflow.Assignment, outcome Outcome) {
	f.HandleStartAnswered(now, StartAnswered{Worker: a.Worker, Incarnation: 1, Ref: a.Ref, Run: a.Run, Outcome: outcome, ClockMs: 1})
}

func TestStartsToSilentWorkersAreNotUnderWay(t *testing.T) {
	f, s, now := newStartsFixture(t)
	for i := range 20 {
		a := orderStart(f, s, now, i, "a")
		now = now.Add(10 * time.Millisecond)
		answerStart(f, now, a, Accepted)
	}
	for i := range 5 {
		orderStart(f, s, now, 20+i, "b")
	}
	qt.Check(t, f.BestEffortUnderWay(now), qt.Equals, 5)
	now = now.Add(100 * time.Millisecond)
	orderStart(f, s, now, 30, "a")
	qt.Check(t, f.BestEffortUnderWay(now), qt.Equals, 1)
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue)
	qt.Check(t, f.Usable(f.Worker("b"), now), qt.IsFalse)
}

func TestWorkerIsUsableAgainAfterItsStartsAreAnswered(t *testing.T) {
	f, s, now := newStartsFixture(t)
	first := orderStart(f, s, now, 0, "a")
	now = now.Add(10 * time.Millisecond)
	answerStart(f, now, first, Accepted)
	late := []tbflow.Assignment{orderStart(f, s, now, 1, "a"), orderStart(f, s, now, 2, "a")}
	now = now.Add(200 * time.Millisecond)
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsFalse)
	for _, a := range late {
		answerStart(f, now, a, Accepted)
	}
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue)
	qt.Check(t, f.BestEffortUnderWay(now), qt.Equals, 0)
}

// While all answers are late, for example at a leader that was suspended, late answers raise the estimate.
func TestSlowAnswersAreNotOverdueForLong(t *testing.T) {
	f, s, now := newStartsFixture(t)
	for i := range 30 {
		a := orderStart(f, s, now, i, "a")
		now = now.Add(200 * time.Millisecond)
		answerStart(f, now, a, Accepted)
	}
	orderStart(f, s, now, 40, "a")
	now = now.Add(250 * time.Millisecond)
	qt.Check(t, f.BestEffortUnderWay(now), qt.Equals, 1)
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue)
}

package tbfleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// newLongRunningFixture returns a fleet of one worker and a state with ten jobs of one long-running step.
func newLongRunningFixture(t *testing.T) (*Fleet, *tbflow.State, time.Time) {
	f, s, now := newStartsFixture(t)
	for i := range 10 {
		reason := s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/j", Job: tbflow.Job{ID: longRunningID(i), Steps: []tbflow.Step{{Count: 5, LongRunning: true}}}})
		qt.Assert(t, reason, qt.Equals, tbflow.OK)
	}
	return f, s, now
}

func longRunningID(i int) string { return "l" + string(rune('0'+i)) }

// failRun starts a run on worker a and lets it fail as the given end, after it was listed at work if isListed is true. It
// returns when the leader has learned that.
func failRun(t *testing.T, f *Fleet, s *tbflow.State, now time.Time, ref tbflow.TaskRef, number uint64, isListed bool) time.Time {
	f.HandleReport(now, Report{ID: "a", Address: "a", Incarnation: 1, Class: "c", ClockMs: 1 + now.UnixMilli() - 1_700_000_000_000, Sequence: number + 1})
	run := s.Jobs[ref.Job].Task(ref).Run + 1
	assign := tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: ref, Run: run, Worker: "a", Incarnation: 1}}}
	s.Apply(now.UnixMilli(), assign)
	f.HandleApplied(now, s, assign)
	f.HandleStartAnswered(now, StartAnswered{Worker: "a", Incarnation: 1, Ref: ref, Run: run, Outcome: Accepted, ClockMs: 1 + now.UnixMilli() - 1_700_000_000_000})
	out := f.TakeOutput()
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		f.Tick(now)
		due := f.TakeOutput()
		orders := append(out.Orders, due.Orders...)
		for _, o := range orders {
			if p, ok := o.(Poll); ok && p.Target.ID == "a" {
				a := PollAnswered{
					Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: now, LeaseEndMs: p.LeaseEndMs, LastRecordedEnd: p.LastRecordedEnd,
					Outcome: Accepted, ClockMs: 1 + now.UnixMilli() - 1_700_000_000_000,
				}
				if isListed {
					isListed = false
					a.Running = []ListedRun{{Ref: ref, Run: run, Progress: FullSpeed}}
				} else {
					a.Ended = []ListedEnd{{Number: number, Ref: ref, Run: run, Kind: tbflow.EndFailed}}
				}
				f.HandlePollAnswered(now, a)
			}
		}
		commands := append(out.Commands, due.Commands...)
		out = f.TakeOutput()
		commands, out.Commands = append(commands, out.Commands...), nil
		for _, c := range commands {
			s.Apply(now.UnixMilli(), c)
			f.HandleApplied(now, s, c)
		}
		if s.Jobs[ref.Job].Task(ref).Phase == tbflow.TaskWaiting {
			return now
		}
	}
	t.Fatalf("the end of run %d of %v is not recorded", run, ref)
	return now
}

// Guards against workers of long-running tasks that are avoided for the longest time after each failure: no run on them
// ends as done, and long-running tasks fail now and then.
func TestFailuresHoursAgoDoNotCount(t *testing.T) {
	f, s, now := newLongRunningFixture(t)
	for i := range 6 {
		// Each run is at work, and fails much later than the one before.
		now = failRun(t, f, s, now.Add(time.Hour), tbflow.TaskRef{Job: longRunningID(i)}, uint64(i+1), true)
	}
	avoided := f.Worker("a").AvoidUntil.Sub(now)
	qt.Check(t, avoided <= minBackoff, qt.IsTrue, qt.Commentf("avoided for %v after one failure an hour", avoided))
}

// Guards against jobs that are held because the only worker of theirs is avoided: the tasks of one job that cannot succeed
// counted as several failures of the worker.
func TestFailuresOfOneJobAreOneFailureOfTheWorker(t *testing.T) {
	f, s, now := newLongRunningFixture(t)
	for i := range 5 {
		now = failRun(t, f, s, now, tbflow.TaskRef{Job: longRunningID(0), Index: i}, uint64(i+1), false)
	}
	avoided := f.Worker("a").AvoidUntil.Sub(now)
	qt.Check(t, avoided <= minBackoff, qt.IsTrue, qt.Commentf("avoided for %v after failures of one job", avoided))
}

package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// doubtful is a fleet with a worker that left the start of a lasting task unanswered.
func doubtful(t *testing.T) (*tbfleet.Fleet, *tbflow.State, time.Time) {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxAttempts: 3},
	}}})
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}, Lasting: true}
	s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	f := tbfleet.New(tbfleet.Terms{
		Lease: 4 * time.Second, LongestLease: 6 * time.Second, LongestDelay: 12 * time.Second, ClockRateBound: 0.02,
		LookWait: time.Second, OrderTimeout: 400 * time.Millisecond, HeartbeatSilence: 3 * time.Second, RetryPause: time.Second,
	}, 1)
	f.Heard(now, report("old", now))
	c := tbflow.Assign{Runs: []tbflow.Assignment{{Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Worker: "old", Born: now.UnixMilli()}}}
	s.Apply(now.UnixMilli(), c)
	f.Applied(now, s, c)
	f.StartAnswered(now, tbfleet.StartAnswered{
		Worker: "old", Born: now.UnixMilli(), Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Verdict: tbfleet.Unanswered,
	})
	f.Take()
	return f, s, now
}

func report(id string, born time.Time) tbfleet.Report {
	return tbfleet.Report{
		ID: id, Address: "a:1", Born: born.UnixMilli(), Class: "c", ClockMs: 1, Sequence: 1,
		Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
	}
}

// givenUp reports whether the fleet asks to record the end of the run.
func givenUp(f *tbfleet.Fleet) bool {
	for _, c := range f.Take().Commands {
		if ends, ok := c.(tbflow.NoteEnds); ok && ends.Worker == "old" && len(ends.Ends) == 1 {
			return true
		}
	}
	return false
}

// A worker is cut off while a start is on its way, crashes behind the cut and its place is
// taken by one with another id. That one refuses orders meant for the old one, so that the
// task starts again elsewhere at once. Before, it waited until no order could be under way,
// 18 s (found by a hunt: kollaalert leaving-workers, seed 619742734411, LOST).
func TestStartIsGivenUpOnceAnotherWorkerHasTheAddress(t *testing.T) {
	f, _, now := doubtful(t)
	now = now.Add(4 * time.Second)
	f.LookAnswered(now, tbfleet.LookAnswered{Worker: "old", Born: now.Add(-4 * time.Second).UnixMilli(), SentAt: now, Verdict: tbfleet.OtherLife})
	qt.Check(t, givenUp(f), qt.IsTrue)

	f, _, now = doubtful(t)
	f.StopAnswered(now.Add(4*time.Second), tbfleet.StopAnswered{
		Worker: "old", Born: now.UnixMilli(), Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Verdict: tbfleet.OtherLife,
	})
	qt.Check(t, givenUp(f), qt.IsTrue)

	f, _, now = doubtful(t)
	now = now.Add(4 * time.Second)
	qt.Check(t, f.Heard(now, report("new", now)), qt.IsTrue)
	qt.Check(t, givenUp(f), qt.IsTrue)
}

// A worker that signs off may come back under its id and then carry out what was under
// way, so that the start is kept until nothing can be.
func TestStartIsKeptWhileItsWorkerMayComeBack(t *testing.T) {
	f, _, now := doubtful(t)
	draining := report("old", now)
	draining.Draining, draining.Sequence = true, 2
	qt.Assert(t, f.Heard(now, draining), qt.IsTrue)
	f.Left(now.Add(time.Second), "old")
	qt.Check(t, givenUp(f), qt.IsFalse)
	for at := now; at.Before(now.Add(17 * time.Second)); at = at.Add(time.Second) {
		f.Tick(at)
		qt.Check(t, givenUp(f), qt.IsFalse)
	}
	f.Tick(now.Add(20 * time.Second))
	qt.Check(t, givenUp(f), qt.IsTrue)
}

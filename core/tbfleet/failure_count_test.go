package tbfleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// Guards against a worker that is avoided for longer with each failed run, although long-running tasks work on it: no
// end of theirs as done ever sets the count of failures back.
func TestLongRunningTaskAtWorkEndsASeriesOfFailures(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	f := New(Params{
		Lease: 4 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, ClockRateBound: 0.02,
		PollWait: time.Second, OrderTimeout: 400 * time.Millisecond, SilenceTimeout: time.Hour, PollRetryDelay: time.Second,
	}, 1)
	f.HandleReport(now, Report{ID: "a", Address: "a", Incarnation: 1, Class: "c", ClockMs: 1, Sequence: 1})
	clockMs := func() int64 { return now.UnixMilli() - 1_699_999_999_999 }
	var open *Poll
	// take applies the proposed commands and keeps the poll that is in flight.
	take := func() {
		out := f.TakeOutput()
		for _, o := range out.Orders {
			if p, ok := o.(Poll); ok {
				open = &p
			}
		}
		for _, c := range out.Commands {
			s.Apply(now.UnixMilli(), c)
			f.HandleApplied(now, s, c)
		}
	}
	// answerPoll lets the worker answer the poll that is in flight.
	answerPoll := func(running []ListedRun, ended []ListedEnd) {
		take()
		qt.Assert(t, open, qt.IsNotNil)
		p := *open
		open = nil
		f.HandlePollAnswered(now, PollAnswered{
			Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: now, LeaseEndMs: p.LeaseEndMs, LastRecordedEnd: p.LastRecordedEnd, Outcome: Accepted, ClockMs: clockMs(), Running: running, Ended: ended,
		})
		take()
	}
	for i := range uint64(6) {
		job := fmt.Sprintf("j%d", i)
		qt.Assert(t, s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/" + job, Job: tbflow.Job{ID: job, Steps: []tbflow.Step{{Count: 1, LongRunning: true}}}}), qt.Equals, tbflow.OK)
		a := tbflow.Assignment{Ref: tbflow.TaskRef{Job: job}, Run: 1, Worker: "a", Incarnation: 1}
		c := tbflow.Assign{Assignments: []tbflow.Assignment{a}}
		s.Apply(now.UnixMilli(), c)
		f.HandleApplied(now, s, c)
		f.HandleStartAnswered(now, StartAnswered{Worker: "a", Incarnation: 1, Ref: a.Ref, Run: 1, Outcome: Accepted, ClockMs: clockMs()})
		for range 3 {
			now = now.Add(2 * time.Second)
			f.Tick(now)
			answerPoll([]ListedRun{{Ref: a.Ref, Run: 1, Progress: 100}}, nil)
		}
		now = now.Add(2 * time.Second)
		f.Tick(now)
		answerPoll(nil, []ListedEnd{{Number: i + 1, Ref: a.Ref, Run: 1, Kind: tbflow.EndFailed}})
		qt.Check(t, f.Worker("a").Failures, qt.Equals, 1, qt.Commentf("after the failure of %s", job))
	}
	qt.Check(t, f.Usable(f.Worker("a"), now), qt.IsTrue, qt.Commentf("avoided for %v", f.Worker("a").AvoidUntil.Sub(now)))
}

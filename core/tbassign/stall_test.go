package tbassign_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbassign"
	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Guards against runs that are stopped as stalled, and workers that are avoided for it, because the leader was paused: two
// lists show the same progress 200 ms apart, and the leader handles the second one seconds later.
func TestRunIsNotStalledBecauseTheLeaderWasPaused(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	begin := now
	s := tbflow.New()
	s.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	steps := []tbflow.Step{{Count: 1, LongRunning: true}, {Count: 1, Estimate: 30 * time.Second}}
	qt.Assert(t, s.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/j", Job: tbflow.Job{ID: "j", Steps: steps}}), qt.Equals, tbflow.OK)
	f := tbfleet.New(tbfleet.Params{
		Lease: 6 * time.Second, MaxLease: 6 * time.Second, MaxOrderDelay: 12 * time.Second, ClockRateBound: 0.02,
		PollWait: time.Second, OrderTimeout: 400 * time.Millisecond, SilenceTimeout: time.Hour, PollRetryDelay: time.Second,
	}, 1)
	f.HandleReport(now, tbfleet.Report{ID: "a", Address: "a", Incarnation: 1, Class: "c", Capacity: tbresource.Amount{MilliProcessors: 1000}, ClockMs: 1, Sequence: 1})
	assign := tbflow.Assign{Assignments: []tbflow.Assignment{
		{Ref: tbflow.TaskRef{Job: "j"}, Run: 1, Worker: "a", Incarnation: 1},
		{Ref: tbflow.TaskRef{Job: "j", Step: 1}, Run: 1, Worker: "a", Incarnation: 1},
	}}
	s.Apply(now.UnixMilli(), assign)
	f.HandleApplied(now, s, assign)
	for _, a := range assign.Assignments {
		f.HandleStartAnswered(now, tbfleet.StartAnswered{Worker: "a", Incarnation: 1, Ref: a.Ref, Run: 1, Outcome: tbfleet.Accepted, ClockMs: 1})
	}
	// answer handles the list of a poll at the given time. The worker made the list earlier.
	answer := func(handledAt, listedAt time.Time) {
		f.HandlePollAnswered(handledAt, tbfleet.PollAnswered{
			Worker: "a", Incarnation: 1, ActualIncarnation: 1, SentAt: listedAt, LeaseEndMs: 6000, Outcome: tbfleet.Accepted, ClockMs: 1 + listedAt.Sub(begin).Milliseconds(),
			Running: []tbfleet.ListedRun{{Ref: assign.Assignments[0].Ref, Run: 1, Progress: 40}, {Ref: assign.Assignments[1].Ref, Run: 1, Progress: 40}},
		})
	}
	learner := tbassign.NewLearner()
	answer(now, now)
	answer(now.Add(4*time.Second), now.Add(200*time.Millisecond))
	qt.Check(t, learner.StalledRuns(now.Add(4*time.Second), s, f.Worker("a")), qt.HasLen, 0)
	// The same progress after 4 s of the worker's time is a stall.
	answer(now.Add(4*time.Second), now.Add(4*time.Second))
	qt.Check(t, learner.StalledRuns(now.Add(4*time.Second), s, f.Worker("a")), qt.HasLen, 2)
}

package tbassign

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// Guards against a task that is held for seconds because the only worker that may run it is avoided after failures. Nothing
// else may use what the task waits for.
func TestTaskIsNotHeldByTheBackoffOfItsOnlyWorker(t *testing.T) {
	const (
		tick        = 50 * time.Millisecond
		maxAttempts = 9
		// maxWait is how long a job may have nothing running while there is room for it.
		maxWait = 3 * time.Second
	)
	b := newFixture(t, 4)
	b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 2, Queues: []tbflow.Queue{
		{Name: "short", Key: tbflow.QueueKey{Host: "h", Prefix: "/short/"}, WorkerClass: "c", MaxFailures: maxAttempts, Slack: 1.5, Target: 250 * time.Millisecond},
	}}})
	begin, only := b.now, tbfleet.Report{ID: "w00", Address: "w00", Incarnation: 1, Class: "c", Capacity: resources(32), Labels: []string{"b"}}
	b.submit("short", "j", tbflow.Step{Count: 1, Need: resources(1), Label: "b", Estimate: 200 * time.Millisecond})
	ref := tbflow.TaskRef{Job: "j"}
	var ended []tbfleet.ListedEnd
	waitingSince, longest := b.now, time.Duration(0)
	for n := uint64(0); !b.state.Jobs["j"].Phase.Ended(); n++ {
		qt.Assert(t, b.now.Sub(begin) < 2*time.Minute, qt.IsTrue)
		b.now = b.now.Add(tick)
		clockMs := 1 + b.now.Sub(begin).Milliseconds()
		only.Sequence, only.ClockMs = n+2, clockMs
		b.fleet.HandleReport(b.now, only)
		b.fleet.Tick(b.now)
		for _, a := range b.planAndCommit() {
			qt.Assert(t, a.Worker, qt.Equals, "w00")
			longest = max(longest, b.now.Sub(waitingSince))
		}
		out := b.fleet.TakeOutput()
		for _, o := range out.Orders {
			switch o := o.(type) {
			case tbfleet.Start:
				// The task fails at once.
				b.fleet.HandleStartAnswered(b.now, tbfleet.StartAnswered{Worker: "w00", Incarnation: 1, Ref: o.Ref, Run: o.Run, Outcome: tbfleet.Accepted, ClockMs: clockMs})
				ended = append(ended, tbfleet.ListedEnd{Number: uint64(len(ended) + 1), Ref: o.Ref, Run: o.Run, Kind: tbflow.EndFailed})
			case tbfleet.Poll:
				b.fleet.HandlePollAnswered(b.now, tbfleet.PollAnswered{
					Worker: o.Target.ID, Incarnation: 1, ActualIncarnation: 1, SentAt: b.now, LeaseEndMs: o.LeaseEndMs, LastRecordedEnd: o.LastRecordedEnd,
					Outcome: tbfleet.Accepted, ClockMs: clockMs, Ended: ended,
				})
			}
		}
		for _, c := range append(out.Commands, b.fleet.TakeOutput().Commands...) {
			b.state.Apply(b.now.UnixMilli(), c)
			b.fleet.HandleApplied(b.now, b.state, c)
			if _, ok := c.(tbflow.RecordEnds); ok && b.state.Jobs["j"].Task(ref).Phase == tbflow.TaskWaiting {
				waitingSince = b.now
			}
		}
	}
	qt.Check(t, len(ended), qt.Equals, maxAttempts)
	qt.Check(t, longest <= maxWait, qt.IsTrue, qt.Commentf("nothing of the job runs for %v beside idle workers", longest))
}

// A worker that is avoided gets a task only if the task has waited for longer than avoidWaitMs and no other worker can take
// it.
func TestAvoidedWorkerIsTheLastResort(t *testing.T) {
	b := newFixture(t, 2)
	b.submit("short", "first", tbflow.Step{Count: 1, Need: resources(1), Estimate: time.Second})
	runs := b.planAndCommit()
	qt.Assert(t, runs, qt.HasLen, 1)
	avoided := runs[0].Worker
	b.fleet.StopStalled(b.now, avoided, runs[0].Ref)
	qt.Assert(t, b.fleet.IsOnlyAvoided(b.fleet.Worker(avoided), b.now), qt.IsTrue)

	// Each worker has room for a task, and one of the tasks has to wait.
	capacity := b.fleet.Worker(avoided).Capacity
	need := tbresource.Amount{MilliProcessors: capacity.MilliProcessors * 6 / 10}
	for _, id := range []string{"watch0", "watch1", "watch2"} {
		step := longRunningStep(1, "watch")
		step.Need = need
		b.submitJob("watch", tbflow.Job{ID: id, Steps: []tbflow.Step{step}})
	}
	plan := func(after time.Duration) []tbflow.Assignment {
		b.now = b.now.Add(after)
		b.commit(tbflow.PutConfig{})
		return b.planAndCommit()
	}
	runs = plan(0)
	qt.Assert(t, runs, qt.HasLen, 1)
	qt.Check(t, runs[0].Worker, qt.Not(qt.Equals), avoided)
	qt.Check(t, plan(avoidWaitMs*time.Millisecond), qt.HasLen, 0)

	runs = plan(time.Millisecond)
	qt.Assert(t, runs, qt.HasLen, 1)
	qt.Check(t, runs[0].Worker, qt.Equals, avoided)
	qt.Check(t, b.fleet.IsOnlyAvoided(b.fleet.Worker(avoided), b.now), qt.IsTrue)
}

// Each plan gives at most one task to an avoided worker, whatever room it has, and none while the worker is draining.
func TestPlanGivesOneTaskToAnAvoidedWorker(t *testing.T) {
	b := newFixture(t, 1)
	b.submit("short", "first", tbflow.Step{Count: 1, Need: resources(1), Estimate: time.Second})
	runs := b.planAndCommit()
	qt.Assert(t, runs, qt.HasLen, 1)
	b.fleet.StopStalled(b.now, runs[0].Worker, runs[0].Ref)
	b.submit("short", "j", tbflow.Step{Count: 4, Need: resources(1), Estimate: time.Second})
	for _, tc := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {avoidWaitMs * time.Millisecond, 0}, {time.Millisecond, 1}, {time.Millisecond, 1}} {
		b.now = b.now.Add(tc.after)
		b.commit(tbflow.PutConfig{})
		qt.Check(t, b.planAndCommit(), qt.HasLen, tc.want)
	}
	report := b.fleet.Worker(runs[0].Worker).Report
	report.Sequence, report.Draining = 2, true
	b.fleet.HandleReport(b.now, report)
	qt.Check(t, b.planAndCommit(), qt.HasLen, 0)
}

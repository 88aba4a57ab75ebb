package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// takeoverFixture is a new leader with one worker. The worker has a run of a long-running task that
// an earlier leader started.
type takeoverFixture struct {
	now    time.Time
	state  *tbflow.State
	fleet  *tbfleet.Fleet
	worker *fakeWorker
	ref    tbflow.TaskRef
}

func newTakeoverFixture() *takeoverFixture {
	now := time.UnixMilli(1_700_000_000_000)
	fx := &takeoverFixture{now: now, state: tbflow.New(), ref: tbflow.TaskRef{Job: "j"}}
	fx.worker = newFakeWorker("w", now.Add(-20*time.Second), 0.98)
	fx.state.Apply(now.UnixMilli(), tbflow.PutConfig{Config: tbflow.Config{Version: 1, Queues: []tbflow.Queue{
		{Name: "q", Key: tbflow.QueueKey{Host: "h", Prefix: "/q/"}, WorkerClass: "c", MaxFailures: 3},
	}}})
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 100}, LongRunning: true}
	fx.state.Apply(now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	fx.state.Apply(now.UnixMilli(), tbflow.RecordWorker{
		Worker: "w", Incarnation: fx.worker.incarnation, Address: "a:1", Class: "c", Capacity: tbresource.Amount{MilliProcessors: 1000},
	})
	fx.state.Apply(now.UnixMilli(), tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: fx.ref, Run: 1, Worker: "w", Incarnation: fx.worker.incarnation}}})
	fx.worker.startRun(now, tbfleet.Start{
		Target: tbfleet.Target{ID: "w", Incarnation: fx.worker.incarnation, Token: 1}, Ref: fx.ref, Run: 1,
		LeaseEndMs: fx.worker.clockMs(now) + params.Lease.Milliseconds(),
	}, time.Hour)
	fx.fleet = tbfleet.New(params, 2)
	fx.fleet.TakeOver(now, fx.state, tbfleet.NewOutstandingTimes(now, fx.state))
	return fx
}

// advanceAndTakePolls advances the time by d and returns the polls that the leader sends.
func (fx *takeoverFixture) advanceAndTakePolls(d time.Duration) []tbfleet.Poll {
	fx.now = fx.now.Add(d)
	fx.worker.advance(fx.now)
	fx.fleet.Tick(fx.now)
	var all []tbfleet.Poll
	for _, c := range fx.fleet.TakeOutput().Orders {
		if poll, ok := c.(tbfleet.Poll); ok {
			all = append(all, poll)
		}
	}
	return all
}

// leaveUnanswered tells the leader that a poll got no answer.
func (fx *takeoverFixture) leaveUnanswered(poll tbfleet.Poll) {
	fx.now = fx.now.Add(poll.Timeout)
	fx.fleet.HandlePollAnswered(fx.now, tbfleet.PollAnswered{Worker: "w", Incarnation: poll.Target.Incarnation, LastRecordedEnd: poll.LastRecordedEnd, LeaseEndMs: poll.LeaseEndMs, SentAt: fx.now.Add(-poll.Timeout)})
}

// A new leader's first poll is executed late, after the worker was disconnected. The run must have
// ended when the leader gives it up (regression: platform simulation, site kollaalert, scenario
// inc1: the task ran on two workers at once).
func TestLateFirstPollOfNewLeaderDoesNotExtendLease(t *testing.T) {
	for _, lateness := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second, 11 * time.Second} {
		fx := newTakeoverFixture()
		first := fx.advanceAndTakePolls(0)
		qt.Assert(t, first, qt.HasLen, 1)
		lateAt := fx.now.Add(lateness)
		fx.leaveUnanswered(first[0])

		// The worker answers a few polls and is then disconnected.
		answered := 0
		for i := 0; answered < 3 && i < 100; i++ {
			for _, l := range fx.advanceAndTakePolls(50 * time.Millisecond) {
				a := fx.worker.poll(fx.now, l)
				a.SentAt = fx.now
				fx.fleet.HandlePollAnswered(fx.now, a)
				answered++
			}
		}
		qt.Assert(t, answered >= 2, qt.IsTrue)

		delivered, givenUp := false, false
		for i := 0; !givenUp && i < 2000; i++ {
			fx.now = fx.now.Add(10 * time.Millisecond)
			if !delivered && !fx.now.Before(lateAt) {
				delivered = true
				fx.worker.poll(fx.now, first[0])
			}
			fx.worker.advance(fx.now)
			fx.fleet.Tick(fx.now)
			out := fx.fleet.TakeOutput()
			for _, c := range out.Orders {
				if l, ok := c.(tbfleet.Poll); ok {
					fx.leaveUnanswered(l)
				}
			}
			for _, c := range append(out.Commands, fx.fleet.TakeOutput().Commands...) {
				if ends, ok := c.(tbflow.RecordEnds); ok && len(ends.Ends) > 0 {
					givenUp = true
				}
			}
		}
		qt.Assert(t, givenUp, qt.IsTrue)
		fx.worker.advance(fx.now)
		_, running := fx.worker.running[fx.ref]
		qt.Check(t, running, qt.IsFalse, qt.Commentf("the poll is executed %v after it was sent; the lease expires %d ms later", lateness, fx.worker.leaseEndMs-fx.worker.clockMs(fx.now)))
	}
}

// A worker restarts under its ID, is disconnected until the leader removes it, and returns in the
// same incarnation. The worker refuses orders with a lower token than it has seen. The leader must
// therefore not begin again at a lower token.
func TestRemovedWorkerAcceptsOrdersWhenItReturns(t *testing.T) {
	fx := newTakeoverFixture()
	fx.fleet = tbfleet.New(params, 2)
	first := newFakeWorker("w", fx.now, 1)
	fx.fleet.HandleReport(fx.now, tbfleet.Report{ID: "w", Address: "a:1", Incarnation: first.incarnation, Class: "c", ClockMs: 1000, Sequence: 1})
	fx.now = fx.now.Add(time.Second)
	second := newFakeWorker("w", fx.now, 1)
	r := tbfleet.Report{ID: "w", Address: "a:1", Incarnation: second.incarnation, Class: "c", ClockMs: 1000, Sequence: 1}
	fx.fleet.HandleReport(fx.now, r)
	second.highestToken = fx.assignAndReturnToken()
	for range 20 {
		fx.advanceAndTakePolls(time.Second)
	}
	qt.Assert(t, fx.fleet.Worker("w"), qt.IsNil)
	r.Sequence = 30
	fx.fleet.HandleReport(fx.now, r)
	qt.Check(t, fx.assignAndReturnToken() >= second.highestToken, qt.IsTrue)
}

// assignAndReturnToken ends the current run, if any, assigns a new run and ends that run too. It
// returns the token of the new run's start order.
func (fx *takeoverFixture) assignAndReturnToken() uint64 {
	w := fx.fleet.Worker("w")
	j := fx.state.Jobs["j"]
	run := j.Task(fx.ref).Run
	if j.Task(fx.ref).Phase == tbflow.TaskAssigned {
		fx.apply(tbflow.RecordEnds{Worker: "w", Incarnation: j.Task(fx.ref).Incarnation, Ends: []tbflow.End{{Ref: fx.ref, Run: run, Kind: tbflow.EndStopped}}})
	}
	fx.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: fx.ref, Run: run + 1, Worker: "w", Incarnation: w.Incarnation}}})
	var token uint64
	for _, c := range fx.fleet.TakeOutput().Orders {
		if s, ok := c.(tbfleet.Start); ok {
			token = s.Target.Token
		}
	}
	fx.apply(tbflow.RecordEnds{Worker: "w", Incarnation: w.Incarnation, Ends: []tbflow.End{{Ref: fx.ref, Run: run + 1, Kind: tbflow.EndStopped}}})
	return token
}

func (fx *takeoverFixture) apply(c tbflow.Command) {
	fx.state.Apply(fx.now.UnixMilli(), c)
	fx.fleet.HandleApplied(fx.now, fx.state, c)
}

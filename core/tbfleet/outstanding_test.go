package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
	"tamarackbarrow/core/tbresource"
)

// boundFixture is a leader with the worker w and another worker at another address. The start of a task at w has got
// no answer.
type boundFixture struct {
	*workerFixture
	start tbfleet.Start
	ref   tbflow.TaskRef
	// pollCount is the number of polls.
	pollCount int
}

func newBoundFixture() *boundFixture { return newBoundFixtureOf(false) }

func newBoundFixtureOf(longRunning bool) *boundFixture {
	fx := &boundFixture{workerFixture: newWorkerFixture()}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordWorker{Worker: "w", Incarnation: fx.worker.incarnation, Address: "a:1", Class: "c"})
	fx.reportOther()
	fx.start = fx.submit("j", longRunning)
	fx.ref = fx.start.Ref
	fx.leaveStartUnanswered()
	return fx
}

func (fx *boundFixture) reportOther() { fx.reportAt("other", "b:1") }

// reportAt sends a report of another worker, which answers no polls.
func (fx *boundFixture) reportAt(id, address string) {
	r := tbfleet.Report{
		ID: id, Address: address, Incarnation: fx.now.UnixMilli(), Class: "c", ClockMs: 1000, Sequence: 1,
		Capacity: tbresource.Amount{MilliProcessors: 1000, MemoryMB: 1000},
	}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.RecordWorker{Worker: id, Incarnation: r.Incarnation, Address: address, Class: "c"})
	fx.fleet.HandleReport(fx.now, r)
}

func (fx *boundFixture) leaveStartUnanswered() {
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: fx.start.Target.Incarnation, Ref: fx.start.Ref, Run: fx.start.Run})
}

// run advances the time. The worker executes all orders at once, except starts. If it is not reachable, no order
// is answered.
func (fx *boundFixture) run(d time.Duration, reachable bool) {
	for end := fx.now.Add(d); fx.now.Before(end); {
		fx.now = fx.now.Add(tick)
		fx.worker.advance(fx.now)
		fx.fleet.Tick(fx.now)
		fx.applyBatch(fx.answerOrders(reachable))
	}
}

// applyBatch applies commands as a control instance does: the state is ahead of the fleet by the rest of the batch.
func (fx *boundFixture) applyBatch(commands []tbflow.Command) {
	for _, c := range commands {
		fx.state.Apply(fx.now.UnixMilli(), c)
	}
	for _, c := range commands {
		fx.times.HandleApplied(fx.now, fx.state, c)
		fx.times.RemoveExpired(fx.state)
		fx.fleet.HandleApplied(fx.now, fx.state, c)
	}
}

// answerOrders answers the leader's orders, except starts, and returns its commands.
func (fx *boundFixture) answerOrders(reachable bool) []tbflow.Command {
	out := fx.fleet.TakeOutput()
	for _, poll := range fx.polls {
		out.Orders = append(out.Orders, poll)
	}
	fx.polls = nil
	for _, o := range out.Orders {
		switch o := o.(type) {
		case tbfleet.Stop:
			a := tbfleet.StopAnswered{Worker: o.Target.ID, Incarnation: o.Target.Incarnation, Ref: o.Ref, Run: o.Run}
			if reachable && o.Target.ID == "w" {
				a = fx.worker.stopRun(fx.now, o)
			}
			fx.fleet.HandleStopAnswered(fx.now, a)
		case tbfleet.Poll:
			fx.pollCount++
			a := tbfleet.PollAnswered{Worker: o.Target.ID, Incarnation: o.Target.Incarnation, LastRecordedEnd: o.LastRecordedEnd, LeaseEndMs: o.LeaseEndMs, SentAt: fx.now}
			if reachable && o.Target.ID == "w" {
				a = fx.worker.poll(fx.now, o)
				a.SentAt = fx.now
			}
			fx.fleet.HandlePollAnswered(fx.now, a)
		}
	}
	return out.Commands
}

// runUntilWaiting advances the time until the task is not assigned any more.
func (fx *boundFixture) runUntilWaiting(t *testing.T) {
	t.Helper()
	for since := fx.now; fx.task("j").Phase == tbflow.TaskAssigned; {
		qt.Assert(t, fx.now.Sub(since) < 10*time.Second, qt.IsTrue)
		fx.run(tick, true)
	}
}

// assignAgain assigns the second run of the task to w and returns the order to start it.
func (fx *boundFixture) assignAgain() tbfleet.Start {
	fx.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: fx.ref, Run: 2, Worker: "w", Incarnation: fx.worker.incarnation}}})
	var start tbfleet.Start
	for _, o := range fx.fleet.TakeOutput().Orders {
		switch o := o.(type) {
		case tbfleet.Start:
			start = o
		case tbfleet.Poll:
			fx.polls = append(fx.polls, o)
		}
	}
	return start
}

func (fx *boundFixture) restart(addedLife time.Duration) {
	fx.now = fx.now.Add(addedLife)
	fx.worker = newFakeWorker("w", fx.now, 1)
}

func (fx *boundFixture) mayStartAt(id string) bool {
	w := fx.fleet.Worker(id)
	return w != nil && fx.fleet.MayStart(fx.state, w, fx.ref)
}

// checkBound checks that the task may start again at w and nowhere else, although the next incarnation of w executes
// the start, and that it is free once the start can have no effect.
func (fx *boundFixture) checkBound(t *testing.T) {
	t.Helper()
	qt.Check(t, fx.mayStartAt("other"), qt.IsFalse)
	fx.state.Apply(fx.now.UnixMilli(), tbflow.Assign{Assignments: []tbflow.Assignment{
		{Ref: fx.ref, Run: 2, Worker: "other", Incarnation: fx.fleet.Worker("other").Incarnation},
	}})
	qt.Assert(t, fx.task("j").Phase, qt.Equals, tbflow.TaskWaiting)
	fx.run(300*time.Millisecond, true)
	qt.Check(t, fx.mayStartAt("w"), qt.IsTrue)

	// The next incarnation executes the start before any poll reaches it.
	fx.restart(100 * time.Millisecond)
	qt.Assert(t, fx.worker.startRun(fx.now, fx.start, time.Hour).Outcome, qt.Equals, tbfleet.Accepted)
	fx.run(100*time.Millisecond, true)
	qt.Check(t, fx.mayStartAt("w"), qt.IsFalse)
	qt.Check(t, fx.mayStartAt("other"), qt.IsFalse)
	fx.run(2*time.Second, true)
	qt.Check(t, fx.worker.running, qt.HasLen, 0)
	qt.Check(t, fx.mayStartAt("w"), qt.IsTrue)
	fx.run(maxOrderDelay, true)
	fx.reportOther()
	qt.Check(t, fx.state.Outstanding, qt.HasLen, 0)
	qt.Check(t, fx.mayStartAt("other"), qt.IsTrue)
}

// A worker confirmed the stop of an unanswered start. Its task was started elsewhere, and the next incarnation of the
// worker executed the start beside it.
func TestStartIsNotSettledByConfirmedStop(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.checkBound(t)
}

// A worker saw the token of a later leader and did not list the run. Its task was started elsewhere, and the next
// incarnation of the worker executed the start of the earlier leader beside it.
func TestStartIsNotSettledByTokenOfLaterLeader(t *testing.T) {
	fx := newBoundFixture()
	fx.takeOver()
	fx.reportOther()
	fx.runUntilWaiting(t)
	fx.checkBound(t)
}

// A worker restarted and did not list the run. Its task was started elsewhere, and the incarnation after that executed
// the start beside it.
func TestStartIsNotSettledByRestart(t *testing.T) {
	fx := newBoundFixture()
	fx.restart(100 * time.Millisecond)
	fx.runUntilWaiting(t)
	fx.checkBound(t)
}

// Another worker answered at the address of an unanswered start. The task was started elsewhere, although the first
// worker could return there. It may start at once on the worker at the address.
func TestStartIsNotSettledByOtherWorkerAtItsAddress(t *testing.T) {
	fx := newBoundFixture()
	fx.reportAt("next", "a:1")
	fx.run(tick, true)
	qt.Assert(t, fx.task("j").Phase, qt.Equals, tbflow.TaskWaiting)
	qt.Check(t, fx.mayStartAt("other"), qt.IsFalse)
	next := fx.fleet.Worker("next")
	fx.fleet.HandlePollAnswered(fx.now, tbfleet.PollAnswered{
		Worker: "next", Incarnation: next.Incarnation, ActualIncarnation: next.Incarnation, SentAt: fx.now, Outcome: tbfleet.Accepted, ClockMs: 1000,
	})
	qt.Check(t, fx.mayStartAt("next"), qt.IsTrue)
}

// A later leader did not know that a start was settled by its predecessor only for one incarnation.
func TestNextLeaderKnowsOutstandingStarts(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.run(5*time.Second, true)
	fx.takeOver()
	fx.reportOther()
	fx.run(300*time.Millisecond, true)
	fx.checkBound(t)
}

// A worker that never comes back keeps a task only until a start and its lease can have no effect any more.
func TestTaskIsFreeOnceItsLostWorkerCannotExecuteIt(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	since := fx.now
	for fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(since) < time.Minute, qt.IsTrue)
		fx.run(100*time.Millisecond, false)
	}
	waited := fx.now.Sub(since)
	qt.Check(t, waited >= maxOrderDelay+params.MaxLease && waited < maxOrderDelay+params.MaxLease+time.Second, qt.IsTrue, qt.Commentf("%v", waited))
}

// An answer that comes after the worker's restart settles a start that the worker has refused.
func TestRefusedStartIsSettledAtOnce(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{
		Worker: "w", Incarnation: fx.start.Target.Incarnation, Ref: fx.ref, Run: 1, Outcome: tbfleet.Refused,
	})
	fx.run(tick, true)
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsFalse)
}

// A task whose runs may execute at the same time need not wait for the worker of an unanswered start.
func TestSpeculativeTaskIsNotBound(t *testing.T) {
	fx := &boundFixture{workerFixture: newWorkerFixture()}
	fx.reportOther()
	step := tbflow.Step{Count: 1, Need: tbresource.Amount{MilliProcessors: 1}, Speculative: true}
	fx.state.Apply(fx.now.UnixMilli(), tbflow.Submit{Host: "h", Path: "/q/j", Job: tbflow.Job{ID: "j", Steps: []tbflow.Step{step}}})
	fx.ref = tbflow.TaskRef{Job: "j"}
	fx.apply(tbflow.Assign{Assignments: []tbflow.Assignment{{Ref: fx.ref, Run: 1, Worker: "w", Incarnation: fx.worker.incarnation}}})
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: fx.worker.incarnation, Ref: fx.ref, Run: 1})
	fx.runUntilWaiting(t)
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsFalse)
	qt.Check(t, fx.mayStartAt("other"), qt.IsTrue)
}

// The end of a task as done was acknowledged while an earlier start of it could still be executed. The next incarnation
// executed that start after the acknowledged end.
func TestNoEndIsAcknowledgedWhileStartIsOutstanding(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), 100*time.Millisecond))
	polls := fx.pollCount
	fx.run(5*time.Second, true)
	qt.Check(t, fx.task("j").Phase, qt.Equals, tbflow.TaskDone)
	qt.Check(t, fx.worker.lastAckedEnd, qt.Equals, uint64(0))
	// The worker answers each poll at once, because there is an end.
	qt.Check(t, fx.pollCount-polls < 60, qt.IsTrue, qt.Commentf("%d polls in 5 s", fx.pollCount-polls))
	fx.run(maxOrderDelay, true)
	qt.Check(t, fx.worker.lastAckedEnd, qt.Equals, uint64(1))
}

// An incarnation that no poll had reached executed two outstanding starts of a task one after the other. The first one
// was done, so that its end must be void before anything is acknowledged.
func TestEndBeforeALaterRunIsVoidedByTheEndOfTheLease(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	second := fx.assignAgain()
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: fx.worker.incarnation, Ref: fx.ref, Run: 2})
	fx.restart(100 * time.Millisecond)
	first := fx.worker
	qt.Assert(t, fx.worker.startRun(fx.now, fx.start, 100*time.Millisecond).Outcome, qt.Equals, tbfleet.Accepted)
	fx.now = fx.now.Add(200 * time.Millisecond)
	fx.worker.advance(fx.now)
	qt.Assert(t, fx.worker.startRun(fx.now, second, time.Hour).Outcome, qt.Equals, tbfleet.Accepted)
	for since := fx.now; first.lastAckedEnd == 0; {
		qt.Assert(t, fx.now.Sub(since) < time.Minute, qt.IsTrue)
		fx.run(100*time.Millisecond, true)
		if !fx.now.Before(since.Add(time.Second)) {
			qt.Assert(t, fx.task("j").Phase, qt.Equals, tbflow.TaskDone)
		}
	}
	qt.Check(t, first.ends[0].kind, qt.Equals, tbflow.EndDone)
	qt.Check(t, first.ends[0].voided, qt.IsTrue)
	qt.Check(t, fx.fleet.Usable(fx.fleet.Worker("w"), fx.now), qt.IsTrue)
}

// The longest delay of each unanswered start was counted from its order, with the longest time until an order is sent.
func TestUnansweredStartIsSettledTheLongestDelayAfterItsSending(t *testing.T) {
	for _, test := range []struct {
		isKnown bool
		delay   time.Duration
	}{{true, maxDeliveryDelay}, {false, maxOrderDelay}} {
		fx := newBoundFixture()
		sentAt := fx.now
		a := tbfleet.StartAnswered{Worker: "w", Incarnation: fx.start.Target.Incarnation, Ref: fx.ref, Run: 1}
		if test.isKnown {
			a.SentBefore = sentAt
		}
		fx.fleet.HandleStartAnswered(fx.now, a)
		fx.runUntilWaiting(t)
		fx.run(sentAt.Add(test.delay-tick).Sub(fx.now), true)
		qt.Check(t, fx.state.IsBound(fx.ref), qt.IsTrue)
		fx.run(200*time.Millisecond, true)
		qt.Check(t, fx.state.IsBound(fx.ref), qt.IsFalse)
	}
}

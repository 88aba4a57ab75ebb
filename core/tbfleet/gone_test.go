package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// startAgain starts the second run of the task, which the worker executes and lists.
func (fx *boundFixture) startAgain() {
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), time.Hour))
	fx.run(300*time.Millisecond, true)
}

// announceEnd lets the worker report that it drains.
func (fx *boundFixture) announceEnd() {
	fx.worker.lastSequence++
	fx.fleet.HandleReport(fx.now, tbfleet.Report{
		ID: "w", Address: "a:1", Incarnation: fx.worker.incarnation, Class: "c", ClockMs: fx.worker.clockMs(fx.now),
		Sequence: fx.worker.lastSequence, Draining: true,
	})
	fx.apply(tbflow.RecordDraining{Worker: "w", Incarnation: fx.worker.incarnation})
}

// drain lets the worker announce its end and serve on for the drain time.
func (fx *boundFixture) drain() {
	fx.announceEnd()
	fx.run(2*time.Second, true)
}

// A worker drained and was gone without signing off. An earlier start of its long-running task had got no answer, and the
// task waited for 22 s.
func TestTaskOfUnansweredStartIsFreeOnceItsDrainedWorkerIsGone(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	fx.drain()
	fx.worker.crash()
	fx.checkFreeAfterSignOff(t, fx.now)
}

// A worker drained and was gone while the start of a long-running task had no answer. The run was given up 22 s later.
func TestUnansweredStartIsGivenUpOnceItsDrainedWorkerIsGone(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.announceEnd()
	fx.worker.crash()
	fx.checkFreeAfterSignOff(t, fx.now)
}

// A worker signed off while the start of a long-running task had no answer, and answered nothing any more. The run was
// given up 22 s later.
func TestUnansweredStartIsGivenUpOnceItsSilentWorkerHasSignedOff(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.announceEnd()
	fx.fleet.HandleSignOff(fx.now, "w")
	fx.worker.crash()
	fx.checkFreeAfterSignOff(t, fx.now)
}

// A leader that took over after a drained worker was gone waited 22 s from its takeover for the worker's starts.
func TestNextLeaderKnowsThatADrainedWorkerIsGone(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	fx.drain()
	fx.worker.crash()
	fx.run(time.Second, false)
	fx.takeOver()
	fx.reportOther()
	fx.checkFreeAfterSignOff(t, fx.now)
}

// The run of a drained worker that is out of reach goes on until its lease expires, so its task may not start elsewhere
// before.
func TestDrainedWorkerOutOfReachKeepsItsTasksUntilItsLeaseExpires(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	fx.drain()
	for len(fx.worker.running) > 0 {
		qt.Assert(t, fx.state.IsBound(fx.ref) && !fx.mayStartAt("other"), qt.IsTrue)
		fx.run(tick, false)
	}
}

// A worker that restarts under its ID behind a partition after it drained is not taken for one that is gone once it
// answers again before its lease has expired.
func TestDrainedWorkerThatReturnsKeepsItsUnansweredStarts(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.drain()
	fx.restart(100 * time.Millisecond)
	fx.sendReport()
	fx.run(5*time.Second, true)
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	qt.Check(t, fx.mayStartAt("other"), qt.IsFalse)
}

// A worker that announced no end is waited for, because it may return under its ID and execute a start late.
func TestLostWorkerThatDidNotDrainKeepsItsUnansweredStarts(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	sentAt := fx.now
	fx.run(300*time.Millisecond, true)
	fx.worker.crash()
	fx.run(maxOrderDelay+params.MaxLease-fx.now.Sub(sentAt), false)
	fx.reportOther()
	qt.Check(t, fx.mayStartAt("other"), qt.IsFalse)
}

// A worker renewed its lease until it was lost without a word. Its tasks waited for the longest delay and a lease after the
// last renewal, although each renewal but the last had been answered, which are not executed again.
func TestAnsweredRenewalsDoNotProlongTheWaitForALostWorker(t *testing.T) {
	for _, lostAfter := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
		fx := newBoundFixtureOf(true)
		sentAt := fx.now
		fx.runUntilWaiting(t)
		fx.run(300*time.Millisecond, true)
		fx.startAgain()
		startedAgainAt := fx.now
		fx.run(lostAfter, true)
		fx.worker.crash()
		for fx.state.IsBound(fx.ref) || fx.task("j").Phase == tbflow.TaskAssigned {
			qt.Assert(t, fx.now.Sub(startedAgainAt) < maxOrderDelay+maxReturnTime, qt.IsTrue, qt.Commentf("lost after %v", lostAfter))
			fx.run(100*time.Millisecond, false)
		}
		qt.Check(t, fx.now.Sub(sentAt) >= maxOrderDelay+params.MaxLease, qt.IsTrue)
	}
}

// runUntil advances the time with a reachable worker until apply has applied a command.
func (fx *boundFixture) runUntil(t *testing.T, apply func(tbflow.Command) bool) {
	t.Helper()
	for end := fx.now.Add(10 * time.Second); ; {
		qt.Assert(t, fx.now.Before(end), qt.IsTrue)
		fx.now = fx.now.Add(tick)
		fx.worker.advance(fx.now)
		fx.fleet.Tick(fx.now)
		commands := fx.answerOrders(true)
		for _, c := range commands {
			if apply(c) {
				return
			}
			fx.apply(c)
		}
	}
}

// The record of an unanswered start was committed together with another end at its worker. The longest delay of the start
// was then counted from the record.
func TestUnansweredStartIsCountedFromItsSendingIfRecordedWithAnEnd(t *testing.T) {
	fx := newBoundFixture()
	sentAt := fx.now
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{
		Worker: "w", Incarnation: fx.start.Target.Incarnation, Ref: fx.ref, Run: 1, SentBefore: sentAt,
	})
	ends := tbflow.RecordEnds{Worker: "w", Incarnation: fx.worker.incarnation}
	fx.runUntil(t, func(c tbflow.Command) bool {
		unanswered, ok := c.(tbflow.RecordUnanswered)
		if !ok {
			return false
		}
		fx.state.Apply(fx.now.UnixMilli(), ends)
		fx.state.Apply(fx.now.UnixMilli(), unanswered)
		fx.fleet.HandleApplied(fx.now, fx.state, ends)
		fx.fleet.HandleApplied(fx.now, fx.state, unanswered)
		return true
	})
	qt.Assert(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	fx.run(sentAt.Add(maxDeliveryDelay+200*time.Millisecond).Sub(fx.now), true)
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsFalse)
}

// A leader was suspended while a renewal of the lease was in flight. The tasks of the worker must wait until the renewal
// cannot be executed any more, although its result was not known when the leader continued.
func TestRenewalInFlightProlongsTheWaitOfASuspendedLeader(t *testing.T) {
	fx := newBoundFixtureOf(true)
	sentAt := fx.now
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	fx.run(sentAt.Add(maxDeliveryDelay-2*time.Second).Sub(fx.now), true)
	var renewal tbfleet.Poll
	for since := fx.now; renewal.LeaseEndMs == 0; fx.now = fx.now.Add(tick) {
		qt.Assert(t, fx.now.Sub(since) < params.Lease/2, qt.IsTrue)
		fx.fleet.Tick(fx.now)
		for _, o := range fx.fleet.TakeOutput().Orders {
			poll, ok := o.(tbfleet.Poll)
			switch {
			case ok && poll.LeaseEndMs > 0:
				renewal = poll
			case ok:
				a := fx.worker.poll(fx.now, poll)
				a.SentAt = fx.now
				fx.fleet.HandlePollAnswered(fx.now, a)
			}
		}
	}
	renewedAt := fx.now
	fx.worker.crash()

	fx.now = sentAt.Add(maxOrderDelay + params.MaxLease + time.Second)
	fx.run(tick, false)
	qt.Assert(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	fx.fleet.HandlePollAnswered(fx.now, tbfleet.PollAnswered{
		Worker: "w", Incarnation: fx.worker.incarnation, LeaseEndMs: renewal.LeaseEndMs, SentAt: renewedAt, SentBefore: renewedAt,
	})
	for fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(renewedAt) < maxDeliveryDelay+maxReturnTime, qt.IsTrue)
		fx.run(100*time.Millisecond, false)
	}
	qt.Check(t, fx.now.Sub(renewedAt) >= maxDeliveryDelay+params.MaxLease, qt.IsTrue)
}

// An earlier leader may have renewed the lease of a worker until a takeover. A later incarnation that has executed an
// outstanding start may execute such a renewal late.
func TestNextLeaderAssumesRenewalsUntilItsTakeover(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.startAgain()
	fx.run(8*time.Second, true)
	fx.worker.crash()
	fx.takeOver()
	takenOverAt := fx.now
	for fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(takenOverAt) < maxOrderDelay+maxReturnTime, qt.IsTrue)
		fx.run(100*time.Millisecond, false)
	}
	qt.Check(t, fx.now.Sub(takenOverAt) >= maxOrderDelay+params.MaxLease, qt.IsTrue)
}

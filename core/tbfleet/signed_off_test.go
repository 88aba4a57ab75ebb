package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// maxReturnTime bounds the time from the sign-off of a worker until its tasks may start elsewhere: the lease on the
// slowest clock, and a second for the leader.
const maxReturnTime = 7200 * time.Millisecond

// signOff lets the worker drain and sign off. It executes its runs until it ends a second later.
func (fx *boundFixture) signOff() {
	fx.drain()
	fx.fleet.HandleSignOff(fx.now, "w")
	fx.run(time.Second, false)
	fx.worker.crash()
}

// checkFreeAfterSignOff checks that the task may start on another worker soon after the sign-off.
func (fx *boundFixture) checkFreeAfterSignOff(t *testing.T, signedOffAt time.Time) {
	t.Helper()
	for fx.state.IsBound(fx.ref) || fx.task("j").Phase == tbflow.TaskAssigned {
		qt.Assert(t, fx.now.Sub(signedOffAt) < maxReturnTime, qt.IsTrue)
		fx.run(100*time.Millisecond, false)
	}
	fx.reportOther()
	qt.Check(t, fx.mayStartAt("other"), qt.IsTrue)
}

// The long-running task of an unanswered start ran again at its worker until the worker signed off. It then waited 18 s after the
// last renewal of the lease there.
func TestTaskOfUnansweredStartIsFreeOnceItsWorkerHasSignedOff(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), time.Hour))
	fx.signOff()
	fx.checkFreeAfterSignOff(t, fx.now.Add(-time.Second))
}

// A worker signed off while the start of a long-running task had no answer. The run was given up 18 s later.
func TestUnansweredStartIsGivenUpOnceItsWorkerHasSignedOff(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.signOff()
	fx.checkFreeAfterSignOff(t, fx.now.Add(-time.Second))
}

// A leader that took over after a sign-off waited 18 s from its takeover for the worker's starts.
func TestNextLeaderKnowsSignedOffWorkers(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), time.Hour))
	fx.signOff()
	fx.takeOver()
	qt.Check(t, fx.fleet.Worker("w"), qt.IsNil)
	fx.reportOther()
	fx.checkFreeAfterSignOff(t, fx.now)
}

// A worker that signs off may execute its runs until its lease ends.
func TestSignedOffWorkerKeepsItsTasksUntilItsLeaseExpires(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), time.Hour))
	fx.run(time.Second, true)
	fx.worker.lastSequence++
	fx.fleet.HandleReport(fx.now, tbfleet.Report{
		ID: "w", Address: "a:1", Incarnation: fx.worker.incarnation, Class: "c", ClockMs: fx.worker.clockMs(fx.now), Sequence: fx.worker.lastSequence, Draining: true,
	})
	fx.fleet.HandleSignOff(fx.now, "w")
	for len(fx.worker.running) > 0 {
		qt.Assert(t, fx.state.IsBound(fx.ref) && !fx.mayStartAt("other"), qt.IsTrue)
		fx.run(tick, false)
	}
}

// A worker that returns under its id before its lease has expired is not taken for one that has left.
func TestWorkerThatReturnsAfterItsSignOffKeepsItsUnansweredStarts(t *testing.T) {
	fx := newBoundFixtureOf(true)
	fx.runUntilWaiting(t)
	fx.signOff()
	fx.restart(100 * time.Millisecond)
	fx.sendReport()
	fx.run(5*time.Second, true)
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	qt.Check(t, fx.mayStartAt("other"), qt.IsFalse)
}

// A worker signed off just after the longest delay of an unanswered start, before the next poll of it was due. Its task
// waited as long as if the worker could still execute the start.
func TestUnansweredStartIsSettledBeforeItsWorkerLeaves(t *testing.T) {
	fx := newBoundFixture()
	sentAt := fx.now
	fx.runUntilWaiting(t)
	fx.run(300*time.Millisecond, true)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, fx.assignAgain(), time.Hour))
	fx.runWithLongPolls(sentAt.Add(maxOrderDelay + 50*time.Millisecond))
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsFalse)
}

// runWithLongPolls advances the time to end. The worker answers each poll after the time that the poll may wait.
func (fx *boundFixture) runWithLongPolls(end time.Time) {
	var poll tbfleet.Poll
	var sentAt time.Time
	for ; fx.now.Before(end); fx.now = fx.now.Add(tick) {
		fx.worker.advance(fx.now)
		fx.fleet.Tick(fx.now)
		for _, c := range fx.takeCommands() {
			fx.apply(c)
		}
		for _, p := range fx.polls {
			if p.Target.ID == "w" {
				poll, sentAt = p, fx.now
			}
		}
		fx.polls = nil
		if sentAt.IsZero() || fx.now.Before(sentAt.Add(poll.Wait)) {
			continue
		}
		a := fx.worker.poll(fx.now, poll)
		a.SentAt, sentAt = sentAt, time.Time{}
		fx.fleet.HandlePollAnswered(fx.now, a)
	}
}

// A report that was sent before the sign-off arrived after it, and the worker got tasks again.
func TestLateReportOfSignedOffWorkerDoesNotMakeItUsable(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.signOff()
	fx.run(8*time.Second, false)
	fx.sendReport()
	for _, c := range fx.takeCommands() {
		fx.apply(c)
	}
	qt.Check(t, fx.state.Workers["w"].Draining, qt.IsTrue)
	w := fx.fleet.Worker("w")
	qt.Check(t, w == nil || !fx.fleet.Usable(w, fx.now), qt.IsTrue)
}

// A worker came back under its id, executed the start that its earlier incarnation had left unanswered, and signed off
// before any poll had reached it. The start was taken as settled, and the task was started elsewhere beside the run.
func TestStartToEarlierIncarnationIsNotSettledBySignOff(t *testing.T) {
	fx := newBoundFixture()
	fx.runUntilWaiting(t)
	fx.restart(100 * time.Millisecond)
	fx.sendReport()
	qt.Assert(t, fx.worker.startRun(fx.now, fx.start, time.Hour).Outcome, qt.Equals, tbfleet.Accepted)
	fx.worker.lastSequence++
	fx.fleet.HandleReport(fx.now, tbfleet.Report{
		ID: "w", Address: "a:1", Incarnation: fx.worker.incarnation, Class: "c", ClockMs: fx.worker.clockMs(fx.now),
		Sequence: fx.worker.lastSequence, Draining: true,
	})
	fx.apply(tbflow.RecordDraining{Worker: "w", Incarnation: fx.worker.incarnation})
	fx.fleet.HandleSignOff(fx.now, "w")
	fx.run(2*time.Second, false)
	qt.Assert(t, fx.worker.running, qt.HasLen, 1)
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	qt.Check(t, fx.mayStartAt("other"), qt.IsFalse)
}

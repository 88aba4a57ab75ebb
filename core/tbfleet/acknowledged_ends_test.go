package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// pollWithAck lets a short run end. It returns the poll in flight that is the first to acknowledge
// that end.
func (fx *workerFixture) pollWithAck(t *testing.T, id string) tbfleet.Poll {
	fx.worker.startRun(fx.now, fx.submit(id, false), 100*time.Millisecond)
	for fx.task(id).Phase != tbflow.TaskDone {
		fx.advance(tick, true)
	}
	fx.takeCommands()
	qt.Assert(t, fx.polls, qt.HasLen, 1)
	qt.Assert(t, fx.polls[0].LastRecordedEnd, qt.Equals, uint64(len(fx.worker.ends)))
	return fx.polls[0]
}

// restartWithLateOrders starts the worker's next incarnation, which executes a late start and then
// a late poll.
func (fx *workerFixture) restartWithLateOrders(t *testing.T, lateStart tbfleet.Start, latePoll tbfleet.Poll) {
	fx.worker = newFakeWorker("w", fx.now, 1)
	qt.Assert(t, fx.worker.startRun(fx.now, lateStart, 100*time.Millisecond).Outcome, qt.Equals, tbfleet.Accepted)
	fx.advance(500*time.Millisecond, false)
	fx.worker.poll(fx.now, latePoll)
	fx.advance(2*time.Second, true)
}

// A start and an earlier poll that acknowledges ends are in flight when the worker restarts under
// its ID. If the next incarnation executes the start and then the poll, it discards the end of the
// run before the leader has seen that end. The task is then started again.
func TestPollSentBeforeLateStartDiscardsNoEndOfNextIncarnation(t *testing.T) {
	fx := newWorkerFixture()
	poll := fx.pollWithAck(t, "a")
	late := fx.submit("late", false)
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: late.Target.Incarnation, Ref: late.Ref, Run: late.Run})
	fx.restartWithLateOrders(t, late, poll)
	qt.Check(t, fx.task("late").Phase, qt.Equals, tbflow.TaskDone)
}

// A start is unanswered when a poll is sent. The worker may have restarted and executed the start
// late. A poll acknowledges all ends up to a number, and the new incarnation numbers its ends from 1
// again. An acknowledgement meant for the earlier incarnation could therefore make the worker
// discard the end of the new run before the leader has recorded that end.
func TestPollDoesNotAcknowledgeEndsWhileStartIsUnconfirmed(t *testing.T) {
	fx := newWorkerFixture()
	fx.worker.startRun(fx.now, fx.submit("a", false), 100*time.Millisecond)
	fx.advance(50*time.Millisecond, true)
	late := fx.submit("late", false)
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: late.Target.Incarnation, Ref: late.Ref, Run: late.Run})
	// The stop orders are not answered, so the start stays unconfirmed while the end of "a" is
	// recorded.
	fx.advance(time.Second, true)
	qt.Assert(t, fx.task("a").Phase, qt.Equals, tbflow.TaskDone)
	qt.Assert(t, fx.task("late").Phase, qt.Equals, tbflow.TaskAssigned)
	qt.Check(t, fx.lastAck.LastRecordedEnd, qt.Equals, uint64(0))
	fx.restartWithLateOrders(t, late, fx.lastAck)
	qt.Check(t, fx.task("late").Phase, qt.Equals, tbflow.TaskDone)
}

// A poll that acknowledges ends is in flight when a start is sent. The start has a higher token, so
// the worker refuses the poll if the start arrives first. The leader must not treat this refusal as
// a failure, and its next poll acknowledges the ends.
func TestRefusalOfSupersededPollDoesNotMakeWorkerUnresponsive(t *testing.T) {
	fx := newWorkerFixture()
	poll := fx.pollWithAck(t, "a")
	fx.polls = nil
	start := fx.submit("b", false)
	fx.fleet.HandleStartAnswered(fx.now, fx.worker.startRun(fx.now, start, time.Second))
	a := fx.worker.poll(fx.now, poll)
	qt.Assert(t, a.Outcome, qt.Equals, tbfleet.Refused)
	a.SentAt = fx.now
	fx.fleet.HandlePollAnswered(fx.now, a)
	qt.Check(t, fx.fleet.Usable(fx.fleet.Worker("w"), fx.now), qt.IsTrue)
	fx.takeCommands()
	fx.advance(10*time.Millisecond, true)
	qt.Check(t, fx.worker.lastAckedEnd, qt.Equals, uint64(1))
}

// A poll that acknowledges ends gets no answer, and a later poll is answered. The first poll may
// still be executed. If no higher token fenced it off, the worker's next incarnation could execute
// a start and then this poll. The next incarnation would discard the end of the run before the
// leader has seen that end.
func TestUnansweredPollDiscardsNoEndOfNextIncarnationAfterLaterPoll(t *testing.T) {
	fx := newWorkerFixture()
	poll := fx.pollWithAck(t, "a")
	fx.polls = nil
	fx.leaveUnanswered(poll)
	fx.advance(2*time.Second, true)
	qt.Assert(t, fx.worker.lastAckedEnd, qt.Equals, uint64(1))

	late := fx.submit("late", false)
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: late.Target.Incarnation, Ref: late.Ref, Run: late.Run})
	fx.restartWithLateOrders(t, late, poll)
	qt.Check(t, fx.task("late").Phase, qt.Equals, tbflow.TaskDone)
}

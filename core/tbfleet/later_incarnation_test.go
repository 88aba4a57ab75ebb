package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A worker answers a poll and restarts under its ID. Its next incarnation accepts a start, and the
// leader gets this answer before the answer to the poll. The poll answer is from the earlier
// incarnation and cannot list the new run. The leader must not give up the run because of that
// list.
func TestListOfEarlierIncarnationDoesNotEndRunOfNextIncarnation(t *testing.T) {
	fx := newWorkerFixture()
	fx.worker.startRun(fx.now, fx.submit("first", true), time.Hour)
	fx.advance(time.Second, true)
	qt.Assert(t, fx.polls, qt.HasLen, 1)
	sentAt := fx.now
	list := fx.worker.poll(fx.now, fx.polls[0])
	list.SentAt = sentAt
	fx.polls = nil

	fx.now = fx.now.Add(100 * time.Millisecond)
	fx.worker = newFakeWorker("w", fx.now, 1)
	fx.now = fx.now.Add(10 * time.Millisecond)
	a := fx.worker.startRun(fx.now, fx.submit("j", true), time.Hour)
	qt.Assert(t, a.Outcome, qt.Equals, tbfleet.Accepted)
	fx.fleet.HandleStartAnswered(fx.now, a)
	fx.fleet.HandlePollAnswered(fx.now, list)
	for _, c := range fx.takeCommands() {
		fx.apply(c)
	}
	qt.Check(t, fx.worker.running, qt.HasLen, 1)
	qt.Check(t, fx.task("j").Phase, qt.Equals, tbflow.TaskAssigned)
}

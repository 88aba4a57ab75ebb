package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// A worker restarted while the leader, which had lost its quorum, could not commit that a start was unanswered. The
// leader then recorded an end of the run, by which the start was not outstanding any more. The task was started
// elsewhere, and an incarnation of the worker executed the start beside it.
func TestStartStaysOutstandingIfItsWorkerRestartsBeforeItIsRecorded(t *testing.T) {
	fx := newBoundFixture()
	var uncommitted []tbflow.Command
	isProposed := false
	for since := fx.now; !isProposed; {
		qt.Assert(t, fx.now.Sub(since) < 10*time.Second, qt.IsTrue)
		fx.now = fx.now.Add(tick)
		fx.fleet.Tick(fx.now)
		out := fx.fleet.TakeOutput()
		uncommitted = append(uncommitted, out.Commands...)
		for _, c := range out.Commands {
			_, ok := c.(tbflow.RecordUnanswered)
			isProposed = isProposed || ok
		}
		for _, poll := range fx.polls {
			out.Orders = append(out.Orders, poll)
		}
		fx.polls = nil
		for _, o := range out.Orders {
			switch o := o.(type) {
			case tbfleet.Stop:
				fx.fleet.HandleStopAnswered(fx.now, fx.worker.stopRun(fx.now, o))
			case tbfleet.Poll:
				if o.Target.ID == "w" {
					a := fx.worker.poll(fx.now, o)
					a.SentAt = fx.now
					fx.fleet.HandlePollAnswered(fx.now, a)
				}
			}
		}
	}
	fx.restart(100 * time.Millisecond)
	fx.sendReport()
	for _, c := range append(uncommitted, fx.takeCommands()...) {
		fx.apply(c)
	}
	qt.Check(t, fx.task("j").Phase, qt.Equals, tbflow.TaskWaiting)
	qt.Check(t, fx.state.IsBound(fx.ref), qt.IsTrue)
	fx.checkBound(t)
}

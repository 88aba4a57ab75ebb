package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
)

// An earlier leader has suspended a best-effort run. The new leader orders a speed, which the
// worker does not answer here. Until the worker confirms a speed, the leader must not treat the run
// as stalled.
func TestRunThrottledByEarlierLeaderIsNotTreatedAsStalled(t *testing.T) {
	fx := newTakeoverFixture()
	step := &fx.state.Jobs["j"].Steps[0]
	step.LongRunning, step.BestEffort = false, true
	fx.fleet = tbfleet.New(params, 2)
	fx.fleet.TakeOver(fx.now, fx.state, tbfleet.NewOutstandingTimes(fx.now, fx.state))
	for range 20 {
		for _, poll := range fx.advanceAndTakePolls(100 * time.Millisecond) {
			a := fx.worker.poll(fx.now, poll)
			a.SentAt = fx.now
			fx.fleet.HandlePollAnswered(fx.now, a)
		}
		fx.fleet.SetSpeed(fx.now, "w", fx.ref, tbfleet.FullSpeed)
		run := fx.fleet.Worker("w").Run(fx.ref)
		qt.Assert(t, run.TimeWithoutProgress() < time.Second, qt.IsTrue, qt.Commentf("%v", run.TimeWithoutProgress()))
	}
}

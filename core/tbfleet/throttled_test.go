package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
)

// An earlier leader has slowed a filling run to a stand. Until the worker has confirmed the new
// leader's pace, which it leaves unanswered here, that its progress does not move is no stall.
func TestRunThatAnEarlierLeaderSlowedIsNotTakenForAStall(t *testing.T) {
	o := newTakeOver()
	step := &o.state.Jobs["j"].Steps[0]
	step.Lasting, step.Fills = false, true
	o.fleet = tbfleet.New(terms, 2)
	o.fleet.TakeOver(o.now, o.state)
	for range 20 {
		for _, l := range o.looks(100 * time.Millisecond) {
			a := o.worker.look(o.now, l)
			a.SentAt = o.now
			o.fleet.LookAnswered(o.now, a)
		}
		o.fleet.SetPace(o.now, "w", o.ref, tbfleet.FullPace)
		run := o.fleet.Worker("w").Run(o.ref)
		qt.Assert(t, run.ReadAt.Sub(run.MovedAt) < time.Second, qt.IsTrue, qt.Commentf("%v", run.ReadAt.Sub(run.MovedAt)))
	}
}

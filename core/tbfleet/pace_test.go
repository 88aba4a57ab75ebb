package tbfleet_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
)

// An earlier leader has slowed a run. The next one knows no pace of it, and must order the full
// pace too; otherwise the run stays slow, seems to stand still and is given up.
func TestNewLeaderOrdersTheFullPaceOfARunThatAnEarlierOneSlowed(t *testing.T) {
	o := newTakeOver()
	step := &o.state.Jobs["j"].Steps[0]
	step.Lasting, step.Fills = false, true
	o.fleet = tbfleet.New(terms, 2)
	o.fleet.TakeOver(o.now, o.state)
	for _, l := range o.looks(0) {
		a := o.worker.look(o.now, l)
		a.SentAt = o.now
		o.fleet.LookAnswered(o.now, a)
	}
	o.fleet.Take()
	qt.Assert(t, o.fleet.Worker("w").Run(o.ref).Phase, qt.Equals, tbfleet.RunGoingOn)
	o.fleet.SetPace("w", o.ref, tbfleet.FullPace)
	paced := false
	for _, c := range o.fleet.Take().Calls {
		_, ok := c.(tbfleet.Pace)
		paced = paced || ok
	}
	qt.Check(t, paced, qt.IsTrue)
}

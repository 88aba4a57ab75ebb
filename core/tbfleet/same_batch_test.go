package tbfleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbfleet"
	"tamarackbarrow/core/tbflow"
)

// Two starts at a worker that was out of reach were recorded as outstanding in one batch. The delay of one of them was
// counted from its record instead of its sending.
func TestDelayOfStartsRecordedTogetherCountsFromTheirSending(t *testing.T) {
	fx := newBoundFixtureOf(true)
	sentAt := fx.now
	second := fx.submit("k", true)
	fx.fleet.HandleStartAnswered(fx.now, tbfleet.StartAnswered{Worker: "w", Incarnation: second.Target.Incarnation, Ref: second.Ref, Run: second.Run})
	fx.run(params.MaxLease/2, false)
	for !fx.state.IsBound(fx.ref) {
		qt.Assert(t, fx.now.Sub(sentAt) < params.MaxOrderDelay, qt.IsTrue)
		fx.run(tick, true)
	}
	qt.Assert(t, fx.state.IsBound(second.Ref), qt.IsTrue)

	fx.run(sentAt.Add(params.MaxOrderDelay+500*time.Millisecond).Sub(fx.now), true)
	for _, ref := range []tbflow.TaskRef{fx.ref, second.Ref} {
		qt.Check(t, fx.state.IsBound(ref), qt.IsFalse, qt.Commentf("%v", ref))
	}
}

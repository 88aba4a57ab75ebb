package tbassign

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbflow"
)

// A full plan says what holds a long-running task that has waited for long, and says so again only after a while.
func TestPlanSaysWhatHoldsLongRunningTask(t *testing.T) {
	b := newFixture(t, 2)
	b.submit("watch", "w1", tbflow.Step{Count: 2, Need: resources(26), LongRunning: true, Image: "a"})
	qt.Assert(t, b.planAndCommit(), qt.HasLen, 2)
	b.submit("watch", "w2", tbflow.Step{Count: 1, Need: resources(8), LongRunning: true, Image: "a"})
	plan := func(wait time.Duration) []HeldTask {
		b.now = b.now.Add(wait)
		b.state.Apply(b.now.UnixMilli(), tbflow.PutConfig{})
		return planAll(b.now, b.state, b.fleet, b.learner, b.rebalancer, planLimit{runs: 10, bestEffort: 10}).Held
	}
	qt.Check(t, plan(0), qt.HasLen, 0)
	held := plan(3 * time.Second)
	qt.Assert(t, held, qt.HasLen, 1)
	qt.Check(t, held[0].Ref, qt.Equals, tbflow.TaskRef{Job: "w2"})
	qt.Check(t, []int{held[0].Usable, held[0].Room, held[0].Headroom}, qt.DeepEquals, []int{2, 0, 0})
	qt.Check(t, plan(time.Second), qt.HasLen, 0)
	qt.Check(t, plan(time.Second), qt.HasLen, 1)
}

package tbcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/core/tbcontrol"
)

// Guards against a group that never has a leader because one of the first three replicas is lost before the
// first election. With an empty log, a leader needed the votes of all of them.
func TestGroupFormsWithoutALostFounder(t *testing.T) {
	for _, returns := range []bool{false, true} {
		g, initial := newGroupWithoutReplicas(t, 0)
		newDisk := func() *disk {
			return &disk{persisted: tbconsensus.PersistedState{Initial: tbconsensus.Membership{Members: initial}}}
		}
		g.start(1, "a1", newDisk())
		g.start(3, "a3", newDisk())
		g.advance(3 * time.Second)
		g.join(101, "a4")
		g.join(102, "a5")
		if returns {
			// The founder starts late, with its id and an empty disk.
			g.start(2, "a2", newDisk())
		} else {
			g.join(103, "a6")
		}
		g.advance(5 * time.Second)
		qt.Check(t, g.voterCount(), qt.Equals, groupSize)
		qt.Check(t, g.putConfig(1), qt.Equals, tbcontrol.Done)
		for _, r := range g.replicas {
			qt.Check(t, r.control.State().Flow.Config.Version, qt.Equals, uint64(1), qt.Commentf("replica %d", r.id))
		}
		// The group bears the loss of two replicas.
		g.replicas[0].isolated, g.replicas[2].isolated = true, true
		g.advance(3 * time.Second)
		qt.Check(t, g.putConfig(2), qt.Equals, tbcontrol.Done)
	}
}

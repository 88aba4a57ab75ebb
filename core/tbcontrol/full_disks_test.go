package tbcontrol_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbcontrol"
)

// The disks of all replicas are full in turn, never two at once, the leader's first and then that of each
// next leader. Changes are accepted meanwhile, since a leader needs only the disks of a quorum, and all
// replicas hold them afterwards. Configurations are so large that followers that fall behind need a snapshot.
func TestChangesAreAcceptedWhileDisksAreFullInTurn(t *testing.T) {
	for _, name := range []string{"leader again and again", "each replica", "leader is replaced meanwhile"} {
		t.Run(name, func(t *testing.T) {
			g := newFullGroup(t)
			version := uint64(1)
			for i := range 8 {
				full := g.leader()
				qt.Assert(t, full, qt.IsNotNil)
				if name == "each replica" {
					full = g.replicas[i%len(g.replicas)]
				}
				full.diskFullUntil = g.now.Add(4 * time.Second)
				for n := range 4 {
					if name == "leader is replaced meanwhile" && n == 1 {
						leader := g.leader()
						leader.isolated = true
						g.advance(2 * time.Second)
						leader.isolated = false
					}
					for ; g.leader() == nil; g.advance(100 * time.Millisecond) {
						qt.Assert(t, g.now.Before(full.diskFullUntil.Add(2*time.Second)), qt.IsTrue)
					}
					version++
					qt.Check(t, g.ask(largeConfig(version, 900_000)).Answer.Code, qt.Equals, tbcontrol.Done)
				}
				g.advance(4 * time.Second)
			}
			for _, r := range g.replicas {
				qt.Check(t, r.control.State().Flow.Config.Version, qt.Equals, version, qt.Commentf("replica %d", r.id))
				qt.Check(t, len(r.delayedSaves), qt.Equals, 0)
			}
		})
	}
}

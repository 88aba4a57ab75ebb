package tbconsensus

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// advanceWithoutFaults advances the group by d without faults. In each step timers fire before
// messages are delivered.
func (g *testGroup) advanceWithoutFaults(d time.Duration) {
	const step = 25 * time.Millisecond
	for range d / step {
		g.advance(step)
		for _, n := range g.replicas {
			g.syncDisk(n)
		}
		for range len(g.messages) {
			g.deliver(0, false)
		}
		g.checkSingleLeaseholder()
	}
}

// All processes of a busy machine got no CPU time for a second. Afterwards each process checked its
// timers before it handled the queued messages. The leader saw no replies from a quorum, and the followers
// saw no leader. Calls were refused for two more seconds although nothing had failed.
func TestLeaderKeepsTermAfterStallOfWholeGroup(t *testing.T) {
	for seed := range uint64(40) {
		for _, stallMillis := range []time.Duration{950, 1050, 1200, 1400, 1600} {
			t.Run(fmt.Sprintf("seed %d stalled for %d ms", seed, stallMillis), func(t *testing.T) {
				g := newTestGroup(t, seed+1, 3)
				g.stabilize()
				g.advanceWithoutFaults(time.Duration(seed) * 25 * time.Millisecond)
				var leader *testReplica
				for _, n := range g.replicas {
					if n.replica.HoldsLease(g.now) {
						leader = n
					}
				}
				qt.Assert(t, leader, qt.IsNotNil)
				term := leader.replica.Term()
				g.now = g.now.Add(stallMillis * time.Millisecond)
				g.advanceWithoutFaults(2 * time.Second)
				qt.Check(t, leader.replica.Term(), qt.Equals, term)
				qt.Check(t, leader.replica.HoldsLease(g.now), qt.IsTrue)
			})
		}
	}
}

// A stalled leader must step down within about two election timeouts of the last heartbeat that a quorum
// acknowledged. Until then, the leader's caller holds back orders, and it must not send them later.
func TestStalledLeaderWithoutQuorumStepsDownInTime(t *testing.T) {
	cfg := testConfig(1, 1)
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	electedAt := now
	for r.Role() == Leader {
		// The leader stalls repeatedly, and no reply arrives.
		now = now.Add(350 * time.Millisecond)
		r.Tick(now)
		qt.Assert(t, now.Sub(electedAt) <= 2*cfg.ElectionTimeout+350*time.Millisecond, qt.IsTrue, qt.Commentf("still leads after %v", now.Sub(electedAt)))
	}
}

// A follower that stalls repeatedly must still campaign when its leader is gone.
func TestRepeatedlyStalledFollowerStillCampaigns(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := testConfig(1, 1)
	r := New(cfg, PersistedState{Initial: Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}}, now)
	r.Step(now, Message{Kind: MsgAppend, From: 2, To: 1, Term: 1, Entries: []Entry{{Term: 1, Index: 1}}})
	campaignedAfter := time.Duration(0)
	for lastContactAt := now; campaignedAfter == 0; {
		now = now.Add(400 * time.Millisecond)
		qt.Assert(t, now.Sub(lastContactAt) < 4*cfg.ElectionTimeout, qt.IsTrue)
		r.Tick(now)
		if r.Role() == PreCandidate {
			campaignedAfter = now.Sub(lastContactAt)
		}
	}
	t.Logf("campaigned after %v", campaignedAfter)
}

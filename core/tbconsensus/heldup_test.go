package tbconsensus

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// work lets the group run without faults, its timers before its messages.
func (g *testGroup) work(d time.Duration) {
	const step = 25 * time.Millisecond
	for range d / step {
		g.advance(step)
		for _, n := range g.nodes {
			g.sync(n)
		}
		for range len(g.network) {
			g.deliver(0, false)
		}
		g.checkConfirmed()
	}
}

// All processes of a busy machine got no processor for a second. Each then looked at its timers
// before the messages that waited: the leader saw a silent quorum, the followers a silent leader,
// and callers were refused for two seconds more although nothing had failed.
func TestGroupThatWasHeldUpAsAWholeKeepsItsLeader(t *testing.T) {
	for seed := range uint64(40) {
		for _, held := range []time.Duration{950, 1050, 1200, 1400, 1600} {
			t.Run(fmt.Sprintf("seed %d held up for %d ms", seed, held), func(t *testing.T) {
				g := newTestGroup(t, seed+1, 3)
				g.settle()
				g.work(time.Duration(seed) * 25 * time.Millisecond)
				var leader *testNode
				for _, n := range g.nodes {
					if n.replica.Confirmed(g.now) {
						leader = n
					}
				}
				qt.Assert(t, leader, qt.IsNotNil)
				term := leader.replica.Term()
				g.now = g.now.Add(held * time.Millisecond)
				g.work(2 * time.Second)
				qt.Check(t, leader.replica.Term(), qt.Equals, term)
				qt.Check(t, leader.replica.Confirmed(g.now), qt.IsTrue)
			})
		}
	}
}

// A leader that was held up has two election timeouts from its last confirmed heartbeat at most:
// what it holds back must not go out later than that.
func TestHeldUpLeaderWithoutAQuorumStepsDownInTime(t *testing.T) {
	cfg := testConfig(1, 1)
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	elected := now
	for r.Role() == Leader {
		// It is held up again and again, and no answer arrives.
		now = now.Add(350 * time.Millisecond)
		r.Tick(now)
		qt.Assert(t, now.Sub(elected) <= 2*cfg.ElectionTimeout+350*time.Millisecond, qt.IsTrue, qt.Commentf("leads after %v", now.Sub(elected)))
	}
}

// A follower that is held up again and again still campaigns when its leader is gone.
func TestFollowerThatIsAlwaysHeldUpCampaigns(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := testConfig(1, 1)
	r := New(cfg, Restored{Initial: Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}}, now)
	r.Step(now, Message{Kind: MsgAppend, From: 2, To: 1, Term: 1, Entries: []Entry{{Term: 1, Index: 1}}})
	campaigned := time.Duration(0)
	for heard := now; campaigned == 0; {
		now = now.Add(400 * time.Millisecond)
		qt.Assert(t, now.Sub(heard) < 4*cfg.ElectionTimeout, qt.IsTrue)
		r.Tick(now)
		if r.Role() == PreCandidate {
			campaigned = now.Sub(heard)
		}
	}
	t.Logf("campaigned after %v", campaigned)
}

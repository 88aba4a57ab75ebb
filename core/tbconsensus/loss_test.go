package tbconsensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A replica that lost its disk must not vote under its old id, because it may lack entries that it had
// acknowledged.
func TestReplicaThatLostItsDiskIgnoresItsGroup(t *testing.T) {
	g := newTestGroup(t, 5, 3)
	g.stabilize()
	wipedReplica := g.replicas[1]
	wipedReplica.disk = testDisk{}
	g.start(wipedReplica, false)
	for range 100 {
		g.advance(50 * time.Millisecond)
		for len(g.messages) > 0 {
			g.deliver(0, false)
		}
		for _, n := range g.replicas {
			g.syncDisk(n)
		}
	}
	qt.Check(t, wipedReplica.replica.HasLostState(), qt.IsTrue)
	qt.Check(t, wipedReplica.replica.Term(), qt.Equals, uint64(0))
	qt.Check(t, wipedReplica.replica.LastIndex(), qt.Equals, uint64(0))
}

// Two of three replicas have lost their disks. Without the third, they must not elect a leader, because
// that leader would lack all data of the group.
func TestTwoReplicasThatLostTheirDisksElectNoLeader(t *testing.T) {
	g := newTestGroup(t, 6, 3)
	g.stabilize()
	g.replicas[2].isDown = true
	for _, n := range g.replicas[:2] {
		n.disk = testDisk{}
		g.start(n, false)
	}
	for range 100 {
		g.advance(100 * time.Millisecond)
		for len(g.messages) > 0 {
			g.deliver(0, false)
		}
		for _, n := range g.replicas[:2] {
			g.syncDisk(n)
		}
	}
	for _, n := range g.replicas[:2] {
		qt.Check(t, n.replica.Role() == Leader, qt.IsFalse)
	}
}

// A restarted follower must not help to elect a second leader while the first holds its lease.
func TestRestartedFollowerGrantsNoVoteWithinElectionTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	initial := Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	r := New(testConfig(1, 1), PersistedState{HardState: HardState{Term: 4}, Entries: []Entry{{Term: 4, Index: 1}}, Initial: initial}, now)
	request := Message{Kind: MsgVote, From: 2, To: 1, Term: 5, LogIndex: 1, LogTerm: 4}
	r.Step(now.Add(500*time.Millisecond), request)
	qt.Check(t, r.Take().SendAfterSave, qt.HasLen, 0)
	r.Step(now.Add(1001*time.Millisecond), request)
	qt.Check(t, r.Take().SendAfterSave, qt.HasLen, 1)
}

// A leader that retransmits overdue entries must not read a log prefix that a snapshot replaced.
func TestFollowerBehindCompactedLogCatchesUp(t *testing.T) {
	g := newTestGroup(t, 8, 3)
	g.stabilize()
	var leader *testReplica
	for _, n := range g.replicas {
		if n.replica.HoldsLease(g.now) {
			leader = n
		}
	}
	var follower *testReplica
	for _, n := range g.replicas {
		if n != leader {
			follower = n
		}
	}
	follower.isIsolated = true
	for range 40 {
		g.propose(leader)
		g.advance(20 * time.Millisecond)
		for len(g.messages) > 0 {
			g.deliver(0, false)
		}
		for _, n := range g.replicas {
			g.syncDisk(n)
		}
	}
	g.compact(leader)
	g.stabilize()
	qt.Check(t, follower.appliedIndex, qt.Equals, leader.appliedIndex)
}

package tbconsensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A leader adds a learner and fails before the change is committed. The learner must notice that it has
// no leader. Otherwise it never asks the next leader to be added, and the group stays incomplete. In the
// incident tunnelcover-ja hunt-7fea-39 this lasted a whole day.
func TestLearnerClearsLeaderAfterElectionTimeout(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(Config{ID: 9, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, Join: true}, PersistedState{}, now)
	r.Step(now, Message{Kind: MsgHeartbeat, From: 1, To: 9, Term: 1, Round: 1})
	qt.Assert(t, r.LeaderID(), qt.Equals, ReplicaID(1))
	now = now.Add(3 * time.Second)
	r.Tick(now)
	qt.Check(t, r.LeaderID(), qt.Equals, ReplicaID(0))
}

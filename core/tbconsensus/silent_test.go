package tbconsensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A leader must not send all missing entries to a frozen follower every few heartbeats.
func TestSilentFollowerGetsNoEntriesUntilItReplies(t *testing.T) {
	now := time.Unix(1000, 0)
	members := Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	cfg := Config{ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, MaxBatchBytes: 1 << 20}
	r := New(cfg, PersistedState{Initial: members}, now)
	now = now.Add(3 * time.Second)
	r.Tick(now)
	for _, kind := range []MessageKind{MsgPreVoteReply, MsgVoteReply} {
		for _, from := range []ReplicaID{2, 3} {
			r.Step(now, Message{Kind: kind, From: from, To: 1, Term: 1})
		}
	}
	qt.Assert(t, r.Role(), qt.Equals, Leader)
	sentBytes := 0
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		if i%5 == 0 {
			r.Propose(now, [][]byte{make([]byte, 1000)})
		}
		r.Tick(now)
		for _, m := range r.Take().Send {
			switch {
			case m.To == 2 && m.Kind == MsgAppend:
				r.Step(now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 1, LogIndex: m.LogIndex + uint64(len(m.Entries))})
			case m.To == 2:
				r.Step(now, Message{Kind: MsgHeartbeatReply, From: 2, To: 1, Term: 1, Round: m.Round})
			case m.Kind == MsgAppend:
				for _, e := range m.Entries {
					sentBytes += len(e.Data)
				}
			}
		}
	}
	// A follower that is silent for longer than an election timeout gets heartbeats only.
	qt.Check(t, sentBytes < 20_000, qt.IsTrue, qt.Commentf("%d bytes were sent to a silent follower", sentBytes))
	r.Step(now, Message{Kind: MsgHeartbeatReply, From: 3, To: 1, Term: 1, Round: r.heartbeatRound})
	hasResumed := false
	for _, m := range r.Take().Send {
		hasResumed = hasResumed || m.To == 3 && m.Kind == MsgAppend && len(m.Entries) > 0
	}
	qt.Check(t, hasResumed, qt.IsTrue)
}

package tbconsensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newTestLeader returns replica 1 of three, the leader of term 1, and the time of its election.
func newTestLeader(t *testing.T, cfg Config, now time.Time) (*Replica, time.Time) {
	r := New(cfg, PersistedState{Initial: Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}}, now)
	now = now.Add(3 * time.Second)
	r.Tick(now)
	for _, kind := range []MessageKind{MsgPreVoteReply, MsgVoteReply} {
		for _, from := range []ReplicaID{2, 3} {
			r.Step(now, Message{Kind: kind, From: from, To: 1, Term: 1})
		}
	}
	qt.Assert(t, r.Role(), qt.Equals, Leader)
	return r, now
}

// A replica that returns after seconds lacks megabytes of entries. When the leader sent all of them at
// once, a busy leader could not deliver them in time. The entries were lost and sent again from the start.
// The replica never caught up, and a group that needed the replica for a quorum committed nothing.
func TestInFlightBytesToReturningReplicaAreBounded(t *testing.T) {
	const step = 50 * time.Millisecond
	cfg := Config{
		ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		MaxBatchBytes: 8000, MaxInFlightBytes: 32_000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	// ackedIndex is the last index that replica 3 acknowledged. inFlightBytes is the number of bytes received by
	// replica 3 since then.
	var ackedIndex, lastSentIndex uint64
	inFlightBytes, maxInFlightBytes := 0, 0
	isUnreachable := true
	receiveAtReplica3 := func(m Message) {
		switch {
		case isUnreachable:
		case m.Kind == MsgHeartbeat:
			r.Step(now, Message{Kind: MsgHeartbeatReply, From: 3, To: 1, Term: 1, Round: m.Round, Hint: ackedIndex})
		case m.Kind == MsgAppend:
			for _, e := range m.Entries {
				inFlightBytes += len(e.Data)
			}
			maxInFlightBytes = max(maxInFlightBytes, inFlightBytes)
			lastSentIndex = max(lastSentIndex, m.LogIndex+uint64(len(m.Entries)))
		}
	}
	for i := range 400 {
		now = now.Add(step)
		if i == 200 {
			isUnreachable = false
		}
		r.Propose(now, [][]byte{make([]byte, 1000), make([]byte, 1000)})
		r.Tick(now)
		r.ReportPersisted(now, 1, r.LastIndex())
		if !isUnreachable && i%3 == 0 && lastSentIndex > ackedIndex {
			// A reply is sent every 150 ms and acknowledges everything received so far.
			ackedIndex, inFlightBytes = lastSentIndex, 0
			r.Step(now, Message{Kind: MsgAppendReply, From: 3, To: 1, Term: 1, LogIndex: ackedIndex})
		}
		for _, m := range r.Take().Send {
			if m.To == 3 {
				receiveAtReplica3(m)
			} else if m.Kind == MsgAppend {
				r.Step(now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 1, LogIndex: m.LogIndex + uint64(len(m.Entries))})
			} else {
				r.Step(now, Message{Kind: MsgHeartbeatReply, From: 2, To: 1, Term: 1, Round: m.Round})
			}
		}
	}
	qt.Check(t, maxInFlightBytes <= 32_000, qt.IsTrue, qt.Commentf("%d bytes were in flight at once", maxInFlightBytes))
	qt.Check(t, r.LastIndex()-ackedIndex < 20, qt.IsTrue, qt.Commentf("replica 3 has %d of %d entries", ackedIndex, r.LastIndex()))
}

// An entry larger than MaxInFlightBytes must be sent nevertheless, without other entries.
func TestEntryAboveInFlightLimitIsSentAlone(t *testing.T) {
	cfg := Config{
		ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		MaxBatchBytes: 1000, MaxInFlightBytes: 2000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	for _, m := range r.Take().Send {
		if m.Kind == MsgAppend {
			r.Step(now, Message{Kind: MsgAppendReply, From: m.To, To: 1, Term: 1, LogIndex: m.LogIndex + uint64(len(m.Entries))})
		}
	}
	r.Propose(now, [][]byte{make([]byte, 10_000), make([]byte, 100)})
	var sentEntryCounts []int
	for _, m := range r.Take().Send {
		if m.To == 2 && m.Kind == MsgAppend {
			sentEntryCounts = append(sentEntryCounts, len(m.Entries))
		}
	}
	qt.Check(t, sentEntryCounts, qt.DeepEquals, []int{1})
}

// Replies can queue up at a busy leader. An earlier version took a third of a second without a reply for a
// loss and sent most of the missing entries more than once.
func TestLateRepliesCauseNoRetransmission(t *testing.T) {
	const step, replyDelay = 20 * time.Millisecond, 400 * time.Millisecond
	cfg := Config{
		ID: 1, ElectionTimeout: 900 * time.Millisecond, HeartbeatInterval: 150 * time.Millisecond,
		MaxBatchBytes: 8000, MaxInFlightBytes: 32_000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	// At most one group of replies is in flight at a time. The replies to all messages sent meanwhile are
	// queued and form the next group.
	var queuedReplies, inFlightReplies []Message
	var repliesDueAt time.Time
	proposedBytes, sentBytes := 0, 0
	for i := range 1500 {
		now = now.Add(step)
		if i < 500 {
			r.Propose(now, [][]byte{make([]byte, 1000)})
			proposedBytes += 1000
		}
		r.Tick(now)
		if !now.Before(repliesDueAt) {
			for _, m := range inFlightReplies {
				r.Step(now, m)
			}
			inFlightReplies, queuedReplies, repliesDueAt = queuedReplies, nil, now.Add(replyDelay)
		}
		for _, m := range r.Take().Send {
			reply := Message{Kind: MsgHeartbeatReply, From: m.To, To: 1, Term: 1, Round: m.Round}
			if m.Kind == MsgAppend {
				reply = Message{Kind: MsgAppendReply, From: m.To, To: 1, Term: 1, LogIndex: m.LogIndex + uint64(len(m.Entries))}
			}
			switch {
			case m.To == 2:
				r.Step(now, reply)
			case i >= 100:
				for _, e := range m.Entries {
					sentBytes += len(e.Data)
				}
				queuedReplies = append(queuedReplies, reply)
			}
		}
	}
	qt.Check(t, r.Progress()[1].Match, qt.Equals, r.LastIndex())
	qt.Check(t, sentBytes <= proposedBytes+proposedBytes/10, qt.IsTrue, qt.Commentf("%d bytes were sent for %d bytes proposed", sentBytes, proposedBytes))
}

func TestUndeliveredEntriesAreRetransmittedAfterHeartbeatReply(t *testing.T) {
	cfg := Config{
		ID: 1, ElectionTimeout: 900 * time.Millisecond, HeartbeatInterval: 150 * time.Millisecond,
		MaxBatchBytes: 8000, MaxInFlightBytes: 32_000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	for _, m := range r.Take().Send {
		if m.Kind == MsgAppend {
			r.Step(now, Message{Kind: MsgAppendReply, From: m.To, To: 1, Term: 1, LogIndex: m.LogIndex + uint64(len(m.Entries))})
		}
	}
	index, _ := r.Propose(now, [][]byte{make([]byte, 100)})
	r.Take()
	r.ReportUndelivered(3)
	now = now.Add(150 * time.Millisecond)
	r.Step(now, Message{Kind: MsgHeartbeatReply, From: 3, To: 1, Term: 1, Round: r.heartbeatRound, Hint: index - 1})
	var resentIndexes []uint64
	for _, m := range r.Take().Send {
		if m.To == 3 && m.Kind == MsgAppend {
			resentIndexes = append(resentIndexes, m.LogIndex+1)
		}
	}
	qt.Check(t, resentIndexes, qt.DeepEquals, []uint64{index})
}

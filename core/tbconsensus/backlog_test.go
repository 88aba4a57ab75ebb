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

// A replica that returns after seconds lacks megabytes of entries. When all were sent at once, a busy
// leader could not deliver them in time. The entries were lost and sent again from the start. The replica never
// caught up, and a group that needed the replica for a quorum committed nothing.
func TestInFlightBytesToReturningReplicaAreBounded(t *testing.T) {
	const step = 50 * time.Millisecond
	cfg := Config{
		ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		MaxBatchBytes: 8000, MaxInFlightBytes: 32_000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	// acked is the last index that replica 3 acknowledged. inFlight is the number of bytes received by
	// replica 3 since then.
	var acked, lastSent uint64
	inFlight, maxInFlight := 0, 0
	unreachable := true
	receive := func(m Message) {
		switch {
		case unreachable:
		case m.Kind == MsgHeartbeat:
			r.Step(now, Message{Kind: MsgHeartbeatReply, From: 3, To: 1, Term: 1, Round: m.Round, Hint: acked})
		case m.Kind == MsgAppend:
			for _, e := range m.Entries {
				inFlight += len(e.Data)
			}
			maxInFlight = max(maxInFlight, inFlight)
			lastSent = max(lastSent, m.LogIndex+uint64(len(m.Entries)))
		}
	}
	for i := range 400 {
		now = now.Add(step)
		if i == 200 {
			unreachable = false
		}
		r.Propose(now, [][]byte{make([]byte, 1000), make([]byte, 1000)})
		r.Tick(now)
		r.ReportPersisted(now, 1, r.LastIndex())
		if !unreachable && i%3 == 0 && lastSent > acked {
			// A reply is sent every 150 ms and acknowledges everything received so far.
			acked, inFlight = lastSent, 0
			r.Step(now, Message{Kind: MsgAppendReply, From: 3, To: 1, Term: 1, LogIndex: acked})
		}
		for _, m := range r.Take().Send {
			if m.To == 3 {
				receive(m)
			} else if m.Kind == MsgAppend {
				r.Step(now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 1, LogIndex: m.LogIndex + uint64(len(m.Entries))})
			} else {
				r.Step(now, Message{Kind: MsgHeartbeatReply, From: 2, To: 1, Term: 1, Round: m.Round})
			}
		}
	}
	qt.Check(t, maxInFlight <= 32_000, qt.IsTrue, qt.Commentf("%d bytes were in flight at once", maxInFlight))
	qt.Check(t, r.LastIndex()-acked < 20, qt.IsTrue, qt.Commentf("replica 3 has %d of %d entries", acked, r.LastIndex()))
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
	var sent []int
	for _, m := range r.Take().Send {
		if m.To == 2 && m.Kind == MsgAppend {
			sent = append(sent, len(m.Entries))
		}
	}
	qt.Check(t, sent, qt.DeepEquals, []int{1})
}

// Replies can queue up at a busy leader. When the leader treated a third of a second
// without a reply as a loss, it sent most of the missing entries more than once.
func TestLateRepliesCauseNoRetransmission(t *testing.T) {
	const step, replyDelay = 20 * time.Millisecond, 400 * time.Millisecond
	cfg := Config{
		ID: 1, ElectionTimeout: 900 * time.Millisecond, HeartbeatInterval: 150 * time.Millisecond,
		MaxBatchBytes: 8000, MaxInFlightBytes: 32_000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	// At most one group of replies is in flight at a time. The replies to all messages sent meanwhile are
	// queued and form the next group.
	var queued, replies []Message
	var repliesDue time.Time
	proposed, sent := 0, 0
	for i := range 1500 {
		now = now.Add(step)
		if i < 500 {
			r.Propose(now, [][]byte{make([]byte, 1000)})
			proposed += 1000
		}
		r.Tick(now)
		if !now.Before(repliesDue) {
			for _, m := range replies {
				r.Step(now, m)
			}
			replies, queued, repliesDue = queued, nil, now.Add(replyDelay)
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
					sent += len(e.Data)
				}
				queued = append(queued, reply)
			}
		}
	}
	qt.Check(t, r.Progress()[1].Match, qt.Equals, r.LastIndex())
	qt.Check(t, sent <= proposed+proposed/10, qt.IsTrue, qt.Commentf("%d bytes were sent for %d bytes proposed", sent, proposed))
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
	var resent []uint64
	for _, m := range r.Take().Send {
		if m.To == 3 && m.Kind == MsgAppend {
			resent = append(resent, m.LogIndex+1)
		}
	}
	qt.Check(t, resent, qt.DeepEquals, []uint64{index})
}

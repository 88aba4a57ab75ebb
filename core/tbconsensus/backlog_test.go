package tbconsensus

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newTestLeader returns replica 1 of three that leads term 1.
func newTestLeader(t *testing.T, cfg Config, now time.Time) (*Replica, time.Time) {
	r := New(cfg, Restored{Initial: Membership{Members: []Member{{ID: 1}, {ID: 2}, {ID: 3}}}}, now)
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

// A replica that comes back after seconds lacks megabytes. Sent at once they were lost whole
// whenever the leader was too busy to deliver them in time, and then sent again from the
// start: the replica never caught up, and a group that needed it never committed anything.
func TestReturningReplicaIsNotSentItsWholeBacklogAtOnce(t *testing.T) {
	const step = 50 * time.Millisecond
	cfg := Config{
		ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		MaxBatchBytes: 8000, MaxInFlightBytes: 32_000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	// acked is what replica 3 has, underWay what was sent to it since.
	var acked, sentTo uint64
	underWay, most := 0, 0
	away := true
	step3 := func(m Message) {
		switch {
		case away:
		case m.Kind == MsgHeartbeat:
			r.Step(now, Message{Kind: MsgHeartbeatReply, From: 3, To: 1, Term: 1, Round: m.Round, Hint: acked})
		case m.Kind == MsgAppend:
			for _, e := range m.Entries {
				underWay += len(e.Data)
			}
			most = max(most, underWay)
			sentTo = max(sentTo, m.LogIndex+uint64(len(m.Entries)))
		}
	}
	for i := range 400 {
		now = now.Add(step)
		if i == 200 {
			away = false
		}
		r.Propose(now, [][]byte{make([]byte, 1000), make([]byte, 1000)})
		r.Tick(now)
		r.Persisted(now, 1, r.LastIndex())
		if !away && i%3 == 0 && sentTo > acked {
			// The answer covers all that arrived and takes 150 ms.
			acked, underWay = sentTo, 0
			r.Step(now, Message{Kind: MsgAppendReply, From: 3, To: 1, Term: 1, LogIndex: acked})
		}
		for _, m := range r.Take().Send {
			if m.To == 3 {
				step3(m)
			} else if m.Kind == MsgAppend {
				r.Step(now, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 1, LogIndex: m.LogIndex + uint64(len(m.Entries))})
			} else {
				r.Step(now, Message{Kind: MsgHeartbeatReply, From: 2, To: 1, Term: 1, Round: m.Round})
			}
		}
	}
	qt.Check(t, most <= 32_000, qt.IsTrue, qt.Commentf("%d bytes were under way at once", most))
	qt.Check(t, r.LastIndex()-acked < 20, qt.IsTrue, qt.Commentf("replica 3 has %d of %d entries", acked, r.LastIndex()))
}

// An entry larger than what may be under way still goes out, alone.
func TestLargeEntryIsSentAlone(t *testing.T) {
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

// The answers of a replica wait behind the work of a busy leader. Taken for a loss, a third
// of a second without one made the leader send most of a backlog more than once.
func TestLateAnswersDoNotMakeTheLeaderSendTwice(t *testing.T) {
	const step, answerAfter = 20 * time.Millisecond, 400 * time.Millisecond
	cfg := Config{
		ID: 1, ElectionTimeout: 900 * time.Millisecond, HeartbeatInterval: 150 * time.Millisecond,
		MaxBatchBytes: 8000, MaxInFlightBytes: 32_000,
	}
	r, now := newTestLeader(t, cfg, time.Unix(1000, 0))
	// One delivery is under way to replica 3 at a time; it takes all that waits.
	var waiting, answers []Message
	var answeredAt time.Time
	proposed, sent := 0, 0
	for i := range 1500 {
		now = now.Add(step)
		if i < 500 {
			r.Propose(now, [][]byte{make([]byte, 1000)})
			proposed += 1000
		}
		r.Tick(now)
		if !now.Before(answeredAt) {
			for _, m := range answers {
				r.Step(now, m)
			}
			answers, waiting, answeredAt = waiting, nil, now.Add(answerAfter)
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
				waiting = append(waiting, reply)
			}
		}
	}
	qt.Check(t, r.Peers()[1].Match, qt.Equals, r.LastIndex())
	qt.Check(t, sent <= proposed+proposed/10, qt.IsTrue, qt.Commentf("%d bytes were sent for %d", sent, proposed))
}

func TestUndeliveredEntriesAreSentAgainWithTheNextHeartbeat(t *testing.T) {
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
	r.Undelivered(3)
	now = now.Add(150 * time.Millisecond)
	r.Step(now, Message{Kind: MsgHeartbeatReply, From: 3, To: 1, Term: 1, Round: r.round, Hint: index - 1})
	var again []uint64
	for _, m := range r.Take().Send {
		if m.To == 3 && m.Kind == MsgAppend {
			again = append(again, m.LogIndex+1)
		}
	}
	qt.Check(t, again, qt.DeepEquals, []uint64{index})
}

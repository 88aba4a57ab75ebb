package tbconsensus

import "time"

// incomingSnapshot assembles the chunks of a snapshot being received.
type incomingSnapshot struct {
	meta         SnapshotMeta
	receivedData []byte
}

// Compact replaces the log prefix by s. It ignores a snapshot beyond lastDeliveredIndex.
func (r *Replica) Compact(s Snapshot) {
	if s.Meta.Index > r.lastDeliveredIndex {
		return
	}
	r.log.compact(s)
}

// SnapshotMetaAt returns the metadata of a snapshot of the state after the entry at index. That entry
// must be in the log and have been passed to the caller.
func (r *Replica) SnapshotMetaAt(index uint64) SnapshotMeta {
	return SnapshotMeta{Index: index, Term: r.log.term(index), Membership: r.membershipAt(index)}
}

// membershipAt returns the newest membership in the log at or before index.
func (r *Replica) membershipAt(index uint64) Membership {
	newest := r.log.snapshot.Meta.Membership
	for _, e := range r.log.entries {
		if e.Index > index {
			break
		}
		if e.Kind == EntryMembership {
			newest = e.Membership
		}
	}
	return newest
}

func (r *Replica) startSendingSnapshot(now time.Time, id ReplicaID, p *peer) {
	p.sendingSnapshot = true
	p.snapshotMeta = r.log.snapshot.Meta
	p.snapshotData = r.log.snapshot.Data
	p.snapshotOffset = 0
	p.lastSentAt = time.Time{}
	r.sendSnapshotChunk(now, id, p)
}

// sendSnapshotChunk sends the next chunk of the snapshot. It sends nothing until the reply to the
// previous chunk has arrived or is overdue.
func (r *Replica) sendSnapshotChunk(now time.Time, id ReplicaID, p *peer) {
	if now.Sub(p.lastSentAt) < r.retransmitTimeout() {
		return
	}
	end := min(p.snapshotOffset+uint64(r.cfg.ChunkBytes), uint64(len(p.snapshotData)))
	r.send(Message{
		Kind: MsgSnapshot, To: id,
		LogIndex: p.snapshotMeta.Index, LogTerm: p.snapshotMeta.Term,
		Membership: p.snapshotMeta.Membership,
		Chunk:      p.snapshotData[p.snapshotOffset:end], Offset: p.snapshotOffset,
		Last: end == uint64(len(p.snapshotData)),
	})
	p.lastSentAt = now
}

func (r *Replica) onSnapshot(now time.Time, m Message) {
	r.followLeader(now, m.From)
	reply := Message{Kind: MsgSnapshotReply, To: m.From, LogIndex: m.LogIndex}
	if m.LogIndex <= r.commitIndex {
		reply.Last = true
		reply.Hint = r.commitIndex
		r.sendAfterSave(reply)
		return
	}
	in := &r.incomingSnapshot
	if m.Offset == 0 {
		*in = incomingSnapshot{meta: SnapshotMeta{Index: m.LogIndex, Term: m.LogTerm, Membership: m.Membership}}
	}
	if in.meta.Index == m.LogIndex && in.meta.Term == m.LogTerm && m.Offset == uint64(len(in.receivedData)) {
		in.receivedData = append(in.receivedData, m.Chunk...)
		if m.Last {
			r.installSnapshot(Snapshot{Meta: in.meta, Data: in.receivedData})
			*in = incomingSnapshot{}
			reply.Last = true
			reply.Hint = r.commitIndex
			r.sendAfterSave(reply)
			return
		}
	}
	reply.Offset = uint64(len(in.receivedData))
	r.sendAfterSave(reply)
}

func (r *Replica) installSnapshot(s Snapshot) {
	r.log.compact(s)
	r.persistedIndex = r.log.lastIndex()
	r.commitIndex = s.Meta.Index
	r.lastDeliveredIndex = s.Meta.Index
	r.membership = s.Meta.Membership
	r.membershipIndex = s.Meta.Index
	r.adoptMemberships(r.log.entries)
	r.uninitialized = false
	r.out.InstallSnapshot = &s
	r.out.Entries = nil
	r.out.Committed = nil
	if len(r.log.entries) > 0 {
		r.out.Entries = r.log.entries
	}
}

func (r *Replica) onSnapshotReply(now time.Time, m Message) {
	p := r.peerByID[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyAt = now
	if !p.sendingSnapshot || m.LogIndex != p.snapshotMeta.Index {
		return
	}
	if !m.Last {
		p.snapshotOffset = min(m.Offset, uint64(len(p.snapshotData)))
		p.lastSentAt = time.Time{}
		r.sendSnapshotChunk(now, m.From, p)
		return
	}
	p.sendingSnapshot = false
	p.snapshotData = nil
	p.matchIndex = max(p.matchIndex, m.LogIndex)
	p.nextIndex = p.matchIndex + 1
	p.hasInFlight = false
	r.advanceCommit(now)
	r.sendAppend(now, m.From, p)
}

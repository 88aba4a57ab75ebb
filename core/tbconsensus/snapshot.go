package tbconsensus

import "time"

// incomingSnapshot collects the chunks of a snapshot that is being received.
type incomingSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// Compact replaces the log prefix by a snapshot of the applied state.
func (r *Replica) Compact(s Snapshot) {
	if s.Meta.Index > r.applied {
		return
	}
	r.log.compact(s)
}

// SnapshotMetaAt describes a snapshot of the state after index, which must be applied.
func (r *Replica) SnapshotMetaAt(index uint64) SnapshotMeta {
	return SnapshotMeta{Index: index, Term: r.log.term(index), Membership: r.membershipAt(index)}
}

// membershipAt returns the newest membership at or below index.
func (r *Replica) membershipAt(index uint64) Membership {
	found := r.log.snapshot.Meta.Membership
	for _, e := range r.log.entries {
		if e.Index > index {
			break
		}
		if e.Kind == EntryMembership {
			found = e.Membership
		}
	}
	return found
}

func (r *Replica) startSnapshot(now time.Time, id ReplicaID, p *peer) {
	p.snapshotting = true
	p.snapshotMeta = r.log.snapshot.Meta
	p.snapshotData = r.log.snapshot.Data
	p.offset = 0
	p.sentAt = time.Time{}
	r.sendChunk(now, id, p)
}

// sendChunk sends the next chunk once the one before is acknowledged or overdue.
func (r *Replica) sendChunk(now time.Time, id ReplicaID, p *peer) {
	if now.Sub(p.sentAt) < r.resendAfter() {
		return
	}
	end := min(p.offset+uint64(r.cfg.ChunkBytes), uint64(len(p.snapshotData)))
	r.send(Message{
		Kind: MsgSnapshot, To: id,
		LogIndex: p.snapshotMeta.Index, LogTerm: p.snapshotMeta.Term,
		Membership: p.snapshotMeta.Membership,
		Chunk:      p.snapshotData[p.offset:end], Offset: p.offset,
		Last: end == uint64(len(p.snapshotData)),
	})
	p.sentAt = now
}

func (r *Replica) onSnapshot(now time.Time, m Message) {
	r.followLeader(now, m.From)
	reply := Message{Kind: MsgSnapshotReply, To: m.From, LogIndex: m.LogIndex}
	if m.LogIndex <= r.commit {
		reply.Last = true
		reply.Hint = r.commit
		r.sendAfterSave(reply)
		return
	}
	in := &r.incoming
	if m.Offset == 0 {
		*in = incomingSnapshot{meta: SnapshotMeta{Index: m.LogIndex, Term: m.LogTerm, Membership: m.Membership}}
	}
	if in.meta.Index == m.LogIndex && in.meta.Term == m.LogTerm && m.Offset == uint64(len(in.data)) {
		in.data = append(in.data, m.Chunk...)
		if m.Last {
			r.install(Snapshot{Meta: in.meta, Data: in.data})
			*in = incomingSnapshot{}
			reply.Last = true
			reply.Hint = r.commit
			r.sendAfterSave(reply)
			return
		}
	}
	reply.Offset = uint64(len(in.data))
	r.sendAfterSave(reply)
}

func (r *Replica) install(s Snapshot) {
	r.log.compact(s)
	r.saved = r.log.lastIndex()
	r.commit = s.Meta.Index
	r.applied = s.Meta.Index
	r.membership = s.Meta.Membership
	r.membershipIndex = s.Meta.Index
	r.adoptMemberships(r.log.entries)
	r.fresh = false
	r.out.InstallSnapshot = &s
	r.out.Entries = nil
	r.out.Committed = nil
	if len(r.log.entries) > 0 {
		r.out.Entries = r.log.entries
	}
}

func (r *Replica) onSnapshotReply(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active = now
	if !p.snapshotting || m.LogIndex != p.snapshotMeta.Index {
		return
	}
	if !m.Last {
		p.offset = min(m.Offset, uint64(len(p.snapshotData)))
		p.sentAt = time.Time{}
		r.sendChunk(now, m.From, p)
		return
	}
	p.snapshotting = false
	p.snapshotData = nil
	p.match = max(p.match, m.LogIndex)
	p.next = p.match + 1
	p.inFlight = false
	r.advanceCommit(now)
	r.sendAppend(now, m.From, p)
}

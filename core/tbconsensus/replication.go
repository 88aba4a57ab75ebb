package tbconsensus

import (
	"slices"
	"time"
)

// retransmitTimeout is the time without a reply after which entries are sent again.
//
// A long timeout is enough because ReportUndelivered reports most losses earlier. With a short one, a
// busy leader at which replies queue up would send everything twice.
func (r *Replica) retransmitTimeout() time.Duration { return r.cfg.ElectionTimeout }

// ReportUndelivered reports that entries or a snapshot chunk may not have reached the replica id.
// The next heartbeat, reply or proposal causes them to be sent again; see sendAppend.
func (r *Replica) ReportUndelivered(id ReplicaID) {
	p := r.peerByID[id]
	if r.role != Leader || p == nil {
		return
	}
	p.lastSentAt = time.Time{}
	if p.hasInFlight {
		p.hasInFlight = false
		p.nextIndex = p.matchIndex + 1
	}
}

func (r *Replica) tickLeader(now time.Time) {
	if !now.Before(r.electionDeadline) {
		switch {
		case r.transferring:
			r.becomeFollower(now, r.hardState.Term, CauseTransferTimeout, 0)
			return
		case r.hasActiveQuorum(now):
			r.electionDeadline = now.Add(r.cfg.ElectionTimeout)
		case r.shouldDeferStepDown(now):
			r.electionDeadline = r.catchUpDeadline()
		default:
			r.becomeFollower(now, r.hardState.Term, CauseQuorumLost, 0)
			return
		}
	}
	if !now.Before(r.nextHeartbeatAt) {
		r.sendHeartbeats(now)
		r.broadcastAppend(now)
	}
}

// hasActiveQuorum reports whether a quorum, including the leader, replied within the election timeout.
func (r *Replica) hasActiveQuorum(now time.Time) bool {
	activeVoters := 0
	for _, m := range r.membership.Members {
		if m.Learner {
			continue
		}
		p := r.peerByID[m.ID]
		if m.ID == r.cfg.ID || p != nil && now.Sub(p.lastReplyAt) < r.cfg.ElectionTimeout {
			activeVoters++
		}
	}
	return activeVoters >= r.quorumSize()
}

func (r *Replica) sendHeartbeats(now time.Time) {
	r.nextHeartbeatAt = now.Add(r.cfg.HeartbeatInterval)
	r.heartbeatRound++
	r.sentAtByRound[r.heartbeatRound] = now
	for _, m := range r.membership.Members {
		p := r.peerByID[m.ID]
		if p == nil {
			continue
		}
		// Entries after matchIndex may differ from the leader's, so the follower must not commit them yet.
		commitIndex := min(p.matchIndex, r.commitIndex)
		r.send(Message{Kind: MsgHeartbeat, To: m.ID, Commit: commitIndex, Round: r.heartbeatRound})
	}
}

func (r *Replica) onHeartbeat(now time.Time, m Message) {
	r.followLeader(now, m.From)
	if m.Commit <= r.log.lastIndex() {
		r.setCommit(m.Commit)
	}
	r.sendAfterSave(Message{Kind: MsgHeartbeatReply, To: m.From, Round: m.Round, Hint: r.log.lastIndex()})
}

func (r *Replica) onHeartbeatReply(now time.Time, m Message) {
	p := r.peerByID[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyAt = now
	if m.Round > p.ackedRound {
		p.ackedRound = m.Round
	}
	r.renewLease()
	if last := r.log.lastIndex(); !p.hasInFlight && p.matchIndex < last && p.nextIndex > last {
		// The peer lacks entries, but none are in flight to it and none would be sent. An example is a new
		// learner that was added while nothing was proposed.
		p.nextIndex = max(p.matchIndex, min(m.Hint, last)) + 1
	}
	r.resumeAppend(now, m.From, p)
}

// resumeAppend sends further entries that p lacks. If a reply is overdue, it first goes back to the entry
// after the last acknowledged one.
func (r *Replica) resumeAppend(now time.Time, id ReplicaID, p *peer) {
	isReplyOverdue := p.hasInFlight && now.Sub(p.lastSentAt) >= r.retransmitTimeout()
	if isReplyOverdue {
		p.hasInFlight = false
		p.nextIndex = p.matchIndex + 1
	}
	r.sendAppend(now, id, p)
}

// renewLease moves the start of the lease to the newest heartbeat that a quorum acknowledged.
func (r *Replica) renewLease() {
	ackedRounds := []uint64{r.heartbeatRound}
	if !r.isVoter(r.cfg.ID) {
		ackedRounds = nil
	}
	for _, m := range r.membership.Members {
		if p := r.peerByID[m.ID]; p != nil && !m.Learner {
			ackedRounds = append(ackedRounds, p.ackedRound)
		}
	}
	slices.Sort(ackedRounds)
	if len(ackedRounds) < r.quorumSize() {
		return
	}
	quorumRound := ackedRounds[len(ackedRounds)-r.quorumSize()]
	if at, ok := r.sentAtByRound[quorumRound]; ok {
		r.leaseStartAt = at
	}
	for round := range r.sentAtByRound {
		if round <= quorumRound {
			delete(r.sentAtByRound, round)
		}
	}
}

func (r *Replica) broadcastAppend(now time.Time) {
	for _, m := range r.membership.Members {
		if p := r.peerByID[m.ID]; p != nil {
			r.sendAppend(now, m.ID, p)
		}
	}
	// In a group with one voter, no reply advances the commit index.
	if r.voterCount() == 1 {
		r.advanceCommit(now)
	}
}

// sendAppend sends the entries that p lacks. Batches are pipelined without waiting for replies,
// up to the limit on data in flight.
//
// Without the check of lastReplyAt, all missing entries would be sent to a frozen peer over and over. A
// peer that has not replied for an election timeout therefore receives only heartbeats. The peer's next
// reply resumes replication.
func (r *Replica) sendAppend(now time.Time, id ReplicaID, p *peer) {
	if now.Sub(p.lastReplyAt) > r.cfg.ElectionTimeout {
		return
	}
	if p.sendingSnapshot {
		r.sendSnapshotChunk(now, id, p)
		return
	}
	if p.hasInFlight && now.Sub(p.lastSentAt) >= r.retransmitTimeout() {
		p.hasInFlight = false
		p.nextIndex = p.matchIndex + 1
	}
	if p.nextIndex <= r.log.snapshot.Meta.Index {
		r.startSendingSnapshot(now, id, p)
		return
	}
	entries := r.log.entriesUpToSize(p.nextIndex, r.batchBudgetBytes(p))
	if len(entries) == 0 {
		return
	}
	if !p.hasInFlight {
		p.firstInFlightIndex = p.nextIndex
	}
	prev := p.nextIndex - 1
	r.send(Message{
		Kind: MsgAppend, To: id,
		LogIndex: prev, LogTerm: r.log.term(prev),
		Entries: entries, Commit: r.commitIndex,
	})
	p.nextIndex = entries[len(entries)-1].Index + 1
	p.hasInFlight = true
	p.lastSentAt = now
}

// batchBudgetBytes returns how many bytes of entry data may be sent to p now.
func (r *Replica) batchBudgetBytes(p *peer) int {
	if r.cfg.MaxInFlightBytes == 0 || !p.hasInFlight {
		return r.cfg.MaxBatchBytes
	}
	inFlightBytes := r.log.dataSize(max(p.firstInFlightIndex, p.matchIndex+1), p.nextIndex-1)
	return min(r.cfg.MaxBatchBytes, r.cfg.MaxInFlightBytes-inFlightBytes)
}

func (r *Replica) followLeader(now time.Time, leader ReplicaID) {
	r.setRole(Follower, CauseLeaderContact, leader)
	r.leaderID = leader
	r.lastLeaderContactAt = now
	r.resetElectionTimer(now)
}

func (r *Replica) onAppend(now time.Time, m Message) {
	r.followLeader(now, m.From)
	reply := Message{Kind: MsgAppendReply, To: m.From}
	if m.LogIndex < r.commitIndex {
		// Entries up to the commit index cannot change; only later ones can be new.
		m = skipCommitted(m, r.commitIndex, r.log.term(r.commitIndex))
	}
	if m.LogIndex > r.log.lastIndex() || r.log.term(m.LogIndex) != m.LogTerm {
		reply.Reject = true
		reply.Hint = min(r.log.lastIndex(), m.LogIndex-1)
		reply.Hint = max(reply.Hint, r.commitIndex)
		r.sendAfterSave(reply)
		return
	}
	r.appendFromLeader(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	r.setCommit(min(m.Commit, last))
	reply.LogIndex = last
	r.sendAfterSave(reply)
}

// skipCommitted removes the entries at or below commitIndex from an append message. It sets LogIndex to
// commitIndex, even if the last entry of the message is before commitIndex.
func skipCommitted(m Message, commitIndex, commitTerm uint64) Message {
	skippedCount := min(commitIndex-m.LogIndex, uint64(len(m.Entries)))
	m.Entries = m.Entries[skippedCount:]
	m.LogIndex += skippedCount
	m.LogTerm = commitTerm
	if m.LogIndex < commitIndex {
		m.LogIndex = commitIndex
	}
	return m
}

func (r *Replica) appendFromLeader(entries []Entry) {
	for i, e := range entries {
		if r.log.term(e.Index) == e.Term && e.Index <= r.log.lastIndex() {
			continue
		}
		if e.Index <= r.log.lastIndex() {
			r.log.truncate(e.Index)
			r.persistedIndex = min(r.persistedIndex, e.Index-1)
			r.revertMemberships(e.Index)
		}
		newEntries := entries[i:]
		r.log.append(newEntries)
		r.adoptMemberships(newEntries)
		r.out.Entries = mergeEntries(r.out.Entries, newEntries)
		r.uninitialized = false
		return
	}
}

// mergeEntries appends newer to the entries that are pending to be saved. It first drops the pending
// entries from the index of the first newer one on.
func mergeEntries(pending, newer []Entry) []Entry {
	for len(pending) > 0 && pending[len(pending)-1].Index >= newer[0].Index {
		pending = pending[:len(pending)-1]
	}
	return append(slices.Clip(pending), newer...)
}

func (r *Replica) onAppendReply(now time.Time, m Message) {
	p := r.peerByID[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastReplyAt = now
	if m.Reject {
		p.hasInFlight = false
		p.nextIndex = min(m.Hint, r.log.lastIndex()) + 1
		if p.nextIndex <= p.matchIndex {
			p.nextIndex = p.matchIndex + 1
		}
		r.sendAppend(now, m.From, p)
		return
	}
	if m.LogIndex > p.matchIndex {
		p.matchIndex = m.LogIndex
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	p.hasInFlight = p.nextIndex > p.matchIndex+1
	r.advanceCommit(now)
	r.sendAppend(now, m.From, p)
}

// advanceCommit commits all entries up to the highest index that a quorum has persisted. It does so only
// if the entry at that index is of the current term.
func (r *Replica) advanceCommit(now time.Time) {
	var persistedIndexes []uint64
	for _, m := range r.membership.Members {
		switch {
		case m.Learner:
		case m.ID == r.cfg.ID:
			persistedIndexes = append(persistedIndexes, r.persistedIndex)
		case r.peerByID[m.ID] != nil:
			persistedIndexes = append(persistedIndexes, r.peerByID[m.ID].matchIndex)
		default:
			persistedIndexes = append(persistedIndexes, 0)
		}
	}
	slices.Sort(persistedIndexes)
	if len(persistedIndexes) == 0 {
		return
	}
	index := persistedIndexes[len(persistedIndexes)-r.quorumSize()]
	if index <= r.commitIndex || r.log.term(index) != r.hardState.Term {
		return
	}
	r.setCommit(index)
	if index == r.log.lastIndex() {
		// Heartbeats carry the new commit index to the followers without delay. While further entries are in
		// flight, their commit follows soon and does that for both.
		r.sendHeartbeats(now)
	}
}

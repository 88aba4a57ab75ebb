package tbconsensus

import (
	"slices"
	"time"
)

// resendAfter bounds the wait for an answer before entries are sent again.
//
// Undelivered reports what was lost earlier; an answer may also wait behind the work of a
// busy leader, which would then send everything twice.
func (r *Replica) resendAfter() time.Duration { return r.cfg.ElectionTimeout }

// Undelivered tells that entries or a part of a snapshot did not reach a replica for sure;
// they are sent again with the next occasion.
func (r *Replica) Undelivered(id ReplicaID) {
	p := r.peers[id]
	if r.role != Leader || p == nil {
		return
	}
	p.sentAt = time.Time{}
	if p.inFlight {
		p.inFlight = false
		p.next = p.match + 1
	}
}

func (r *Replica) tickLeader(now time.Time) {
	if !now.Before(r.electionAt) {
		switch {
		case r.transferring:
			r.becomeFollower(now, r.hard.Term, CauseTransfer, 0)
			return
		case r.quorumActive(now):
			r.electionAt = now.Add(r.cfg.ElectionTimeout)
		case r.waitsForQuorum(now):
			r.electionAt = r.caughtUpAt()
		default:
			r.becomeFollower(now, r.hard.Term, CauseQuorumSilent, 0)
			return
		}
	}
	if !now.Before(r.heartbeatAt) {
		r.sendHeartbeats(now)
		r.broadcastAppend(now)
	}
}

// quorumActive reports whether a quorum answered within the election timeout.
func (r *Replica) quorumActive(now time.Time) bool {
	active := 0
	for _, m := range r.membership.Members {
		if m.Learner {
			continue
		}
		p := r.peers[m.ID]
		if m.ID == r.cfg.ID || p != nil && now.Sub(p.active) < r.cfg.ElectionTimeout {
			active++
		}
	}
	return active >= r.quorum()
}

func (r *Replica) sendHeartbeats(now time.Time) {
	r.heartbeatAt = now.Add(r.cfg.HeartbeatInterval)
	r.round++
	r.roundSent[r.round] = now
	for _, m := range r.membership.Members {
		p := r.peers[m.ID]
		if p == nil {
			continue
		}
		// A follower must not commit entries that it may not share with the leader.
		commit := min(p.match, r.commit)
		r.send(Message{Kind: MsgHeartbeat, To: m.ID, Commit: commit, Round: r.round})
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
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active = now
	if m.Round > p.ackedRound {
		p.ackedRound = m.Round
	}
	r.confirmRounds()
	if last := r.log.lastIndex(); !p.inFlight && p.match < last && p.next > last {
		// Nothing is under way to a peer that lacks entries: a new learner, for example,
		// that joined while nothing was proposed.
		p.next = max(p.match, min(m.Hint, last)) + 1
	}
	r.resumeSending(now, m.From, p)
}

// resumeSending sends again when an answer is overdue.
func (r *Replica) resumeSending(now time.Time, id ReplicaID, p *peer) {
	overdue := p.inFlight && now.Sub(p.sentAt) >= r.resendAfter()
	if overdue {
		p.inFlight = false
		p.next = p.match + 1
	}
	r.sendAppend(now, id, p)
}

// confirmRounds moves confirmedAt to the newest heartbeat that a quorum answered.
func (r *Replica) confirmRounds() {
	rounds := []uint64{r.round}
	if !r.isVoter(r.cfg.ID) {
		rounds = nil
	}
	for _, m := range r.membership.Members {
		if p := r.peers[m.ID]; p != nil && !m.Learner {
			rounds = append(rounds, p.ackedRound)
		}
	}
	slices.Sort(rounds)
	if len(rounds) < r.quorum() {
		return
	}
	confirmed := rounds[len(rounds)-r.quorum()]
	if at, ok := r.roundSent[confirmed]; ok {
		r.confirmedAt = at
	}
	for round := range r.roundSent {
		if round <= confirmed {
			delete(r.roundSent, round)
		}
	}
}

func (r *Replica) broadcastAppend(now time.Time) {
	for _, m := range r.membership.Members {
		if p := r.peers[m.ID]; p != nil {
			r.sendAppend(now, m.ID, p)
		}
	}
	if r.voterCount() == 1 {
		r.advanceCommit(now)
	}
}

// sendAppend sends what p lacks; batches follow each other without waiting for answers,
// up to a bound on what is under way.
//
// A peer that has been silent for an election timeout gets heartbeats only: its answer
// to one starts the sending again. Otherwise the whole backlog would be sent to a
// frozen peer again and again.
func (r *Replica) sendAppend(now time.Time, id ReplicaID, p *peer) {
	if now.Sub(p.active) > r.cfg.ElectionTimeout {
		return
	}
	if p.snapshotting {
		r.sendChunk(now, id, p)
		return
	}
	if p.inFlight && now.Sub(p.sentAt) >= r.resendAfter() {
		p.inFlight = false
		p.next = p.match + 1
	}
	if p.next <= r.log.snapshot.Meta.Index {
		r.startSnapshot(now, id, p)
		return
	}
	entries := r.log.batch(p.next, r.batchRoom(p))
	if len(entries) == 0 {
		return
	}
	if !p.inFlight {
		p.flightFrom = p.next
	}
	prev := p.next - 1
	r.send(Message{
		Kind: MsgAppend, To: id,
		LogIndex: prev, LogTerm: r.log.term(prev),
		Entries: entries, Commit: r.commit,
	})
	p.next = entries[len(entries)-1].Index + 1
	p.inFlight = true
	p.sentAt = now
}

// batchRoom returns how many bytes may be sent to p now.
func (r *Replica) batchRoom(p *peer) int {
	if r.cfg.MaxInFlightBytes == 0 || !p.inFlight {
		return r.cfg.MaxBatchBytes
	}
	underWay := r.log.bytes(max(p.flightFrom, p.match+1), p.next-1)
	return min(r.cfg.MaxBatchBytes, r.cfg.MaxInFlightBytes-underWay)
}

func (r *Replica) followLeader(now time.Time, leader ReplicaID) {
	r.setRole(Follower, CauseLeader, leader)
	r.leader = leader
	r.heardLeader = now
	r.resetElectionTimer(now)
}

func (r *Replica) onAppend(now time.Time, m Message) {
	r.followLeader(now, m.From)
	reply := Message{Kind: MsgAppendReply, To: m.From}
	if m.LogIndex < r.commit {
		// Entries up to the commit index are settled; only later ones can be new.
		m = skipCommitted(m, r.commit, r.log.term(r.commit))
	}
	if m.LogIndex > r.log.lastIndex() || r.log.term(m.LogIndex) != m.LogTerm {
		reply.Reject = true
		reply.Hint = min(r.log.lastIndex(), m.LogIndex-1)
		reply.Hint = max(reply.Hint, r.commit)
		r.sendAfterSave(reply)
		return
	}
	r.appendFromLeader(m.Entries)
	last := m.LogIndex + uint64(len(m.Entries))
	r.setCommit(min(m.Commit, last))
	reply.LogIndex = last
	r.sendAfterSave(reply)
}

// skipCommitted drops the entries at or below commit from an append message.
func skipCommitted(m Message, commit, commitTerm uint64) Message {
	skip := min(commit-m.LogIndex, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.LogIndex += skip
	m.LogTerm = commitTerm
	if m.LogIndex < commit {
		m.LogIndex = commit
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
			r.saved = min(r.saved, e.Index-1)
			r.dropMembershipsFrom(e.Index)
		}
		rest := entries[i:]
		r.log.append(rest)
		r.adoptMemberships(rest)
		r.out.Entries = mergeEntries(r.out.Entries, rest)
		r.fresh = false
		return
	}
}

// mergeEntries puts newer entries over those of the same indexes that wait to be saved.
func mergeEntries(waiting, newer []Entry) []Entry {
	for len(waiting) > 0 && waiting[len(waiting)-1].Index >= newer[0].Index {
		waiting = waiting[:len(waiting)-1]
	}
	return append(slices.Clip(waiting), newer...)
}

func (r *Replica) onAppendReply(now time.Time, m Message) {
	p := r.peers[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.active = now
	if m.Reject {
		p.inFlight = false
		p.next = min(m.Hint, r.log.lastIndex()) + 1
		if p.next <= p.match {
			p.next = p.match + 1
		}
		r.sendAppend(now, m.From, p)
		return
	}
	if m.LogIndex > p.match {
		p.match = m.LogIndex
	}
	p.next = max(p.next, p.match+1)
	p.inFlight = p.next > p.match+1
	r.advanceCommit(now)
	r.sendAppend(now, m.From, p)
}

// advanceCommit commits what a quorum has synced, but only up to an entry of this term.
func (r *Replica) advanceCommit(now time.Time) {
	var matches []uint64
	for _, m := range r.membership.Members {
		switch {
		case m.Learner:
		case m.ID == r.cfg.ID:
			matches = append(matches, r.saved)
		case r.peers[m.ID] != nil:
			matches = append(matches, r.peers[m.ID].match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	if len(matches) == 0 {
		return
	}
	index := matches[len(matches)-r.quorum()]
	if index <= r.commit || r.log.term(index) != r.hard.Term {
		return
	}
	r.setCommit(index)
	// Followers learn the new commit index at once, so that all apply it soon.
	r.sendHeartbeats(now)
}

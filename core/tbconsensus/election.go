package tbconsensus

import "time"

// startPreVote asks whether an election could be won, without raising the term.
//
// A replica that was cut off for long would otherwise come back with a high
// term and depose a leader that serves well.
func (r *Replica) startPreVote(now time.Time) {
	r.setRole(PreCandidate, CauseNoLeader, 0)
	r.leader = 0
	r.votes = map[ReplicaID]bool{r.cfg.ID: true}
	if r.votesWin() {
		r.startElection(now, CauseVotes, 0)
		return
	}
	r.askForVotes(MsgPreVote, r.hard.Term+1)
}

func (r *Replica) startElection(now time.Time, cause Cause, by ReplicaID) {
	r.setHardState(HardState{Term: r.hard.Term + 1, Vote: r.cfg.ID})
	r.setRole(Candidate, cause, by)
	r.leader = 0
	r.votes = map[ReplicaID]bool{r.cfg.ID: true}
	r.resetElectionTimer(now)
	if r.votesWin() {
		r.becomeLeader(now, 0)
		return
	}
	r.askForVotes(MsgVote, r.hard.Term)
}

// askForVotes sends after the save: a vote for itself counts only once it is synced.
func (r *Replica) askForVotes(kind MessageKind, term uint64) {
	for _, m := range r.membership.Members {
		if m.Learner || m.ID == r.cfg.ID {
			continue
		}
		r.sendAfterSave(Message{
			Kind: kind, To: m.ID, Term: term,
			LogIndex: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
			Round: r.electionRound(),
		})
	}
}

// electionRound marks a campaign that a leader transfer allowed.
func (r *Replica) electionRound() uint64 {
	if r.transferring {
		return 1
	}
	return 0
}

// votesWin counts the votes; the first leader of a new group needs all of them.
//
// With an empty log a quorum is not enough: two replicas of three that lost
// their disks would elect a leader without the data that the third still has.
func (r *Replica) votesWin() bool {
	granted := 0
	for _, m := range r.membership.Members {
		if !m.Learner && r.votes[m.ID] {
			granted++
		}
	}
	if r.log.lastIndex() == 0 {
		return granted == r.voterCount()
	}
	return granted >= r.quorum()
}

func (r *Replica) mayVote(now time.Time, m Message) bool {
	leaderAlive := !r.heardLeader.IsZero() && now.Sub(r.heardLeader) < r.cfg.ElectionTimeout || r.waitsForLeader(now)
	if r.role == Leader {
		leaderAlive = r.Confirmed(now)
	}
	allowedByTransfer := m.Round == 1 && m.Kind == MsgVote
	if leaderAlive && !allowedByTransfer {
		return false
	}
	return r.candidateUpToDate(m)
}

func (r *Replica) candidateUpToDate(m Message) bool {
	if m.LogIndex == 0 && r.log.lastIndex() > 0 {
		return false
	}
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.LogIndex >= r.log.lastIndex()
}

func (r *Replica) onPreVote(now time.Time, m Message) {
	grant := m.Term > r.hard.Term && r.mayVote(now, m)
	if grant {
		r.sendAfterSave(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		return
	}
	r.sendAfterSave(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
}

func (r *Replica) onPreVoteReply(now time.Time, m Message) {
	if r.role != PreCandidate || m.Reject || m.Term != r.hard.Term+1 {
		return
	}
	r.votes[m.From] = true
	if r.votesWin() {
		r.startElection(now, CauseVotes, m.From)
	}
}

func (r *Replica) onVote(now time.Time, m Message) {
	free := r.hard.Vote == 0 || r.hard.Vote == m.From
	if !free || r.role == Leader || !r.mayVote(now, m) {
		r.sendAfterSave(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	if r.hard.Vote == 0 {
		r.setHardState(HardState{Term: r.hard.Term, Vote: m.From})
	}
	r.resetElectionTimer(now)
	r.sendAfterSave(Message{Kind: MsgVoteReply, To: m.From})
}

func (r *Replica) onVoteReply(now time.Time, m Message) {
	if r.role != Candidate || m.Reject {
		return
	}
	r.votes[m.From] = true
	if r.votesWin() {
		r.becomeLeader(now, m.From)
	}
}

func (r *Replica) becomeLeader(now time.Time, by ReplicaID) {
	r.setRole(Leader, CauseVotes, by)
	r.leader = r.cfg.ID
	r.transferring = false
	r.confirmedAt = time.Time{}
	r.roundSent = map[uint64]time.Time{}
	r.peers = map[ReplicaID]*peer{}
	r.syncPeers(now)
	r.electedAt = now
	r.electionAt = now.Add(r.cfg.ElectionTimeout)
	r.appendOwn(now, []Entry{{Kind: EntryNoop}})
	r.sendHeartbeats(now)
}

// Transfer hands leadership to the most advanced voter and reports whether one was asked.
//
// The leader stops proposing and confirming for good in this term: the asked
// voter may win at any later moment without waiting for an election timeout.
func (r *Replica) Transfer(now time.Time) bool {
	if r.role != Leader || r.transferring {
		return false
	}
	var best ReplicaID
	for _, m := range r.membership.Members {
		p := r.peers[m.ID]
		alive := p != nil && now.Sub(p.active) < r.cfg.ElectionTimeout
		if m.Learner || !alive || p.match < r.commit {
			continue
		}
		if best == 0 || p.match > r.peers[best].match {
			best = m.ID
		}
	}
	if best == 0 {
		return false
	}
	r.transferring = true
	r.electionAt = now.Add(r.cfg.ElectionTimeout)
	r.send(Message{Kind: MsgTimeoutNow, To: best})
	return true
}

func (r *Replica) onTimeoutNow(now time.Time, m Message) {
	if r.role == Leader || m.From != r.leader || !r.isVoter(r.cfg.ID) {
		return
	}
	r.transferring = true
	r.startElection(now, CauseAsked, m.From)
	if r.role != Leader {
		r.transferring = false
	}
}

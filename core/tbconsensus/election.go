package tbconsensus

import "time"

// startPreVote asks the voters whether they would grant a vote, without incrementing the term.
//
// Without pre-vote, a replica that was partitioned for long would return with a
// higher term, and that term would depose a working leader.
func (r *Replica) startPreVote(now time.Time) {
	r.setRole(PreCandidate, CauseNoLeader, 0)
	r.leaderID = 0
	r.grantedVotes = map[ReplicaID]bool{r.cfg.ID: true}
	if r.hasEnoughVotes() {
		r.startElection(now, CauseVotes, 0)
		return
	}
	r.requestVotes(MsgPreVote, r.hardState.Term+1)
}

func (r *Replica) startElection(now time.Time, cause Cause, by ReplicaID) {
	r.setHardState(HardState{Term: r.hardState.Term + 1, Vote: r.cfg.ID})
	r.setRole(Candidate, cause, by)
	r.leaderID = 0
	r.grantedVotes = map[ReplicaID]bool{r.cfg.ID: true}
	r.resetElectionTimer(now)
	if r.hasEnoughVotes() {
		r.becomeLeader(now, 0)
		return
	}
	r.requestVotes(MsgVote, r.hardState.Term)
}

// requestVotes asks the other voters for their votes. The requests are sent after the save, so that
// replies arrive only once the candidate's vote for itself is synced to disk.
func (r *Replica) requestVotes(kind MessageKind, term uint64) {
	for _, m := range r.membership.Members {
		if m.Learner || m.ID == r.cfg.ID {
			continue
		}
		r.sendAfterSave(Message{
			Kind: kind, To: m.ID, Term: term,
			LogIndex: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
			Round: r.voteRequestRound(),
		})
	}
}

// voteRequestRound returns the Round of vote requests: 1 if a leader transfer started the election, else 0.
func (r *Replica) voteRequestRound() uint64 {
	if r.transferring {
		return 1
	}
	return 0
}

// hasEnoughVotes reports whether a quorum granted its votes or, if the log is empty, all voters did.
//
// With an empty log a quorum is not enough: two replicas of three that lost
// their disks would elect a leader that lacks the data of the third. It is enough if such replicas have new
// ids. One of the first replicas may then be lost before the first election.
func (r *Replica) hasEnoughVotes() bool {
	grantedCount := 0
	for _, m := range r.membership.Members {
		if !m.Learner && r.grantedVotes[m.ID] {
			grantedCount++
		}
	}
	if r.log.lastIndex() == 0 && !r.cfg.NewIDAfterDiskLoss {
		return grantedCount == r.voterCount()
	}
	return grantedCount >= r.quorumSize()
}

// canGrantVote reports whether the sender of m may get a vote. The sender's log must be up to date, and this
// replica must know of no live leader. A live leader does not matter if a leader transfer started the
// election.
func (r *Replica) canGrantVote(now time.Time, m Message) bool {
	isLeaderActive := !r.lastLeaderContactAt.IsZero() && now.Sub(r.lastLeaderContactAt) < r.cfg.ElectionTimeout || r.shouldDeferElection(now)
	if r.role == Leader {
		isLeaderActive = r.HoldsLease(now)
	}
	allowedByTransfer := m.Round == 1 && m.Kind == MsgVote
	if isLeaderActive && !allowedByTransfer {
		return false
	}
	return r.isCandidateUpToDate(m)
}

func (r *Replica) isCandidateUpToDate(m Message) bool {
	if m.LogIndex == 0 && r.log.lastIndex() > 0 {
		return false
	}
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.LogIndex >= r.log.lastIndex()
}

func (r *Replica) onPreVote(now time.Time, m Message) {
	grantsVote := m.Term > r.hardState.Term && r.canGrantVote(now, m)
	if grantsVote {
		r.sendAfterSave(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		return
	}
	r.sendAfterSave(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
}

func (r *Replica) onPreVoteReply(now time.Time, m Message) {
	if r.role != PreCandidate || m.Reject || m.Term != r.hardState.Term+1 {
		return
	}
	r.grantedVotes[m.From] = true
	if r.hasEnoughVotes() {
		r.startElection(now, CauseVotes, m.From)
	}
}

func (r *Replica) onVote(now time.Time, m Message) {
	isVoteAvailable := r.hardState.Vote == 0 || r.hardState.Vote == m.From
	if !isVoteAvailable || r.role == Leader || !r.canGrantVote(now, m) {
		r.sendAfterSave(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	if r.hardState.Vote == 0 {
		r.setHardState(HardState{Term: r.hardState.Term, Vote: m.From})
	}
	r.resetElectionTimer(now)
	r.sendAfterSave(Message{Kind: MsgVoteReply, To: m.From})
}

func (r *Replica) onVoteReply(now time.Time, m Message) {
	if r.role != Candidate || m.Reject {
		return
	}
	r.grantedVotes[m.From] = true
	if r.hasEnoughVotes() {
		r.becomeLeader(now, m.From)
	}
}

func (r *Replica) becomeLeader(now time.Time, by ReplicaID) {
	r.setRole(Leader, CauseVotes, by)
	r.leaderID = r.cfg.ID
	r.transferring = false
	r.leaseStartAt = time.Time{}
	r.sentAtByRound = map[uint64]time.Time{}
	r.peerByID = map[ReplicaID]*peer{}
	r.updatePeers(now)
	r.electedAt = now
	r.electionDeadline = now.Add(r.cfg.ElectionTimeout)
	r.appendAsLeader(now, []Entry{{Kind: EntryNoop}})
	r.sendHeartbeats(now)
}

// Transfer asks the voter with the longest log to take over the leadership. It returns false if this
// replica does not lead or is already transferring. It also returns false if no other voter has all
// committed entries and has replied within the election timeout.
//
// The target may win an election at any later time without waiting for an election timeout. So for the
// rest of its term, the leader proposes nothing and holds no lease.
func (r *Replica) Transfer(now time.Time) bool {
	if r.role != Leader || r.transferring {
		return false
	}
	var target ReplicaID
	for _, m := range r.membership.Members {
		p := r.peerByID[m.ID]
		isActive := p != nil && now.Sub(p.lastReplyAt) < r.cfg.ElectionTimeout
		if m.Learner || !isActive || p.matchIndex < r.commitIndex {
			continue
		}
		if target == 0 || p.matchIndex > r.peerByID[target].matchIndex {
			target = m.ID
		}
	}
	if target == 0 {
		return false
	}
	r.transferring = true
	r.electionDeadline = now.Add(r.cfg.ElectionTimeout)
	r.send(Message{Kind: MsgTimeoutNow, To: target})
	return true
}

func (r *Replica) onTimeoutNow(now time.Time, m Message) {
	if r.role == Leader || m.From != r.leaderID || !r.isVoter(r.cfg.ID) {
		return
	}
	r.transferring = true
	r.startElection(now, CauseLeaderTransfer, m.From)
	if r.role != Leader {
		r.transferring = false
	}
}

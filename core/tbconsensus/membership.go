package tbconsensus

import (
	"slices"
	"time"
)

func (r *Replica) voterCount() int {
	n := 0
	for _, m := range r.membership.Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

func (r *Replica) quorumSize() int { return r.voterCount()/2 + 1 }

func (r *Replica) isVoter(id ReplicaID) bool {
	for _, m := range r.membership.Members {
		if m.ID == id {
			return !m.Learner
		}
	}
	return false
}

// adoptMemberships makes the last membership in entries the current one. A replica uses a membership as
// soon as it is in the log, committed or not.
func (r *Replica) adoptMemberships(entries []Entry) {
	for _, e := range entries {
		if e.Kind == EntryMembership {
			r.membership = e.Membership
			r.membershipIndex = e.Index
		}
	}
}

// revertMemberships restores the newest membership before index. It is called after the log was truncated
// at index.
func (r *Replica) revertMemberships(index uint64) {
	if r.membershipIndex < index {
		return
	}
	r.membership = r.log.snapshot.Meta.Membership
	r.membershipIndex = r.log.snapshot.Meta.Index
	r.adoptMemberships(r.log.entries)
}

// updatePeers adds the replication state of new members and deletes that of removed ones.
func (r *Replica) updatePeers(now time.Time) {
	for _, m := range r.membership.Members {
		if m.ID != r.cfg.ID && r.peerByID[m.ID] == nil {
			r.peerByID[m.ID] = &peer{nextIndex: r.log.lastIndex() + 1, lastReplyAt: now}
		}
	}
	for id := range r.peerByID {
		if !slices.ContainsFunc(r.membership.Members, func(m Member) bool { return m.ID == id }) {
			delete(r.peerByID, id)
		}
	}
}

// IsRemoved reports whether a committed membership change removed the replica id.
func (r *Replica) IsRemoved(id ReplicaID) bool {
	return slices.Contains(r.membershipAt(r.commitIndex).Removed, id)
}

// AddLearner proposes to add a replica that receives the log but has no vote.
func (r *Replica) AddLearner(now time.Time, id ReplicaID, address string) ChangeRefusal {
	if refusal := r.membershipChangeRefusal(); refusal != ChangeAccepted {
		return refusal
	}
	isMember := slices.ContainsFunc(r.membership.Members, func(m Member) bool { return m.ID == id })
	if isMember || slices.Contains(r.membership.Removed, id) {
		return ChangeIDUsed
	}
	next := r.membership.clone()
	next.Members = append(next.Members, Member{ID: id, Address: address, Learner: true})
	r.proposeMembership(now, next)
	return ChangeAccepted
}

// Promote proposes to give a vote to a learner that has persisted all committed entries.
func (r *Replica) Promote(now time.Time, id ReplicaID) ChangeRefusal {
	if refusal := r.membershipChangeRefusal(); refusal != ChangeAccepted {
		return refusal
	}
	next := r.membership.clone()
	i := slices.IndexFunc(next.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return ChangeUnknownID
	}
	if !next.Members[i].Learner {
		return ChangeAlreadyVoter
	}
	p := r.peerByID[id]
	if p == nil || p.matchIndex < r.commitIndex || now.Sub(p.lastReplyAt) > r.cfg.ElectionTimeout {
		return ChangeNotCaughtUp
	}
	next.Members[i].Learner = false
	r.proposeMembership(now, next)
	return ChangeAccepted
}

// Remove proposes to remove the replica id. It refuses if fewer than a quorum of the remaining voters,
// including the leader, have replied within the election timeout.
func (r *Replica) Remove(now time.Time, id ReplicaID) ChangeRefusal {
	if refusal := r.membershipChangeRefusal(); refusal != ChangeAccepted {
		return refusal
	}
	if id == r.cfg.ID {
		return ChangeLeaderRemoval
	}
	next := r.membership.clone()
	i := slices.IndexFunc(next.Members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return ChangeUnknownID
	}
	next.Members = slices.Delete(next.Members, i, i+1)
	next.Removed = append(next.Removed, id)
	if !r.hasActiveQuorumAfter(now, next) {
		return ChangeQuorumAtRisk
	}
	r.proposeMembership(now, next)
	return ChangeAccepted
}

// hasActiveQuorumAfter reports whether a quorum of the voters of next, including the leader, replied
// within the election timeout.
func (r *Replica) hasActiveQuorumAfter(now time.Time, next Membership) bool {
	voterCount, activeVoters := 0, 0
	for _, m := range next.Members {
		if m.Learner {
			continue
		}
		voterCount++
		p := r.peerByID[m.ID]
		if m.ID == r.cfg.ID || p != nil && now.Sub(p.lastReplyAt) < r.cfg.ElectionTimeout {
			activeVoters++
		}
	}
	return activeVoters > voterCount/2
}

func (r *Replica) membershipChangeRefusal() ChangeRefusal {
	switch {
	case r.role != Leader || r.transferring:
		return ChangeNotLeader
	case !r.HasCommittedInTerm():
		return ChangeNoCommitInTerm
	case r.membershipIndex > r.commitIndex:
		return ChangePending
	}
	return ChangeAccepted
}

func (r *Replica) proposeMembership(now time.Time, next Membership) {
	r.appendAsLeader(now, []Entry{{Kind: EntryMembership, Membership: next}})
	r.updatePeers(now)
	r.broadcastAppend(now)
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members), Removed: slices.Clone(m.Removed)}
}

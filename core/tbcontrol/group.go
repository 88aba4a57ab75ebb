package tbcontrol

import (
	"slices"
	"time"

	"tamarackbarrow/core/tbconsensus"
)

// Time limits for changes of the control group.
const (
	// voterSilenceLimit is the silence after which a voter is replaced by a learner, if the group has one.
	voterSilenceLimit = 1500 * time.Millisecond
	// learnerSilenceLimit is the silence after which a learner is removed. It is also the age at which
	// a request to join expires.
	learnerSilenceLimit = 10 * time.Second
)

// groupManager keeps the control group at its configured size. It adds replicas that ask to join and
// removes the replicas that they replace, one membership change at a time.
//
// A replica with a new id at the address of a member proves that the disk of that member is lost. The
// new replica becomes a voter before the earlier one is removed, so that the group tolerates as many
// lost disks as before at each step.
type groupManager struct {
	targetVoters         int
	joinRequestByReplica map[tbconsensus.ReplicaID]joinRequest
}

type joinRequest struct {
	address    string
	receivedAt time.Time
}

func newGroupManager(size int) groupManager {
	return groupManager{targetVoters: size, joinRequestByReplica: map[tbconsensus.ReplicaID]joinRequest{}}
}

// isComplete reports whether the group has at least the configured number of voters.
func (g *groupManager) isComplete(r *tbconsensus.Replica) bool {
	return len(votersOf(r.Members())) >= g.targetVoters
}

// recordJoinRequest records a replica's request to join the group, unless the replica was removed.
func (g *groupManager) recordJoinRequest(now time.Time, r *tbconsensus.Replica, q JoinRequested) Answer {
	members := r.Members()
	if r.IsRemoved(q.Replica) {
		return Answer{Code: Removed}
	}
	if slices.Contains(members.Removed, q.Replica) {
		// The removal may never be committed, and then the group still needs the replica's disk. On an answer
		// of Removed, the replica would erase that disk.
		return Answer{Code: NotReady}
	}
	g.joinRequestByReplica[q.Replica] = joinRequest{address: q.Address, receivedAt: now}
	return Answer{}
}

func votersOf(m tbconsensus.Membership) []tbconsensus.Member {
	return slices.DeleteFunc(slices.Clone(m.Members), func(m tbconsensus.Member) bool { return m.Learner })
}

// reconcile makes at most one membership change.
func (g *groupManager) reconcileMembership(c *Control, now time.Time) {
	if g.targetVoters == 0 {
		return
	}
	if !g.removeMember(c, now) && !g.promoteLearner(c, now) {
		g.addLearner(c, now)
	}
}

func (g *groupManager) logAcceptedChange(c *Control, message string, m tbconsensus.Member, refusal tbconsensus.ChangeRefusal) bool {
	if refusal == tbconsensus.ChangeAccepted {
		c.emit(Log{Message: message, Detail: m.Address})
	}
	return refusal == tbconsensus.ChangeAccepted
}

// silenceOf returns the time since a member last replied to the leader. It returns 0 for the leader
// itself and for a replica that is not a member.
func silenceOf(c *Control, now time.Time, id tbconsensus.ReplicaID) time.Duration {
	for _, p := range c.replica.Progress() {
		if p.ID == id {
			return now.Sub(p.LastReply)
		}
	}
	return 0
}

// isReplaced reports whether a member that was added after m has the address of m, which proves that m's
// disk is lost. The parameter all lists the members in the order in which they were added.
func isReplaced(m tbconsensus.Member, all []tbconsensus.Member) bool {
	for i, other := range all {
		if other.ID == m.ID {
			return slices.ContainsFunc(all[i+1:], func(later tbconsensus.Member) bool { return later.Address == m.Address })
		}
	}
	return false
}

// removeMember removes at most one member. It may remove a learner that has been silent for longer than
// learnerSilenceLimit. If there are more than targetVoters voters, it may also remove a replaced voter.
// Without a replaced voter, it may remove the voter that has been silent longest, if for longer than
// voterSilenceLimit.
func (g *groupManager) removeMember(c *Control, now time.Time) bool {
	members := c.replica.Members().Members
	hasSurplus := len(votersOf(c.replica.Members())) > g.targetVoters
	var toRemove tbconsensus.Member
	longestSilence := voterSilenceLimit
	for _, m := range members {
		silence := silenceOf(c, now, m.ID)
		switch {
		case m.Learner && silence > learnerSilenceLimit:
			toRemove = m
		case !m.Learner && hasSurplus && isReplaced(m, members):
			toRemove, longestSilence = m, time.Hour
		case !m.Learner && hasSurplus && silence > longestSilence:
			toRemove, longestSilence = m, silence
		}
	}
	if toRemove.ID == 0 {
		return false
	}
	return g.logAcceptedChange(c, "replica removed from the group", toRemove, c.replica.Remove(now, toRemove.ID))
}

func (g *groupManager) promoteLearner(c *Control, now time.Time) bool {
	members := c.replica.Members().Members
	currentVoters := votersOf(c.replica.Members())
	needsVoter := len(currentVoters) < g.targetVoters
	for _, m := range currentVoters {
		needsVoter = needsVoter || len(currentVoters) == g.targetVoters && (silenceOf(c, now, m.ID) > voterSilenceLimit || isReplaced(m, members))
	}
	if !needsVoter {
		return false
	}
	for _, m := range members {
		if m.Learner && g.logAcceptedChange(c, "replica has a vote", m, c.replica.Promote(now, m.ID)) {
			return true
		}
	}
	return false
}

func (g *groupManager) addLearner(c *Control, now time.Time) {
	members := c.replica.Members().Members
	for id, j := range g.joinRequestByReplica {
		if now.Sub(j.receivedAt) > learnerSilenceLimit {
			delete(g.joinRequestByReplica, id)
			continue
		}
		if slices.ContainsFunc(members, func(m tbconsensus.Member) bool { return m.ID == id }) {
			continue
		}
		m := tbconsensus.Member{ID: id, Address: j.address}
		if g.logAcceptedChange(c, "replica joins the group", m, c.replica.AddLearner(now, id, j.address)) {
			return
		}
	}
}

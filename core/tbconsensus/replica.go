package tbconsensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// peer is the replication state that a leader keeps for another replica.
type peer struct {
	matchIndex  uint64
	nextIndex   uint64
	lastReplyAt time.Time
	// ackedRound is the newest heartbeat round that the peer acknowledged.
	ackedRound uint64
	// hasInFlight is true while entries after matchIndex have been sent and are not acknowledged.
	hasInFlight bool
	// firstInFlightIndex is the index of the first entry sent since hasInFlight was last set.
	firstInFlightIndex uint64
	// lastSentAt is when entries or a snapshot chunk were last sent. The zero time means that the next entries
	// or chunk can be sent without waiting for a reply.
	lastSentAt      time.Time
	sendingSnapshot bool
	snapshotMeta    SnapshotMeta
	snapshotData    []byte
	snapshotOffset  uint64
}

// Replica is one member of a Raft group. It is not safe for concurrent use.
type Replica struct {
	cfg       Config
	rng       *rand.Rand
	role      Role
	hardState HardState
	log       entryLog
	// persistedIndex is the highest log index known to be synced to the local disk.
	persistedIndex uint64
	commitIndex    uint64
	// lastDeliveredIndex is the index of the last entry passed to the caller in Output.Committed, or in a
	// snapshot.
	lastDeliveredIndex uint64
	leaderID           ReplicaID
	membership         Membership
	// membershipIndex is the log index of the entry that holds membership.
	membershipIndex uint64
	peerByID        map[ReplicaID]*peer
	grantedVotes    map[ReplicaID]bool
	// electionDeadline is when a replica that is not the leader campaigns next. At a leader it is when the
	// leader next checks its quorum, or when it gives up a transfer.
	electionDeadline    time.Time
	lastLeaderContactAt time.Time
	nextHeartbeatAt     time.Time
	heartbeatRound      uint64
	// sentAtByRound holds the send times of heartbeat rounds that no quorum has acknowledged yet.
	sentAtByRound map[uint64]time.Time
	// leaseStartAt is the send time of the newest heartbeat that a quorum acknowledged. It is zero if there
	// is no such heartbeat.
	leaseStartAt time.Time
	electedAt    time.Time
	// transferring is true at a leader that has started a transfer, and at the target of a transfer while
	// the target campaigns.
	transferring bool
	// uninitialized is true while the replica has no term, vote, entry or snapshot.
	uninitialized    bool
	hasLostState     bool
	incomingSnapshot incomingSnapshot
	stalls           stallDetector
	out              Output
}

// New returns a follower that continues from the persisted state.
func New(cfg Config, persisted PersistedState, now time.Time) *Replica {
	r := &Replica{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		hardState: persisted.HardState,
		log:       newEntryLog(persisted.Snapshot, persisted.Entries),
	}
	r.persistedIndex = r.log.lastIndex()
	r.commitIndex = persisted.Snapshot.Meta.Index
	r.lastDeliveredIndex = r.commitIndex
	r.uninitialized = r.hardState == HardState{} && r.persistedIndex == 0
	if len(r.log.snapshot.Meta.Membership.Members) == 0 && !cfg.Join {
		r.log.snapshot.Meta.Membership = persisted.Initial
	}
	r.membership = r.log.snapshot.Meta.Membership
	r.membershipIndex = r.log.snapshot.Meta.Index
	r.adoptMemberships(r.log.entries)
	if !r.uninitialized {
		// Before the restart, this replica may have replied to a leader whose lease is still valid. It must
		// not help to elect another leader before that lease ends.
		r.lastLeaderContactAt = now
	}
	r.stalls.lastEventAt = now
	r.resetElectionTimer(now)
	return r
}

func (r *Replica) setRole(to Role, cause Cause, by ReplicaID) {
	if r.role != to {
		r.out.RoleChanges = append(r.out.RoleChanges, RoleChange{
			From: r.role, To: to, Term: r.hardState.Term, Cause: cause, By: by, SinceLastEvent: r.stalls.lastEventGap,
		})
	}
	r.role = to
}

// Take returns the output collected since the last call and clears it.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// LeaderID returns the leader of the current term, or 0 if it is not known.
func (r *Replica) LeaderID() ReplicaID { return r.leaderID }

// Commit returns the highest log index known to be committed.
func (r *Replica) Commit() uint64 { return r.commitIndex }

// LastIndex returns the index of the last log entry.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// LogLength returns the number of log entries in memory, which follow the newest snapshot.
func (r *Replica) LogLength() int { return len(r.log.entries) }

// Members returns the newest membership in the log, committed or not.
func (r *Replica) Members() Membership { return r.membership }

// IsMember reports whether the newest membership in the log contains this replica.
func (r *Replica) IsMember() bool {
	return slices.ContainsFunc(r.membership.Members, func(m Member) bool { return m.ID == r.cfg.ID })
}

// HasLostState reports whether this replica, whose disk was empty at its start, has found that its group
// already has a log.
func (r *Replica) HasLostState() bool { return r.hasLostState }

// Progress returns the progress of the other replicas in membership order; nil if not leader.
func (r *Replica) Progress() []Progress {
	var progress []Progress
	for _, m := range r.membership.Members {
		if p := r.peerByID[m.ID]; p != nil {
			progress = append(progress, Progress{ID: m.ID, Match: p.matchIndex, LastReply: p.lastReplyAt})
		}
	}
	return progress
}

// HoldsLease reports whether this replica holds the leader lease at now. While it does, no other replica
// can lead.
//
// A follower grants no vote for ElectionTimeout after a message from the leader. So a quorum that has
// replied to a heartbeat elects no other leader during that time. The leader counts the time from when
// it sent the heartbeat, and reduces it by twice the clock rate bound.
func (r *Replica) HoldsLease(now time.Time) bool {
	if r.role != Leader || r.transferring {
		return false
	}
	if r.voterCount() == 1 && r.isVoter(r.cfg.ID) {
		return true
	}
	lease := time.Duration(float64(r.cfg.ElectionTimeout) * (1 - 2*r.cfg.ClockRateBound))
	return !r.leaseStartAt.IsZero() && now.Sub(r.leaseStartAt) < lease
}

// HasCommittedInTerm reports whether this replica leads and has committed an entry of its current term.
func (r *Replica) HasCommittedInTerm() bool {
	return r.role == Leader && r.log.term(r.commitIndex) == r.hardState.Term
}

// Propose appends an entry for each payload and returns the index of the first one. It returns false if
// this replica does not lead or is transferring its leadership.
func (r *Replica) Propose(now time.Time, payloads [][]byte) (uint64, bool) {
	if r.role != Leader || r.transferring {
		return 0, false
	}
	first := r.log.lastIndex() + 1
	entries := make([]Entry, len(payloads))
	for i, data := range payloads {
		entries[i] = Entry{Kind: EntryData, Data: data}
	}
	r.appendAsLeader(now, entries)
	return first, true
}

func (r *Replica) appendAsLeader(now time.Time, entries []Entry) {
	for i := range entries {
		entries[i].Term = r.hardState.Term
		entries[i].Index = r.log.lastIndex() + 1
		r.log.append(entries[i : i+1])
	}
	r.adoptMemberships(entries)
	r.out.Entries = append(r.out.Entries, entries...)
	r.broadcastAppend(now)
}

// ReportPersisted reports that the local disk has synced the log up to index, whose entry has the
// given term.
func (r *Replica) ReportPersisted(now time.Time, term, index uint64) {
	r.recordEvent(now)
	if index > r.log.lastIndex() || r.log.term(index) != term {
		return
	}
	if index > r.persistedIndex {
		r.persistedIndex = index
	}
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

// Tick handles the timers that are due at now. A leader sends heartbeats and checks its quorum. Another
// voter starts an election.
func (r *Replica) Tick(now time.Time) {
	r.recordEvent(now)
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionDeadline) {
		return
	}
	if r.shouldDeferElection(now) {
		r.electionDeadline = r.catchUpDeadline()
		return
	}
	r.resetElectionTimer(now)
	if !r.isVoter(r.cfg.ID) {
		// The entry that added this learner may be lost with the leader. The learner then has to ask the
		// next leader to add it, and for that it must notice that its leader is gone.
		r.leaderID = 0
		return
	}
	r.startPreVote(now)
}

// NextDue returns the time by which Tick has to be called next.
func (r *Replica) NextDue() time.Time {
	due := r.electionDeadline
	if r.role == Leader && r.nextHeartbeatAt.Before(due) {
		due = r.nextHeartbeatAt
	}
	if timerCheck := r.stalls.lastEventAt.Add(timerCheckIntervals * r.cfg.HeartbeatInterval); timerCheck.Before(due) {
		due = timerCheck
	}
	return due
}

// Step handles one message.
func (r *Replica) Step(now time.Time, m Message) {
	r.recordEvent(now)
	if m.To != r.cfg.ID || m.From == r.cfg.ID || r.mustIgnoreAfterDataLoss(m) {
		return
	}
	if m.Term > r.hardState.Term && m.Kind != MsgPreVote && !isGrantedPreVote(m) {
		if m.Kind == MsgVote && !r.canGrantVote(now, m) {
			return
		}
		r.becomeFollower(now, m.Term, CauseHigherTerm, m.From)
	}
	if m.Term < r.hardState.Term {
		r.replyToStaleTerm(m)
		return
	}
	switch m.Kind {
	case MsgPreVote:
		r.onPreVote(now, m)
	case MsgPreVoteReply:
		r.onPreVoteReply(now, m)
	case MsgVote:
		r.onVote(now, m)
	case MsgVoteReply:
		r.onVoteReply(now, m)
	case MsgAppend:
		r.onAppend(now, m)
	case MsgAppendReply:
		r.onAppendReply(now, m)
	case MsgHeartbeat:
		r.onHeartbeat(now, m)
	case MsgHeartbeatReply:
		r.onHeartbeatReply(now, m)
	case MsgSnapshot:
		r.onSnapshot(now, m)
	case MsgSnapshotReply:
		r.onSnapshotReply(now, m)
	case MsgTimeoutNow:
		r.onTimeoutNow(now, m)
	}
}

// mustIgnoreAfterDataLoss reports whether this replica has to ignore m, because its disk is empty and its
// group may already have a log.
//
// A replica that lost its disk may have voted, or acknowledged entries that it lacks now. Example:
// replicas 1 and 2 committed an entry, and 2 lost its disk. If 2 voted for 3, which lacks the entry, the
// entry would be lost. So replica 2 has to join under a new id.
func (r *Replica) mustIgnoreAfterDataLoss(m Message) bool {
	if !r.uninitialized || r.cfg.Join || r.cfg.NewIDAfterDiskLoss {
		return false
	}
	electsFirstLeader := m.LogIndex == 0 && (m.Kind == MsgPreVote || m.Kind == MsgVote)
	isReply := m.Kind == MsgPreVoteReply || m.Kind == MsgVoteReply
	if electsFirstLeader || isReply && !m.Reject {
		return false
	}
	// A message that is not an answer to a request for votes shows that the group has a log. A rejection
	// of this replica's request for votes does not show that. It is ignored nevertheless: if this replica
	// adopted the rejection's term, its persisted state would look intact.
	r.hasLostState = r.hasLostState || !isReply
	return true
}

func isGrantedPreVote(m Message) bool {
	return m.Kind == MsgPreVoteReply && !m.Reject
}

// replyToStaleTerm rejects a request of an earlier term, so that the sender learns the current term.
func (r *Replica) replyToStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.sendAfterSave(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Hint: r.log.lastIndex()})
	case MsgPreVote:
		r.sendAfterSave(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (r *Replica) becomeFollower(now time.Time, term uint64, cause Cause, by ReplicaID) {
	if term != r.hardState.Term {
		r.setHardState(HardState{Term: term})
	}
	r.setRole(Follower, cause, by)
	r.leaderID = 0
	r.transferring = false
	r.peerByID = nil
	r.resetElectionTimer(now)
}

func (r *Replica) setHardState(h HardState) {
	r.hardState = h
	r.uninitialized = false
	r.out.HardState = &h
}

func (r *Replica) resetElectionTimer(now time.Time) {
	jitter := time.Duration(r.rng.Int64N(int64(r.cfg.ElectionTimeout)))
	r.electionDeadline = now.Add(r.cfg.ElectionTimeout + jitter)
}

func (r *Replica) send(m Message) {
	m.From = r.cfg.ID
	m.Term = r.hardState.Term
	r.out.Send = append(r.out.Send, m)
}

func (r *Replica) sendAfterSave(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	r.out.SendAfterSave = append(r.out.SendAfterSave, m)
}

func (r *Replica) setCommit(index uint64) {
	if index <= r.commitIndex {
		return
	}
	if index > r.log.lastIndex() {
		panic(fmt.Sprintf("commit index %d is beyond the last log index %d", index, r.log.lastIndex()))
	}
	r.commitIndex = index
	r.out.Committed = append(r.out.Committed, r.log.slice(r.lastDeliveredIndex+1, index)...)
	r.lastDeliveredIndex = index
}

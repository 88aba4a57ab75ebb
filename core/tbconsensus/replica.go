package tbconsensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// peer is the leader's view of another replica.
type peer struct {
	match      uint64
	next       uint64
	active     time.Time
	ackedRound uint64
	inFlight   bool
	// flightFrom is the first entry under way while inFlight.
	flightFrom   uint64
	sentAt       time.Time
	snapshotting bool
	snapshotMeta SnapshotMeta
	snapshotData []byte
	offset       uint64
}

// Replica is one member of a consensus group.
type Replica struct {
	cfg  Config
	rng  *rand.Rand
	role Role
	hard HardState
	log  entryLog
	// saved is the last log index known to be synced on this disk.
	saved      uint64
	commit     uint64
	applied    uint64
	leader     ReplicaID
	membership Membership
	// membershipIndex is the log index of the newest membership entry.
	membershipIndex uint64
	peers           map[ReplicaID]*peer
	votes           map[ReplicaID]bool
	electionAt      time.Time
	heardLeader     time.Time
	heartbeatAt     time.Time
	round           uint64
	// roundSent keeps the send times of rounds that are not confirmed yet.
	roundSent    map[uint64]time.Time
	confirmedAt  time.Time
	electedAt    time.Time
	transferring bool
	fresh        bool
	lostState    bool
	incoming     incomingSnapshot
	held         holdUps
	out          Output
}

// New returns a follower that continues from what restored holds.
func New(cfg Config, restored Restored, now time.Time) *Replica {
	r := &Replica{
		cfg:  cfg,
		rng:  rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		hard: restored.HardState,
		log:  newEntryLog(restored.Snapshot, restored.Entries),
	}
	r.saved = r.log.lastIndex()
	r.commit = restored.Snapshot.Meta.Index
	r.applied = r.commit
	r.fresh = r.hard == HardState{} && r.saved == 0
	if len(r.log.snapshot.Meta.Membership.Members) == 0 && !cfg.Join {
		r.log.snapshot.Meta.Membership = restored.Initial
	}
	r.membership = r.log.snapshot.Meta.Membership
	r.membershipIndex = r.log.snapshot.Meta.Index
	r.adoptMemberships(r.log.entries)
	if !r.fresh {
		// Before the restart it may have heard from a leader that still rules.
		r.heardLeader = now
	}
	r.held.ranAt = now
	r.resetElectionTimer(now)
	return r
}

func (r *Replica) setRole(to Role, cause Cause, by ReplicaID) {
	if r.role != to {
		r.out.Roles = append(r.out.Roles, RoleChange{
			From: r.role, To: to, Term: r.hard.Term, Cause: cause, By: by, Absence: r.held.absence,
		})
	}
	r.role = to
}

// Take returns what has to be done since the last call and clears it.
func (r *Replica) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

// Role returns the present role.
func (r *Replica) Role() Role { return r.role }

// Term returns the present term.
func (r *Replica) Term() uint64 { return r.hard.Term }

// LeaderID returns the known leader of the term, or 0.
func (r *Replica) LeaderID() ReplicaID { return r.leader }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last log entry.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// LogLength returns the number of entries kept in memory since the snapshot.
func (r *Replica) LogLength() int { return len(r.log.entries) }

// Members returns the newest membership in the log.
func (r *Replica) Members() Membership { return r.membership }

// IsMember reports whether the newest membership in the log holds this replica.
func (r *Replica) IsMember() bool {
	return slices.ContainsFunc(r.membership.Members, func(m Member) bool { return m.ID == r.cfg.ID })
}

// LostState reports that this replica's disk is empty although its group has already run.
func (r *Replica) LostState() bool { return r.lostState }

// Peers returns the leader's view of the other replicas, ordered as in the membership.
func (r *Replica) Peers() []Progress {
	var all []Progress
	for _, m := range r.membership.Members {
		if p := r.peers[m.ID]; p != nil {
			all = append(all, Progress{ID: m.ID, Match: p.match, Active: p.active})
		}
	}
	return all
}

// Confirmed reports whether no other replica can lead at now.
//
// A follower that heard from the leader grants no vote for ElectionTimeout, so a
// leader whose heartbeat a quorum answered rules for that long from its sending.
func (r *Replica) Confirmed(now time.Time) bool {
	if r.role != Leader || r.transferring {
		return false
	}
	if r.voterCount() == 1 && r.isVoter(r.cfg.ID) {
		return true
	}
	rule := time.Duration(float64(r.cfg.ElectionTimeout) * (1 - 2*r.cfg.ClockRateBound))
	return !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) < rule
}

// TermCommitted reports whether an entry of the leader's own term is committed.
func (r *Replica) TermCommitted() bool {
	return r.role == Leader && r.log.term(r.commit) == r.hard.Term
}

// Propose appends data entries and returns the index of the first, or false when not leader.
func (r *Replica) Propose(now time.Time, datas [][]byte) (uint64, bool) {
	if r.role != Leader || r.transferring {
		return 0, false
	}
	first := r.log.lastIndex() + 1
	entries := make([]Entry, len(datas))
	for i, data := range datas {
		entries[i] = Entry{Kind: EntryData, Data: data}
	}
	r.appendOwn(now, entries)
	return first, true
}

func (r *Replica) appendOwn(now time.Time, entries []Entry) {
	for i := range entries {
		entries[i].Term = r.hard.Term
		entries[i].Index = r.log.lastIndex() + 1
		r.log.append(entries[i : i+1])
	}
	r.adoptMemberships(entries)
	r.out.Entries = append(r.out.Entries, entries...)
	r.broadcastAppend(now)
}

// Persisted tells that entries up to index, the last of term, are synced on this disk.
func (r *Replica) Persisted(now time.Time, term, index uint64) {
	r.runs(now)
	if index > r.log.lastIndex() || r.log.term(index) != term {
		return
	}
	if index > r.saved {
		r.saved = index
	}
	if r.role == Leader {
		r.advanceCommit(now)
	}
}

// Tick lets time pass: it starts elections and sends heartbeats when they are due.
func (r *Replica) Tick(now time.Time) {
	r.runs(now)
	if r.role == Leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionAt) {
		return
	}
	if r.waitsForLeader(now) {
		r.electionAt = r.caughtUpAt()
		return
	}
	r.resetElectionTimer(now)
	if !r.isVoter(r.cfg.ID) {
		// A learner whose leader is gone must know so: it may have been forgotten with it.
		r.leader = 0
		return
	}
	r.startPreVote(now)
}

// NextDue returns when Tick next has something to do.
func (r *Replica) NextDue() time.Time {
	due := r.electionAt
	if r.role == Leader && r.heartbeatAt.Before(due) {
		due = r.heartbeatAt
	}
	if look := r.held.ranAt.Add(lookBeats * r.cfg.HeartbeatInterval); look.Before(due) {
		due = look
	}
	return due
}

// Step handles one message.
func (r *Replica) Step(now time.Time, m Message) {
	r.runs(now)
	if m.To != r.cfg.ID || m.From == r.cfg.ID || r.ignoresAfterLoss(m) {
		return
	}
	if m.Term > r.hard.Term && m.Kind != MsgPreVote && !isGrantedPreVote(m) {
		if m.Kind == MsgVote && !r.mayVote(now, m) {
			return
		}
		r.becomeFollower(now, m.Term, CauseHigherTerm, m.From)
	}
	if m.Term < r.hard.Term {
		r.answerStale(m)
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

// ignoresAfterLoss keeps a replica with an empty disk out of a group that has run.
//
// Its id may have voted or acknowledged entries that its disk no longer knows.
// Example: replicas 1 and 2 committed an entry, 2 lost its disk; if 2 voted for
// 3, which lacks the entry, the entry would be lost. It has to join as a new id.
func (r *Replica) ignoresAfterLoss(m Message) bool {
	if !r.fresh || r.cfg.Join {
		return false
	}
	electsFirstLeader := m.LogIndex == 0 && (m.Kind == MsgPreVote || m.Kind == MsgVote)
	isReply := m.Kind == MsgPreVoteReply || m.Kind == MsgVoteReply
	if electsFirstLeader || isReply && !m.Reject {
		return false
	}
	// A rejection carries the group's term; taking it over would make this
	// replica look as if it remembered something.
	r.lostState = r.lostState || !isReply
	return true
}

func isGrantedPreVote(m Message) bool {
	return m.Kind == MsgPreVoteReply && !m.Reject
}

// answerStale tells a sender of a lower term about the present one.
func (r *Replica) answerStale(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.sendAfterSave(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Hint: r.log.lastIndex()})
	case MsgPreVote:
		r.sendAfterSave(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	}
}

func (r *Replica) becomeFollower(now time.Time, term uint64, cause Cause, by ReplicaID) {
	if term != r.hard.Term {
		r.setHardState(HardState{Term: term})
	}
	r.setRole(Follower, cause, by)
	r.leader = 0
	r.transferring = false
	r.peers = nil
	r.resetElectionTimer(now)
}

func (r *Replica) setHardState(h HardState) {
	r.hard = h
	r.fresh = false
	r.out.HardState = &h
}

func (r *Replica) resetElectionTimer(now time.Time) {
	spread := time.Duration(r.rng.Int64N(int64(r.cfg.ElectionTimeout)))
	r.electionAt = now.Add(r.cfg.ElectionTimeout + spread)
}

func (r *Replica) send(m Message) {
	m.From = r.cfg.ID
	m.Term = r.hard.Term
	r.out.Send = append(r.out.Send, m)
}

func (r *Replica) sendAfterSave(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	r.out.SendAfterSave = append(r.out.SendAfterSave, m)
}

func (r *Replica) setCommit(index uint64) {
	if index <= r.commit {
		return
	}
	if index > r.log.lastIndex() {
		panic(fmt.Sprintf("commit index %d is beyond the last log index %d", index, r.log.lastIndex()))
	}
	r.commit = index
	r.out.Committed = append(r.out.Committed, r.log.slice(r.applied+1, index)...)
	r.applied = index
}

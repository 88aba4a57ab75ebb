package tbconsensus

import "time"

// ReplicaID names a replica for good: an id whose disk was lost is never used again.
type ReplicaID uint64

// EntryKind tells what a log entry carries.
type EntryKind uint8

// Kinds of log entry.
const (
	EntryData EntryKind = iota
	EntryNoop
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
	// Membership is set for EntryMembership only.
	Membership Membership
}

// Member is one replica of the group.
type Member struct {
	ID      ReplicaID
	Address string
	// Learner is true while the replica receives the log but has no vote.
	Learner bool
}

// Membership is the configuration of the group at one log index.
type Membership struct {
	Members []Member
	// Removed lists ids that may never be added again.
	Removed []ReplicaID
}

// HardState is what a replica must have saved before it answers a message.
type HardState struct {
	Term uint64
	Vote ReplicaID
}

// SnapshotMeta describes the log prefix that a snapshot stands for.
type SnapshotMeta struct {
	Index      uint64
	Term       uint64
	Membership Membership
}

// Snapshot is the state after the log prefix that Meta describes.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of message between replicas.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow
)

// Message is sent between two replicas and may be lost, repeated, delayed or reordered.
type Message struct {
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	Term uint64
	// LogIndex and LogTerm name the entry before Entries, or the sender's last entry.
	LogIndex uint64
	LogTerm  uint64
	Commit   uint64
	Entries  []Entry
	Reject   bool
	// Hint is the last index that the replying follower may share with the leader.
	Hint uint64
	// Chunk, Offset and Last carry one part of a snapshot.
	Chunk      []byte
	Offset     uint64
	Last       bool
	Membership Membership
	// Round numbers the leader's heartbeats.
	Round uint64
}

// Role is the part that a replica plays in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Cause is why a replica changed its role.
type Cause string

// Causes of a change of role.
const (
	CauseNoLeader     Cause = "noLeaderHeard"
	CauseVotes        Cause = "votes"
	CauseAsked        Cause = "askedByTheLeader"
	CauseLeader       Cause = "leaderHeard"
	CauseHigherTerm   Cause = "higherTerm"
	CauseQuorumSilent Cause = "quorumSilent"
	CauseTransfer     Cause = "transferNotEnded"
)

// RoleChange is one change of a replica's role.
type RoleChange struct {
	From, To Role
	Term     uint64
	Cause    Cause
	// By is the replica whose message led to the change, or 0.
	By ReplicaID
	// Absence is how long the replica handled nothing before the event that led to the change.
	Absence time.Duration
}

// Config is fixed for the life of a Replica.
type Config struct {
	ID ReplicaID
	// ElectionTimeout is the least silence after which a follower campaigns.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// ClockRateBound is the largest relative difference between two clocks.
	ClockRateBound float64
	MaxBatchBytes  int
	// MaxInFlightBytes bounds the entries that are under way to one replica; 0 means no bound.
	MaxInFlightBytes int
	ChunkBytes       int
	Seed             uint64
	// Join is true for a replica that is added to a running group.
	Join bool
}

// Restored is what a replica finds on its disk.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Initial is the membership of a new group; it is used when the disk is empty.
	Initial Membership
}

// Output is what the caller has to do, in the order of the fields.
type Output struct {
	// Send may go out before anything is saved.
	Send []Message
	// InstallSnapshot replaces log and state; it comes before Entries.
	InstallSnapshot *Snapshot
	// Entries replace all saved entries from the first one's index on.
	Entries   []Entry
	HardState *HardState
	// SendAfterSave goes out only when everything above is synced to disk.
	SendAfterSave []Message
	// Committed entries are applied in order.
	Committed []Entry
	// Roles are the changes of the replica's role, for the log.
	Roles []RoleChange
}

// ChangeRefusal is why a membership change was not proposed; empty means that it was.
type ChangeRefusal string

// Reasons to refuse a membership change.
const (
	ChangeAccepted      ChangeRefusal = ""
	ChangeNotLeader     ChangeRefusal = "notLeader"
	ChangePending       ChangeRefusal = "changePending"
	ChangeTermUnproven  ChangeRefusal = "noEntryOfTermCommitted"
	ChangeIDUsed        ChangeRefusal = "replicaIdUsedBefore"
	ChangeUnknownID     ChangeRefusal = "replicaUnknown"
	ChangeNotCaughtUp   ChangeRefusal = "learnerNotCaughtUp"
	ChangeQuorumAtRisk  ChangeRefusal = "remainingReplicasNotAlive"
	ChangeAlreadyVoter  ChangeRefusal = "alreadyVoter"
	ChangeLeaderRemoval ChangeRefusal = "leaderMayNotRemoveItself"
)

// Progress is what the leader knows of one other replica.
type Progress struct {
	ID    ReplicaID
	Match uint64
	// Active is the time of the last reply.
	Active time.Time
}

package tbconsensus

import "time"

// ReplicaID identifies a replica; 0 means none. A replica that lost its disk must get a new id.
type ReplicaID uint64

// EntryKind is the type of a log entry.
type EntryKind uint8

// Kinds of log entry.
const (
	// EntryData carries a proposal of the caller.
	EntryData EntryKind = iota
	// EntryNoop is the first entry of a term. Its commit also commits all earlier entries.
	EntryNoop
	// EntryMembership carries a new Membership.
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
	// Learner is true for a replica that receives the log but has no vote.
	Learner bool
}

// Membership is the set of replicas in the group as of one log index.
type Membership struct {
	Members []Member
	// Removed lists the ids of removed replicas, which cannot be added again.
	Removed []ReplicaID
}

// HardState is the term and vote. A replica must persist a change of them before it replies to the
// message that caused the change.
type HardState struct {
	Term uint64
	// Vote is the candidate voted for in Term, or 0.
	Vote ReplicaID
}

// SnapshotMeta describes the log prefix that a snapshot replaces.
type SnapshotMeta struct {
	// Index and Term identify the last entry of the prefix.
	Index uint64
	Term  uint64
	// Membership is the newest membership in the prefix.
	Membership Membership
}

// Snapshot is the application state after the log prefix that Meta describes.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageKind is the type of a message between replicas.
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
	// MsgTimeoutNow tells the target of a leader transfer to campaign at once.
	MsgTimeoutNow
)

// Message is sent from one replica to another and may be lost, duplicated, delayed or reordered.
type Message struct {
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	Term uint64
	// LogIndex and LogTerm identify a log entry. In an append, that entry is the one before Entries. In a
	// vote request, it is the last entry of the sender's log. In a snapshot message, it is the last entry
	// that the snapshot covers. In a reply, LogIndex is the index that is acknowledged.
	LogIndex uint64
	LogTerm  uint64
	// Commit is the leader's commit index. In a heartbeat it is at most the index up to which the
	// receiver's log is known to match. The receiver of an append commits at most up to the last entry
	// of the message.
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is the highest index at which the log of the replying follower may match the leader's.
	Hint uint64
	// Chunk is one part of the data of a snapshot. Offset is the position of Chunk in the data, in bytes. Last
	// marks the last part. In a reply, Offset is the number of bytes received. Last then means that the
	// follower has the complete snapshot or does not need it.
	Chunk      []byte
	Offset     uint64
	Last       bool
	Membership Membership
	// Round is the number of a heartbeat of the leader. In a vote request, 1 means that a leader transfer
	// started the election.
	Round uint64
}

// Role is the role of a replica in its term.
type Role uint8

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role as it appears in logs.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Cause is the reason for a change of role.
type Cause string

// Causes of a change of role.
const (
	// CauseNoLeader means that the election timeout passed without a message from a leader.
	CauseNoLeader Cause = "noLeaderHeard"
	// CauseVotes means that a pre-vote or an election was won.
	CauseVotes Cause = "votes"
	// CauseLeaderTransfer means that the leader transferred leadership to this replica.
	CauseLeaderTransfer Cause = "askedByTheLeader"
	// CauseLeaderContact means that a message from the leader of the term arrived.
	CauseLeaderContact Cause = "leaderHeard"
	// CauseHigherTerm means that a message of a higher term arrived.
	CauseHigherTerm Cause = "higherTerm"
	// CauseQuorumLost means that the leader had no replies from a quorum for the election timeout.
	CauseQuorumLost Cause = "quorumSilent"
	// CauseTransferTimeout means that a leader transfer did not complete within the election
	// timeout.
	CauseTransferTimeout Cause = "transferNotEnded"
)

// RoleChange describes one change of a replica's role.
type RoleChange struct {
	From, To Role
	Term     uint64
	Cause    Cause
	// By is the sender of the message that caused the change, or 0.
	By ReplicaID
	// SinceLastEvent is the time between the event that caused the change and the event before it.
	SinceLastEvent time.Duration
}

// Config holds the settings of a Replica, which do not change during its lifetime.
type Config struct {
	ID ReplicaID
	// ElectionTimeout is the minimum time without a message from the leader before a follower campaigns.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ClockRateBound is the maximum relative difference between the rates of two clocks, for example 0.01.
	ClockRateBound float64
	// MaxBatchBytes limits the entry data in one message; a larger entry is sent alone.
	MaxBatchBytes int
	// MaxInFlightBytes limits the unacknowledged entry data sent to one replica; 0 means no limit.
	MaxInFlightBytes int
	// ChunkBytes is the maximum size of one part of a snapshot.
	ChunkBytes int
	// Seed makes the random part of the election timeout reproducible.
	Seed uint64
	// Join is true for a replica that is added to an existing group.
	Join bool
	// NewIDAfterDiskLoss is true if a replica that has lost its disk always starts with another id. An empty
	// log then proves that the replica has lost nothing.
	NewIDAfterDiskLoss bool
}

// PersistedState is the persisted state from which a replica starts.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Initial is the membership of a new group. It is used if the snapshot has no members and Config.Join
	// is false.
	Initial Membership
}

// Output is the work for the caller, to be done in the order of the fields.
type Output struct {
	// Send holds messages that may be sent before anything is persisted.
	Send []Message
	// InstallSnapshot replaces the log and the application state before Entries are appended. It is nil if
	// there is no snapshot to install.
	InstallSnapshot *Snapshot
	// Entries replace all persisted entries from the index of the first one on.
	Entries []Entry
	// HardState is the new term and vote; nil means unchanged.
	HardState *HardState
	// SendAfterSave holds messages that may be sent only once everything above is synced to disk.
	SendAfterSave []Message
	// Committed holds the entries to apply, in order.
	Committed []Entry
	// RoleChanges lists the changes of the replica's role, for logging.
	RoleChanges []RoleChange
}

// ChangeRefusal is the reason why a membership change was not proposed. It is empty if the change was
// proposed.
type ChangeRefusal string

// Reasons to refuse a membership change.
const (
	// ChangeAccepted means that the change was proposed.
	ChangeAccepted ChangeRefusal = ""
	// ChangeNotLeader means that this replica does not lead or is transferring its leadership.
	ChangeNotLeader ChangeRefusal = "notLeader"
	// ChangePending means that the previous membership change is not committed yet.
	ChangePending ChangeRefusal = "changePending"
	// ChangeNoCommitInTerm means that the leader has not committed an entry of its term yet.
	ChangeNoCommitInTerm ChangeRefusal = "noEntryOfTermCommitted"
	// ChangeIDUsed means that the id to add is or was a member.
	ChangeIDUsed ChangeRefusal = "replicaIdUsedBefore"
	// ChangeUnknownID means that the id is not a member.
	ChangeUnknownID ChangeRefusal = "replicaUnknown"
	// ChangeNotCaughtUp means that the learner lacks committed entries, or did not reply within the election
	// timeout.
	ChangeNotCaughtUp ChangeRefusal = "learnerNotCaughtUp"
	// ChangeQuorumAtRisk means that too few of the remaining voters reply to form a quorum.
	ChangeQuorumAtRisk ChangeRefusal = "remainingReplicasNotAlive"
	// ChangeAlreadyVoter means that the replica to promote already has a vote.
	ChangeAlreadyVoter ChangeRefusal = "alreadyVoter"
	// ChangeLeaderRemoval means that the leader was asked to remove itself.
	ChangeLeaderRemoval ChangeRefusal = "leaderMayNotRemoveItself"
)

// Progress is the replication state of one other replica as seen by the leader.
type Progress struct {
	ID ReplicaID
	// Match is the highest log index known to be persisted on the replica.
	Match uint64
	// LastReply is when the last reply arrived, or when the leader started to track the replica.
	LastReply time.Time
}

package tbcodec

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"tamarackbarrow/core/tbconsensus"
	pb "tamarackbarrow/io/tbproto/v1"
)

// LogEntryToWire converts a log entry to protobuf. The membership of a membership entry is encoded in
// the Data field.
func LogEntryToWire(e tbconsensus.Entry) *pb.LogEntry {
	m := &pb.LogEntry{Term: e.Term, Index: e.Index, Kind: uint32(e.Kind), Data: e.Data}
	if e.Kind == tbconsensus.EntryMembership {
		m.Data = marshal(MembershipToWire(e.Membership))
	}
	return m
}

// LogEntryFromWire converts a log entry from protobuf.
func LogEntryFromWire(m *pb.LogEntry) (tbconsensus.Entry, error) {
	e := tbconsensus.Entry{Term: m.GetTerm(), Index: m.GetIndex(), Kind: tbconsensus.EntryKind(m.GetKind())}
	if e.Kind != tbconsensus.EntryMembership {
		e.Data = m.GetData()
		return e, nil
	}
	var membership pb.Membership
	if err := proto.Unmarshal(m.GetData(), &membership); err != nil {
		return e, fmt.Errorf("membership in log entry %d: %w", e.Index, err)
	}
	e.Membership = MembershipFromWire(&membership)
	return e, nil
}

// MembershipToWire converts a membership to protobuf.
func MembershipToWire(ms tbconsensus.Membership) *pb.Membership {
	m := &pb.Membership{Replicas: MembersToWire(ms.Members)}
	for _, id := range ms.Removed {
		m.Removed = append(m.Removed, uint64(id))
	}
	return m
}

// MembershipFromWire converts a membership from protobuf.
func MembershipFromWire(m *pb.Membership) tbconsensus.Membership {
	ms := tbconsensus.Membership{Members: MembersFromWire(m.GetReplicas())}
	for _, id := range m.GetRemoved() {
		ms.Removed = append(ms.Removed, tbconsensus.ReplicaID(id))
	}
	return ms
}

// MembersToWire converts members of the control group to protobuf.
func MembersToWire(members []tbconsensus.Member) []*pb.ReplicaInfo {
	var wire []*pb.ReplicaInfo
	for _, m := range members {
		wire = append(wire, &pb.ReplicaInfo{Id: uint64(m.ID), Address: m.Address, Learner: m.Learner})
	}
	return wire
}

// MembersFromWire converts members of the control group from protobuf.
func MembersFromWire(wire []*pb.ReplicaInfo) []tbconsensus.Member {
	var members []tbconsensus.Member
	for _, m := range wire {
		members = append(members, tbconsensus.Member{ID: tbconsensus.ReplicaID(m.GetId()), Address: m.GetAddress(), Learner: m.GetLearner()})
	}
	return members
}

// MessageToWire converts a message between replicas to protobuf.
func MessageToWire(m tbconsensus.Message) *pb.ConsensusMessage {
	wire := &pb.ConsensusMessage{
		Kind: uint32(m.Kind), From: uint64(m.From), To: uint64(m.To), Term: m.Term,
		LogIndex: m.LogIndex, LogTerm: m.LogTerm, Commit: m.Commit, Reject: m.Reject, Hint: m.Hint,
		Chunk: m.Chunk, Offset: m.Offset, Last: m.Last, Round: m.Round,
	}
	// Only a message that carries a part of a snapshot has a membership.
	if len(m.Membership.Members) > 0 {
		wire.Membership = MembershipToWire(m.Membership)
	}
	for _, e := range m.Entries {
		wire.Entries = append(wire.Entries, LogEntryToWire(e))
	}
	return wire
}

// MessageFromWire converts a message between replicas from protobuf.
func MessageFromWire(wire *pb.ConsensusMessage) (tbconsensus.Message, error) {
	m := tbconsensus.Message{
		Kind: tbconsensus.MessageKind(wire.GetKind()), From: tbconsensus.ReplicaID(wire.GetFrom()),
		To: tbconsensus.ReplicaID(wire.GetTo()), Term: wire.GetTerm(),
		LogIndex: wire.GetLogIndex(), LogTerm: wire.GetLogTerm(), Commit: wire.GetCommit(),
		Reject: wire.GetReject(), Hint: wire.GetHint(),
		Chunk: wire.GetChunk(), Offset: wire.GetOffset(), Last: wire.GetLast(), Round: wire.GetRound(),
		Membership: MembershipFromWire(wire.GetMembership()),
	}
	for _, we := range wire.GetEntries() {
		e, err := LogEntryFromWire(we)
		if err != nil {
			return m, err
		}
		m.Entries = append(m.Entries, e)
	}
	return m, nil
}

// SnapshotMetaToWire converts the metadata of a snapshot to protobuf.
func SnapshotMetaToWire(meta tbconsensus.SnapshotMeta) *pb.SnapshotMeta {
	return &pb.SnapshotMeta{Index: meta.Index, Term: meta.Term, Membership: MembershipToWire(meta.Membership)}
}

// SnapshotMetaFromWire converts the metadata of a snapshot from protobuf.
func SnapshotMetaFromWire(m *pb.SnapshotMeta) tbconsensus.SnapshotMeta {
	return tbconsensus.SnapshotMeta{Index: m.GetIndex(), Term: m.GetTerm(), Membership: MembershipFromWire(m.GetMembership())}
}

package tbstore

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// recovery holds the state that is read from the files, while they are read one after another.
type recovery struct {
	snapshot  tbconsensus.Snapshot
	hardState tbconsensus.HardState
	entries   []tbconsensus.Entry
}

func (s *Store) recover() (tbconsensus.PersistedState, error) {
	names, err := s.files.List()
	if err != nil {
		return tbconsensus.PersistedState{}, err
	}
	var r recovery
	if err := s.readNewestSnapshot(names, &r); err != nil {
		return tbconsensus.PersistedState{}, err
	}
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	for i, name := range segments {
		if err := s.readSegment(name, i == len(segments)-1, &r); err != nil {
			return tbconsensus.PersistedState{}, err
		}
	}
	entries, err := r.afterSnapshot()
	if err != nil {
		return tbconsensus.PersistedState{}, err
	}
	// A process that is killed while it installs a snapshot of the leader may leave the snapshot without the record that
	// discards the old log.
	s.discardsLog = len(r.entries) > 0 && len(entries) == 0
	return tbconsensus.PersistedState{HardState: r.hardState, Snapshot: r.snapshot, Entries: entries}, nil
}

func (s *Store) readNewestSnapshot(names []string, r *recovery) error {
	newest := ""
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) {
			newest = name
		}
	}
	if newest == "" {
		return nil
	}
	data, err := s.files.ReadFile(newest)
	if err != nil {
		return err
	}
	payload, ok := readRecord(data, 0)
	if !ok {
		return &CorruptionError{File: newest, Offset: 0, Detail: "snapshot is incomplete or its checksum is wrong"}
	}
	var m pb.StoredSnapshot
	if err := proto.Unmarshal(payload, &m); err != nil {
		return &CorruptionError{File: newest, Offset: headerBytes, Detail: err.Error()}
	}
	r.snapshot = tbconsensus.Snapshot{Meta: tbcodec.SnapshotMetaFromWire(m.GetMeta()), Data: m.GetData()}
	return nil
}

func (s *Store) readSegment(name string, isLast bool, r *recovery) error {
	number, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
	if err != nil {
		return fmt.Errorf("file name %q has no segment number: %w", name, err)
	}
	s.segmentNumber = max(s.segmentNumber, number)
	data, err := s.files.ReadFile(name)
	if err != nil {
		return err
	}
	payloads, validLen, err := readRecords(name, data, isLast)
	if err != nil {
		return err
	}
	if isLast {
		if err := s.repairTail(name, validLen, len(data)); err != nil {
			return err
		}
	}
	seg := segment{name: name}
	offset := 0
	for _, payload := range payloads {
		var m pb.StoredGroup
		if err := proto.Unmarshal(payload, &m); err != nil {
			return &CorruptionError{File: name, Offset: offset, Detail: err.Error()}
		}
		if err := r.applyChangeSet(&m, &seg); err != nil {
			return &CorruptionError{File: name, Offset: offset, Detail: err.Error()}
		}
		offset += headerBytes + len(payload)
	}
	s.sealed = append(s.sealed, seg)
	return nil
}

// repairTail truncates a record that a crash cut off. Once later segments exist, such a record would
// be taken for corruption.
//
// A process that was killed between a write and its sync leaves an unsynced record. A power loss
// could remove it after later records were acknowledged. So repairTail also syncs the file.
func (s *Store) repairTail(name string, validLen, size int) error {
	file, err := s.files.Create(name)
	if err != nil {
		return err
	}
	if validLen < size {
		err = file.Truncate(int64(validLen))
	}
	return errors.Join(err, file.Sync(), file.Close())
}

func (r *recovery) applyChangeSet(m *pb.StoredGroup, seg *segment) error {
	if m.GetReset_() {
		r.entries = nil
	}
	if h := m.GetHardState(); h != nil {
		r.hardState = tbconsensus.HardState{Term: h.GetTerm(), Vote: tbconsensus.ReplicaID(h.GetVote())}
	}
	for _, wire := range m.GetEntries() {
		e, err := tbcodec.LogEntryFromWire(wire)
		if err != nil {
			return err
		}
		seg.highestIndex = max(seg.highestIndex, e.Index)
		if err := r.appendEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// appendEntry appends an entry. It first removes all entries from the new entry's index on.
func (r *recovery) appendEntry(e tbconsensus.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	next := first + uint64(len(r.entries))
	if e.Index > next && e.Index <= r.snapshot.Meta.Index+1 {
		// The snapshot covers what is missing.
		r.entries = append(r.entries[:0], e)
		return nil
	}
	if e.Index > next {
		return fmt.Errorf("log entry %d follows entry %d: entries in between are missing", e.Index, next-1)
	}
	if e.Index < first {
		r.entries = nil
	} else {
		r.entries = r.entries[:e.Index-first]
	}
	r.entries = append(r.entries, e)
	return nil
}

// afterSnapshot returns the entries that follow the snapshot.
//
// The log's entry at the snapshot's index may have another term than the snapshot. Then the snapshot
// came from a leader, and the whole old log is obsolete. The log is also obsolete if the first entry
// after the snapshot has a lower term than the snapshot.
func (r *recovery) afterSnapshot() ([]tbconsensus.Entry, error) {
	meta := r.snapshot.Meta
	var rest []tbconsensus.Entry
	for _, e := range r.entries {
		if e.Index == meta.Index && e.Term != meta.Term {
			return nil, nil
		}
		if e.Index > meta.Index {
			rest = append(rest, e)
		}
	}
	if len(rest) == 0 || rest[0].Term < meta.Term {
		return nil, nil
	}
	if rest[0].Index != meta.Index+1 {
		return nil, fmt.Errorf("log entries %d to %d are missing", meta.Index+1, rest[0].Index-1)
	}
	return rest, nil
}

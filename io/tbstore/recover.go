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

// recovery collects what the files hold.
type recovery struct {
	snapshot tbconsensus.Snapshot
	hard     tbconsensus.HardState
	entries  []tbconsensus.Entry
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
	return tbconsensus.PersistedState{HardState: r.hard, Snapshot: r.snapshot, Entries: entries}, nil
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
		return &DamageError{File: newest, Offset: 0, Detail: "snapshot is not whole"}
	}
	var m pb.StoredSnapshot
	if err := proto.Unmarshal(payload, &m); err != nil {
		return &DamageError{File: newest, Offset: headerBytes, Detail: err.Error()}
	}
	r.snapshot = tbconsensus.Snapshot{Meta: tbcodec.SnapshotMetaFromWire(m.GetMeta()), Data: m.GetData()}
	return nil
}

func (s *Store) readSegment(name string, last bool, r *recovery) error {
	number, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
	if err != nil {
		return fmt.Errorf("file %q has no segment number: %w", name, err)
	}
	s.number = max(s.number, number)
	data, err := s.files.ReadFile(name)
	if err != nil {
		return err
	}
	payloads, whole, err := readRecords(name, data, last)
	if err != nil {
		return err
	}
	if last {
		if err := s.settleTail(name, whole, len(data)); err != nil {
			return err
		}
	}
	seg := segment{name: name}
	offset := 0
	for _, payload := range payloads {
		var m pb.StoredGroup
		if err := proto.Unmarshal(payload, &m); err != nil {
			return &DamageError{File: name, Offset: offset, Detail: err.Error()}
		}
		if err := r.take(&m, &seg); err != nil {
			return &DamageError{File: name, Offset: offset, Detail: err.Error()}
		}
		offset += headerBytes + len(payload)
	}
	s.oldest = append(s.oldest, seg)
	return nil
}

// settleTail cuts off a record that a crash tore, so that it is never seen as damage
// later, and syncs the rest: a process that was killed between a write and its sync
// leaves a record that would otherwise be lost after later ones were promised.
func (s *Store) settleTail(name string, whole, size int) error {
	file, err := s.files.Create(name)
	if err != nil {
		return err
	}
	if whole < size {
		err = file.Truncate(int64(whole))
	}
	return errors.Join(err, file.Sync(), file.Close())
}

func (r *recovery) take(m *pb.StoredGroup, seg *segment) error {
	if m.GetReset_() {
		r.entries = nil
	}
	if h := m.GetHardState(); h != nil {
		r.hard = tbconsensus.HardState{Term: h.GetTerm(), Vote: tbconsensus.ReplicaID(h.GetVote())}
	}
	for _, wire := range m.GetEntries() {
		e, err := tbcodec.EntryFromWire(wire)
		if err != nil {
			return err
		}
		seg.highest = max(seg.highest, e.Index)
		if err := r.put(e); err != nil {
			return err
		}
	}
	return nil
}

// put adds an entry and drops those that it replaces.
func (r *recovery) put(e tbconsensus.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	next := first + uint64(len(r.entries))
	if e.Index > next {
		return fmt.Errorf("entry %d follows entry %d", e.Index, next-1)
	}
	if e.Index < first {
		r.entries = nil
	} else {
		r.entries = r.entries[:e.Index-first]
	}
	r.entries = append(r.entries, e)
	return nil
}

// afterSnapshot returns the entries that continue the snapshot.
//
// If the log disagrees with the snapshot about the entry at its index, the
// snapshot came from a leader and the whole old log is void.
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

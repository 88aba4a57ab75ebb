package tbstore

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackbarrow/core/tbconsensus"
	"tamarackbarrow/io/tbcodec"
	pb "tamarackbarrow/io/tbproto/v1"
)

// File names, sizes and intervals of the store.
const (
	segmentPrefix    = "log-"
	snapshotPrefix   = "snapshot-"
	tempSnapshotName = "unfinished"
	maxSegmentBytes  = 32 << 20
	// maxGroupBytes is the size of the entries from which no more change sets share a record.
	maxGroupBytes         = 8 << 20
	diskFullRetryInterval = 200 * time.Millisecond
	numberedNameFormat    = "%s%020d"
)

// ChangeSet is a set of changes that become durable together.
type ChangeSet struct {
	// Install is a snapshot received from the leader, or nil. It replaces all entries that were stored
	// before, but not the hard state.
	Install *tbconsensus.Snapshot
	// Entries replace all stored entries from the index of Entries[0] on.
	Entries []tbconsensus.Entry
	// HardState is nil if it is unchanged.
	HardState *tbconsensus.HardState
}

// Store is an open store. It appends to the newest segment.
type Store struct {
	files         FS
	onDiskFull    func(full bool)
	file          File
	size          int64
	segmentNumber uint64
	sealed        []segment
	active        segment
	hardState     tbconsensus.HardState
	// discardsLog is true if recovery has discarded the entries of the log. The next segment has to say so.
	discardsLog bool
	syncs       uint64
	closed      chan struct{}
}

// segment is a log file. Its highestIndex is the highest index of an entry in the file, or 0 if the
// file has no entry that is still needed.
type segment struct {
	name         string
	highestIndex uint64
}

// Open reads the stored state and returns a store that appends to it.
//
// onDiskFull is called with true when a write to the log finds the disk full, and with false when this
// write then succeeds.
func Open(files FS, onDiskFull func(full bool)) (*Store, tbconsensus.PersistedState, error) {
	s := &Store{files: files, onDiskFull: onDiskFull, closed: make(chan struct{})}
	persisted, err := s.recover()
	if err != nil {
		return nil, persisted, err
	}
	s.hardState = persisted.HardState
	// On a full disk, the first Append waits for the space for a segment.
	if err := s.startSegment(nil); err != nil && !errors.Is(err, syscall.ENOSPC) {
		return nil, persisted, err
	}
	return s, persisted, nil
}

// Close closes the newest segment. An Append that waits for space on a full disk returns an error.
func (s *Store) Close() error {
	close(s.closed)
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// Syncs returns how many records have been written and synced since Open was called.
func (s *Store) Syncs() uint64 { return s.syncs }

// Append makes change sets durable, with one sync if they are not large, none of them installs a snapshot
// and no new segment is started. On a full disk it waits for space.
func (s *Store) Append(changeSets []ChangeSet) error {
	var pending []ChangeSet
	pendingBytes := 0
	for _, c := range changeSets {
		if pendingBytes >= maxGroupBytes {
			if err := s.appendRecord(pending); err != nil {
				return err
			}
			pending, pendingBytes = nil, 0
		}
		if c.Install != nil {
			// The snapshot replaces the entries of earlier change sets, but not their hard states.
			pending = hardStatesOnly(pending)
			if err := s.installSnapshot(*c.Install); err != nil {
				return err
			}
		}
		pending = append(pending, c)
		for _, e := range c.Entries {
			pendingBytes += len(e.Data)
		}
	}
	return s.appendRecord(pending)
}

func hardStatesOnly(changeSets []ChangeSet) []ChangeSet {
	var kept []ChangeSet
	for _, c := range changeSets {
		if c.HardState != nil {
			kept = append(kept, ChangeSet{HardState: c.HardState})
		}
	}
	return kept
}

// appendRecord writes change sets as one record, a pb.StoredGroup, and syncs it.
func (s *Store) appendRecord(changeSets []ChangeSet) error {
	if s.file == nil {
		if err := s.waitForSpace(func() error { return s.startSegment(nil) }); err != nil {
			return err
		}
	}
	m := &pb.StoredGroup{}
	for _, c := range changeSets {
		for _, e := range c.Entries {
			m.Entries = append(m.Entries, tbcodec.LogEntryToWire(e))
			s.active.highestIndex = max(s.active.highestIndex, e.Index)
		}
		if c.HardState != nil {
			s.hardState = *c.HardState
			m.HardState = &pb.HardState{Term: s.hardState.Term, Vote: uint64(s.hardState.Vote)}
		}
	}
	if len(m.Entries) == 0 && m.HardState == nil {
		return nil
	}
	if err := s.write(m); err != nil {
		return err
	}
	if s.size >= maxSegmentBytes {
		if err := s.startSegment(nil); err != nil && !errors.Is(err, syscall.ENOSPC) {
			return err
		}
	}
	return nil
}

// write writes a record and syncs it. If the disk is full, it waits until there is space or the store is
// closed.
func (s *Store) write(m *pb.StoredGroup) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("cannot encode a stored change set: %w", err)
	}
	record := frameRecord(payload)
	if err := s.waitForSpace(func() error { return s.writeAndSync(record) }); err != nil {
		return err
	}
	s.size += int64(len(record))
	s.syncs++
	return nil
}

// writeAndSync writes a record at the end of the segment. If the disk is full, it truncates what it has
// written, so that it can be called again.
//
// A sync that finds the disk full may have written a part of the record. The record is therefore written
// again. Other failures of a sync leave unknown what the disk holds.
func (s *Store) writeAndSync(record []byte) error {
	_, err := s.file.Write(record)
	if err == nil {
		err = s.file.Sync()
	}
	if err == nil {
		return nil
	}
	if errors.Is(err, syscall.ENOSPC) {
		if truncateErr := s.file.Truncate(s.size); truncateErr != nil {
			return fmt.Errorf("cannot truncate the partial write to segment %q on a full disk: %v", s.active.name, truncateErr)
		}
	}
	return fmt.Errorf("cannot write segment %q: %w", s.active.name, err)
}

// waitForSpace repeats an operation while it finds the disk full. It returns an error if the operation
// fails for another reason, or if the store is closed.
func (s *Store) waitForSpace(operation func() error) error {
	full := false
	for {
		err := operation()
		if !errors.Is(err, syscall.ENOSPC) {
			if full && err == nil {
				s.onDiskFull(false)
			}
			return err
		}
		if !full {
			full = true
			s.onDiskFull(true)
		}
		select {
		case <-s.closed:
			return fmt.Errorf("disk is full and the store is closed: %w", err)
		case <-time.After(diskFullRetryInterval):
		}
	}
}

// startSegment creates the next segment and writes the segment's first record. The parameter first
// holds that record; nil stands for an empty record. In both cases the hard state is added. If the disk is
// too full to create a file, it returns ENOSPC and has changed nothing.
func (s *Store) startSegment(first *pb.StoredGroup) error {
	name := fmt.Sprintf(numberedNameFormat, segmentPrefix, s.segmentNumber+1)
	file, err := s.files.Create(name)
	if err != nil {
		return err
	}
	if s.file != nil {
		s.sealed = append(s.sealed, s.active)
		if err := s.file.Close(); err != nil {
			return err
		}
	}
	s.segmentNumber++
	s.active = segment{name: name}
	s.size = 0
	s.file = file
	if first == nil {
		first = &pb.StoredGroup{}
	}
	first.Reset_ = first.GetReset_() || s.discardsLog
	first.HardState = &pb.HardState{Term: s.hardState.Term, Vote: uint64(s.hardState.Vote)}
	if err := s.write(first); err != nil {
		return err
	}
	s.discardsLog = false
	return s.waitForSpace(s.files.SyncFolder)
}

// SaveSnapshot stores a snapshot of the log prefix. It then removes the segments and the older
// snapshots that the new snapshot replaces.
func (s *Store) SaveSnapshot(snapshot tbconsensus.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.startSegment(nil); err != nil {
		return err
	}
	return s.removeObsolete(snapshot.Meta.Index)
}

// installSnapshot stores a snapshot received from the leader. It discards all log entries stored so
// far, including entries after the snapshot.
func (s *Store) installSnapshot(snapshot tbconsensus.Snapshot) error {
	if err := s.waitForSpace(func() error { return s.writeSnapshot(snapshot) }); err != nil {
		return err
	}
	// Reset makes recovery discard the entries of all earlier records.
	if err := s.waitForSpace(func() error { return s.startSegment(&pb.StoredGroup{Reset_: true}) }); err != nil {
		return err
	}
	for i := range s.sealed {
		s.sealed[i].highestIndex = 0
	}
	return s.removeObsolete(snapshot.Meta.Index)
}

func (s *Store) writeSnapshot(snapshot tbconsensus.Snapshot) error {
	payload, err := proto.Marshal(&pb.StoredSnapshot{Meta: tbcodec.SnapshotMetaToWire(snapshot.Meta), Data: snapshot.Data})
	if err != nil {
		return fmt.Errorf("cannot encode a snapshot: %w", err)
	}
	if err := s.removeIfExists(tempSnapshotName); err != nil {
		return err
	}
	if len(payload) > maxRecordBytes {
		return fmt.Errorf("snapshot at index %d has %d bytes, at most %d are allowed", snapshot.Meta.Index, len(payload), maxRecordBytes)
	}
	if err := s.writeTempSnapshot(payload); err != nil {
		// What was written would take the space that the disk lacks.
		return errors.Join(err, s.removeIfExists(tempSnapshotName))
	}
	name := fmt.Sprintf(numberedNameFormat, snapshotPrefix, snapshot.Meta.Index)
	if err := s.files.Rename(tempSnapshotName, name); err != nil {
		return errors.Join(err, s.removeIfExists(tempSnapshotName))
	}
	return s.files.SyncFolder()
}

func (s *Store) writeTempSnapshot(payload []byte) error {
	file, err := s.files.Create(tempSnapshotName)
	if err != nil {
		return err
	}
	if _, err := file.Write(frameRecord(payload)); err != nil {
		return errors.Join(fmt.Errorf("cannot write a snapshot: %w", err), file.Close())
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("cannot sync a snapshot: %w", err)
	}
	return nil
}

func (s *Store) removeIfExists(name string) error {
	names, err := s.files.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if n == name {
			return s.files.Remove(name)
		}
	}
	return nil
}

// removeObsolete removes the sealed segments and the older snapshots that the snapshot at index
// replaces.
func (s *Store) removeObsolete(index uint64) error {
	var kept []segment
	for _, old := range s.sealed {
		if old.highestIndex > index {
			kept = append(kept, old)
			continue
		}
		if err := s.files.Remove(old.name); err != nil {
			return err
		}
	}
	s.sealed = kept
	names, err := s.files.List()
	if err != nil {
		return err
	}
	newest := fmt.Sprintf(numberedNameFormat, snapshotPrefix, index)
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name < newest {
			if err := s.files.Remove(name); err != nil {
				return err
			}
		}
	}
	return s.waitForSpace(s.files.SyncFolder)
}

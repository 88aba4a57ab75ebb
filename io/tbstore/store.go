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

// Names and sizes of the store's files.
const (
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	unfinishedName  = "unfinished"
	segmentBytes    = 32 << 20
	diskFullPause   = 200 * time.Millisecond
	numberedPattern = "%s%020d"
)

// Group is a number of changes that become durable together.
type Group struct {
	// Install replaces everything stored before.
	Install   *tbconsensus.Snapshot
	Entries   []tbconsensus.Entry
	HardState *tbconsensus.HardState
}

// Store appends to the newest segment.
type Store struct {
	files   Files
	onFull  func(full bool)
	file    File
	size    int64
	number  uint64
	oldest  []segment
	newest  segment
	hard    tbconsensus.HardState
	syncs   uint64
	stopped chan struct{}
}

// segment is a log file and the highest entry index in it.
type segment struct {
	name    string
	highest uint64
}

// Open reads what is stored and returns a store that appends to it.
//
// onFull is told when the disk is full and when it no longer is.
func Open(files Files, onFull func(full bool)) (*Store, tbconsensus.PersistedState, error) {
	s := &Store{files: files, onFull: onFull, stopped: make(chan struct{})}
	restored, err := s.recover()
	if err != nil {
		return nil, restored, err
	}
	s.hard = restored.HardState
	if err := s.startSegment(nil); err != nil {
		return nil, restored, err
	}
	return s, restored, nil
}

// Close stops waiting for a full disk and closes the newest segment.
func (s *Store) Close() error {
	close(s.stopped)
	return s.file.Close()
}

// Syncs returns the number of syncs of log files so far.
func (s *Store) Syncs() uint64 { return s.syncs }

// Append makes groups durable with one sync; it waits while the disk is full.
func (s *Store) Append(groups []Group) error {
	var waiting []Group
	for _, g := range groups {
		if g.Install != nil {
			// What came before is replaced by the snapshot; the hard state must stay.
			waiting = keepHardStates(waiting)
			if err := s.install(*g.Install); err != nil {
				return err
			}
		}
		waiting = append(waiting, g)
	}
	return s.appendRecord(waiting)
}

func keepHardStates(groups []Group) []Group {
	var kept []Group
	for _, g := range groups {
		if g.HardState != nil {
			kept = append(kept, Group{HardState: g.HardState})
		}
	}
	return kept
}

func (s *Store) appendRecord(groups []Group) error {
	m := &pb.StoredGroup{}
	for _, g := range groups {
		for _, e := range g.Entries {
			m.Entries = append(m.Entries, tbcodec.EntryToWire(e))
			s.newest.highest = max(s.newest.highest, e.Index)
		}
		if g.HardState != nil {
			s.hard = *g.HardState
			m.HardState = &pb.HardState{Term: s.hard.Term, Vote: uint64(s.hard.Vote)}
		}
	}
	if len(m.Entries) == 0 && m.HardState == nil {
		return nil
	}
	if err := s.write(m); err != nil {
		return err
	}
	if s.size >= segmentBytes {
		return s.startSegment(nil)
	}
	return nil
}

func (s *Store) write(m *pb.StoredGroup) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("cannot encode a stored group: %w", err)
	}
	record := frame(payload)
	if err := s.writeWhole(record); err != nil {
		return err
	}
	s.size += int64(len(record))
	s.syncs++
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("cannot sync segment %q: %w", s.newest.name, err)
	}
	return nil
}

// writeWhole writes a record; on a full disk it cuts the torn part off and tries again.
func (s *Store) writeWhole(record []byte) error {
	full := false
	for {
		_, err := s.file.Write(record)
		if err == nil {
			if full {
				s.onFull(false)
			}
			return nil
		}
		if !errors.Is(err, syscall.ENOSPC) {
			return fmt.Errorf("cannot write segment %q: %w", s.newest.name, err)
		}
		if err := s.file.Truncate(s.size); err != nil {
			return fmt.Errorf("cannot cut segment %q after a full disk: %w", s.newest.name, err)
		}
		if !full {
			full = true
			s.onFull(true)
		}
		select {
		case <-s.stopped:
			return fmt.Errorf("disk is full and the store is closed: %w", err)
		case <-time.After(diskFullPause):
		}
	}
}

// startSegment opens the next segment; it begins with the hard state.
func (s *Store) startSegment(first *pb.StoredGroup) error {
	name := fmt.Sprintf(numberedPattern, segmentPrefix, s.number+1)
	file, err := s.files.Create(name)
	if err != nil {
		return err
	}
	if s.file != nil {
		s.oldest = append(s.oldest, s.newest)
		if err := s.file.Close(); err != nil {
			return err
		}
	}
	s.number++
	s.newest = segment{name: name}
	s.size = 0
	s.file = file
	if first == nil {
		first = &pb.StoredGroup{}
	}
	first.HardState = &pb.HardState{Term: s.hard.Term, Vote: uint64(s.hard.Vote)}
	if err := s.write(first); err != nil {
		return err
	}
	return s.files.SyncFolder()
}

// SaveSnapshot stores a snapshot of the log prefix and drops segments that it replaces.
func (s *Store) SaveSnapshot(snapshot tbconsensus.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.startSegment(nil); err != nil {
		return err
	}
	return s.dropBefore(snapshot.Meta.Index)
}

// install stores a snapshot of the leader; what the log held before no longer counts.
func (s *Store) install(snapshot tbconsensus.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.startSegment(&pb.StoredGroup{Reset_: true}); err != nil {
		return err
	}
	for i := range s.oldest {
		s.oldest[i].highest = 0
	}
	return s.dropBefore(snapshot.Meta.Index)
}

func (s *Store) writeSnapshot(snapshot tbconsensus.Snapshot) error {
	payload, err := proto.Marshal(&pb.StoredSnapshot{Meta: tbcodec.SnapshotMetaToWire(snapshot.Meta), Data: snapshot.Data})
	if err != nil {
		return fmt.Errorf("cannot encode a snapshot: %w", err)
	}
	if err := s.removeIfThere(unfinishedName); err != nil {
		return err
	}
	file, err := s.files.Create(unfinishedName)
	if err != nil {
		return err
	}
	if _, err := file.Write(frame(payload)); err != nil {
		return errors.Join(fmt.Errorf("cannot write a snapshot: %w", err), file.Close(), s.files.Remove(unfinishedName))
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return fmt.Errorf("cannot sync a snapshot: %w", err)
	}
	name := fmt.Sprintf(numberedPattern, snapshotPrefix, snapshot.Meta.Index)
	if err := s.files.Rename(unfinishedName, name); err != nil {
		return err
	}
	return s.files.SyncFolder()
}

func (s *Store) removeIfThere(name string) error {
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

// dropBefore removes segments and snapshots that a newer snapshot replaces.
func (s *Store) dropBefore(index uint64) error {
	var kept []segment
	for _, old := range s.oldest {
		if old.highest > index {
			kept = append(kept, old)
			continue
		}
		if err := s.files.Remove(old.name); err != nil {
			return err
		}
	}
	s.oldest = kept
	names, err := s.files.List()
	if err != nil {
		return err
	}
	newest := fmt.Sprintf(numberedPattern, snapshotPrefix, index)
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name < newest {
			if err := s.files.Remove(name); err != nil {
				return err
			}
		}
	}
	return s.files.SyncFolder()
}

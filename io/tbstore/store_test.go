package tbstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
)

func openStore(t *testing.T, folder string) (*Store, *Folder, tbconsensus.PersistedState, error) {
	f, err := OpenFolder(folder)
	qt.Assert(t, err, qt.IsNil)
	s, persisted, err := Open(f, func(bool) {})
	if err != nil {
		qt.Assert(t, f.Close(), qt.IsNil)
	}
	return s, f, persisted, err
}

func closeStore(t *testing.T, s *Store, f *Folder) {
	qt.Assert(t, s.Close(), qt.IsNil)
	qt.Assert(t, f.Close(), qt.IsNil)
}

func entriesFrom(first, last, term uint64) []tbconsensus.Entry {
	var all []tbconsensus.Entry
	for i := first; i <= last; i++ {
		all = append(all, tbconsensus.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return all
}

func appendAll(t *testing.T, s *Store, changeSets ...ChangeSet) {
	for _, c := range changeSets {
		qt.Assert(t, s.Append([]ChangeSet{c}), qt.IsNil)
	}
}

func TestAppendedChangeSetsAreRestored(t *testing.T) {
	folder := t.TempDir()
	s, f, _, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s,
		ChangeSet{Entries: entriesFrom(1, 5, 1), HardState: &tbconsensus.HardState{Term: 1, Vote: 2}},
		ChangeSet{Entries: entriesFrom(4, 6, 2)},
		ChangeSet{HardState: &tbconsensus.HardState{Term: 3}})
	closeStore(t, s, f)
	s, f, persisted, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	defer closeStore(t, s, f)
	qt.Check(t, persisted.HardState, qt.Equals, tbconsensus.HardState{Term: 3})
	qt.Check(t, persisted.Entries, qt.DeepEquals, append(entriesFrom(1, 3, 1), entriesFrom(4, 6, 2)...))
}

func TestSnapshotReplacesLogPrefix(t *testing.T) {
	folder := t.TempDir()
	s, f, _, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 10, 1)})
	meta := tbconsensus.SnapshotMeta{Index: 8, Term: 1, Membership: tbconsensus.Membership{Members: []tbconsensus.Member{{ID: 1, Address: "a"}}}}
	qt.Assert(t, s.SaveSnapshot(tbconsensus.Snapshot{Meta: meta, Data: []byte("state")}), qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(11, 12, 1)})
	closeStore(t, s, f)
	s, f, persisted, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	defer closeStore(t, s, f)
	qt.Check(t, persisted.Snapshot.Meta, qt.DeepEquals, meta)
	qt.Check(t, string(persisted.Snapshot.Data), qt.Equals, "state")
	qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(9, 12, 1))
}

func TestInstalledSnapshotDiscardsOldLog(t *testing.T) {
	folder := t.TempDir()
	s, f, _, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 30, 1), HardState: &tbconsensus.HardState{Term: 4, Vote: 1}})
	snapshot := tbconsensus.Snapshot{Meta: tbconsensus.SnapshotMeta{Index: 20, Term: 3}, Data: []byte("leader's")}
	appendAll(t, s, ChangeSet{Install: &snapshot, Entries: entriesFrom(21, 22, 4)})
	closeStore(t, s, f)
	s, f, persisted, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	defer closeStore(t, s, f)
	qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(21, 22, 4))
	qt.Check(t, persisted.HardState, qt.Equals, tbconsensus.HardState{Term: 4, Vote: 1})
}

// newestSegmentPath returns the path of the newest segment file.
// Guards against data folders that cannot be opened, or lose acknowledged entries, after the process was killed while it
// installed a snapshot: the snapshot was stored, and the record that discards the old log was not.
func TestKillWhileSnapshotIsInstalled(t *testing.T) {
	for name, old := range map[string][]tbconsensus.Entry{
		"the log ends before the snapshot":       entriesFrom(1, 5, 1),
		"the log ends with the snapshot":         entriesFrom(1, 8, 2),
		"the log has other entries at its index": entriesFrom(1, 10, 1),
		"the log has another entry at its end":   entriesFrom(1, 8, 1),
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			s, f, _, err := openStore(t, folder)
			qt.Assert(t, err, qt.IsNil)
			appendAll(t, s, ChangeSet{Entries: old})
			meta := tbconsensus.SnapshotMeta{Index: 8, Term: 2, Membership: tbconsensus.Membership{Members: []tbconsensus.Member{{ID: 1, Address: "a"}}}}
			qt.Assert(t, s.writeSnapshot(tbconsensus.Snapshot{Meta: meta, Data: []byte("state")}), qt.IsNil)
			closeStore(t, s, f)
			s, f, persisted, err := openStore(t, folder)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, persisted.Snapshot.Meta.Index, qt.Equals, uint64(8))
			qt.Check(t, persisted.Entries, qt.HasLen, 0)
			appendAll(t, s, ChangeSet{Entries: entriesFrom(9, 12, 2)})
			closeStore(t, s, f)
			s, f, persisted, err = openStore(t, folder)
			qt.Assert(t, err, qt.IsNil)
			defer closeStore(t, s, f)
			qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(9, 12, 2))
		})
	}
}

// Data folders of earlier versions may have a gap in their log that the snapshot covers.
func TestGapThatTheSnapshotCoversIsRead(t *testing.T) {
	folder := t.TempDir()
	s, f, _, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 5, 1)}, ChangeSet{Entries: entriesFrom(9, 12, 2)})
	qt.Assert(t, s.writeSnapshot(tbconsensus.Snapshot{Meta: tbconsensus.SnapshotMeta{Index: 8, Term: 2}, Data: []byte("state")}), qt.IsNil)
	closeStore(t, s, f)
	s, f, persisted, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(9, 12, 2))
	closeStore(t, s, f)

	folder = t.TempDir()
	s, f, _, err = openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 5, 1)}, ChangeSet{Entries: entriesFrom(10, 12, 2)})
	qt.Assert(t, s.writeSnapshot(tbconsensus.Snapshot{Meta: tbconsensus.SnapshotMeta{Index: 8, Term: 2}, Data: []byte("state")}), qt.IsNil)
	closeStore(t, s, f)
	_, _, _, err = openStore(t, folder)
	qt.Check(t, err, qt.ErrorMatches, ".*log entry 10 follows entry 5.*")
}

func newestSegmentPath(t *testing.T, folder string) string {
	names, err := filepath.Glob(filepath.Join(folder, segmentPrefix+"*"))
	qt.Assert(t, err, qt.IsNil)
	return names[len(names)-1]
}

func TestTornTailIsTruncatedAtEveryLength(t *testing.T) {
	folder := t.TempDir()
	s, f, _, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 2, 1)})
	intactSize := int(s.size)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(3, 4, 1)})
	closeStore(t, s, f)
	data, err := os.ReadFile(newestSegmentPath(t, folder))
	qt.Assert(t, err, qt.IsNil)
	for size := intactSize; size < len(data); size++ {
		tornFolder := t.TempDir()
		name := filepath.Join(tornFolder, filepath.Base(newestSegmentPath(t, folder)))
		qt.Assert(t, os.WriteFile(name, data[:size], 0o600), qt.IsNil)
		s, f, persisted, err := openStore(t, tornFolder)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("cut to %d bytes", size))
		qt.Assert(t, persisted.Entries, qt.DeepEquals, entriesFrom(1, 2, 1))
		appendAll(t, s, ChangeSet{Entries: entriesFrom(3, 3, 2)})
		closeStore(t, s, f)
		_, f, persisted, err = openStore(t, tornFolder)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, persisted.Entries, qt.HasLen, 3)
		qt.Assert(t, f.Close(), qt.IsNil)
	}
}

func TestCorruptionBeforeTailFailsOpen(t *testing.T) {
	folder := t.TempDir()
	s, f, _, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	firstRecordOffset := int(s.size)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 2, 1)}, ChangeSet{Entries: entriesFrom(3, 4, 1)})
	closeStore(t, s, f)
	name := newestSegmentPath(t, folder)
	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	data[firstRecordOffset+headerBytes+3] ^= 1
	qt.Assert(t, os.WriteFile(name, data, 0o600), qt.IsNil)
	_, _, _, err = openStore(t, folder)
	var corruption *CorruptionError
	qt.Assert(t, errors.As(err, &corruption), qt.IsTrue)
	qt.Check(t, corruption.Offset, qt.Equals, firstRecordOffset)
	qt.Check(t, strings.Contains(err.Error(), filepath.Base(name)), qt.IsTrue)
}

func TestCorruptSnapshotFailsOpen(t *testing.T) {
	folder := t.TempDir()
	s, f, _, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 3, 1)})
	qt.Assert(t, s.SaveSnapshot(tbconsensus.Snapshot{Meta: tbconsensus.SnapshotMeta{Index: 3, Term: 1}, Data: []byte("state")}), qt.IsNil)
	closeStore(t, s, f)
	name := filepath.Join(folder, fmt.Sprintf(numberedNameFormat, snapshotPrefix, 3))
	qt.Assert(t, os.Truncate(name, 10), qt.IsNil)
	_, _, _, err = openStore(t, folder)
	var corruption *CorruptionError
	qt.Assert(t, errors.As(err, &corruption), qt.IsTrue)
}

func TestFolderIsLockedExclusively(t *testing.T) {
	folder := t.TempDir()
	f, err := OpenFolder(folder)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	_, err = OpenFolder(folder)
	qt.Assert(t, err, qt.ErrorMatches, ".*is another process using the folder.*")
}

// diskFullFiles is a folder on a simulated full disk: while full is set, each write writes half of its
// data and fails with ENOSPC.
type diskFullFiles struct {
	*Folder
	full *atomic.Bool
}

type diskFullFile struct {
	File
	full *atomic.Bool
}

func (f diskFullFiles) Create(name string) (File, error) {
	file, err := f.Folder.Create(name)
	return diskFullFile{File: file, full: f.full}, err
}

func (f diskFullFile) Write(p []byte) (int, error) {
	if !f.full.Load() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, errors.Join(err, syscall.ENOSPC)
}

func TestAppendResumesAfterDiskFull(t *testing.T) {
	folder := t.TempDir()
	f, err := OpenFolder(folder)
	qt.Assert(t, err, qt.IsNil)
	var full atomic.Bool
	s, _, err := Open(diskFullFiles{Folder: f, full: &full}, func(isFull bool) {
		if isFull {
			// The test frees space only after the store has detected that the disk is full.
			full.Store(false)
		}
	})
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 2, 1)})
	full.Store(true)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(3, 4, 1)})
	closeStore(t, s, f)
	s, f, persisted, err := openStore(t, folder)
	qt.Assert(t, err, qt.IsNil)
	defer closeStore(t, s, f)
	qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(1, 4, 1))
}

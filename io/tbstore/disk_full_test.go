package tbstore

import (
	"slices"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"tamarackbarrow/core/tbconsensus"
)

// fullFiles is an FS on a disk that is full for one kind of operation while full is set. Writes then write
// half of their data, and syncs lose what was written since the last one.
type fullFiles struct {
	*memFiles
	operation string
	full      bool
}

func (f *fullFiles) fails(operation string) bool { return f.full && f.operation == operation }

func (f *fullFiles) Create(name string) (File, error) {
	if f.fails("create") {
		return nil, syscall.ENOSPC
	}
	file, err := f.memFiles.Create(name)
	return fullFile{File: file, name: name, files: f}, err
}

func (f *fullFiles) Rename(from, to string) error {
	if f.fails("rename") {
		return syscall.ENOSPC
	}
	return f.memFiles.Rename(from, to)
}

func (f *fullFiles) SyncFolder() error {
	if f.fails("sync of the folder") {
		return syscall.ENOSPC
	}
	return f.memFiles.SyncFolder()
}

type fullFile struct {
	File
	name  string
	files *fullFiles
}

func (f fullFile) Write(p []byte) (int, error) {
	if f.files.fails("write") {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(p)
}

func (f fullFile) Sync() error {
	if f.files.fails("sync") {
		f.files.written[f.name] = slices.Clone(f.files.synced[f.name])
		return syscall.ENOSPC
	}
	return f.File.Sync()
}

// Guards against a replica that takes no part in control any more after its disk was full for a few seconds:
// only writes of the log waited for space, and any other operation ended the storage until a restart. Three
// disks that were full in turn left no quorum.
func TestFullDiskOnlyDelays(t *testing.T) {
	snapshot := func(index uint64) tbconsensus.Snapshot {
		return tbconsensus.Snapshot{Meta: tbconsensus.SnapshotMeta{Index: index, Term: 1}, Data: []byte("state")}
	}
	large := tbconsensus.Entry{Index: 4, Term: 1, Kind: tbconsensus.EntryData, Data: make([]byte, maxSegmentBytes)}
	for _, operation := range []string{"create", "write", "sync", "sync of the folder", "rename"} {
		for _, c := range []struct {
			name string
			do   func(s *Store) error
			// wantSnapshot is the index of the snapshot that is stored afterwards, if the disk was not full for it.
			wantSnapshot uint64
			wantEntries  []uint64
		}{
			{"append", func(s *Store) error { return s.Append([]ChangeSet{{Entries: entriesFrom(4, 4, 1)}}) }, 0, []uint64{1, 2, 3, 4, 5}},
			{"next segment", func(s *Store) error { return s.Append([]ChangeSet{{Entries: []tbconsensus.Entry{large}}}) }, 0, []uint64{1, 2, 3, 4, 5}},
			{"install", func(s *Store) error {
				install := snapshot(9)
				return s.Append([]ChangeSet{{Install: &install, Entries: entriesFrom(10, 10, 1)}})
			}, 9, []uint64{10, 11}},
		} {
			t.Run(operation+"/"+c.name, func(t *testing.T) {
				files := &fullFiles{memFiles: newMemFiles(), operation: operation}
				s, _, err := Open(files, func(isFull bool) {
					if isFull {
						files.full = false
					}
				})
				qt.Assert(t, err, qt.IsNil)
				appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 3, 1)})
				files.full = true
				qt.Assert(t, c.do(s), qt.IsNil)
				files.full = false
				last := c.wantEntries[len(c.wantEntries)-1]
				appendAll(t, s, ChangeSet{Entries: entriesFrom(last, last, 1)})
				files.losePower()
				_, persisted, err := Open(files, func(bool) {})
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, persisted.Snapshot.Meta.Index, qt.Equals, c.wantSnapshot)
				var indexes []uint64
				for _, e := range persisted.Entries {
					indexes = append(indexes, e.Index)
				}
				qt.Check(t, indexes, qt.DeepEquals, c.wantEntries)
			})
		}
		t.Run(operation+"/snapshot", func(t *testing.T) {
			files := &fullFiles{memFiles: newMemFiles(), operation: operation}
			s, _, err := Open(files, func(isFull bool) {
				if isFull {
					files.full = false
				}
			})
			qt.Assert(t, err, qt.IsNil)
			appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 3, 1)})
			files.full = true
			if err := s.SaveSnapshot(snapshot(2)); err != nil {
				qt.Check(t, err, qt.ErrorIs, syscall.ENOSPC)
			}
			// An unfinished snapshot does not take the space that the disk lacks.
			qt.Check(t, files.written[tempSnapshotName], qt.IsNil)
			files.full = false
			appendAll(t, s, ChangeSet{Entries: entriesFrom(4, 4, 1)})
			qt.Check(t, s.SaveSnapshot(snapshot(3)), qt.IsNil)
			files.losePower()
			_, persisted, err := Open(files, func(bool) {})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, persisted.Snapshot.Meta.Index, qt.Equals, uint64(3))
			qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(4, 4, 1))
		})
		t.Run(operation+"/open", func(t *testing.T) {
			files := &fullFiles{memFiles: newMemFiles(), operation: operation, full: true}
			s, _, err := Open(files, func(isFull bool) {
				if isFull {
					files.full = false
				}
			})
			qt.Assert(t, err, qt.IsNil)
			appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 3, 1)})
			files.losePower()
			_, persisted, err := Open(files, func(bool) {})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(1, 3, 1))
		})
	}
}

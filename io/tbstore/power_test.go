package tbstore

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

var errSyncFailed = errors.New("sync failed")

// memFiles is an in-memory FS that keeps written and synced data apart.
type memFiles struct {
	written map[string][]byte
	synced  map[string][]byte
	// failSync makes syncs fail without making data durable, as if the process had been killed before
	// the sync.
	failSync bool
}

func newMemFiles() *memFiles {
	return &memFiles{written: map[string][]byte{}, synced: map[string][]byte{}}
}

// losePower simulates a power loss: it discards all data that was not synced.
func (f *memFiles) losePower() {
	f.written = map[string][]byte{}
	for name, data := range f.synced {
		f.written[name] = slices.Clone(data)
	}
}

type memFile struct {
	files *memFiles
	name  string
}

func (f memFile) Write(p []byte) (int, error) {
	f.files.written[f.name] = append(f.files.written[f.name], p...)
	return len(p), nil
}

func (f memFile) Sync() error {
	if f.files.failSync {
		return errSyncFailed
	}
	f.files.synced[f.name] = slices.Clone(f.files.written[f.name])
	return nil
}

func (f memFile) Truncate(size int64) error {
	f.files.written[f.name] = f.files.written[f.name][:size]
	return nil
}

func (f memFile) Close() error { return nil }

func (f *memFiles) Create(name string) (File, error) {
	if _, ok := f.written[name]; !ok {
		f.written[name] = nil
	}
	return memFile{files: f, name: name}, nil
}

func (f *memFiles) ReadFile(name string) ([]byte, error) {
	data, ok := f.written[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(data), nil
}

func (f *memFiles) List() ([]string, error) { return slices.Sorted(maps.Keys(f.written)), nil }

func (f *memFiles) Rename(from, to string) error {
	f.written[to], f.synced[to] = f.written[from], f.synced[from]
	return f.Remove(from)
}

func (f *memFiles) Remove(name string) error {
	delete(f.written, name)
	delete(f.synced, name)
	return nil
}

func (f *memFiles) SyncFolder() error { return nil }

// A process that was killed between a write and its sync finds the unsynced record when it restarts.
// If Open did not sync this record, a later power loss could remove the record although the records
// after it were acknowledged.
func TestUnsyncedRecordIsSyncedOnOpen(t *testing.T) {
	files := newMemFiles()
	s, _, err := Open(files, func(bool) {})
	qt.Assert(t, err, qt.IsNil)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(1, 3, 1)})
	files.failSync = true
	qt.Assert(t, s.Append([]ChangeSet{{Entries: entriesFrom(4, 4, 1)}}), qt.ErrorIs, errSyncFailed)
	files.failSync = false

	s, persisted, err := Open(files, func(bool) {})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, persisted.Entries, qt.HasLen, 4)
	appendAll(t, s, ChangeSet{Entries: entriesFrom(5, 5, 1)})
	files.losePower()

	_, persisted, err = Open(files, func(bool) {})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, persisted.Entries, qt.DeepEquals, entriesFrom(1, 5, 1))
}

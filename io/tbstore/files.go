package tbstore

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// File is an open file with the operations that the store uses.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// FS is the set of operations on the files of one folder that the store uses. Tests implement it to
// inject faults.
type FS interface {
	// Create opens a file for appending and creates the file if it does not exist. It does not
	// truncate an existing file.
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	List() ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes creations, renames and removals durable.
	SyncFolder() error
}

// Folder is a data folder on disk that one process has locked.
type Folder struct {
	path string
	lock *os.File
}

// OpenFolder locks a folder and creates it if it does not exist. It returns an error if another
// process holds the lock.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(&os.PathError{Op: "lock (is another process using the folder?)", Path: path, Err: err}, lock.Close())
	}
	return &Folder{path: path, lock: lock}, nil
}

const lockName = "lock"

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

// Create implements FS.
func (f *Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
}

// ReadFile implements FS.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name))
}

// List implements FS. The names are sorted.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, nil
}

// Rename implements FS.
func (f *Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// Remove implements FS.
func (f *Folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

// SyncFolder implements FS.
func (f *Folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

package tbstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Identity names the replica that a data folder belongs to.
type Identity struct {
	Replica uint64 `json:"replica"`
	// Founders are the peer addresses of a new group's founders, in the order of their replica ids.
	// It is empty for a replica that joins an existing group.
	Founders []string `json:"founders,omitempty"`
}

const (
	identityName     = "identity.json"
	tempIdentityName = "identity.unfinished"
)

// ReadIdentity returns the folder's identity. The second result is false if the folder has none yet.
func (f *Folder) ReadIdentity() (Identity, bool, error) {
	data, err := f.ReadFile(identityName)
	if errors.Is(err, fs.ErrNotExist) {
		return Identity{}, false, nil
	}
	if err != nil {
		return Identity{}, false, err
	}
	var id Identity
	if err := json.Unmarshal(data, &id); err != nil {
		return Identity{}, false, fmt.Errorf("cannot decode file %q: %w", identityName, err)
	}
	return id, true, nil
}

// WriteIdentity stores the folder's identity durably.
func (f *Folder) WriteIdentity(id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(f.path, tempIdentityName))
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := f.Rename(tempIdentityName, identityName); err != nil {
		return err
	}
	return f.SyncFolder()
}

// Clear removes all stored data but keeps the lock file. The folder then belongs to no replica.
func (f *Folder) Clear() error {
	names, err := f.List()
	if err != nil {
		return err
	}
	// The process may end before all files are removed. The identity is removed first, so that the
	// folder then no longer belongs to the old replica. The next start writes a new identity and still
	// reads the rest of the old log.
	if err := f.Remove(identityName); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if err := f.SyncFolder(); err != nil {
		return err
	}
	for _, name := range names {
		if name == lockName || name == identityName {
			continue
		}
		if err := f.Remove(name); err != nil {
			return err
		}
	}
	return f.SyncFolder()
}

package tbstore

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Whatever the files of a data folder contain, the store opens or reports an error. A process that ended
// instead would end again after each restart.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{8, 1}, []byte{1, 2, 3}, []byte(`{"replica":1}`))
	f.Add([]byte{10, 2, 8, 1}, frameRecord([]byte{10, 2, 8, 1}), []byte(`{"replica":"x"}`))
	f.Add([]byte{18, 4, 8, 1, 16, 1}, append(frameRecord([]byte{8, 1}), 0, 0), []byte{})
	f.Fuzz(func(t *testing.T, payload, lastSegment, identity []byte) {
		dir := t.TempDir()
		for name, data := range map[string][]byte{
			fmt.Sprintf(numberedNameFormat, snapshotPrefix, 1): frameRecord(payload),
			fmt.Sprintf(numberedNameFormat, segmentPrefix, 1):  frameRecord(payload),
			fmt.Sprintf(numberedNameFormat, segmentPrefix, 2):  lastSegment,
			identityName: identity,
		} {
			if len(data) <= headerBytes && name != identityName {
				continue
			}
			if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		folder, err := OpenFolder(dir)
		if err != nil {
			return
		}
		_, _, _ = folder.ReadIdentity()
		if store, _, err := Open(folder, func(bool) {}); err == nil {
			_ = store.Close()
		}
	})
}

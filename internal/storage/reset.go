package storage

import (
	"os"
	"path/filepath"
)

// ResetIdentity renames the file of a daemon whose state is known to be wrong, and
// opens an empty one with a new identity. The old file may still be open; later writes
// to it are lost, as intended. A file that an earlier call renamed is replaced.
func ResetIdentity(dir string) (*Store, Recovered, error) {
	path := filepath.Join(dir, fileName)
	if err := os.Rename(path, path+wrongStateSuffix); err != nil && !os.IsNotExist(err) {
		return nil, Recovered{}, Error.Wrap(err)
	}
	if err := syncDirectory(dir); err != nil {
		return nil, Recovered{}, Error.Wrap(err)
	}
	store, recovered, err := Open(dir)
	return store, recovered, err
}

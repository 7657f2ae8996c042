package storage

import (
	"os"
	"path/filepath"
)

// ResetIdentity puts the file of a daemon aside, whose state is known to be wrong, and
// opens an empty one with a new identity. The old file may still be open; what
// is written to it from then on is lost, as it must be. A file that an earlier
// call put aside is replaced.
func ResetIdentity(dir string) (*Store, Recovered, error) {
	path := filepath.Join(dir, "tealpond.db")
	if err := os.Rename(path, path+".differs"); err != nil && !os.IsNotExist(err) {
		return nil, Recovered{}, Error.Wrap(err)
	}
	directory, err := os.Open(dir)
	if err != nil {
		return nil, Recovered{}, Error.Wrap(err)
	}
	err = directory.Sync()
	_ = directory.Close()
	if err != nil {
		return nil, Recovered{}, Error.Wrap(err)
	}
	store, recovered, _, err := Open(dir)
	return store, recovered, err
}

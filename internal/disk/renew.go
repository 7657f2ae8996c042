package disk

import (
	"os"
	"path/filepath"
)

// Renew puts the file of a daemon aside, whose state is known to be wrong, and
// opens an empty one with a new identity. The old file may still be open; what
// is written to it from then on is lost, as it must be. A file that an earlier
// call put aside is replaced.
func Renew(dir string) (*Disk, Held, error) {
	path := filepath.Join(dir, "tealpond.db")
	if err := os.Rename(path, path+".differs"); err != nil && !os.IsNotExist(err) {
		return nil, Held{}, Error.Wrap(err)
	}
	folder, err := os.Open(dir)
	if err != nil {
		return nil, Held{}, Error.Wrap(err)
	}
	err = folder.Sync()
	_ = folder.Close()
	if err != nil {
		return nil, Held{}, Error.Wrap(err)
	}
	d, h, _, err := Open(dir)
	return d, h, err
}

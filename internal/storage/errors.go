package storage

import "fmt"

// CorruptError means that the file is provably not what this program last synced: it
// is no bbolt file, its pages contradict one another, or a record of ours does
// not read. Such a file is put aside and the daemon takes a new identity.
type CorruptError struct {
	Location string // page, bucket or record
	Reason   string
}

func (t *CorruptError) Error() string { return "torn: " + t.Location + ": " + t.Reason }

func corrupt(location, reason string, args ...any) error {
	return &CorruptError{Location: location, Reason: fmt.Sprintf(reason, args...)}
}

// UnavailableError means that the disk does not serve at the moment: full, stalled,
// refusing, locked, out of reach. It says nothing about what the file holds,
// which is therefore left as it is; the call is made again later.
type UnavailableError struct {
	Op  string
	Err error
}

func (u *UnavailableError) Error() string { return u.Op + ": " + u.Err.Error() }

// Unwrap gives the error of the system.
func (u *UnavailableError) Unwrap() error { return u.Err }

func unavailable(op string, err error) error { return &UnavailableError{Op: op, Err: err} }

// VersionError means that a record is as it was written, and that this program can't
// read it: it was written by another version. The file is left as it is.
type VersionError struct {
	Record string
	Err    error
}

func (u *VersionError) Error() string {
	return "record " + u.Record + " was written by another version: " + u.Err.Error()
}

// Unwrap gives the error of the decoder.
func (u *VersionError) Unwrap() error { return u.Err }

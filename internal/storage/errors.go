package storage

import "fmt"

// CorruptError means that the file is provably not what this program last synced:
// it is no bbolt file, its pages contradict each other, or a record can't be read.
// Open sets such a file aside, and the daemon takes a new identity.
type CorruptError struct {
	Location string // page, bucket or record
	Reason   string
}

func (e *CorruptError) Error() string { return "torn: " + e.Location + ": " + e.Reason }

func corrupt(location, reason string, args ...any) error {
	return &CorruptError{Location: location, Reason: fmt.Sprintf(reason, args...)}
}

// UnavailableError means that the disk does not serve at the moment: it is full,
// stalled, refusing, locked or out of reach. This says nothing about what the file
// holds, which is therefore left as it is; the call is to be repeated later.
type UnavailableError struct {
	Op  string
	Err error // of the operating system or bbolt
}

func (e *UnavailableError) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the error of the operating system or bbolt.
func (e *UnavailableError) Unwrap() error { return e.Err }

func unavailable(op string, err error) error { return &UnavailableError{Op: op, Err: err} }

// VersionError means that a record is as it was written, and that this program
// can't read it: another version wrote it. The file is left as it is.
type VersionError struct {
	Record string // key of the record
	Err    error  // of the decoder
}

func (e *VersionError) Error() string {
	return "record " + e.Record + " was written by another version: " + e.Err.Error()
}

// Unwrap returns the error of the decoder.
func (e *VersionError) Unwrap() error { return e.Err }

package storage

import "fmt"

// CorruptError means that the file is provably not what this program last synced:
// it is not a bbolt file, its pages are inconsistent, or a record cannot be read.
// Open quarantines such a file, and the daemon takes a new identity.
type CorruptError struct {
	Location string // page, bucket or record
	Reason   string
}

func (e *CorruptError) Error() string { return "corrupt: " + e.Location + ": " + e.Reason }

func corrupt(location, reason string, args ...any) error {
	return &CorruptError{Location: location, Reason: fmt.Sprintf(reason, args...)}
}

// UnavailableError means that the file cannot be accessed at the moment: the disk is full,
// stalled, failing or unreachable, access is denied, or the file is locked. This does not tell
// whether the content of the file is valid, so the file is left unchanged. The caller should retry later.
type UnavailableError struct {
	Op  string
	Err error // from the operating system or bbolt
}

func (e *UnavailableError) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the error from the operating system or bbolt.
func (e *UnavailableError) Unwrap() error { return e.Err }

func unavailable(op string, err error) error { return &UnavailableError{Op: op, Err: err} }

// VersionError means that the checksum of a record is valid but this program cannot
// decode it, so another version wrote it. The file is left unchanged.
type VersionError struct {
	Record string // key of the record
	Err    error  // from the decoder
}

func (e *VersionError) Error() string {
	return "record " + e.Record + " was written by another version: " + e.Err.Error()
}

// Unwrap returns the error from the decoder.
func (e *VersionError) Unwrap() error { return e.Err }

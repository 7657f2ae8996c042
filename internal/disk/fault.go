package disk

import "fmt"

// Torn means that the file is provably not what this program last synced: it
// is no bbolt file, its pages contradict one another, or a record of ours does
// not read. Such a file is put aside and the daemon takes a new identity.
type Torn struct {
	Where string // page, bucket or record
	Why   string
}

func (t *Torn) Error() string { return "torn: " + t.Where + ": " + t.Why }

func torn(where, why string, args ...any) error {
	return &Torn{Where: where, Why: fmt.Sprintf(why, args...)}
}

// Unavailable means that the disk does not serve at the moment: full, stalled,
// refusing, locked, out of reach. It says nothing about what the file holds,
// which is therefore left as it is; the call is made again later.
type Unavailable struct {
	Op  string
	Err error
}

func (u *Unavailable) Error() string { return u.Op + ": " + u.Err.Error() }

// Unwrap gives the error of the system.
func (u *Unavailable) Unwrap() error { return u.Err }

func unavailable(op string, err error) error { return &Unavailable{Op: op, Err: err} }

// Unknown means that a record is as it was written, and that this program can't
// read it: it was written by another version. The file is left as it is.
type Unknown struct {
	Record string
	Err    error
}

func (u *Unknown) Error() string {
	return "record " + u.Record + " was written by another version: " + u.Err.Error()
}

// Unwrap gives the error of the decoder.
func (u *Unknown) Unwrap() error { return u.Err }

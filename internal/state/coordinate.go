package state

import (
	"errors"

	"tealpond/internal/coordination"
)

// The commands of applications: each puts one operation of package coordination into the
// log. They read the state's clock, which stands in the entry.

// AcquireLock asks for a lock. The outcome's Value is the fence; CodeConflict if another
// holds it.
type AcquireLock coordination.Acquire

// RenewLock asks for more time; CodeConflict if the lock was lost.
type RenewLock coordination.Renew

// ReleaseLock gives a lock back, if it is held so.
type ReleaseLock coordination.Release

// NextNumber asks for a number above all that were given under its name; it is the
// outcome's Value.
type NextNumber struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// PutKey sets a key. The outcome's Value is the new revision, or, with
// CodePreconditionFailed, that of the key.
type PutKey coordination.Put

// coordination returns the applications' tables, to change them.
func (s *Store) coordination() *coordination.Tables {
	if s.Coordination == nil {
		s.Coordination = coordination.New()
	}
	return s.Coordination
}

// Apply acquires the lock.
func (c *AcquireLock) Apply(s *Store) Outcome {
	fence, err := s.coordination().Acquire(coordination.Acquire(*c), s.Clock)
	return coordinationOutcome(fence, err)
}

// Apply renews the lock.
func (c *RenewLock) Apply(s *Store) Outcome {
	return coordinationOutcome(0, s.coordination().Renew(coordination.Renew(*c), s.Clock))
}

// Apply releases the lock.
func (c *ReleaseLock) Apply(s *Store) Outcome {
	s.coordination().Release(coordination.Release(*c))
	return Outcome{Code: CodeOK}
}

// Apply returns the number.
func (c *NextNumber) Apply(s *Store) Outcome {
	return coordinationOutcome(s.coordination().NextNumber(c.Name))
}

// Apply sets the key.
func (c *PutKey) Apply(s *Store) Outcome {
	revision, err := s.coordination().Put(coordination.Put(*c), s.Clock)
	return coordinationOutcome(revision, err)
}

// coordinationOutcome is the outcome of an operation.
func coordinationOutcome(value int64, err error) Outcome {
	var mismatch *coordination.RevisionError
	switch {
	case err == nil:
		return Outcome{Code: CodeOK, Value: value}
	case errors.Is(err, coordination.ErrFull):
		// No promise: a copy of the call may find room.
		return Outcome{Code: CodeUnknown, Text: err.Error()}
	case errors.As(err, &mismatch):
		return Outcome{Code: CodePreconditionFailed, Text: mismatch.Error(), Value: mismatch.Revision}
	}
	return Outcome{Code: CodeConflict, Text: err.Error()}
}

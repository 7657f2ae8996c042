package state

import (
	"errors"

	"tealpond/internal/coordination"
)

// The commands on applications' locks, counters and keys. Each replicates one operation
// of package coordination. They use the state clock, which is part of the log entry.

// AcquireLock acquires a lock. The outcome's Value is the fencing token. The outcome is
// CodeConflict if another holder has the lock.
type AcquireLock coordination.Acquire

// RenewLock extends the hold on a lock. The outcome is CodeConflict if the lock was
// lost.
type RenewLock coordination.Renew

// ReleaseLock releases a lock if its holder and fence match.
type ReleaseLock coordination.Release

// NextNumber increments the counter of a name. The outcome's Value is the new number,
// which is above all numbers returned for that name before.
type NextNumber struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// PutKey sets a key. The outcome's Value is the new revision, or the key's current
// revision if the outcome is CodePreconditionFailed.
type PutKey coordination.Put

// coordination returns the applications' tables for modification, and creates them if
// there are none.
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

// Apply increments the counter.
func (c *NextNumber) Apply(s *Store) Outcome {
	return coordinationOutcome(s.coordination().NextNumber(c.Name))
}

// Apply sets the key.
func (c *PutKey) Apply(s *Store) Outcome {
	revision, err := s.coordination().Put(coordination.Put(*c), s.Clock)
	return coordinationOutcome(revision, err)
}

// coordinationOutcome converts the result of a coordination operation to an outcome.
func coordinationOutcome(value int64, err error) Outcome {
	var mismatch *coordination.RevisionError
	switch {
	case err == nil:
		return Outcome{Code: CodeOK, Value: value}
	case errors.Is(err, coordination.ErrFull):
		// The refusal is not final: a later copy of the command may succeed.
		return Outcome{Code: CodeUnknown, Text: err.Error()}
	case errors.As(err, &mismatch):
		return Outcome{Code: CodePreconditionFailed, Text: mismatch.Error(), Value: mismatch.Revision}
	}
	return Outcome{Code: CodeConflict, Text: err.Error()}
}

package state

// ConfirmDigest tells which digest most replicas had at an index. It changes
// nothing in the tables: each replica compares the digest with its own, beside
// the log.
type ConfirmDigest struct {
	_              struct{} `cbor:",toarray"`
	Index          uint64
	Digest         uint64
	ProgramVersion string // the version of the program that the digest holds for
}

// Apply keeps it for TakeConfirmedDigests.
func (c *ConfirmDigest) Apply(s *Store) Outcome {
	s.confirmedDigests = append(s.confirmedDigests, *c)
	return Outcome{Code: CodeOK}
}

// TakeConfirmedDigests returns the digests that were confirmed since the last
// call.
func (s *Store) TakeConfirmedDigests() []ConfirmDigest { return take(&s.confirmedDigests) }

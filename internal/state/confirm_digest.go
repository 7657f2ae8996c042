package state

// ConfirmDigest announces the digest that a majority of replicas had at an index. It
// changes no table: each replica compares the digest with its own after applying the
// command.
type ConfirmDigest struct {
	_              struct{} `cbor:",toarray"`
	Index          uint64
	Digest         uint64
	ProgramVersion string // version of the program that computed the digest
}

// Apply queues the digest for TakeConfirmedDigests.
func (c *ConfirmDigest) Apply(s *Store) Outcome {
	s.confirmedDigests = append(s.confirmedDigests, *c)
	return Outcome{Code: CodeOK}
}

// TakeConfirmedDigests returns the digests that were confirmed since the last call.
func (s *Store) TakeConfirmedDigests() []ConfirmDigest { return takeAll(&s.confirmedDigests) }

package state

import (
	"crypto/sha256"
	"encoding/binary"
)

// Replicas prove that they agree by sums of two kinds. The chain is kept with
// every entry: it covers the entries, the outcomes of their commands and the
// counts of rows. SnapshotDigest covers a whole saved state. Both are part of what is
// compared, neither is ever read by a command.

// SnapshotDigest is a digest of a saved state.
func SnapshotDigest(saved []byte) uint64 {
	sum := sha256.Sum256(saved)
	return binary.BigEndian.Uint64(sum[:])
}

// extendDigestChain takes an entry and its outcomes into the chain. Outcomes are nil for an
// entry without commands.
func (s *Store) extendDigestChain(data []byte, outcomes []Outcome) {
	if s.DigestChainFrom == 0 {
		return
	}
	h := sha256.New()
	buf := make([]byte, 0, 256)
	number := func(n uint64) { buf = binary.BigEndian.AppendUint64(buf, n) }
	number(s.DigestChain)
	number(s.AppliedIndex)
	number(uint64(len(data)))
	for i := range outcomes {
		number(uint64(outcomes[i].Code))
		number(uint64(outcomes[i].Value))
		number(uint64(len(outcomes[i].Text)))
		buf = append(buf, outcomes[i].Text...)
	}
	for _, n := range []uint64{s.LastID, uint64(s.LastJobSequence), uint64(s.Clock), uint64(s.Configuration.Version), uint64(len(s.Workers)),
		uint64(len(s.Devices)), uint64(len(s.Allocations)), uint64(len(s.Jobs))} {
		number(n)
	}
	// A hash never fails to write.
	_, _ = h.Write(buf)
	_, _ = h.Write(data)
	s.DigestChain = binary.BigEndian.Uint64(h.Sum(buf[:0]))
}

// ConfirmDigest says which sum the majority of the replicas had at an entry. It changes
// nothing: each replica compares it with its own, out of band.
type ConfirmDigest struct {
	_              struct{} `cbor:",toarray"`
	Index          uint64
	Digest         uint64
	ProgramVersion string // the version of the program that the sum holds for
}

// Apply hands it to the daemon.
func (c *ConfirmDigest) Apply(s *Store) Outcome {
	s.confirmedDigests = append(s.confirmedDigests, *c)
	return Outcome{Code: CodeOK}
}

// TakeConfirmedDigests hands out the sums that were agreed on since.
func (s *Store) TakeConfirmedDigests() []ConfirmDigest {
	out := s.confirmedDigests
	s.confirmedDigests = nil
	return out
}

package state

import (
	"crypto/sha256"
	"encoding/binary"
)

// Replicas compare their states by two kinds of digests. The digest chain
// (Store.DigestChain) is extended with every entry. It covers the entries, the outcomes
// of their commands, the counters and the numbers of rows. SnapshotDigest covers the
// complete state, at some indexes only. No command depends on either of them.

// SnapshotDigest returns the digest of an encoded snapshot.
func SnapshotDigest(snapshot []byte) uint64 {
	digest := sha256.Sum256(snapshot)
	return binary.BigEndian.Uint64(digest[:])
}

// extendDigestChain adds an entry and its outcomes to the chain if the chain has
// started. An entry without commands has neither data nor outcomes.
func (s *Store) extendDigestChain(data []byte, outcomes []Outcome) {
	if s.DigestChainFrom == 0 {
		return
	}
	hash := sha256.New()
	buffer := make([]byte, 0, 256)
	appendUint64 := func(n uint64) { buffer = binary.BigEndian.AppendUint64(buffer, n) }
	appendUint64(s.DigestChain)
	appendUint64(s.AppliedIndex)
	appendUint64(uint64(len(data)))
	for i := range outcomes {
		appendUint64(uint64(outcomes[i].Code))
		appendUint64(uint64(outcomes[i].Value))
		appendUint64(uint64(len(outcomes[i].Text)))
		buffer = append(buffer, outcomes[i].Text...)
	}
	for _, n := range []uint64{s.LastID, uint64(s.LastJobSequence), uint64(s.Clock), uint64(s.Configuration.Version), uint64(len(s.Workers)),
		uint64(len(s.Devices)), uint64(len(s.Allocations)), uint64(len(s.Jobs))} {
		appendUint64(n)
	}
	// Write of a hash.Hash never returns an error.
	_, _ = hash.Write(buffer)
	_, _ = hash.Write(data)
	s.DigestChain = binary.BigEndian.Uint64(hash.Sum(buffer[:0]))
}

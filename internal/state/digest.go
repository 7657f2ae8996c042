package state

import (
	"crypto/sha256"
	"encoding/binary"
)

// Replicas compare their states by digests of two kinds. The digest chain
// (Store.DigestChain) is extended with every entry: it covers the entries, the
// outcomes of their commands and the numbers of rows. SnapshotDigest covers the
// whole state, at some indexes only. No command reads either of them.

// SnapshotDigest is the digest of an encoded snapshot.
func SnapshotDigest(snapshot []byte) uint64 {
	digest := sha256.Sum256(snapshot)
	return binary.BigEndian.Uint64(digest[:])
}

// extendDigestChain adds an entry and its outcomes to the chain, once the chain has
// begun. An entry without commands has neither data nor outcomes.
func (s *Store) extendDigestChain(data []byte, outcomes []Outcome) {
	if s.DigestChainFrom == 0 {
		return
	}
	hash := sha256.New()
	buffer := make([]byte, 0, 256)
	appendNumber := func(n uint64) { buffer = binary.BigEndian.AppendUint64(buffer, n) }
	appendNumber(s.DigestChain)
	appendNumber(s.AppliedIndex)
	appendNumber(uint64(len(data)))
	for i := range outcomes {
		appendNumber(uint64(outcomes[i].Code))
		appendNumber(uint64(outcomes[i].Value))
		appendNumber(uint64(len(outcomes[i].Text)))
		buffer = append(buffer, outcomes[i].Text...)
	}
	for _, n := range []uint64{s.LastID, uint64(s.LastJobSequence), uint64(s.Clock), uint64(s.Configuration.Version), uint64(len(s.Workers)),
		uint64(len(s.Devices)), uint64(len(s.Allocations)), uint64(len(s.Jobs))} {
		appendNumber(n)
	}
	// A hash never fails to write.
	_, _ = hash.Write(buffer)
	_, _ = hash.Write(data)
	s.DigestChain = binary.BigEndian.Uint64(hash.Sum(buffer[:0]))
}

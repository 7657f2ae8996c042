package store

import (
	"crypto/sha256"
	"encoding/binary"
)

// Replicas prove that they agree by sums of two kinds. The chain is kept with
// every entry: it covers the entries, the outcomes of their commands and the
// counts of rows. SumOf covers a whole saved state. Both are part of what is
// compared, neither is ever read by a command.

// SumOf is a digest of a saved state.
func SumOf(saved []byte) uint64 {
	sum := sha256.Sum256(saved)
	return binary.BigEndian.Uint64(sum[:])
}

// link takes an entry and its outcomes into the chain. Outcomes are nil for an
// entry without commands.
func (s *Store) link(data []byte, outcomes []Outcome) {
	if s.ChainFrom == 0 {
		return
	}
	h := sha256.New()
	buf := make([]byte, 0, 256)
	number := func(n uint64) { buf = binary.BigEndian.AppendUint64(buf, n) }
	number(s.Chain)
	number(s.Applied)
	number(uint64(len(data)))
	for i := range outcomes {
		number(uint64(outcomes[i].Code))
		number(uint64(outcomes[i].N))
		number(uint64(len(outcomes[i].Text)))
		buf = append(buf, outcomes[i].Text...)
	}
	for _, n := range []uint64{s.Last, uint64(s.LastSeq), uint64(s.Clock), uint64(s.Desired.Version), uint64(len(s.Workers)),
		uint64(len(s.Devices)), uint64(len(s.Allocs)), uint64(len(s.Jobs))} {
		number(n)
	}
	// A hash never fails to write.
	_, _ = h.Write(buf)
	_, _ = h.Write(data)
	s.Chain = binary.BigEndian.Uint64(h.Sum(buf[:0]))
}

// Agree says which sum the majority of the replicas had at an entry. It changes
// nothing: each replica compares it with its own, out of band.
type Agree struct {
	_       struct{} `cbor:",toarray"`
	Index   uint64
	Sum     uint64
	Program string // the version of the program that the sum holds for
}

func init() { register("agree", func() Cmd { return &Agree{} }) }

// Apply hands it to the daemon.
func (c *Agree) Apply(s *Store) Outcome {
	s.agreed = append(s.agreed, *c)
	return Outcome{Code: 200}
}

// Agreed hands out the sums that were agreed on since.
func (s *Store) Agreed() []Agree {
	out := s.agreed
	s.agreed = nil
	return out
}

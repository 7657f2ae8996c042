package store

import (
	"crypto/sha256"
	"sort"
)

// TakenKept is how many accepted configurations are remembered. Operators send
// an order again within minutes; a busy day holds some 11,000 changes and one
// record takes about 30 bytes of the snapshot.
const TakenKept = 4096

// RefusedKept is how many refusals of orders on a version that was never in
// force are remembered. Only such an order could be accepted after it was
// refused, and operators build on versions that they have seen.
const RefusedKept = 256

// TakenDigest identifies the text of a configuration.
type TakenDigest [16]byte

// Taken is one accepted configuration, or a refused one.
type Taken struct {
	_       struct{} `cbor:",toarray"`
	Base    int64
	Version int64 // 0 for a refused one
	Digest  TakenDigest
}

// TakenLog remembers the configurations that were accepted, so that an order
// that is sent again is answered as it was at first, however many changes came
// between. Each base is built on once and the version that follows is the next
// base, so the accepted ones form a chain: Accepted is ordered by Base and by
// Version, and what was dropped from its front lies at or below the first Base.
type TakenLog struct {
	_        struct{} `cbor:",toarray"`
	Accepted []Taken
	Refused  []Taken
}

// digestOf gives the identity of a configuration's text: the first half of its
// SHA-256.
func digestOf(raw []byte) TakenDigest {
	sum := sha256.Sum256(raw)
	return TakenDigest(sum[:16])
}

// on finds the accepted configuration that was built on a base.
func (l *TakenLog) on(base int64) (Taken, bool) {
	i := sort.Search(len(l.Accepted), func(i int) bool { return l.Accepted[i].Base >= base })
	if i == len(l.Accepted) || l.Accepted[i].Base != base {
		return Taken{}, false
	}
	return l.Accepted[i], true
}

// accept adds a configuration that was put in force.
func (l *TakenLog) accept(base, version int64, digest TakenDigest) {
	l.Accepted = append(l.Accepted, Taken{Base: base, Version: version, Digest: digest})
	l.Accepted = newest(l.Accepted, TakenKept)
}

// refuse notes that an order on a version that isn't in force was refused.
func (l *TakenLog) refuse(base int64, digest TakenDigest) {
	if !l.refused(base, digest) {
		l.Refused = append(l.Refused, Taken{Base: base, Digest: digest})
		l.Refused = newest(l.Refused, RefusedKept)
	}
}

func (l *TakenLog) refused(base int64, digest TakenDigest) bool {
	for _, r := range l.Refused {
		if r.Base == base && r.Digest == digest {
			return true
		}
	}
	return false
}

// forgotten is the version up to which nothing is known any more: 0 while all
// accepted configurations are remembered, and the current version in a state
// that was saved before there were records.
func (l *TakenLog) forgotten(current int64) int64 {
	if len(l.Accepted) == 0 {
		return current
	}
	return l.Accepted[0].Base
}

// newest keeps the last so many records.
func newest(records []Taken, most int) []Taken {
	if len(records) <= most {
		return records
	}
	return records[len(records)-most:]
}

package tally

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
)

// Vector gives, for each origin, the number up to which all its adds are on a disk.
type Vector map[string]uint64

// Covers reports whether v includes all adds of another vector.
func (v Vector) Covers(other Vector) bool {
	for origin, number := range other {
		if v[origin] < number {
			return false
		}
	}
	return true
}

// Digest is a digest of a complete vector: the sum of the hashes of each origin with its number, so
// that the order doesn't matter and a change costs two hashes.
type Digest struct {
	_         struct{} `cbor:",toarray"`
	High, Low uint64
}

// withNumber returns the digest after the number of an origin changed from before to after; 0 means
// that the origin is not in the vector.
func (d Digest) withNumber(origin string, before, after uint64) Digest {
	if before > 0 {
		high, low := hashNumber(origin, before)
		d.High, d.Low = d.High-high, d.Low-low
	}
	if after > 0 {
		high, low := hashNumber(origin, after)
		d.High, d.Low = d.High+high, d.Low+low
	}
	return d
}

// hashNumber returns the hash of an origin with its number.
func hashNumber(origin string, number uint64) (high, low uint64) {
	text := binary.BigEndian.AppendUint64([]byte(origin), number)
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:16])
}

// digestOf returns the digest of a vector.
func digestOf(vector Vector) Digest {
	var digest Digest
	for origin, number := range vector {
		digest = digest.withNumber(origin, 0, number)
	}
	return digest
}

// peerVector is a peer's vector, assembled from its messages. It is correct once its digest equals
// the one that the peer sent.
type peerVector struct {
	numbers  Vector
	digest   Digest // of numbers
	complete bool   // numbers is the complete vector as of the peer's last message
}

// update applies a message: the origins that changed, or all of them, and the digest of all. local
// is the receiver's set, whose vector is usually the same as the peer's.
func (p *peerVector) update(message *Message, local *Set) {
	if message.Whole {
		p.numbers, p.digest, p.complete = Vector{}, Digest{}, true
	}
	for origin, number := range message.Vector {
		if number > p.numbers[origin] {
			p.digest = p.digest.withNumber(origin, p.numbers[origin], number)
			p.numbers[origin] = number
		}
	}
	switch {
	case p.digest == message.Digest:
		p.complete = true
	case local.Digest() == message.Digest:
		p.numbers, p.digest, p.complete = maps.Clone(local.Vector()), message.Digest, true
	default:
		// The peer has lost adds, or a message was lost. Only the contents of this message are
		// certain.
		p.numbers = maps.Clone(message.Vector)
		if p.numbers == nil {
			p.numbers = Vector{}
		}
		p.digest, p.complete = digestOf(p.numbers), false
	}
}

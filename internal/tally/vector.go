package tally

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
)

// Vector gives, for each origin, the number up to which all its adds are on a disk.
type Vector map[string]uint64

// Covers reports whether all adds of another vector are there too.
func (v Vector) Covers(other Vector) bool {
	for origin, number := range other {
		if v[origin] < number {
			return false
		}
	}
	return true
}

// Digest stands for a whole vector in a message: the sum of a hash of each origin with its
// number, so that the order doesn't matter and a change costs two hashes.
type Digest struct {
	_         struct{} `cbor:",toarray"`
	High, Low uint64
}

// replace returns the digest after the number of an origin has changed; 0 is none.
func (d Digest) replace(origin string, before, after uint64) Digest {
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

// hashNumber is the hash of an origin with its number.
func hashNumber(origin string, number uint64) (high, low uint64) {
	text := binary.BigEndian.AppendUint64([]byte(origin), number)
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:8]), binary.BigEndian.Uint64(sum[8:16])
}

// digestOf is the digest of a vector.
func digestOf(vector Vector) Digest {
	var digest Digest
	for origin, number := range vector {
		digest = digest.replace(origin, 0, number)
	}
	return digest
}

// peerVector is a vector as a peer tells it, in parts: what is known of it is right once its
// digest is the one that the peer names.
type peerVector struct {
	numbers Vector
	digest  Digest // of numbers
	known   bool   // numbers is the whole vector of the peer's last message
}

// learn takes over what a message says: the origins that changed, or all of them, and the
// digest of all. own is the receiver's vector: most often the peer has the same.
func (p *peerVector) learn(message *Message, own *Set) {
	if message.Whole {
		p.numbers, p.digest, p.known = Vector{}, Digest{}, true
	}
	for origin, number := range message.Vector {
		if number > p.numbers[origin] {
			p.digest = p.digest.replace(origin, p.numbers[origin], number)
			p.numbers[origin] = number
		}
	}
	switch {
	case p.digest == message.Digest:
		p.known = true
	case own.Digest() == message.Digest:
		p.numbers, p.digest, p.known = maps.Clone(own.Vector()), message.Digest, true
	default:
		// The peer has lost what it had, or a message was lost. Only what this message says
		// is sure.
		p.numbers = maps.Clone(message.Vector)
		if p.numbers == nil {
			p.numbers = Vector{}
		}
		p.digest, p.known = digestOf(p.numbers), false
	}
}

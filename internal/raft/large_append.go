package raft

import (
	"slices"
	"time"
)

// Large appends share the leader's network link with the heartbeats to all members. On a slow link, a
// cluster configuration being sent to four members delays the heartbeats by more than an election
// timeout. The total size of large appends in flight to all members is therefore limited, so that
// heartbeats are sent between them. The limit follows the measured link rate: the bytes that the link
// delivers within Config.MaxLargeAppendDelay, and Config.MaxLargeAppendBytes while the rate is unknown.
// On a slow link the limit doesn't delay the commit of an entry, since the link carries the same number
// of bytes until a quorum has it. On a fast link the limit isn't reached after the first large append.

// minLargeAppendBytes is the smallest size in bytes at which an append counts as large. Smaller
// appends barely delay a heartbeat on any link.
const minLargeAppendBytes = 16 << 10

// linkRateMaxAge is how long a measured link rate is used, since a link may become slower. After that,
// Config.MaxLargeAppendBytes is the limit until the next large append measures the rate again.
const linkRateMaxAge = time.Second

// maxMissedHeartbeats is the number of heartbeat intervals without a response after which a member
// counts as unreachable. Large appends to it then no longer delay those to other members.
const maxMissedHeartbeats = 3

// largeAppend is a large append in flight to a member.
type largeAppend struct {
	stamp       int64  // its send stamp
	lastIndex   uint64 // of its last entry
	bytes       int
	queuedBytes int // bytes of large appends in flight to the member when it was sent, including its own
	sentAt      time.Time
}

// largeAppendProgress is the leader's view of the large appends to a member.
type largeAppendProgress struct {
	appends []largeAppend // in flight, oldest first
	rate    float64       // last measured link rate, in bytes per second
	rateAt  time.Time     // when rate was measured; zero if never
}

// largeBytesInFlight returns the number of bytes of large appends in flight to a member. Appends to an
// unreachable member, and appends not acknowledged within LargeAppendTimeout, aren't counted.
func (n *Node) largeBytesInFlight(peer *progress) (bytes int) {
	if n.now.Sub(peer.lastContact) >= maxMissedHeartbeats*n.config.HeartbeatInterval {
		return 0
	}
	for _, sent := range peer.largeAppends.appends {
		if sent.lastIndex > peer.match && n.now.Sub(sent.sentAt) < n.config.LargeAppendTimeout {
			bytes += sent.bytes
		}
	}
	return bytes
}

// recordLargeAppendSent records an append that is being sent to a member, if it is large.
func (n *Node) recordLargeAppendSent(peer *progress, stamp int64, lastIndex uint64, size int) {
	if size < minLargeAppendBytes {
		return
	}
	sent := largeAppend{
		stamp: stamp, lastIndex: lastIndex, bytes: size, queuedBytes: n.largeBytesInFlight(peer) + size, sentAt: n.now,
	}
	peer.largeAppends.appends = append(peer.largeAppends.appends, sent)
}

// recordLargeAppendAcked measures the link rate to a member from its response to a large append, and
// removes the appends that it has acknowledged. The measured time includes the member's disk sync, so
// the rate is an underestimate.
func (n *Node) recordLargeAppendAcked(peer *progress, stamp int64) {
	if len(peer.largeAppends.appends) == 0 {
		return
	}
	for _, sent := range peer.largeAppends.appends {
		if elapsed := n.now.Sub(sent.sentAt); sent.stamp == stamp && elapsed > 0 {
			peer.largeAppends.rate, peer.largeAppends.rateAt = float64(sent.queuedBytes)/elapsed.Seconds(), n.now
		}
	}
	peer.largeAppends.appends = slices.DeleteFunc(peer.largeAppends.appends, func(sent largeAppend) bool {
		return sent.lastIndex <= peer.match || n.now.Sub(sent.sentAt) >= n.config.LargeAppendTimeout
	})
}

// maxLargeBytesInFlight returns the limit on the bytes of large appends in flight to all members: the
// bytes that the leader's link carries within MaxLargeAppendDelay, but at least MaxLargeAppendBytes.
// The rate of the leader's link is taken to be the highest rate measured to any member.
func (n *Node) maxLargeBytesInFlight() int {
	rate := 0.0
	for _, peer := range n.peers {
		if !peer.largeAppends.rateAt.IsZero() && n.now.Sub(peer.largeAppends.rateAt) < linkRateMaxAge {
			rate = max(rate, peer.largeAppends.rate)
		}
	}
	return max(n.config.MaxLargeAppendBytes, int(rate*n.config.MaxLargeAppendDelay.Seconds()))
}

// mustWaitForLargeAppends reports whether a member's next append, of size bytes, has to wait for large
// appends in flight to other members.
func (n *Node) mustWaitForLargeAppends(peer *progress, size int) bool {
	if n.config.MaxLargeAppendBytes == 0 || size < minLargeAppendBytes {
		return false
	}
	otherBytes := 0
	for _, other := range n.peers {
		if other != peer {
			otherBytes += n.largeBytesInFlight(other)
		}
	}
	return otherBytes > 0 && otherBytes+size > n.maxLargeBytesInFlight()
}

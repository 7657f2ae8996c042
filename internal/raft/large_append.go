package raft

import (
	"slices"
	"time"
)

// Large appends share the leader's link with its heartbeats, to all members: where that link is
// narrow, a configuration on its way to four of them holds the heartbeats up for longer than an
// election timeout. So the large appends that are on their way to all members together are bounded,
// and heartbeats pass in between. The bound follows what the links are seen to carry: as much as
// they deliver within Config.MaxLargeAppendDelay, and Config.MaxLargeAppendBytes while that is not
// known. On a narrow link a quorum has an entry no later for it, since the link carries the same
// bytes; on a wide one the bound is out of reach after the first large append.

// minLargeAppendBytes is the size of an append from which on it counts as large, in bytes. Smaller
// ones delay a heartbeat by little on any link.
const minLargeAppendBytes = 16 << 10

// linkRateMaxAge is for how long a measured rate is believed. A link that has narrowed since
// then is found by the first large append, which goes alone.
const linkRateMaxAge = time.Second

// maxMissedHeartbeats is after how many heartbeat intervals without an answer a member counts as
// cut off: it holds up nobody.
const maxMissedHeartbeats = 3

// largeAppend is a large append on its way to a member.
type largeAppend struct {
	stamp     int64  // its send stamp
	lastIndex uint64 // of its newest entry
	bytes     int
	queued    int // bytes of large appends on their way to the member when it was sent, its own too
	sentAt    time.Time
}

// largeAppendProgress is what the leader knows of large appends to a member.
type largeAppendProgress struct {
	appends []largeAppend // on their way, the oldest first
	rate    float64       // bytes a second that were last delivered
	rateAt  time.Time     // zero: never
}

// largeBytesInFlight is how many bytes of large appends are on their way to a member. Those to one
// that answers nothing, and those that were not acknowledged in time, count no more.
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

// noteLargeAppendSent records an append that is sent to a member.
func (n *Node) noteLargeAppendSent(peer *progress, stamp int64, lastIndex uint64, size int) {
	if size < minLargeAppendBytes {
		return
	}
	sent := largeAppend{stamp: stamp, lastIndex: lastIndex, bytes: size, queued: n.largeBytesInFlight(peer) + size, sentAt: n.now}
	peer.largeAppends.appends = append(peer.largeAppends.appends, sent)
}

// noteLargeAppendAcked measures the rate at which a member was sent a large append, by its response,
// and forgets those that it has. A rate counts the member's sync too: it is rather too low.
func (n *Node) noteLargeAppendAcked(peer *progress, stamp int64) {
	if len(peer.largeAppends.appends) == 0 {
		return
	}
	for _, sent := range peer.largeAppends.appends {
		if elapsed := n.now.Sub(sent.sentAt); sent.stamp == stamp && elapsed > 0 {
			peer.largeAppends.rate, peer.largeAppends.rateAt = float64(sent.queued)/elapsed.Seconds(), n.now
		}
	}
	peer.largeAppends.appends = slices.DeleteFunc(peer.largeAppends.appends, func(sent largeAppend) bool {
		return sent.lastIndex <= peer.match || n.now.Sub(sent.sentAt) >= n.config.LargeAppendTimeout
	})
}

// maxLargeBytesInFlight is how many bytes of large appends may be on their way to all members: what
// the leader's link, which is as fast as the fastest member is sent to, carries within
// MaxLargeAppendDelay.
func (n *Node) maxLargeBytesInFlight() int {
	rate := 0.0
	for _, peer := range n.peers {
		if !peer.largeAppends.rateAt.IsZero() && n.now.Sub(peer.largeAppends.rateAt) < linkRateMaxAge {
			rate = max(rate, peer.largeAppends.rate)
		}
	}
	return max(n.config.MaxLargeAppendBytes, int(rate*n.config.MaxLargeAppendDelay.Seconds()))
}

// mustWaitForLargeAppends reports whether a member's next append, of a size in bytes, has to wait
// for large ones that are on their way to others.
func (n *Node) mustWaitForLargeAppends(peer *progress, size int) bool {
	if n.config.MaxLargeAppendBytes == 0 || size < minLargeAppendBytes {
		return false
	}
	others := 0
	for _, other := range n.peers {
		if other != peer {
			others += n.largeBytesInFlight(other)
		}
	}
	return others > 0 && others+size > n.maxLargeBytesInFlight()
}

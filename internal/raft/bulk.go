package raft

import "time"

// Large appends share the leader's link with its heartbeats, to all members: where that link
// is narrow, a configuration on its way to four of them holds the heartbeats up for longer
// than an election timeout. So large appends go to one member after the other, a bounded
// number of bytes at a time, and heartbeats pass in between. On a narrow link a quorum has the
// entry no later for it, since the link carries the same bytes; on a wide one each member that
// waits costs a round trip and a sync (docs/left.md).

// minBulkBytes is the size of an append from which on it counts as large, in bytes. Smaller
// ones delay a heartbeat by little on any link.
const minBulkBytes = 16 << 10

// bulkAppends are the large appends that are on their way to a member.
type bulkAppends struct {
	lastIndex uint64 // of the newest of their entries
	bytes     int
	sentAt    time.Time
}

// silentHeartbeats is after how many heartbeat intervals without an answer a member counts as
// cut off: it holds up nobody.
const silentHeartbeats = 3

// bulkInFlight is how many bytes of large appends are on their way to a member. Those to one
// that answers nothing, and those that were not acknowledged in time, count no more.
func (n *Node) bulkInFlight(peer *progress) int {
	silent := n.now.Sub(peer.lastContact) >= silentHeartbeats*n.config.HeartbeatInterval
	if silent || peer.match >= peer.bulk.lastIndex || n.now.Sub(peer.bulk.sentAt) >= n.config.BulkTimeout {
		return 0
	}
	return peer.bulk.bytes
}

// noteBulk takes note of an append that is sent to a member.
func (n *Node) noteBulk(peer *progress, lastIndex uint64, size int) {
	if size < minBulkBytes {
		return
	}
	peer.bulk = bulkAppends{lastIndex: lastIndex, bytes: n.bulkInFlight(peer) + size, sentAt: n.now}
}

// isHeldBack tells whether a member's next append has to wait for large ones that are on
// their way to others.
func (n *Node) isHeldBack(peer *progress) bool {
	if n.config.MaxBulkBytes == 0 || peer.next > n.LastIndex() || peer.next <= n.base.Index {
		return false
	}
	size := n.nextAppendBytes(peer)
	if size < minBulkBytes {
		return false
	}
	others := 0
	for _, other := range n.peers {
		if other != peer {
			others += n.bulkInFlight(other)
		}
	}
	return others > 0 && others+size > n.config.MaxBulkBytes
}

// nextAppendBytes is the size of a member's next append.
func (n *Node) nextAppendBytes(peer *progress) int {
	size := 0
	for i := peer.next; i <= n.LastIndex() && size < n.config.MaxAppendBytes; i++ {
		size += len(n.log[i-n.base.Index-1].Data) + entryOverheadBytes
	}
	return size
}

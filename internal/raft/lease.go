package raft

import "time"

// SetWallClock gives the reading of the time of day that goes into answers.
func (n *Node) SetWallClock(clock func() int64) { n.wallClock = clock }

// LeaderReady tells whether the leader has applied the first entry of its term.
func (n *Node) LeaderReady() bool {
	return n.role == leader && n.noopIndex > 0 && n.appliedIndex >= n.noopIndex && !n.transferring
}

// HasLease tells whether a majority has confirmed this leader so lately that no
// other can have been elected.
func (n *Node) HasLease(now time.Time) bool {
	if n.role != leader || n.transferring {
		return false
	}
	return now.Sub(n.lastQuorumContact(now)) < time.Duration(float64(n.config.ElectionTimeout)*n.config.LeaseFraction)
}

// lastQuorumContact is the newest time at which a majority, in mid-change of both sets,
// is known to have followed.
func (n *Node) lastQuorumContact(now time.Time) time.Time {
	// Counted from the start, so that zero means never.
	sinceStart := func(t time.Time) uint64 { return uint64(max(0, t.Sub(n.startedAt)) + 1) }
	reached := n.latestConfiguration().quorumValue(func(id string) uint64 {
		if id == n.id {
			return sinceStart(now)
		}
		if peer := n.peers[id]; peer != nil && !peer.faulty && !peer.lastAckedSend.IsZero() {
			return sinceStart(peer.lastAckedSend)
		}
		return 0
	})
	if reached == 0 {
		return time.Time{}
	}
	return n.startedAt.Add(time.Duration(reached - 1))
}

// PeerWallClocks are the others' offsets of time of day against now, in ms.
func (n *Node) PeerWallClocks(now time.Time) []int64 {
	var clocks []int64
	for _, v := range n.Voters() {
		if peer := n.peers[v.ID]; peer != nil && peer.wallClock != 0 && now.Sub(peer.wallClockAt) < 3*time.Second {
			clocks = append(clocks, peer.wallClock+now.Sub(peer.wallClockAt).Milliseconds())
		}
	}
	return clocks
}

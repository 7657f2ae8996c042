package raft

import (
	"math"
	"time"
)

// wallClockMaxAge is the age at which a peer's wall clock reading is no longer used.
const wallClockMaxAge = 3 * time.Second

// SetWallClock sets the source of the wall clock time, in ms since 1970, that responses
// to the leader contain.
func (n *Node) SetWallClock(clock func() int64) { n.wallClock = clock }

// LeaderReady reports whether this member is the leader, has applied the first entry of
// its term, so that its state includes all entries committed before, and isn't
// transferring the leadership.
func (n *Node) LeaderReady() bool {
	return n.role == leader && n.noopIndex > 0 && n.appliedIndex >= n.noopIndex && !n.transferring
}

// HasLease reports whether this member is the leader and was confirmed by a quorum so
// recently that no other leader can have been elected (thesis, section 6.4.1).
func (n *Node) HasLease(now time.Time) bool {
	if n.role != leader || n.transferring {
		return false
	}
	return now.Sub(n.lastQuorumContact(now)) < time.Duration(float64(n.config.ElectionTimeout)*n.config.LeaseFraction)
}

// NoQuorum is the result of QuorumDuration if the given members don't form a quorum.
const NoQuorum = time.Duration(math.MaxInt64)

// QuorumRoundTrip returns the time within which a quorum last responded to this leader, or NoQuorum.
// It covers both network directions and, for an append with entries, the member's write.
func (n *Node) QuorumRoundTrip() time.Duration {
	roundTrips := make(map[string]time.Duration, len(n.peers))
	for id, peer := range n.peers {
		if !peer.lastAckedSend.IsZero() {
			roundTrips[id] = peer.roundTrip
		}
	}
	return n.QuorumDuration(roundTrips)
}

// QuorumDuration returns the shortest time within which a quorum is reached, given the times within
// which the other members are reached. This member is part of the quorum. It returns NoQuorum if
// durations names too few members.
func (n *Node) QuorumDuration(durations map[string]time.Duration) time.Duration {
	shortest := n.latestConfiguration().quorumValue(func(id string) uint64 {
		if id == n.id {
			return math.MaxInt64
		}
		if duration, known := durations[id]; known {
			return uint64(math.MaxInt64 - duration)
		}
		return 0
	})
	return math.MaxInt64 - time.Duration(shortest)
}

// lastQuorumContact returns the latest time at which a quorum is known to have followed
// this leader, or the zero time.
func (n *Node) lastQuorumContact(now time.Time) time.Time {
	// In ns, with an offset of 1, so that zero means never.
	sinceStart := func(t time.Time) uint64 { return uint64(max(0, t.Sub(n.startedAt)) + 1) }
	quorumContact := n.latestConfiguration().quorumValue(func(id string) uint64 {
		if id == n.id {
			return sinceStart(now)
		}
		if peer := n.peers[id]; peer != nil && !peer.faulty && !peer.lastAckedSend.IsZero() {
			return sinceStart(peer.lastAckedSend)
		}
		return 0
	})
	if quorumContact == 0 {
		return time.Time{}
	}
	return n.startedAt.Add(time.Duration(quorumContact - 1))
}

// PeerWallClocks estimates the wall clock time of each other voter at now, in ms since
// 1970, from its last response. Voters without a recent response are omitted.
func (n *Node) PeerWallClocks(now time.Time) []int64 {
	var clocks []int64
	for _, voter := range n.Voters() {
		if peer := n.peers[voter.ID]; peer != nil && peer.wallClock != 0 && now.Sub(peer.wallClockAt) < wallClockMaxAge {
			clocks = append(clocks, peer.wallClock+now.Sub(peer.wallClockAt).Milliseconds())
		}
	}
	return clocks
}

package raft

import (
	"math"
	"time"
)

// wallClockMaxAge is the age from which on a peer's reading of the time of day
// is no longer used.
const wallClockMaxAge = 3 * time.Second

// SetWallClock sets the source of the time of day, in ms since 1970, that goes
// into responses to a leader.
func (n *Node) SetWallClock(clock func() int64) { n.wallClock = clock }

// LeaderReady reports whether this member is the leader and has applied the first
// entry of its term, so that its state holds all that was committed before.
func (n *Node) LeaderReady() bool {
	return n.role == leader && n.noopIndex > 0 && n.appliedIndex >= n.noopIndex && !n.transferring
}

// HasLease reports whether this member is the leader and a majority has confirmed
// it so lately that no other leader can have been elected (thesis, section 6.4.1).
func (n *Node) HasLease(now time.Time) bool {
	if n.role != leader || n.transferring {
		return false
	}
	return now.Sub(n.lastQuorumContact(now)) < time.Duration(float64(n.config.ElectionTimeout)*n.config.LeaseFraction)
}

// NoQuorum is what QuorumDuration gives where no quorum is named.
const NoQuorum = time.Duration(math.MaxInt64)

// QuorumRoundTrip is the time within which a quorum has last answered this leader: the way
// there, a write where there are entries, and the way back.
func (n *Node) QuorumRoundTrip() time.Duration {
	roundTrips := make(map[string]time.Duration, len(n.peers))
	for id, peer := range n.peers {
		if !peer.lastAckedSend.IsZero() {
			roundTrips[id] = peer.roundTrip
		}
	}
	return n.QuorumDuration(roundTrips)
}

// QuorumDuration is the shortest time within which a quorum is reached, given the times within
// which other members are; this member is part of it. NoQuorum if too few are named.
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

// lastQuorumContact is the newest time at which a quorum is known to have
// followed this leader, or the zero time.
func (n *Node) lastQuorumContact(now time.Time) time.Time {
	// Counted in ns from just before the start, so that zero means never.
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

// PeerWallClocks estimates the time of day of each other voter at now, in ms
// since 1970, from its last response. Voters without a recent one are left out.
func (n *Node) PeerWallClocks(now time.Time) []int64 {
	var clocks []int64
	for _, voter := range n.Voters() {
		if peer := n.peers[voter.ID]; peer != nil && peer.wallClock != 0 && now.Sub(peer.wallClockAt) < wallClockMaxAge {
			clocks = append(clocks, peer.wallClock+now.Sub(peer.wallClockAt).Milliseconds())
		}
	}
	return clocks
}

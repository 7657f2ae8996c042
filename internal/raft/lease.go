package raft

import (
	"sort"
	"time"
)

// SetWall gives the reading of the time of day that goes into answers.
func (n *Node) SetWall(f func() int64) { n.wall = f }

// Ready tells whether the leader has applied the first entry of its term.
func (n *Node) Ready() bool {
	return n.role == leader && n.noop > 0 && n.applied >= n.noop && !n.leaving
}

// Lease tells whether a majority has confirmed this leader so lately that no
// other can have been elected.
func (n *Node) Lease(now time.Time) bool {
	if n.role != leader || n.leaving {
		return false
	}
	return now.Sub(n.quorumAt(now)) < time.Duration(float64(n.timing.Elect)*n.timing.LeaseShare)
}

// quorumAt is the newest time at which a majority is known to have followed.
func (n *Node) quorumAt(now time.Time) time.Time {
	voters := n.Voters()
	times := make([]time.Time, 0, len(voters))
	for _, v := range voters {
		if v.Disk == n.me {
			times = append(times, now)
		} else if p := n.peers[v.Disk]; p != nil && !p.faulty {
			times = append(times, p.acked)
		} else {
			times = append(times, time.Time{})
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[len(times)/2]
}

// Walls are the others' offsets of time of day against now, in ms.
func (n *Node) Walls(now time.Time) []int64 {
	var out []int64
	for _, v := range n.Voters() {
		if p := n.peers[v.Disk]; p != nil && p.wall != 0 && now.Sub(p.wallAt) < 3*time.Second {
			out = append(out, p.wall+now.Sub(p.wallAt).Milliseconds())
		}
	}
	return out
}

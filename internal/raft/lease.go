package raft

import "time"

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

// quorumAt is the newest time at which a majority, in mid-change of both sets,
// is known to have followed.
func (n *Node) quorumAt(now time.Time) time.Time {
	// Counted from the start, so that zero means never.
	since := func(t time.Time) uint64 { return uint64(max(0, t.Sub(n.started)) + 1) }
	reached := n.current().reached(func(disk string) uint64 {
		if disk == n.me {
			return since(now)
		}
		if p := n.peers[disk]; p != nil && !p.faulty && !p.acked.IsZero() {
			return since(p.acked)
		}
		return 0
	})
	if reached == 0 {
		return time.Time{}
	}
	return n.started.Add(time.Duration(reached - 1))
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

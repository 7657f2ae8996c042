package core

import (
	"time"

	"tealpond/internal/tune"
)

// swamped tells whether so many writes wait for the disk that nothing more may
// be taken on. Messages of the agreement are dropped then, as if the network
// had lost them: the member can't acknowledge them, and the leader sends them
// again.
func (c *Core) swamped() bool { return c.writesInFlight >= tune.DiskJobs }

// watchDisk says when the disk does not serve, and hands the lead on: a leader
// whose own disk hangs or refuses commits only by all the others, and if it
// ends then, what it alone holds in memory is gone.
func (c *Core) watchDisk(now time.Time) {
	if c.disk != nil {
		c.onBehind(now, c.disk.WriteLag(now))
	}
}

// onBehind takes note of for how long the disk has synced nothing.
func (c *Core) onBehind(now time.Time, behind time.Duration) {
	if behind < tune.DiskBehind || now.Sub(c.diskLoggedAt) < tune.DiskSay {
		return
	}
	c.diskLoggedAt = now
	handed := c.node.IsLeader() && c.node.TransferLeadership()
	_ = c.log.Log("level", "error", "event", "disk.behind", "for", behind, "jobs", c.writesInFlight, "handed", handed)
}

package core

import (
	"context"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// waiter holds the callers whose commands are in one entry of the log.
type waiter struct {
	term    uint64
	replies []func(store.Outcome, bool)
}

// unclear answers the callers of an entry that will not be applied here as it was
// proposed: whether it takes effect isn't known.
func (waiting waiter) unclear() {
	for _, r := range waiting.replies {
		if r != nil {
			r(store.Outcome{}, false)
		}
	}
}

// unclear ends the wait for an entry without an outcome.
func (c *Core) unclear(index uint64) {
	waiting, ok := c.waiters[index]
	if ok {
		delete(c.waiters, index)
		waiting.unclear()
	}
}

// apply applies the settled entries to the state; false if there were none, or
// the state is found to be wrong.
func (c *Core) apply(ctx context.Context) bool {
	defer c.meter.span("apply")()
	entries := c.node.NextCommittedEntries()
	for _, e := range entries {
		c.applyEntry(e)
		c.digestAt(ctx, e.Index)
		c.snapshotAt(ctx, e.Index)
		if c.audit.divergedAt > 0 {
			return false
		}
	}
	return len(entries) > 0
}

func (c *Core) applyEntry(e raft.Entry) {
	if e.Kind != raft.EntryNormal {
		c.state.Skip(e.Index)
		if e.Kind == raft.EntryConfChange {
			_ = c.log.Log("level", "info", "event", "core.conf", "index", e.Index, "voters", len(c.node.VotersAt(e.Index)))
		}
		// A caller may wait here too: its proposal was replaced by the
		// entry of a later leader.
		c.unclear(e.Index)
		return
	}
	out := c.state.Run(e.Index, e.Data)
	c.planDue = true
	if !c.leading {
		// Only a leader plans, and a new one looks at all.
		c.state.Booked()
	}
	c.noteEnds(e)
	c.settle(e, out)
	for _, a := range c.state.Agreed() {
		c.agreedOn(a)
	}
}

// settle answers those who wait for an entry. One of another term is not what
// they proposed, and has outcomes of its own.
func (c *Core) settle(e raft.Entry, out []store.Outcome) {
	waiting, ok := c.waiters[e.Index]
	if !ok {
		return
	}
	if waiting.term != e.Term {
		c.unclear(e.Index)
		return
	}
	delete(c.waiters, e.Index)
	for i, r := range waiting.replies {
		if r != nil {
			r(out[i], true)
		}
	}
}

// noteEnds records the runs and jobs that ended by an entry.
func (c *Core) noteEnds(e raft.Entry) {
	for _, r := range c.state.Closed() {
		c.trace.Record(r.Alloc.Task(), "end applied", int64(r.Alloc.Run), r.How)
		if c.leading && r.How == "done" {
			c.planner.Learn(c.state, r.Alloc, r.At)
		}
		if c.leading && c.debug {
			c.logRun(r)
		}
	}
	for _, job := range c.state.Ended() {
		c.trace.Record(job.ID, "over", int64(e.Index), job.Word())
		if c.leading && c.debug {
			c.logJob(job)
		}
	}
}

// add puts a command into the next entry.
func (c *Core) add(kind string, cmd store.Cmd, reply func(store.Outcome, bool)) {
	c.commands = append(c.commands, store.Encode(kind, cmd))
	c.replies = append(c.replies, reply)
}

// propose puts the waiting commands into the log as one entry. They are
// gathered for a while since an entry costs a message to and from each other
// voter: the pause between two grows with their number. It returns when to
// come back.
func (c *Core) propose(now time.Time) time.Duration {
	if len(c.commands) == 0 {
		return 0
	}
	if left := tune.GroupEach*time.Duration(len(c.node.Voters())-1) - now.Sub(c.proposedAt); left > 0 {
		return left
	}
	c.proposedAt = now
	commands, replies := c.commands, c.replies
	c.meter.add("proposals", 1)
	c.meter.add("commands", len(commands))
	c.commands, c.replies = nil, nil
	index, ok := uint64(0), false
	if c.node.LeaderReady() && !c.swamped() {
		index, ok = c.node.Propose(transport.Encode(store.Batch{Clock: c.clock(now), Wall: c.wall(now), Cmds: commands}))
	}
	waiting := waiter{term: c.node.Term(), replies: replies}
	if !ok {
		waiting.unclear()
		return 0
	}
	// One may wait for this index since an earlier term of this leader.
	c.unclear(index)
	c.waiters[index] = waiting
	return 0
}

// clock is the store's clock: it goes on from the newest stamp in the log.
func (c *Core) clock(now time.Time) int64 {
	return c.clockBase + now.Sub(c.leadingSince).Milliseconds()
}

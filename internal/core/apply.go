package core

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// waiter is a caller whose command is in the log.
type waiter struct {
	term  uint64
	reply []func(store.Outcome, bool)
}

// unclear answers those who wait for an entry that will not be applied here as
// it was proposed: whether it takes effect isn't known.
func (w waiter) unclear() {
	for _, r := range w.reply {
		if r != nil {
			r(store.Outcome{}, false)
		}
	}
}

// unclear ends the wait for an entry without an outcome.
func (c *Core) unclear(index uint64) {
	w, ok := c.waits[index]
	if ok {
		delete(c.waits, index)
		w.unclear()
	}
}

// apply applies the settled entries to the state; false if there were none, or
// the state is found to be wrong.
func (c *Core) apply(ctx context.Context) bool {
	defer c.meter.span("apply")()
	es := c.node.Settled()
	for _, e := range es {
		c.applyEntry(e)
		c.sumAt(ctx, e.Index)
		c.cutAt(ctx, e.Index)
		if c.audit.wrong > 0 {
			return false
		}
	}
	return len(es) > 0
}

func (c *Core) applyEntry(e raft.Entry) {
	if e.Kind != raft.EntryData {
		c.st.Skip(e.Index)
		if e.Kind == raft.EntryConf {
			_ = c.log.Log("level", "info", "event", "core.conf", "index", e.Index, "voters", len(c.node.ConfAt(e.Index)))
		}
		// A caller may wait here too: its proposal was replaced by the
		// entry of a later leader.
		c.unclear(e.Index)
		return
	}
	out := c.st.Run(e.Index, e.Data)
	c.dirty = true
	if !c.led {
		// Only a leader plans, and a new one looks at all.
		c.st.Booked()
	}
	c.noteEnds(e)
	c.settle(e, out)
	for _, a := range c.st.Agreed() {
		c.agreedOn(a)
	}
}

// settle answers those who wait for an entry. One of another term is not what
// they proposed, and has outcomes of its own.
func (c *Core) settle(e raft.Entry, out []store.Outcome) {
	w, ok := c.waits[e.Index]
	if !ok {
		return
	}
	if w.term != e.Term {
		c.unclear(e.Index)
		return
	}
	delete(c.waits, e.Index)
	for i, r := range w.reply {
		if r != nil {
			r(out[i], true)
		}
	}
}

// noteEnds records the runs and jobs that ended by an entry.
func (c *Core) noteEnds(e raft.Entry) {
	for _, r := range c.st.Closed() {
		c.trace.Add(r.Alloc.Task(), "end applied", int64(r.Alloc.Run), r.How)
		if c.led && r.How == "done" {
			c.planner.Learn(c.st, r.Alloc, r.At)
		}
		if c.led && c.debug {
			c.logRun(r)
		}
	}
	for _, j := range c.st.Ended() {
		c.trace.Add(j.ID, "over", int64(e.Index), j.Word())
		if c.led && c.debug {
			c.logJob(j)
		}
	}
}

// add puts a command into the next entry.
func (c *Core) add(kind string, cmd store.Cmd, reply func(store.Outcome, bool)) {
	c.batch = append(c.batch, store.Encode(kind, cmd))
	c.replies = append(c.replies, reply)
}

// propose puts the waiting commands into the log as one entry. They are
// gathered for a while since an entry costs a message to and from each other
// voter: the pause between two grows with their number. It returns when to
// come back.
func (c *Core) propose(now time.Time) time.Duration {
	if len(c.batch) == 0 {
		return 0
	}
	if left := tune.GroupEach*time.Duration(len(c.node.Voters())-1) - now.Sub(c.proposed); left > 0 {
		return left
	}
	c.proposed = now
	b, rs := c.batch, c.replies
	c.meter.add("proposals", 1)
	c.meter.add("commands", len(b))
	c.batch, c.replies = nil, nil
	i, ok := uint64(0), false
	if c.node.Ready() && !c.swamped() {
		i, ok = c.node.Propose(link.Pack(store.Batch{Clock: c.clock(now), Wall: c.wall(now), Cmds: b}))
	}
	w := waiter{term: c.node.Term(), reply: rs}
	if !ok {
		w.unclear()
		return 0
	}
	// One may wait for this index since an earlier term of this leader.
	c.unclear(i)
	c.waits[i] = w
	return 0
}

// clock is the store's clock: it goes on from the newest stamp in the log.
func (c *Core) clock(now time.Time) int64 { return c.base + now.Sub(c.ledAt).Milliseconds() }

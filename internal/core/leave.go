package core

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/tune"
)

// stayOn answers AskYield where the others can't do without the disk yet; the
// asker comes again after RetryMs.
const stayOn = 425

// leaveMost is the longest that a daemon waits before it ends.
func (c *Core) leaveMost() time.Duration {
	return max(tune.HandOver, time.Duration(c.set.Bounds.GraceS*tune.LeaveShare*float64(time.Second)))
}

// Leave hands the lead or the duties on before the process ends, and waits, up
// to a bound, while the others could not do without this disk.
func (c *Core) Leave() {
	done := make(chan struct{})
	c.in <- Event{Leave: done}
	select {
	case <-done:
	case <-time.After(c.leaveMost() + tune.LeaveSlack):
	}
}

// onLeave begins to leave.
func (c *Core) onLeave(ctx context.Context, done chan struct{}) {
	c.leaving = append(c.leaving, done)
	if len(c.leaving) > 1 {
		return
	}
	c.leaveTil = time.Now().Add(c.leaveMost())
	switch {
	case c.node == nil:
		c.letGo()
	case !c.node.Leads():
		c.yield(ctx)
	}
}

// yield has this daemon's zones given to their standbys, and asks the leader
// until it may end.
func (c *Core) yield(ctx context.Context) {
	c.yielding = true
	c.agg.Drop(member.Answer{Code: member.NotLead})
	if !c.node.Voter(c.me.Disk) {
		c.letGo()
		return
	}
	until := c.leaveTil
	go func() {
		x, stop := context.WithDeadline(ctx, until)
		defer stop()
		for x.Err() == nil {
			a := c.seek.Ask(x, member.AskYield, &member.Yield{Disk: c.me.Disk})
			if a.Code == 200 {
				break
			}
			select {
			case <-time.After(max(tune.LeaveAsk, time.Duration(a.RetryMs)*time.Millisecond)):
			case <-x.Done():
			}
		}
		select {
		case c.in <- Event{MayGo: true}:
		case <-ctx.Done():
		}
	}()
}

// letGo lets the process end.
func (c *Core) letGo() {
	for _, done := range c.leaving {
		close(done)
	}
	c.leaving = nil
}

// settleLeave takes the next step of leaving; it returns when to come back, or 0.
func (c *Core) settleLeave(ctx context.Context, now time.Time) time.Duration {
	switch {
	case len(c.leaving) == 0:
		return 0
	case now.After(c.leaveTil) || c.handing && !c.node.Leads():
		// A lead is gone once another has it.
		c.letGo()
		return 0
	case c.node.Leads():
		c.handOn(now)
	case !c.yielding:
		// The lead was lost without a hand-over.
		c.yield(ctx)
	}
	return 20 * time.Millisecond
}

// handOn hands the lead over once the others can do without this disk, or when
// there is just time left for it. Until then this daemon leads on, and may
// itself have a candidate put in its place.
func (c *Core) handOn(now time.Time) {
	if len(c.node.Voters()) == 1 {
		c.letGo()
		return
	}
	late := c.leaveTil.Sub(now) <= tune.HandOver
	if c.handing || !late && c.node.Ready() && c.needed(c.me.Disk) != "" {
		return
	}
	if c.node.Transfer() {
		c.handing = true
		c.leaveTil = now.Add(tune.HandOver)
	}
}

// askYield takes the duties from a daemon that ends; its standbys take over.
// Whoever waits for a voter's place may have its.
func (c *Core) askYield(raw []byte, _ *link.Stream, r reply) {
	var y member.Yield
	if link.Unpack(raw, &y) != nil {
		r(member.Answer{Code: 400})
		return
	}
	now := time.Now()
	c.posts.yields[y.Disk] = now.Add(tune.YieldTime)
	c.appoint(now)
	why := c.needed(y.Disk)
	for zone, d := range c.st.Duties {
		if d.Disk == y.Disk && c.posts.asking[zone] {
			why = "its zones are being given to others"
		}
	}
	if why != "" {
		r(member.Answer{Code: stayOn, Text: why, RetryMs: tune.LeaveAsk.Milliseconds()})
		return
	}
	r(member.Answer{Code: 200})
}

package core

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// stayOn answers KindReleaseZones where the others can't do without the disk yet; the
// asker comes again after RetryAfterMs.
const stayOn = 425

// leaveMost is the longest that a daemon waits before it ends.
func (c *Core) leaveMost() time.Duration {
	return max(tune.HandOver, time.Duration(c.settings.Bounds.GraceS*tune.LeaveShare*float64(time.Second)))
}

// Leave hands over leadership or aggregation before the process ends, and waits,
// up to a bound, while the others could not do without this disk.
func (c *Core) Leave() {
	done := make(chan struct{})
	c.events <- Event{Leave: done}
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
	c.leaveBy = time.Now().Add(c.leaveMost())
	switch {
	case c.node == nil:
		c.finishLeaving()
	case !c.node.IsLeader():
		c.yield(ctx)
	}
}

// yield has this daemon's zones given to their standbys, and asks the leader
// until it may end.
func (c *Core) yield(ctx context.Context) {
	c.yielding = true
	c.aggregator.FailAll(rpc.Response{Code: rpc.CodeNotLeader})
	if !c.node.IsVoter(c.self.ID) {
		c.finishLeaving()
		return
	}
	until := c.leaveBy
	go func() {
		callCtx, stop := context.WithDeadline(ctx, until)
		defer stop()
		for callCtx.Err() == nil {
			a := c.seek.Call(callCtx, rpc.KindReleaseZones, &rpc.ZoneRelease{Disk: c.self.ID})
			if a.Code == 200 {
				break
			}
			select {
			case <-time.After(max(tune.LeaveAsk, time.Duration(a.RetryAfterMs)*time.Millisecond)):
			case <-callCtx.Done():
			}
		}
		select {
		case c.events <- Event{MayGo: true}:
		case <-ctx.Done():
		}
	}()
}

// finishLeaving lets the process end.
func (c *Core) finishLeaving() {
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
	case now.After(c.leaveBy) || c.handingOver && !c.node.IsLeader():
		// The transfer is over once another leads.
		c.finishLeaving()
		return 0
	case c.node.IsLeader():
		c.handOver(now)
	case !c.yielding:
		// Leadership was lost without a transfer.
		c.yield(ctx)
	}
	return 20 * time.Millisecond
}

// handOver transfers leadership once the others can do without this disk, or
// when there is just enough time left for it. Until then this daemon goes on
// leading, and may itself put a candidate in its place.
func (c *Core) handOver(now time.Time) {
	if len(c.node.Voters()) == 1 {
		c.finishLeaving()
		return
	}
	late := c.leaveBy.Sub(now) <= tune.HandOver
	if c.handingOver || !late && c.node.LeaderReady() && c.needed(c.self.ID) != "" {
		return
	}
	if c.node.TransferLeadership() {
		c.handingOver = true
		c.leaveBy = now.Add(tune.HandOver)
	}
}

// askYield takes the duties from a daemon that ends; its standbys take over.
// Whoever waits for a voter's place may have its.
func (c *Core) askYield(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request rpc.ZoneRelease
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	now := time.Now()
	c.appointments.leavingUntil[request.Disk] = now.Add(tune.YieldTime)
	c.appoint(now)
	why := c.needed(request.Disk)
	for zone, duty := range c.state.Duties {
		if duty.Disk == request.Disk && c.appointments.changing[zone] {
			why = "its zones are being given to others"
		}
	}
	if why != "" {
		reply(rpc.Response{Code: stayOn, Text: why, RetryAfterMs: tune.LeaveAsk.Milliseconds()})
		return
	}
	reply(rpc.Response{Code: 200})
}

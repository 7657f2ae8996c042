package core

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// announce tells the seeds of this candidate until it is a member.
func (c *Core) announce(ctx context.Context) {
	t := time.NewTicker(tune.Announce)
	defer t.Stop()
	for i := 1; ; i++ {
		got := make(chan member.Found, 1)
		join := make(chan bool, 1)
		c.Handle(member.Ask{Kind: askState}, func(a member.Answer) {
			var f member.Found
			_ = link.Unpack(a.Body, &f)
			got <- f
			join <- a.N == 1
		})
		select {
		case f := <-got:
			if <-join {
				x, stop := context.WithTimeout(ctx, time.Second)
				c.seek.Ask(x, member.AskJoin, f.Me)
				stop()
			} else if f.Me.Disk == "" {
				// Why often at first: seeds may start later than this one.
				if i < 40 && i%4 == 1 || i%40 == 0 {
					c.seek.Introduce(ctx, *c.seeds.Load())
				}
			} else {
				c.tellSeeds(ctx, f)
				if i%12 == 0 && len(f.Bound) == 0 {
					// Why asked too: the core may have been founded while
					// this one was slow, and the seed may have forgotten.
					x, stop := context.WithTimeout(ctx, tune.Dial)
					if c.seek.Ask(x, member.AskJoin, f.Me).Code == 200 {
						c.in <- Event{Found: &member.Proposal{Set: []raft.Voter{{}}}}
					}
					stop()
				}
			}
		case <-ctx.Done():
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// askState is answered by the loop to its own announcer.
const askState = "state"

// state tells the announcer what to say: nothing, found or join.
func (c *Core) state() member.Answer {
	f := member.Found{Me: c.me, Bound: c.held.Bound}
	switch {
	case c.node == nil:
		return member.Answer{Body: link.Pack(f)}
	case !c.node.Voter(c.me.Disk), c.node.Lead() == "" && time.Since(c.joined) > 3*time.Second:
		// Why without a lead too: this voter may have been replaced while
		// it was away, and only the leader can take it back.
		c.joined = time.Now()
		return member.Answer{N: 1, Body: link.Pack(f)}
	}
	return member.Answer{Body: link.Pack(member.Found{})}
}

// tellSeeds announces to the first seed that answers.
func (c *Core) tellSeeds(ctx context.Context, f member.Found) {
	for _, a := range *c.seeds.Load() {
		r, err := member.AskAt(ctx, a, member.AskFound, link.Pack(f), tune.Dial)
		var p member.Proposal
		if err != nil || link.Unpack(r.Body, &p) != nil {
			continue
		}
		select {
		case c.in <- Event{Found: &p}:
		case <-ctx.Done():
		}
		return
	}
}

func (c *Core) onProposal(p member.Proposal) {
	if c.node != nil || c.renewals > 0 || len(p.Set) == 0 {
		return
	}
	if len(c.held.Bound) == 0 {
		mine := false
		for _, v := range p.Set {
			mine = mine || v == c.me
		}
		if !mine {
			// Why joined: the core was founded without this one.
			c.startNode(c.held.Point)
			return
		}
		pt := raft.Point{Index: 1, Conf: p.Set}
		if err := c.dsk.Bind(p.Set, pt); err != nil {
			_ = c.log.Log("level", "error", "event", "core.bind", "why", err)
			return
		}
		c.held.Bound, c.held.Point = p.Set, pt
		c.lastPt = 1
		_ = c.log.Log("level", "info", "event", "core.bound", "voters", len(p.Set))
		return
	}
	if p.Go {
		c.startNode(c.held.Point)
	}
}

package core

import (
	"context"
	"slices"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// announcing is what the loop tells its own announcer: what this daemon is, and
// who leads.
type announcing struct {
	what  standing
	found member.Found
	lead  string
}

// standing is how a core daemon stands to the core.
type standing byte

const (
	candidate = standing(iota) // the core isn't founded, as far as it knows
	stranger                   // it wants to be taken into a core that exists
	voter
	opening // its disk isn't open yet: it has no identity to announce
)

// announce tells the seeds of this candidate until it is a member, and then of
// the core that was founded.
func (c *Core) announce(ctx context.Context) {
	t := time.NewTicker(tune.Announce)
	defer t.Stop()
	var seeds member.Announcer
	lead := ""
	for i := 1; ; i++ {
		got := make(chan announcing, 1)
		c.Handle(member.Ask{Kind: askState}, func(a member.Answer) {
			var f member.Found
			_ = link.Unpack(a.Body, &f)
			got <- announcing{standing(a.N), f, a.Lead}
		})
		select {
		case s := <-got:
			if s.lead != lead && s.lead != "" {
				// Why told: the seeds of a daemon that was started anew may be
				// down or gone, but its log names the members.
				c.seek.Learn(s.lead)
			}
			lead = s.lead
			switch s.what {
			case opening:
				c.seek.Introduce(ctx, *c.seeds.Load())
			case stranger:
				x, stop := context.WithTimeout(ctx, time.Second)
				c.seek.Ask(x, member.AskJoin, s.found.Me)
				stop()
				if s.found.Late {
					c.tellSeed(ctx, &seeds, s.found)
				}
			case voter:
				// Why often at first: seeds may start later than this one.
				if i < 40 && i%4 == 1 || i%40 == 0 {
					c.seek.Introduce(ctx, *c.seeds.Load())
				}
				if c.set.FirstStart && i < tune.FoundTold && i%4 == 1 {
					c.tellFounded(ctx, s.found)
				}
			default:
				c.tellSeed(ctx, &seeds, s.found)
				if i%12 == 0 && len(s.found.Bound) == 0 {
					// Why asked too: the core may have been founded while
					// this one was slow, and the seed may have forgotten.
					x, stop := context.WithTimeout(ctx, tune.Dial)
					if c.seek.Ask(x, member.AskJoin, s.found.Me).Code == 200 {
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

// state tells the announcer what to say.
func (c *Core) state() member.Answer {
	f := member.Found{Me: c.me, Bound: c.held.Bound, Late: c.blank()}
	a := member.Answer{N: int64(voter), Lead: c.leadAddr(), Body: link.Pack(f)}
	switch {
	case !c.Opened():
		a.N = int64(opening)
	case c.node == nil:
		a.N = int64(candidate)
	case !c.node.Voter(c.me.Disk), c.node.Lead() == "" && time.Since(c.joined) > 3*time.Second:
		// Why without a lead too: this voter may have been replaced while
		// it was away, and only the leader can take it back.
		c.joined = time.Now()
		a.N = int64(stranger)
	}
	return a
}

// tellSeed announces a candidate to the seed that gathers the first core.
func (c *Core) tellSeed(ctx context.Context, seeds *member.Announcer, f member.Found) {
	addr := seeds.Place(*c.seeds.Load(), time.Now())
	if addr == "" {
		return
	}
	r, err := member.AskAt(ctx, addr, member.AskFound, link.Pack(f), tune.Dial)
	var p member.Proposal
	if err != nil || link.Unpack(r.Body, &p) != nil {
		return
	}
	seeds.Answered(time.Now())
	select {
	case c.in <- Event{Found: &p}:
	case <-ctx.Done():
	}
}

// tellFounded tells all seeds of the set that founded the core, so that none of
// them proposes another to candidates that came late.
func (c *Core) tellFounded(ctx context.Context, f member.Found) {
	if len(f.Bound) == 0 {
		return
	}
	for _, a := range *c.seeds.Load() {
		go func() { _, _ = member.AskAt(ctx, a, member.AskFound, link.Pack(f), tune.Dial) }()
	}
}

// blank tells whether this daemon waits to be taken in and knows of nothing yet:
// it was started again, bound to no set, and heard of no term.
func (c *Core) blank() bool {
	return c.node != nil && len(c.held.Bound) == 0 && c.node.Term() == 0 && c.node.LastIndex() == 0
}

// onProposal takes what the seed said.
func (c *Core) onProposal(p member.Proposal) {
	if !c.Opened() || c.renewals > 0 {
		return
	}
	mine := slices.Contains(p.Set, c.me)
	if c.blank() && mine {
		// Why: it announced itself before it was ended, and the others wait for
		// it; to stand by until it is taken in would keep them waiting for good.
		c.node = nil
	}
	if c.node != nil || len(p.Set) == 0 {
		return
	}
	if len(c.held.Bound) == 0 {
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

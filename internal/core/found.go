package core

import (
	"context"
	"slices"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/raft"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// announcement is what the loop tells its own announcer: the standing of this
// daemon, and who leads.
type announcement struct {
	standing standing
	found    member.Found
	lead     string
}

// standing is how a core daemon stands to the core.
type standing byte

const (
	candidate = standing(iota) // the core isn't founded, as far as it knows
	outsider                   // it wants to be taken into a core that exists
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
		got := make(chan announcement, 1)
		c.Handle(member.Ask{Kind: askState}, func(a member.Answer) {
			var f member.Found
			_ = transport.Decode(a.Body, &f)
			got <- announcement{standing(a.N), f, a.Lead}
		})
		select {
		case s := <-got:
			if s.lead != lead && s.lead != "" {
				// The seeds of a daemon that was restarted may be down or gone,
				// but its log names the members.
				c.seek.Learn(s.lead)
			}
			lead = s.lead
			switch s.standing {
			case opening:
				c.seek.Introduce(ctx, *c.seeds.Load())
			case outsider:
				callCtx, stop := context.WithTimeout(ctx, time.Second)
				c.seek.Ask(callCtx, member.AskJoin, s.found.Me)
				stop()
				if s.found.Late {
					c.tellSeed(ctx, &seeds, s.found)
				}
			case voter:
				// Often at first, since seeds may start later than this daemon.
				if i < 40 && i%4 == 1 || i%40 == 0 {
					c.seek.Introduce(ctx, *c.seeds.Load())
				}
				if c.settings.FirstStart && i < tune.FoundTold && i%4 == 1 {
					c.tellFounded(ctx, s.found)
				}
			default:
				c.tellSeed(ctx, &seeds, s.found)
				if i%12 == 0 && len(s.found.Bound) == 0 {
					// The core may have been founded while this daemon was
					// slow, and the seed may have forgotten it.
					callCtx, stop := context.WithTimeout(ctx, tune.Dial)
					if c.seek.Ask(callCtx, member.AskJoin, s.found.Me).Code == 200 {
						c.events <- Event{Found: &member.Proposal{Set: []raft.Member{{}}}}
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

// askState is the request of this daemon's announcer to its loop.
const askState = "state"

// announcement tells the announcer what to announce.
func (c *Core) announcement() member.Answer {
	f := member.Found{Me: c.self, Bound: c.held.Founders, Late: c.blank()}
	a := member.Answer{N: int64(voter), Lead: c.leadAddr(), Body: transport.Encode(f)}
	switch {
	case !c.Opened():
		a.N = int64(opening)
	case c.node == nil:
		a.N = int64(candidate)
	case !c.node.IsVoter(c.self.ID), c.node.Leader() == "" && time.Since(c.joined) > 3*time.Second:
		// Also a voter that knows no leader: it may have been replaced while
		// it was away, and only the leader can take it back.
		c.joined = time.Now()
		a.N = int64(outsider)
	}
	return a
}

// tellSeed announces a candidate to the seed that gathers the first core.
func (c *Core) tellSeed(ctx context.Context, seeds *member.Announcer, f member.Found) {
	addr := seeds.Place(*c.seeds.Load(), time.Now())
	if addr == "" {
		return
	}
	r, err := member.AskAt(ctx, addr, member.AskFound, transport.Encode(f), tune.Dial)
	var proposal member.Proposal
	if err != nil || transport.Decode(r.Body, &proposal) != nil {
		return
	}
	seeds.Answered(time.Now())
	select {
	case c.events <- Event{Found: &proposal}:
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
		go func() { _, _ = member.AskAt(ctx, a, member.AskFound, transport.Encode(f), tune.Dial) }()
	}
}

// blank tells whether this daemon waits to be taken in and knows of nothing yet:
// it was started again, bound to no set, and heard of no term.
func (c *Core) blank() bool {
	return c.node != nil && len(c.held.Founders) == 0 && c.node.Term() == 0 && c.node.LastIndex() == 0
}

// onProposal takes what the seed said.
func (c *Core) onProposal(proposal member.Proposal) {
	if !c.Opened() || c.renewals > 0 {
		return
	}
	mine := slices.Contains(proposal.Set, c.self)
	if c.blank() && mine {
		// It announced itself before it was restarted, and the others wait for
		// it: to stand by until it is taken in would block them for good.
		c.node = nil
	}
	if c.node != nil || len(proposal.Set) == 0 {
		return
	}
	if len(c.held.Founders) == 0 {
		if !mine {
			// The core was founded without this daemon, which joins it.
			c.startNode(c.held.Snapshot)
			return
		}
		point := raft.Snapshot{Index: 1, Voters: proposal.Set}
		if err := c.disk.Bootstrap(proposal.Set, point); err != nil {
			_ = c.log.Log("level", "error", "event", "core.bind", "why", err)
			return
		}
		c.held.Founders, c.held.Snapshot = proposal.Set, point
		c.lastSnapshot = 1
		_ = c.log.Log("level", "info", "event", "core.bound", "voters", len(proposal.Set))
		return
	}
	if proposal.Go {
		c.startNode(c.held.Snapshot)
	}
}

package core

import (
	"context"
	"slices"
	"time"

	"tealpond/internal/bootstrap"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// announcement is what the loop tells its own announcer: the standing of this
// daemon, and who leads.
type announcement struct {
	standing standing
	found    rpc.BootstrapAnnouncement
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
	var seeds bootstrap.SeedSelector
	lead := ""
	for i := 1; ; i++ {
		got := make(chan announcement, 1)
		c.Handle(rpc.Request{Kind: askState}, func(a rpc.Response) {
			var f rpc.BootstrapAnnouncement
			_ = transport.Decode(a.Body, &f)
			got <- announcement{standing(a.Value), f, a.Leader}
		})
		select {
		case s := <-got:
			if s.lead != lead && s.lead != "" {
				// The seeds of a daemon that was restarted may be down or gone,
				// but its log names the members.
				c.seek.AddServer(s.lead)
			}
			lead = s.lead
			switch s.standing {
			case opening:
				c.seek.Introduce(ctx, *c.seeds.Load())
			case outsider:
				callCtx, stop := context.WithTimeout(ctx, time.Second)
				c.seek.Call(callCtx, rpc.KindJoin, s.found.Voter)
				stop()
				if s.found.NotFirstStart {
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
				if i%12 == 0 && len(s.found.BoundVoters) == 0 {
					// The core may have been founded while this daemon was
					// slow, and the seed may have forgotten it.
					callCtx, stop := context.WithTimeout(ctx, tune.Dial)
					if c.seek.Call(callCtx, rpc.KindJoin, s.found.Voter).Code == 200 {
						c.events <- Event{Found: &rpc.BootstrapProposal{Voters: []raft.Member{{}}}}
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
func (c *Core) announcement() rpc.Response {
	f := rpc.BootstrapAnnouncement{Voter: c.self, BoundVoters: c.held.Founders, NotFirstStart: c.blank()}
	a := rpc.Response{Value: int64(voter), Leader: c.leadAddr(), Body: transport.Encode(f)}
	switch {
	case !c.Opened():
		a.Value = int64(opening)
	case c.node == nil:
		a.Value = int64(candidate)
	case !c.node.IsVoter(c.self.ID), c.node.Leader() == "" && time.Since(c.joined) > 3*time.Second:
		// Also a voter that knows no leader: it may have been replaced while
		// it was away, and only the leader can take it back.
		c.joined = time.Now()
		a.Value = int64(outsider)
	}
	return a
}

// tellSeed announces a candidate to the seed that gathers the first core.
func (c *Core) tellSeed(ctx context.Context, seeds *bootstrap.SeedSelector, f rpc.BootstrapAnnouncement) {
	addr := seeds.Select(*c.seeds.Load(), time.Now())
	if addr == "" {
		return
	}
	r, err := rpc.Call(ctx, addr, rpc.KindBootstrap, transport.Encode(f), tune.Dial)
	var proposal rpc.BootstrapProposal
	if err != nil || transport.Decode(r.Body, &proposal) != nil {
		return
	}
	seeds.OnResponse(time.Now())
	select {
	case c.events <- Event{Found: &proposal}:
	case <-ctx.Done():
	}
}

// tellFounded tells all seeds of the set that founded the core, so that none of
// them proposes another to candidates that came late.
func (c *Core) tellFounded(ctx context.Context, f rpc.BootstrapAnnouncement) {
	if len(f.BoundVoters) == 0 {
		return
	}
	for _, a := range *c.seeds.Load() {
		go func() { _, _ = rpc.Call(ctx, a, rpc.KindBootstrap, transport.Encode(f), tune.Dial) }()
	}
}

// blank tells whether this daemon waits to be taken in and knows of nothing yet:
// it was started again, bound to no set, and heard of no term.
func (c *Core) blank() bool {
	return c.node != nil && len(c.held.Founders) == 0 && c.node.Term() == 0 && c.node.LastIndex() == 0
}

// onProposal takes what the seed said.
func (c *Core) onProposal(proposal rpc.BootstrapProposal) {
	if !c.Opened() || c.renewals > 0 {
		return
	}
	mine := slices.Contains(proposal.Voters, c.self)
	if c.blank() && mine {
		// It announced itself before it was restarted, and the others wait for
		// it: to stand by until it is taken in would block them for good.
		c.node = nil
	}
	if c.node != nil || len(proposal.Voters) == 0 {
		return
	}
	if len(c.held.Founders) == 0 {
		if !mine {
			// The core was founded without this daemon, which joins it.
			c.startNode(c.held.Snapshot)
			return
		}
		point := raft.Snapshot{Index: 1, Voters: proposal.Voters}
		if err := c.disk.Bootstrap(proposal.Voters, point); err != nil {
			_ = c.log.Log("level", "error", "event", "core.bind", "why", err)
			return
		}
		c.held.Founders, c.held.Snapshot = proposal.Voters, point
		c.lastSnapshot = 1
		_ = c.log.Log("level", "info", "event", "core.bound", "voters", len(proposal.Voters))
		return
	}
	if proposal.Start {
		c.startNode(c.held.Snapshot)
	}
}

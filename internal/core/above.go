package core

import (
	"context"
	"time"

	"tealpond/internal/agg"
	"tealpond/internal/link"
	"tealpond/internal/member"
	"tealpond/internal/tune"
)

// summed are the asks of side daemons that a core daemon which does not lead
// takes and sums up for the leader.
var summed = map[string]bool{
	member.AskRenew: true, member.AskTakeUp: true, member.AskEnds: true, member.AskElig: true, member.AskClaim: true,
}

// raised is the leader's answer to one batch.
type raised struct {
	by    *agg.Agg // whose batch it was: numbers begin anew with each
	batch agg.Batch
	ans   member.Answer
}

// sums tells whether this daemon may speak for side daemons.
func (c *Core) sums(now time.Time) bool {
	// Why through an election: there is nobody better to turn to, and what is
	// gathered goes up as soon as a leader is known.
	return c.node != nil && c.node.Voter(c.me.Disk) && len(c.leaving) == 0 && c.leadGone(now) < tune.LeadGone
}

// sumUp takes an ask of a side daemon for the next batch; false if it can't.
func (c *Core) sumUp(a member.Ask, s *link.Stream, r reply) bool {
	now := time.Now()
	if s == nil || !summed[a.Kind] || !c.sums(now) {
		return false
	}
	if a.Kind != member.AskRenew {
		return c.agg.Call(a, r)
	}
	var n member.Renew
	if link.Unpack(a.Body, &n) != nil {
		return false
	}
	c.attach(n, s)
	c.agg.Renew(n, func(x member.Answer) {
		x.Home, x.Next = c.home(n.Worker)
		r(x)
	}, now)
	return true
}

// raise sends what is due to the leader; it returns when to come back.
func (c *Core) raise(ctx context.Context, now time.Time) time.Duration {
	if c.led {
		for _, p := range c.agg.Flush() {
			c.onAsk(p.Ask, nil, p.Reply)
		}
		return 0
	}
	if c.agg.Waits() == 0 || c.node.Leads() {
		return 0
	}
	if !c.sums(now) {
		c.agg.Drop(member.Answer{Code: member.NotLead})
		return 0
	}
	by := c.agg
	bs, wake := by.Rest(now)
	for _, b := range bs {
		ask := member.Ask{Kind: member.AskMany, Body: link.Pack(b.Many)}
		if b.Grants != nil {
			b.Grants.Life = c.life
			ask = member.Ask{Kind: member.AskGrants, Body: link.Pack(b.Grants)}
		}
		c.meter.add("raised_"+ask.Kind, 1)
		x, stop := context.WithTimeout(ctx, tune.AggTime)
		// Why posted here: batches reach the leader in their order.
		answer := c.seek.Post(x, ask)
		go func() {
			defer stop()
			e := Event{Raised: &raised{by, b, answer()}}
			select {
			case c.in <- e:
			case <-ctx.Done():
			}
		}()
	}
	return wake
}

// onRaised hands the leader's answer down.
func (c *Core) onRaised(x *raised) {
	a := x.ans
	// Why these words: the asker then looks for the leader by itself, and knows
	// whether its ask may have been taken.
	switch a.Code {
	case member.NoLeader:
		a = member.Answer{Code: member.NotLead}
	case member.Lost:
		a = member.Answer{Code: member.Unclear}
	}
	if x.batch.Grants != nil {
		var odd []member.Odd
		if len(a.Body) > 0 && link.Unpack(a.Body, &odd) != nil {
			a = member.Answer{Code: member.NotLead}
		}
		x.by.Granted(x.batch.No, a, odd, time.Now())
		return
	}
	var each []member.Answer
	if len(a.Body) > 0 && link.Unpack(a.Body, &each) != nil {
		a = member.Answer{Code: member.NotLead}
	}
	x.by.Called(x.batch.No, a, each)
}

// seats are the members of an aggregator's set, as the leader was told them.
// A set is known by the aggregator's process and its number: a batch of an
// earlier process may arrive late, and may bear the number of a later set.
type seats struct {
	life string
	no   uint64
	set  []member.Seat
}

// askGrants answers an aggregator: one grant for all that ask in its batch.
func (c *Core) askGrants(raw []byte, _ *link.Stream, r reply) {
	var g member.Grants
	if link.Unpack(raw, &g) != nil {
		r(member.Answer{Code: 400})
		return
	}
	x := c.sets[g.From]
	if g.Whole != nil {
		x = seats{g.Life, g.Set, g.Whole}
		c.sets[g.From] = x
	}
	if x.life != g.Life || x.no != g.Set || len(g.In) != (len(x.set)+7)/8 {
		r(member.Answer{Code: 428, Text: "tell the set whole"})
		return
	}
	now := time.Now()
	var odd []member.Odd
	for i, s := range x.set {
		if g.Asks(i) {
			if code := c.grant(s.Worker, s.Fence, now); code != 200 {
				odd = append(odd, member.Odd{Seat: i, Code: code})
			}
		}
	}
	for _, q := range g.Ratios {
		if q.Seat >= 0 && q.Seat < len(x.set) {
			if a := c.att[x.set[q.Seat].Worker]; a != nil {
				a.ratio = q.Value
			}
		}
	}
	ans := member.Answer{Code: 200, N: c.hold.Milliseconds()}
	if len(odd) > 0 {
		ans.Body = link.Pack(odd)
	}
	r(ans)
}

// grant gives a worker's side daemon a grant from now on, or says why not.
func (c *Core) grant(worker string, fence int64, now time.Time) int {
	w := c.st.Workers[worker]
	if w == nil || w.Dead {
		return 410
	}
	a := c.att[worker]
	if w.Lost || w.Fence != fence || a == nil || a.lapsing {
		return 409
	}
	a.granted, a.heard = now, now
	return 200
}

// askMany answers an aggregator's other asks, all in one.
func (c *Core) askMany(raw []byte, _ *link.Stream, r reply) {
	var m member.Many
	if link.Unpack(raw, &m) != nil {
		r(member.Answer{Code: 400})
		return
	}
	c.meter.add("many_asks", len(m.Asks))
	out, left, unclear := make([]member.Answer, len(m.Asks)), len(m.Asks), false
	for i, a := range m.Asks {
		done := func(x member.Answer) {
			out[i] = x
			// Why for the whole: its sender then asks the next leader, and
			// asks can be repeated without harm.
			unclear = unclear || x.Code == member.Unclear || x.Code == member.NotLead
			if left--; left > 0 {
				return
			}
			if unclear {
				r(member.Answer{Code: member.Unclear})
				return
			}
			r(member.Answer{Code: 200, Body: link.Pack(out)})
		}
		if f := led[a.Kind]; f != nil && summed[a.Kind] {
			f(c, a.Body, nil, done)
		} else {
			done(member.Answer{Code: 400, Text: "unknown ask"})
		}
	}
}

package core

import (
	"context"
	"time"

	"tealpond/internal/agg"
	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// aggregatedAsks are the requests of side daemons that a follower takes and
// batches for the leader.
var aggregatedAsks = map[string]bool{
	member.AskRenew: true, member.AskTakeUp: true, member.AskEnds: true, member.AskElig: true, member.AskClaim: true,
}

// leaderAnswer is the leader's answer to one batch.
type leaderAnswer struct {
	aggregator *agg.Agg // whose batch it was: each numbers its batches from 1
	batch      agg.Batch
	answer     member.Answer
}

// aggregates tells whether this daemon may take requests of side daemons for the
// leader.
func (c *Core) aggregates(now time.Time) bool {
	// It goes on through an election: side daemons have nowhere better to turn
	// to, and the batch is sent as soon as a leader is known.
	return c.node != nil && c.node.IsVoter(c.self.ID) && len(c.leaving) == 0 && c.leadGone(now) < tune.LeadGone
}

// aggregate takes a request of a side daemon into the next batch; false if it
// can't.
func (c *Core) aggregate(a member.Ask, stream *transport.Stream, reply replyFunc) bool {
	now := time.Now()
	if stream == nil || !aggregatedAsks[a.Kind] || !c.aggregates(now) {
		return false
	}
	if a.Kind != member.AskRenew {
		return c.aggregator.Call(a, reply)
	}
	var request member.Renew
	if transport.Decode(a.Body, &request) != nil {
		return false
	}
	c.openSession(request, stream)
	c.aggregator.Renew(request, func(x member.Answer) {
		x.Home, x.Next = c.home(request.Worker)
		reply(x)
	}, now)
	return true
}

// sendBatches sends the leader the batches that are due; it returns when to come
// back.
func (c *Core) sendBatches(ctx context.Context, now time.Time) time.Duration {
	if c.leading {
		for _, p := range c.aggregator.Flush() {
			c.onAsk(p.Ask, nil, p.Reply)
		}
		return 0
	}
	if c.aggregator.Waits() == 0 || c.node.IsLeader() {
		return 0
	}
	if !c.aggregates(now) {
		c.aggregator.Drop(member.Answer{Code: member.NotLead})
		return 0
	}
	aggregator := c.aggregator
	batches, wake := aggregator.Rest(now)
	for _, batch := range batches {
		ask := member.Ask{Kind: member.AskMany, Body: transport.Encode(batch.Many)}
		if batch.Grants != nil {
			batch.Grants.Life = c.life
			ask = member.Ask{Kind: member.AskGrants, Body: transport.Encode(batch.Grants)}
		}
		c.meter.add("raised_"+ask.Kind, 1)
		callCtx, stop := context.WithTimeout(ctx, tune.AggTime)
		// Posted from the loop, so that batches reach the leader in order.
		answer := c.seek.Post(callCtx, ask)
		go func() {
			defer stop()
			event := Event{LeaderAnswer: &leaderAnswer{aggregator, batch, answer()}}
			select {
			case c.events <- event:
			case <-ctx.Done():
			}
		}()
	}
	return wake
}

// onLeaderAnswer hands the leader's answer to the aggregator.
func (c *Core) onLeaderAnswer(answered *leaderAnswer) {
	answer := answered.answer
	// With these codes the caller looks for the leader by itself, and knows
	// whether its request may have been taken.
	switch answer.Code {
	case member.NoLeader:
		answer = member.Answer{Code: member.NotLead}
	case member.Lost:
		answer = member.Answer{Code: member.Unclear}
	}
	if answered.batch.Grants != nil {
		var odd []member.Odd
		if len(answer.Body) > 0 && transport.Decode(answer.Body, &odd) != nil {
			answer = member.Answer{Code: member.NotLead}
		}
		answered.aggregator.Granted(answered.batch.No, answer, odd, time.Now())
		return
	}
	var each []member.Answer
	if len(answer.Body) > 0 && transport.Decode(answer.Body, &each) != nil {
		answer = member.Answer{Code: member.NotLead}
	}
	answered.aggregator.Called(answered.batch.No, answer, each)
}

// memberSet is an aggregator's set of workers, as the leader was told it.
// A set is known by the aggregator's process and its number: a batch of an
// earlier process may arrive late, and may bear the number of a later set.
type memberSet struct {
	life    string
	number  uint64
	members []member.Seat
}

// askGrants renews the leases of all workers that ask for it in a batch.
func (c *Core) askGrants(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request member.Grants
	if transport.Decode(raw, &request) != nil {
		reply(member.Answer{Code: 400})
		return
	}
	set := c.memberSets[request.From]
	if request.Whole != nil {
		set = memberSet{request.Life, request.Set, request.Whole}
		c.memberSets[request.From] = set
	}
	if set.life != request.Life || set.number != request.Set || len(request.In) != (len(set.members)+7)/8 {
		reply(member.Answer{Code: 428, Text: "tell the set whole"})
		return
	}
	now := time.Now()
	var odd []member.Odd
	for i, s := range set.members {
		if request.Asks(i) {
			if code := c.grant(s.Worker, s.Fence, now); code != 200 {
				odd = append(odd, member.Odd{Seat: i, Code: code})
			}
		}
	}
	for _, ratio := range request.Ratios {
		if ratio.Seat >= 0 && ratio.Seat < len(set.members) {
			if lease := c.leases[set.members[ratio.Seat].Worker]; lease != nil {
				lease.ratio = ratio.Value
			}
		}
	}
	answer := member.Answer{Code: 200, N: c.leaseTime.Milliseconds()}
	if len(odd) > 0 {
		answer.Body = transport.Encode(odd)
	}
	reply(answer)
}

// grant renews a worker's lease from now on; the code is that of an HTTP answer.
func (c *Core) grant(id string, fence int64, now time.Time) int {
	worker := c.state.Workers[id]
	if worker == nil || worker.Dead {
		return 410
	}
	lease := c.leases[id]
	if worker.Lost || worker.Fence != fence || lease == nil || lease.expiring {
		return 409
	}
	lease.grantedAt, lease.heardAt = now, now
	return 200
}

// askMany answers the other requests of an aggregator, all in one.
func (c *Core) askMany(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request member.Many
	if transport.Decode(raw, &request) != nil {
		reply(member.Answer{Code: 400})
		return
	}
	c.meter.add("many_asks", len(request.Asks))
	out, left, unclear := make([]member.Answer, len(request.Asks)), len(request.Asks), false
	for i, a := range request.Asks {
		done := func(x member.Answer) {
			out[i] = x
			// One unclear outcome makes the whole batch unclear: the client
			// then asks the next leader, and requests can be repeated.
			unclear = unclear || x.Code == member.Unclear || x.Code == member.NotLead
			if left--; left > 0 {
				return
			}
			if unclear {
				reply(member.Answer{Code: member.Unclear})
				return
			}
			reply(member.Answer{Code: 200, Body: transport.Encode(out)})
		}
		if handler := leaderHandlers[a.Kind]; handler != nil && aggregatedAsks[a.Kind] {
			handler(c, a.Body, nil, done)
		} else {
			done(member.Answer{Code: 400, Text: "unknown ask"})
		}
	}
}

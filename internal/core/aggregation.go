package core

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// aggregatedAsks are the requests of side daemons that a follower takes and
// batches for the leader.
var aggregatedAsks = map[string]bool{
	rpc.KindRenewLease: true, rpc.KindBindRunner: true, rpc.KindReportCompletions: true, rpc.KindSetEligibility: true, rpc.KindMembership: true,
}

// leaderAnswer is the leader's answer to one batch.
type leaderAnswer struct {
	aggregator *aggregator.Batcher // whose batch it was: each numbers its batches from 1
	batch      aggregator.Batch
	answer     rpc.Response
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
func (c *Core) aggregate(a rpc.Request, stream *transport.Stream, reply replyFunc) bool {
	now := time.Now()
	if stream == nil || !aggregatedAsks[a.Kind] || !c.aggregates(now) {
		return false
	}
	if a.Kind != rpc.KindRenewLease {
		return c.aggregator.Enqueue(a, reply)
	}
	var request rpc.LeaseRenewal
	if transport.Decode(a.Body, &request) != nil {
		return false
	}
	c.openSession(request, stream)
	c.aggregator.Renew(request, func(x rpc.Response) {
		x.Aggregator, x.StandbyAggregator = c.home(request.Worker)
		reply(x)
	}, now)
	return true
}

// sendBatches sends the leader the batches that are due; it returns when to come
// back.
func (c *Core) sendBatches(ctx context.Context, now time.Time) time.Duration {
	if c.leading {
		for _, p := range c.aggregator.TakeUnsent() {
			c.onAsk(p.Request, nil, p.Reply)
		}
		return 0
	}
	if c.aggregator.Outstanding() == 0 || c.node.IsLeader() {
		return 0
	}
	if !c.aggregates(now) {
		c.aggregator.FailAll(rpc.Response{Code: rpc.CodeNotLeader})
		return 0
	}
	aggregator := c.aggregator
	batches, wake := aggregator.DueBatches(now)
	for _, batch := range batches {
		ask := rpc.Request{Kind: rpc.KindBatch, Body: transport.Encode(batch.Requests)}
		if batch.Renewals != nil {
			batch.Renewals.AggregatorProcess = c.life
			ask = rpc.Request{Kind: rpc.KindLeaseBatch, Body: transport.Encode(batch.Renewals)}
		}
		c.meter.add("raised_"+ask.Kind, 1)
		callCtx, stop := context.WithTimeout(ctx, tune.AggTime)
		// Posted from the loop, so that batches reach the leader in order.
		answer := c.seek.Enqueue(callCtx, ask)
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
	case rpc.CodeNoLeader:
		answer = rpc.Response{Code: rpc.CodeNotLeader}
	case rpc.CodeTimeout:
		answer = rpc.Response{Code: rpc.CodeLeadershipLost}
	}
	if answered.batch.Renewals != nil {
		var odd []rpc.MemberRefusal
		if len(answer.Body) > 0 && transport.Decode(answer.Body, &odd) != nil {
			answer = rpc.Response{Code: rpc.CodeNotLeader}
		}
		answered.aggregator.HandleRenewals(answered.batch.ID, answer, odd, time.Now())
		return
	}
	var each []rpc.Response
	if len(answer.Body) > 0 && transport.Decode(answer.Body, &each) != nil {
		answer = rpc.Response{Code: rpc.CodeNotLeader}
	}
	answered.aggregator.HandleResponses(answered.batch.ID, answer, each)
}

// memberSet is an aggregator's set of workers, as the leader was told it.
// A set is known by the aggregator's process and its number: a batch of an
// earlier process may arrive late, and may bear the number of a later set.
type memberSet struct {
	life    string
	number  uint64
	members []rpc.BatchMember
}

// askGrants renews the leases of all workers that ask for it in a batch.
func (c *Core) askGrants(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request rpc.LeaseBatch
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	set := c.memberSets[request.AggregatorDisk]
	if request.Members != nil {
		set = memberSet{request.AggregatorProcess, request.SetNumber, request.Members}
		c.memberSets[request.AggregatorDisk] = set
	}
	if set.life != request.AggregatorProcess || set.number != request.SetNumber || len(request.Requested) != (len(set.members)+7)/8 {
		reply(rpc.Response{Code: 428, Text: "tell the set whole"})
		return
	}
	now := time.Now()
	var odd []rpc.MemberRefusal
	for i, s := range set.members {
		if request.IsRequested(i) {
			if code := c.grant(s.Worker, s.Fence, now); code != 200 {
				odd = append(odd, rpc.MemberRefusal{Member: i, Code: code})
			}
		}
	}
	for _, ratio := range request.Runtimes {
		if ratio.Member >= 0 && ratio.Member < len(set.members) {
			if lease := c.leases[set.members[ratio.Member].Worker]; lease != nil {
				lease.ratio = ratio.RuntimePercent
			}
		}
	}
	answer := rpc.Response{Code: 200, Value: c.leaseTime.Milliseconds()}
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
	var request rpc.Batch
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	c.meter.add("many_asks", len(request.Requests))
	out, left, unclear := make([]rpc.Response, len(request.Requests)), len(request.Requests), false
	for i, a := range request.Requests {
		done := func(x rpc.Response) {
			out[i] = x
			// One unclear outcome makes the whole batch unclear: the client
			// then asks the next leader, and requests can be repeated.
			unclear = unclear || x.Code == rpc.CodeLeadershipLost || x.Code == rpc.CodeNotLeader
			if left--; left > 0 {
				return
			}
			if unclear {
				reply(rpc.Response{Code: rpc.CodeLeadershipLost})
				return
			}
			reply(rpc.Response{Code: 200, Body: transport.Encode(out)})
		}
		if handler := leaderHandlers[a.Kind]; handler != nil && aggregatedAsks[a.Kind] {
			handler(c, a.Body, nil, done)
		} else {
			done(rpc.Response{Code: 400, Text: "unknown ask"})
		}
	}
}

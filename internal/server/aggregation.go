package server

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// aggregatedRequests are the requests of side daemons that a follower takes and
// batches for the leader.
var aggregatedRequests = map[string]bool{
	rpc.KindRenewLease: true, rpc.KindRegisterWorker: true, rpc.KindReportCompletions: true, rpc.KindSetEligibility: true, rpc.KindRenewMembership: true,
}

// leaderResponse is the leader's answer to one batch.
type leaderResponse struct {
	aggregator *aggregator.Batcher // whose batch it was: each numbers its batches from 1
	batch      aggregator.Batch
	response   rpc.Response
}

// isAggregating tells whether this daemon may take requests of side daemons for the
// leader.
func (r *Replica) isAggregating(now time.Time) bool {
	// It goes on through an election: side daemons have nowhere better to turn
	// to, and the batch is sent as soon as a leader is known.
	return r.node != nil && r.node.IsVoter(r.self.ID) && len(r.leaveWaiters) == 0 && r.leaderlessFor(now) < tuning.AggregatorLeaderLossTimeout
}

// enqueueForLeader takes a request of a side daemon into the next batch; false if it
// can't.
func (r *Replica) enqueueForLeader(request rpc.Request, stream *transport.Stream, reply replyFunc) bool {
	now := time.Now()
	if stream == nil || !aggregatedRequests[request.Kind] || !r.isAggregating(now) {
		return false
	}
	if request.Kind != rpc.KindRenewLease {
		return r.aggregator.Enqueue(request, reply)
	}
	var renewal rpc.LeaseRenewal
	if transport.Decode(request.Body, &renewal) != nil {
		return false
	}
	r.openSession(renewal, stream)
	r.aggregator.Renew(renewal, func(response rpc.Response) {
		response.Aggregator, response.StandbyAggregator = r.aggregatorAddresses(renewal.Worker)
		reply(response)
	}, now)
	return true
}

// sendBatches sends the leader the batches that are due; it returns when to come
// back.
func (r *Replica) sendBatches(ctx context.Context, now time.Time) time.Duration {
	if r.leading {
		for _, queued := range r.aggregator.TakeUnsent() {
			r.handleRequest(queued.Request, nil, queued.Reply)
		}
		return 0
	}
	if r.aggregator.Outstanding() == 0 || r.node.IsLeader() {
		return 0
	}
	if !r.isAggregating(now) {
		r.aggregator.FailAll(rpc.Response{Code: rpc.CodeNotLeader})
		return 0
	}
	current := r.aggregator
	batches, wake := current.DueBatches(now)
	for _, batch := range batches {
		request := rpc.Request{Kind: rpc.KindBatch, Body: transport.Encode(batch.Requests)}
		if batch.Renewals != nil {
			batch.Renewals.AggregatorProcess = r.incarnation
			request = rpc.Request{Kind: rpc.KindLeaseBatch, Body: transport.Encode(batch.Renewals)}
		}
		r.metrics.count("raised_"+request.Kind, 1)
		callCtx, cancel := context.WithTimeout(ctx, tuning.AggregatorRequestTimeout)
		// Posted from the loop, so that batches reach the leader in order.
		await := r.leaderClient.Enqueue(callCtx, request)
		go func() {
			defer cancel()
			event := Event{LeaderResponse: &leaderResponse{current, batch, await()}}
			select {
			case r.events <- event:
			case <-ctx.Done():
			}
		}()
	}
	return wake
}

// handleLeaderResponse hands the leader's answer to the aggregator.
func (r *Replica) handleLeaderResponse(received *leaderResponse) {
	response := received.response
	// With these codes the caller looks for the leader by itself, and knows
	// whether its request may have been taken.
	switch response.Code {
	case rpc.CodeNoLeader:
		response = rpc.Response{Code: rpc.CodeNotLeader}
	case rpc.CodeTimeout:
		response = rpc.Response{Code: rpc.CodeLeadershipLost}
	}
	if received.batch.Renewals != nil {
		var refusals []rpc.MemberRefusal
		if len(response.Body) > 0 && transport.Decode(response.Body, &refusals) != nil {
			response = rpc.Response{Code: rpc.CodeNotLeader}
		}
		received.aggregator.HandleRenewals(received.batch.ID, response, refusals, time.Now())
		return
	}
	var responses []rpc.Response
	if len(response.Body) > 0 && transport.Decode(response.Body, &responses) != nil {
		response = rpc.Response{Code: rpc.CodeNotLeader}
	}
	received.aggregator.HandleResponses(received.batch.ID, response, responses)
}

// memberSet is an aggregator's set of workers, as the leader was told it.
// A set is known by the aggregator's process and its number: a batch of an
// earlier process may arrive late, and may bear the number of a later set.
type memberSet struct {
	incarnation string
	number      uint64
	members     []rpc.BatchMember
}

// handleLeaseBatch renews the leases of all workers that ask for it in a batch.
func (r *Replica) handleLeaseBatch(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request rpc.LeaseBatch
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	set := r.memberSets[request.AggregatorDisk]
	if request.Members != nil {
		set = memberSet{request.AggregatorProcess, request.SetNumber, request.Members}
		r.memberSets[request.AggregatorDisk] = set
	}
	if set.incarnation != request.AggregatorProcess || set.number != request.SetNumber || len(request.Requested) != (len(set.members)+7)/8 {
		reply(rpc.Response{Code: 428, Text: "tell the set whole"})
		return
	}
	now := time.Now()
	var refusals []rpc.MemberRefusal
	for i, member := range set.members {
		if request.IsRequested(i) {
			if code := r.renewLease(member.Worker, member.Fence, now); code != 200 {
				refusals = append(refusals, rpc.MemberRefusal{Member: i, Code: code})
			}
		}
	}
	for _, ratio := range request.Runtimes {
		if ratio.Member >= 0 && ratio.Member < len(set.members) {
			if lease := r.leases[set.members[ratio.Member].Worker]; lease != nil {
				lease.runtimeRatio = ratio.RuntimePercent
			}
		}
	}
	response := rpc.Response{Code: 200, Value: r.leaseDuration.Milliseconds()}
	if len(refusals) > 0 {
		response.Body = transport.Encode(refusals)
	}
	reply(response)
}

// renewLease renews a worker's lease from now on; the code is that of an HTTP answer.
func (r *Replica) renewLease(id string, fence int64, now time.Time) int {
	worker := r.state.Workers[id]
	if worker == nil || worker.Dead {
		return 410
	}
	lease := r.leases[id]
	if worker.LeaseExpired || worker.Fence != fence || lease == nil || lease.expiring {
		return 409
	}
	lease.grantedAt, lease.heardAt = now, now
	return 200
}

// handleBatch answers the other requests of an aggregator, all in one.
func (r *Replica) handleBatch(raw []byte, _ *transport.Stream, reply replyFunc) {
	var batch rpc.Batch
	if transport.Decode(raw, &batch) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	r.metrics.count("many_asks", len(batch.Requests))
	responses, remaining, unknown := make([]rpc.Response, len(batch.Requests)), len(batch.Requests), false
	for i, request := range batch.Requests {
		done := func(response rpc.Response) {
			responses[i] = response
			// One unclear outcome makes the whole batch unclear: the client
			// then asks the next leader, and requests can be repeated.
			unknown = unknown || response.Code == rpc.CodeLeadershipLost || response.Code == rpc.CodeNotLeader
			if remaining--; remaining > 0 {
				return
			}
			if unknown {
				reply(rpc.Response{Code: rpc.CodeLeadershipLost})
				return
			}
			reply(rpc.Response{Code: 200, Body: transport.Encode(responses)})
		}
		if handler := leaderHandlers[request.Kind]; handler != nil && aggregatedRequests[request.Kind] {
			handler(r, request.Body, nil, done)
		} else {
			done(rpc.Response{Code: 400, Text: "unknown ask"})
		}
	}
}

package server

import (
	"context"
	"time"

	"tealpond/internal/aggregator"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

const (
	// aggregatorRequestTimeout is how long an aggregator waits for the leader's response; it outlasts
	// an election.
	aggregatorRequestTimeout = 1500 * time.Millisecond
	// aggregatorLeaderLossTimeout is how long an aggregator that knows no leader keeps accepting
	// requests; it outlasts an election.
	aggregatorLeaderLossTimeout = 1200 * time.Millisecond
)

// leaderResponse is the leader's response to one batch.
type leaderResponse struct {
	aggregator *aggregator.Batcher // that sent the batch: each numbers its batches from 1
	batch      aggregator.Batch
	response   rpc.Response
}

// isAggregating reports whether this server may collect requests of agents for the
// leader.
func (r *Replica) isAggregating(now time.Time) bool {
	// Aggregation continues during an election: no other server could serve the agents
	// better, and the batch is sent as soon as a leader is known.
	mayAggregate := r.node != nil && (r.node.IsVoter(r.self.ID) || r.isAppointed(r.self.ID))
	return mayAggregate && len(r.leaving.waiters) == 0 && r.leaderlessFor(now) < aggregatorLeaderLossTimeout
}

// isAppointed reports whether a member is the aggregator or the standby of a zone.
func (r *Replica) isAppointed(memberID string) bool {
	for _, aggregator := range r.state.Aggregators {
		if memberID != "" && (aggregator.Member == memberID || aggregator.Standby == memberID) {
			return true
		}
	}
	return false
}

// leaderlessFor returns for how long this replica has known no leader.
func (r *Replica) leaderlessFor(now time.Time) time.Duration {
	if r.node.Leader() != "" || r.leaderSeenAt.IsZero() {
		r.leaderSeenAt = now
	}
	return now.Sub(r.leaderSeenAt)
}

// enqueueForLeader adds a request of an agent to the next batch. It returns false if the
// request can't be batched here.
func (r *Replica) enqueueForLeader(request rpc.Request, stream *transport.Stream, reply replyFunc) bool {
	now := time.Now()
	if stream == nil || !aggregatedKinds[request.Kind] || !r.isAggregating(now) {
		return false
	}
	if request.Kind != rpc.KindRenewLease {
		return r.aggregator.Enqueue(request, reply)
	}
	var renewal rpc.LeaseRenewal
	if transport.Decode(request.Body, &renewal) != nil {
		return false
	}
	r.openSession(&renewal, stream)
	r.aggregator.Renew(renewal, func(response rpc.Response) {
		response.Aggregator, response.StandbyAggregator = r.aggregatorAddresses(renewal.Worker)
		reply(response)
	}, now)
	return true
}

// sendBatches sends the leader the batches that are due. It returns the time until the
// next one is due, 0 if there is none.
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
		r.aggregator.FailUnsent(responseNotLeader)
		return 0
	}
	batches, untilNext := r.aggregator.DueBatches(now)
	for _, batch := range batches {
		r.sendBatch(ctx, batch)
	}
	return untilNext
}

// sendBatch sends the leader one batch. The response is posted to the loop as an event.
func (r *Replica) sendBatch(ctx context.Context, batch aggregator.Batch) {
	request := rpc.Request{Kind: rpc.KindBatch, Body: transport.Encode(batch.Requests)}
	if batch.Renewals != nil {
		batch.Renewals.AggregatorProcessID = r.processID
		request = rpc.Request{Kind: rpc.KindLeaseBatch, Body: transport.Encode(batch.Renewals)}
	}
	r.metrics.count("batch_"+request.Kind, 1)
	callCtx, cancel := context.WithTimeout(ctx, aggregatorRequestTimeout)
	// Enqueued from the loop, so that batches reach the leader in order.
	await := r.leaderClient.Enqueue(callCtx, request)
	sender := r.aggregator
	go func() {
		defer cancel()
		r.post(ctx, loopEvent{leaderResponse: &leaderResponse{sender, batch, await()}})
	}()
}

// handleLeaderResponse passes the leader's response to the aggregator.
func (r *Replica) handleLeaderResponse(received *leaderResponse) {
	response := received.response
	// These codes make the caller look for the leader itself, and tell it whether its
	// request may have been accepted.
	switch response.Code {
	case rpc.CodeNoLeader:
		response = responseNotLeader
	case rpc.CodeTimeout:
		response = responseOutcomeUnknown
	}
	if received.batch.Renewals != nil {
		var refusals []rpc.MemberRefusal
		if len(response.Body) > 0 && transport.Decode(response.Body, &refusals) != nil {
			response = responseNotLeader
		}
		received.aggregator.HandleRenewals(received.batch.ID, response, refusals, time.Now())
		return
	}
	var responses []rpc.Response
	if len(response.Body) > 0 && transport.Decode(response.Body, &responses) != nil {
		response = responseNotLeader
	}
	received.aggregator.HandleResponses(received.batch.ID, response, responses)
}

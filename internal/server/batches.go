package server

import (
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// aggregatedKinds are the kinds of agent requests that an aggregator accepts and batches for the
// leader.
var aggregatedKinds = map[string]bool{
	rpc.KindRenewLease:        true,
	rpc.KindRegisterWorker:    true,
	rpc.KindReportCompletions: true,
	rpc.KindReportEligibility: true,
	rpc.KindSetEligibility:    true,
	rpc.KindRenewMembership:   true,
}

// handleBatch handles the requests of an aggregator's batch and returns all responses in one.
func (r *Replica) handleBatch(batch *rpc.Batch, _ *transport.Stream, reply replyFunc) {
	r.metrics.count("batched_requests", len(batch.Requests))
	responses := make([]rpc.Response, len(batch.Requests))
	remaining, unknown := len(batch.Requests), false
	for i, request := range batch.Requests {
		done := func(response rpc.Response) {
			responses[i] = response
			// One unknown outcome makes the outcome of the whole batch unknown. The client then
			// retries with the next leader, which is safe because the requests are idempotent.
			unknown = unknown || response.Code == rpc.CodeLeadershipLost || response.Code == rpc.CodeNotLeader
			if remaining--; remaining > 0 {
				return
			}
			if unknown {
				reply(responseOutcomeUnknown)
				return
			}
			reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(responses)})
		}
		if handler := leaderHandlers[request.Kind]; handler != nil && aggregatedKinds[request.Kind] {
			handler(r, request.Body, nil, done)
		} else {
			done(responseUnknownKind)
		}
	}
}

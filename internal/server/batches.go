package server

import (
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// aggregatedKinds are the kinds of agents' requests that an aggregator takes and
// batches for the leader.
var aggregatedKinds = map[string]bool{
	rpc.KindRenewLease:        true,
	rpc.KindRegisterWorker:    true,
	rpc.KindReportCompletions: true,
	rpc.KindSetEligibility:    true,
	rpc.KindRenewMembership:   true,
}

// handleBatch answers the requests of an aggregator's batch, all in one response.
func (r *Replica) handleBatch(batch *rpc.Batch, _ *transport.Stream, reply replyFunc) {
	r.metrics.count("batched_requests", len(batch.Requests))
	responses := make([]rpc.Response, len(batch.Requests))
	remaining, unknown := len(batch.Requests), false
	for i, request := range batch.Requests {
		done := func(response rpc.Response) {
			responses[i] = response
			// One unknown outcome makes that of the whole batch unknown: the client
			// then asks the next leader, and requests can be repeated.
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

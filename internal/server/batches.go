package server

import (
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

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

// aggregatedRequests are the requests of side daemons that a follower takes and
// batches for the leader.
var aggregatedRequests = map[string]bool{
	rpc.KindRenewLease: true, rpc.KindRegisterWorker: true, rpc.KindReportCompletions: true, rpc.KindSetEligibility: true, rpc.KindRenewMembership: true,
}

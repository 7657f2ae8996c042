package server

import (
	"context"

	"tealpond/internal/federation"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// EnableFederation turns moving on.
func (r *Replica) EnableFederation(config federation.Settings) { r.federation = &config }

// FederationWork shows the mover what there is to do.
func (r *Replica) FederationWork(ctx context.Context) federation.PendingWork {
	var w federation.PendingWork
	if a, ok := r.sendLocal(ctx, rpc.KindFederationWork, nil); ok {
		_ = transport.Decode(a.Body, &w)
	}
	return w
}

// Propose puts a command of the mover's into the log.
func (r *Replica) Propose(ctx context.Context, kind string, cmd state.Command) (state.Outcome, bool) {
	a, ok := r.sendLocal(ctx, rpc.KindPropose, transport.Encode(state.EncodeCommand(kind, cmd)))
	return state.Outcome{Code: state.Code(a.Code), Text: a.Text, Value: a.Value}, ok && a.Code >= 100
}

// sendLocal sends a request to the loop of this process.
func (r *Replica) sendLocal(ctx context.Context, kind string, body []byte) (rpc.Response, bool) {
	received := make(chan rpc.Response, 1)
	select {
	case r.events <- Event{FederationRequest: &LocalRequest{Request: rpc.Request{Kind: kind, Body: body}, Reply: func(response rpc.Response) {
		select {
		case received <- response:
		default:
		}
	}}}:
	case <-ctx.Done():
		return rpc.Response{}, false
	}
	select {
	case response := <-received:
		return response, true
	case <-ctx.Done():
		return rpc.Response{}, false
	}
}

// handleFederationRequest answers the mover of this process; streams can't reach it.
func (r *Replica) handleFederationRequest(local *LocalRequest) {
	if r.node == nil || !r.node.LeaderReady() || !r.leading || r.federation == nil {
		local.Reply(rpc.Response{Code: rpc.CodeNotLeader})
		return
	}
	switch local.Request.Kind {
	case rpc.KindFederationWork:
		local.Reply(rpc.Response{Code: 200, Body: transport.Encode(r.collectFederationWork())})
	case rpc.KindPropose:
		var command state.EncodedCommand
		if transport.Decode(local.Request.Body, &command) != nil {
			local.Reply(rpc.Response{Code: 400})
			return
		}
		r.commands = append(r.commands, command)
		r.replies = append(r.replies, outcomeReply(local.Reply))
	}
}

// handleFederationCall answers the leader of another cluster.
func (r *Replica) handleFederationCall(raw []byte, _ *transport.Stream, reply replyFunc) {
	if r.federation == nil {
		reply(rpc.Response{Code: 404, Text: "moving is off"})
		return
	}
	request, reason := r.federation.Verify(raw)
	if reason != "" {
		_ = r.log.Log("level", "warn", "event", "peer.refused", "why", reason)
		reply(rpc.Response{Code: 403, Text: reason})
		return
	}
	respond := func(result string, n int64) {
		reply(rpc.Response{Code: 200, Body: transport.Encode(federation.Response{Status: result, Epoch: r.state.Epoch, Index: r.state.AppliedIndex, MilliCPU: n})})
	}
	respondOutcome := func(outcome state.Outcome, ok bool) {
		if !ok {
			reply(rpc.Response{Code: rpc.CodeLeadershipLost})
			return
		}
		// A job that was taken is looked up again: it may have ended since.
		result := outcome.Text
		if job := r.state.Jobs[request.JobID]; result == "taken" && job != nil {
			result = state.IncomingJobStatus(job)
		}
		respond(result, outcome.Value)
	}
	switch request.Kind {
	case federation.CallLoan:
		work := r.collectFederationWork()
		spare := r.federation.LendableMilliCPU(work)
		if r.federation.Crowded(work) || spare < request.MilliCPU {
			respond("crowded", spare)
			return
		}
		service := r.serviceToLend()
		slice := max(work.CapacityMilliCPU/64, 1)
		r.enqueueCommand("lend", &state.LendCapacity{ID: request.Loan, Peer: request.From, Service: service, MilliCPU: spare, MinMilliCPU: request.MilliCPU, DurationMs: request.DurationMs, SliceMilliCPU: slice, Slices: int(r.federation.LendShare * 64)}, func(outcome state.Outcome, ok bool) {
			if !ok {
				reply(rpc.Response{Code: rpc.CodeLeadershipLost})
				return
			}
			result := "lent"
			if outcome.Code != 200 {
				result = "full"
			}
			respond(result, outcome.Value)
		})
	case federation.CallOffer:
		r.enqueueCommand("accept", &state.AcceptJob{Peer: request.From, OfferID: request.OfferNumber, ID: request.JobID, Route: request.Route, Loan: request.Loan, Job: request.Job}, respondOutcome)
	case federation.CallRelease:
		r.enqueueCommand("release", &state.ReleaseJob{Peer: request.From, OfferID: request.OfferNumber, ID: request.JobID}, respondOutcome)
	case federation.CallVoidOffer:
		r.enqueueCommand("void", &state.VoidOffer{Peer: request.From, OfferID: request.OfferNumber, ID: request.JobID, Cancel: request.Cancel}, respondOutcome)
	default:
		reply(rpc.Response{Code: 400, Text: "unknown call"})
	}
}

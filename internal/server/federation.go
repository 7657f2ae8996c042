package server

import (
	"context"

	"tealpond/internal/federation"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// loanSlices is the number of slices into which the whole capacity is divided for loans.
const loanSlices = 64

// EnableFederation enables federation. It must be called before Run.
func (r *Replica) EnableFederation(config federation.Settings) { r.federation = &config }

// FederationWork returns the pending work of the offloader. It is empty on a replica that
// does not lead, and when ctx ends.
func (r *Replica) FederationWork(ctx context.Context) federation.PendingWork {
	var work federation.PendingWork
	if response, ok := r.callLoop(ctx, rpc.KindFederationWork, nil); ok {
		_ = transport.Decode(response.Body, &work) // encoded by this process
	}
	return work
}

// Propose proposes a command of the offloader, under the name by which package state
// registers it, and waits for its outcome. It returns false if it is unknown whether the
// command takes effect.
func (r *Replica) Propose(ctx context.Context, name string, command state.Command) (state.Outcome, bool) {
	response, ok := r.callLoop(ctx, rpc.KindPropose, transport.Encode(state.EncodeCommand(name, command)))
	outcome := state.Outcome{Code: state.Code(response.Code), Text: response.Text, Value: response.Value}
	// Codes below rpc.MinHTTPCode mean that the command has no outcome here.
	return outcome, ok && response.Code >= rpc.MinHTTPCode
}

// callLoop sends a request of the offloader to the loop of this process and waits for the
// response. It returns false when ctx ends first.
func (r *Replica) callLoop(ctx context.Context, kind string, body []byte) (rpc.Response, bool) {
	received := make(chan rpc.Response, 1)
	reply := func(response rpc.Response) {
		select {
		case received <- response:
		default:
		}
	}
	if !r.post(ctx, loopEvent{federationRequest: &localRequest{request: rpc.Request{Kind: kind, Body: body}, reply: reply}}) {
		return rpc.Response{}, false
	}
	select {
	case response := <-received:
		return response, true
	case <-ctx.Done():
		return rpc.Response{}, false
	}
}

// handleFederationRequest answers the offloader of this process. These requests can't come
// from a stream.
func (r *Replica) handleFederationRequest(local *localRequest) {
	if r.node == nil || !r.node.LeaderReady() || !r.leading || r.federation == nil {
		local.reply(responseNotLeader)
		return
	}
	switch local.request.Kind {
	case rpc.KindFederationWork:
		local.reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(federationWork(r.state, r.federation))})
	case rpc.KindPropose:
		var command state.EncodedCommand
		if transport.Decode(local.request.Body, &command) != nil {
			local.reply(responseBadRequest)
			return
		}
		r.enqueueEncoded(command, outcomeReply(local.reply))
	}
}

// handleFederationCall handles a call of the leader of another cluster.
func (r *Replica) handleFederationCall(body []byte, _ *transport.Stream, reply replyFunc) {
	if r.federation == nil {
		reply(rpc.Response{Code: rpc.CodeNotFound, Text: "moving is off"})
		return
	}
	request, err := r.federation.Verify(body)
	if err != nil {
		_ = r.log.Log("level", "warn", "event", "federation.call_refused", "reason", err)
		reply(rpc.Response{Code: rpc.CodeForbidden, Text: err.Error()})
		return
	}
	respond := func(status string, value int64) {
		response := federation.Response{Status: status, Epoch: r.state.Epoch, Index: r.state.AppliedIndex, MilliCPU: value}
		reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(response)})
	}
	respondOutcome := func(outcome state.Outcome, known bool) {
		if !known {
			reply(responseOutcomeUnknown)
			return
		}
		// The current status of an accepted job is sent, since it may have ended since then.
		status := outcome.Text
		if job := r.state.Jobs[request.JobID]; status == state.AnswerAccepted && job != nil {
			status = state.IncomingJobStatus(job)
		}
		respond(status, outcome.Value)
	}
	switch request.Kind {
	case federation.CallLoan:
		r.lendCapacity(&request, reply, respond)
	case federation.CallOffer:
		accept := &state.AcceptJob{
			Peer:    request.From,
			OfferID: request.OfferID,
			ID:      request.JobID,
			Route:   request.Route,
			Loan:    request.Loan,
			Job:     request.Job,
		}
		r.enqueueCommand(state.CommandAcceptJob, accept, respondOutcome)
	case federation.CallRelease:
		release := &state.ReleaseJob{Peer: request.From, OfferID: request.OfferID, ID: request.JobID}
		r.enqueueCommand(state.CommandReleaseJob, release, respondOutcome)
	case federation.CallWithdrawOffer:
		withdraw := &state.WithdrawOffer{Peer: request.From, OfferID: request.OfferID, ID: request.JobID, Cancel: request.Cancel}
		r.enqueueCommand(state.CommandWithdrawOffer, withdraw, respondOutcome)
	default:
		reply(rpc.Response{Code: rpc.CodeBadRequest, Text: "unknown call"})
	}
}

// lendCapacity lends another cluster the capacity that this one can spare, if that is enough
// for the call.
func (r *Replica) lendCapacity(request *federation.Call, reply replyFunc, respond func(status string, value int64)) {
	work := federationWork(r.state, r.federation)
	spare := r.federation.LendableMilliCPU(work)
	if r.federation.ForecastsOverload(work) || spare < request.MilliCPU {
		respond(federation.StatusOverloaded, spare)
		return
	}
	loan := &state.LendCapacity{
		ID:            request.Loan,
		Peer:          request.From,
		Service:       serviceToLend(r.state),
		MilliCPU:      spare,
		MinMilliCPU:   request.MilliCPU,
		DurationMs:    request.DurationMs,
		SliceMilliCPU: max(work.CapacityMilliCPU/loanSlices, 1),
		Slices:        int(r.federation.LendShare * loanSlices),
	}
	r.enqueueCommand(state.CommandLendCapacity, loan, func(outcome state.Outcome, known bool) {
		if !known {
			reply(responseOutcomeUnknown)
			return
		}
		status := federation.StatusLent
		if outcome.Code != state.CodeOK {
			status = federation.StatusFull
		}
		respond(status, outcome.Value)
	})
}

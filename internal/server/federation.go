package server

import (
	"context"

	"tealpond/internal/federation"
	"tealpond/internal/protocol"
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

// collectFederationWork gathers open moves, candidates and the record of demand.
func (r *Replica) collectFederationWork() federation.PendingWork {
	store := r.state
	work := federation.PendingWork{IsLeader: true, Epoch: store.Epoch, Index: r.state.AppliedIndex, WallMs: store.WallClock, Demand: map[int64]float64{}}
	movable, remoteRoutes := map[string]bool{}, map[string]string{}
	services := map[string]bool{}
	for _, configured := range r.federation.Routes {
		movable[configured.LocalRoute] = true
		remoteRoutes[configured.LocalRoute] = configured.PeerRoute
		if local := store.Routes[configured.LocalRoute]; local != nil {
			services[local.TargetService] = true
		}
	}
	for _, job := range store.OpenJobs() {
		if job.AtPeer() {
			work.OpenTransfers = append(work.OpenTransfers, federation.OpenTransfer{JobID: job.ID, Peer: job.Transfer.Peer, OfferNumber: job.Transfer.OfferID, State: job.Transfer.State, CancelRequested: job.Transfer.CancelRequested, Route: remoteRoutes[job.Route],
				Job: protocol.Job{Spec: job.Spec, Steps: job.Steps}})
			continue
		}
		if movable[job.Route] && !job.Started && job.PeriodicInstances == 0 && !job.Transfer.Incoming && !hasLongRunningStep(job) {
			cpu := int64(0)
			for _, step := range job.Steps {
				cpu = max(cpu, step.CPUUnits*int64(step.TaskCount))
			}
			work.Candidates = append(work.Candidates, federation.Candidate{JobID: job.ID, Route: job.Route, Priority: job.Priority, MilliCPU: cpu, Offers: job.Transfer.OfferCount})
		}
	}
	if len(services) == 0 {
		for name := range store.Services {
			services[name] = true
		}
	}
	for _, job := range store.Jobs {
		if job.EndedAt != 0 && job.AtPeer() && job.Transfer.State == state.TransferAccepted {
			work.OpenTransfers = append(work.OpenTransfers, federation.OpenTransfer{JobID: job.ID, Peer: job.Transfer.Peer, OfferNumber: job.Transfer.OfferID, State: job.Transfer.State, Finished: true})
		}
	}
	for name, route := range store.Routes {
		if services[route.TargetService] {
			for bucket, demand := range store.Demand[name] {
				work.Demand[bucket] += demand
			}
		}
	}
	for name := range services {
		capacity, _ := store.SchedulableCapacity(name)
		work.CapacityMilliCPU += capacity.MilliCPU
	}
	return work
}

// hasLongRunningStep tells whether a job has a long-running step.
func hasLongRunningStep(job *state.Job) bool {
	for _, step := range job.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
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

// serviceToLend is the service whose room is lent: the first by name.
func (r *Replica) serviceToLend() string {
	first := ""
	for name := range r.state.Services {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

// cancelReply answers a cancellation; one of a job at a peer waits until the
// peer has stopped it.
func (r *Replica) cancelReply(id string, reply replyFunc) func(state.Outcome, bool) {
	return func(outcome state.Outcome, ok bool) {
		if ok && outcome.Code == 202 {
			// Its runs may start until the stop is in the peer's log.
			r.cancelWaiters[id] = append(r.cancelWaiters[id], reply)
			return
		}
		outcomeReply(reply)(outcome, ok)
	}
}

// replyToCancelWaiters answers the cancellations whose job has ended.
func (r *Replica) replyToCancelWaiters() {
	for id, replies := range r.cancelWaiters {
		job := r.state.Jobs[id]
		if r.leading && job != nil && job.EndedAt == 0 {
			continue
		}
		for _, reply := range replies {
			if r.leading {
				reply(rpc.Response{Code: 200})
			} else {
				reply(rpc.Response{Code: rpc.CodeLeadershipLost})
			}
		}
		delete(r.cancelWaiters, id)
	}
}

// demandBucket is that of now in the record of demand, 0 while moving is off.
func (r *Replica) demandBucket() int64 {
	if r.federation == nil {
		return 0
	}
	return r.federation.BucketOf(r.state.WallClock)
}

package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// replyFunc answers a request; it is called once, in the loop.
type replyFunc = func(rpc.Response)

// replicaHandlers handle the requests that any core daemon answers.
var replicaHandlers = map[string]func(*Replica, []byte, replyFunc){
	rpc.KindLeader:        (*Replica).handleLeaderInfo,
	rpc.KindBootstrap:     (*Replica).handleBootstrapAnnouncement,
	rpc.KindTrace:         (*Replica).handleTrace,
	rpc.KindClusterState:  (*Replica).handleClusterState,
	requestAnnouncerState: func(c *Replica, _ []byte, reply replyFunc) { reply(c.announcerResponse()) },
}

// leaderHandlers handle those that only a leader with a valid lease answers.
var leaderHandlers map[string]func(*Replica, []byte, *transport.Stream, replyFunc)

func init() {
	// Set here, since some handlers look others up in this table.
	leaderHandlers = map[string]func(*Replica, []byte, *transport.Stream, replyFunc){
		rpc.KindJoin:              (*Replica).handleJoin,
		rpc.KindRenewMembership:   (*Replica).handleRenewMembership,
		rpc.KindSubmitJob:         (*Replica).handleSubmitJob,
		rpc.KindJobStatus:         (*Replica).handleJobStatus,
		rpc.KindCancelJob:         (*Replica).handleCancelJob,
		rpc.KindPutConfig:         (*Replica).handlePutConfig,
		rpc.KindGetConfig:         (*Replica).handleGetConfig,
		rpc.KindGetLimits:         (*Replica).handleGetLimits,
		rpc.KindRegisterWorker:    (*Replica).handleRegisterWorker,
		rpc.KindRenewLease:        (*Replica).handleRenewLease,
		rpc.KindReportCompletions: (*Replica).handleReportCompletions,
		rpc.KindSetEligibility:    (*Replica).handleSetEligibility,
		rpc.KindListMembers:       (*Replica).handleListMembers,
		rpc.KindFederationCall:    (*Replica).handleFederationCall,
		rpc.KindLeaseBatch:        (*Replica).handleLeaseBatch,
		rpc.KindBatch:             (*Replica).handleBatch,
		rpc.KindReleaseZones:      (*Replica).handleReleaseZones,
	}
}

// handleRequest dispatches a request; stream is nil for one of this process.
func (r *Replica) handleRequest(request rpc.Request, stream *transport.Stream, reply replyFunc) {
	if handler := replicaHandlers[request.Kind]; handler != nil {
		handler(r, request.Body, reply)
		return
	}
	handler := leaderHandlers[request.Kind]
	if handler == nil {
		reply(rpc.Response{Code: 400, Text: "unknown ask"})
		return
	}
	if r.node == nil || !r.node.LeaderReady() || !r.leading || !r.node.HasLease(time.Now()) {
		if r.node != nil && !r.leading && r.enqueueForLeader(request, stream, reply) {
			return
		}
		reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		return
	}
	handler(r, request.Body, stream, reply)
}

// withAppliedVersions adds to each answer the versions that this daemon has applied.
func (r *Replica) withAppliedVersions(reply replyFunc) replyFunc {
	return func(response rpc.Response) {
		response.ConfigVersion = max(response.ConfigVersion, r.state.Configuration.Version)
		if response.AppliedIndex == 0 && r.node != nil {
			response.AppliedIndex = r.state.AppliedIndex
		}
		reply(response)
	}
}

// leaderAddress is the address of another leader; empty if none is known.
func (r *Replica) leaderAddress() string {
	if r.node == nil || r.node.Leader() == "" || r.node.Leader() == r.self.ID {
		return ""
	}
	return r.addressOf(r.node.Leader())
}

// handleLeaderInfo tells what this daemon knows of the leader.
func (r *Replica) handleLeaderInfo(_ []byte, reply replyFunc) {
	info := rpc.LeaderInfo{}
	if r.node != nil {
		info.Term = r.node.Term()
		info.IsLeader = r.leading && r.node.LeaderReady() && r.node.HasLease(time.Now())
		info.Leader = r.leaderAddress()
		info.IsAggregator = info.Leader != "" && r.isAggregating(time.Now())
		for _, voter := range r.node.Voters() {
			info.KnownServers = append(info.KnownServers, voter.Addr)
		}
	}
	reply(rpc.Response{Code: 200, Body: transport.Encode(info)})
}

// outcomeReply answers a request with the outcome of its command.
func outcomeReply(reply replyFunc) func(state.Outcome, bool) {
	return func(outcome state.Outcome, ok bool) {
		if !ok {
			reply(rpc.Response{Code: rpc.CodeLeadershipLost})
			return
		}
		reply(rpc.Response{Code: int(outcome.Code), Text: outcome.Text, Value: outcome.Value})
	}
}

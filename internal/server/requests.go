package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// replyFunc answers a request; it is called once, in the loop.
type replyFunc = func(rpc.Response)

// replicaHandler handles a request that any replica answers.
type replicaHandler = func(r *Replica, body []byte, reply replyFunc)

// leaderHandler handles a request that only a leader with a valid lease answers. The stream
// is nil for a request of this process, or in a batch of an aggregator.
type leaderHandler = func(r *Replica, body []byte, stream *transport.Stream, reply replyFunc)

// replicaHandlers are the requests that any replica answers, by kind.
var replicaHandlers = map[string]replicaHandler{
	rpc.KindLeader:       (*Replica).handleLeaderInfo,
	rpc.KindBootstrap:    (*Replica).handleBootstrapAnnouncement,
	rpc.KindTrace:        (*Replica).handleTrace,
	rpc.KindClusterState: (*Replica).handleClusterState,
	rpc.KindChangeTally:  (*Replica).handleChangeTally,
	rpc.KindReadTally:    (*Replica).handleReadTally,
	requestGauges: func(r *Replica, _ []byte, reply replyFunc) {
		reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(r.gauges(time.Now()))})
	},
	requestAnnouncerState: func(r *Replica, _ []byte, reply replyFunc) { reply(r.announcerResponse()) },
}

// leaderHandlers are the requests that only a leader answers, by kind.
var leaderHandlers map[string]leaderHandler

func init() {
	// Initialized here to avoid an initialization cycle: handleBatch looks up handlers in this
	// table.
	leaderHandlers = map[string]leaderHandler{
		rpc.KindJoin:              decoded((*Replica).handleJoin),
		rpc.KindRenewMembership:   decoded((*Replica).handleRenewMembership),
		rpc.KindListMembers:       (*Replica).handleListMembers,
		rpc.KindReleaseZones:      decoded((*Replica).handleReleaseZones),
		rpc.KindSubmitJob:         decoded((*Replica).handleSubmitJob),
		rpc.KindJobStatus:         decoded((*Replica).handleJobStatus),
		rpc.KindCancelJob:         decoded((*Replica).handleCancelJob),
		rpc.KindPutConfig:         decoded((*Replica).handlePutConfig),
		rpc.KindGetConfig:         (*Replica).handleGetConfig,
		rpc.KindChangeConfig:      decoded((*Replica).handleChangeConfig),
		rpc.KindPublishRunners:    decoded((*Replica).handlePublishRunners),
		rpc.KindWatchRunners:      decoded((*Replica).handleWatchRunners),
		rpc.KindGetLimits:         (*Replica).handleGetLimits,
		rpc.KindGetTenants:        decoded((*Replica).handleGetTenants),
		rpc.KindExchangeCounts:    decoded((*Replica).handleExchangeCounts),
		rpc.KindAnnounceRunner:    decoded((*Replica).handleAnnounceRunner),
		rpc.KindExchangeSums:      decoded((*Replica).handleExchangeSums),
		rpc.KindRegisterWorker:    decoded((*Replica).handleRegisterWorker),
		rpc.KindRenewLease:        decoded((*Replica).handleRenewLease),
		rpc.KindReportCompletions: decoded((*Replica).handleReportCompletions),
		rpc.KindReportEligibility: decoded((*Replica).handleReportEligibility),
		rpc.KindSetEligibility:    decoded((*Replica).handleSetEligibility),
		rpc.KindLeaseBatch:        decoded((*Replica).handleLeaseBatch),
		rpc.KindBatch:             decoded((*Replica).handleBatch),
		rpc.KindFederationCall:    (*Replica).handleFederationCall,
		rpc.KindZoneEvacuation:    decoded((*Replica).handleZoneEvacuation),
		rpc.KindEvacuateZone:      decoded((*Replica).handleEvacuateZone),
		rpc.KindAcquireLock:       decoded((*Replica).handleAcquireLock),
		rpc.KindRenewLock:         decoded((*Replica).handleRenewLock),
		rpc.KindReleaseLock:       decoded((*Replica).handleReleaseLock),
		rpc.KindNextNumber:        decoded((*Replica).handleNextNumber),
		rpc.KindPutKey:            decoded((*Replica).handlePutKey),
		rpc.KindReadKey:           decoded((*Replica).handleReadKey),
		rpc.KindWatchKeys:         decoded((*Replica).handleWatchKeys),
	}
}

// decoded wraps a handler that takes the decoded body. A body that can't be decoded is
// answered with rpc.CodeBadRequest.
func decoded[T any](handle func(r *Replica, request *T, stream *transport.Stream, reply replyFunc)) leaderHandler {
	return func(r *Replica, body []byte, stream *transport.Stream, reply replyFunc) {
		request := new(T)
		if transport.Decode(body, request) != nil {
			reply(responseBadRequest)
			return
		}
		handle(r, request, stream, reply)
	}
}

// handleRequest dispatches a request. The stream is nil for a request of this process.
func (r *Replica) handleRequest(request rpc.Request, stream *transport.Stream, reply replyFunc) {
	if handler := replicaHandlers[request.Kind]; handler != nil {
		handler(r, request.Body, reply)
		return
	}
	handler := leaderHandlers[request.Kind]
	if handler == nil {
		reply(responseUnknownKind)
		return
	}
	if !r.leadsWithLease(time.Now()) {
		if r.node != nil && !r.leading && r.enqueueForLeader(request, stream, reply) {
			return
		}
		reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		return
	}
	handler(r, request.Body, stream, reply)
}

// leadsWithLease reports whether this replica is a ready leader and holds a valid lease, so
// that no other leader can have been elected yet.
func (r *Replica) leadsWithLease(now time.Time) bool {
	return r.node != nil && r.node.LeaderReady() && r.leading && r.node.HasLease(now)
}

// withAppliedVersions adds the configuration version and the log index that this replica has
// applied to each response.
func (r *Replica) withAppliedVersions(reply replyFunc) replyFunc {
	return func(response rpc.Response) {
		response.ConfigVersion = max(response.ConfigVersion, r.state.Configuration.Version)
		if response.AppliedIndex == 0 && r.node != nil {
			response.AppliedIndex = r.state.AppliedIndex
		}
		reply(response)
	}
}

// leaderAddress returns the address of the leader if that is another replica; empty if none
// is known.
func (r *Replica) leaderAddress() string {
	if r.node == nil || r.node.Leader() == "" || r.node.Leader() == r.self.ID {
		return ""
	}
	return r.addressOf(r.node.Leader())
}

// handleLeaderInfo returns what this replica knows about the leader.
func (r *Replica) handleLeaderInfo(_ []byte, reply replyFunc) {
	info := rpc.LeaderInfo{}
	if r.node != nil {
		info.Term = r.node.Term()
		info.IsLeader = r.leadsWithLease(time.Now())
		info.Leader = r.leaderAddress()
		info.IsAggregator = info.Leader != "" && r.isAggregating(time.Now())
		for _, voter := range r.node.Voters() {
			info.KnownServers = append(info.KnownServers, voter.Addr)
		}
	}
	reply(rpc.Response{Code: rpc.CodeOK, Body: transport.Encode(info)})
}

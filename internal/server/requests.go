package server

import (
	"strconv"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
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

// handleBootstrapAnnouncement takes the announcement of a candidate for the first core.
func (r *Replica) handleBootstrapAnnouncement(raw []byte, reply replyFunc) {
	var announcement rpc.BootstrapAnnouncement
	if transport.Decode(raw, &announcement) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	reply(rpc.Response{Code: 200, Body: transport.Encode(r.bootstrap.HandleAnnouncement(announcement, time.Now()))})
}

// handleJoin notes a candidate for a voter's place.
func (r *Replica) handleJoin(raw []byte, _ *transport.Stream, reply replyFunc) {
	var voter raft.Member
	if transport.Decode(raw, &voter) != nil || voter.ID == "" {
		reply(rpc.Response{Code: 400})
		return
	}
	if !r.node.IsVoter(voter.ID) && r.addresses[voter.ID] == "" {
		_ = r.log.Log("level", "info", "event", "core.candidate", "node", voter.Node, "disk", voter.ID, "addr", voter.Addr)
	}
	r.addresses[voter.ID] = voter.Addr
	r.node.AddLearner(voter)
	r.candidatesByDisk()[voter.ID] = voter
	reply(rpc.Response{Code: 200})
}

// handleRenewMembership renews a daemon's membership lease.
func (r *Replica) handleRenewMembership(raw []byte, _ *transport.Stream, reply replyFunc) {
	var lease rpc.MembershipLease
	if transport.Decode(raw, &lease) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	r.memberLeases[lease.Node+"/"+lease.Role] = memberLease{lease, time.Now()}
	reply(rpc.Response{Code: 200})
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

// validJobID tells whether a job ID has its 16 hex digits.
func validJobID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := 0; i < len(id); i++ {
		digit := id[i]
		if !(digit >= '0' && digit <= '9' || digit >= 'a' && digit <= 'f' || digit >= 'A' && digit <= 'F') {
			return false
		}
	}
	return true
}

// findRoute finds the route of a call and the rest of its path; if there is none it
// answers the call, and the last result is false.
func (r *Replica) findRoute(raw []byte, reply replyFunc) (rpc.JobRequest, *clusterconfig.Route, string, bool) {
	var call rpc.JobRequest
	if transport.Decode(raw, &call) != nil {
		reply(rpc.Response{Code: 400})
		return call, nil, "", false
	}
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return call, nil, "", false
	}
	route, rest := r.state.RouteTable().Find(call.Host, call.Path)
	if route == nil {
		reply(rpc.Response{Code: 404, Text: "no such queue"})
		return call, nil, "", false
	}
	return call, route, rest, true
}

// handleSubmitJob takes a job.
func (r *Replica) handleSubmitJob(raw []byte, _ *transport.Stream, reply replyFunc) {
	call, route, id, ok := r.findRoute(raw, reply)
	if !ok {
		return
	}
	if !validJobID(id) {
		reply(rpc.Response{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	if r.state.Jobs[id] == nil && r.overloaded(route) {
		reply(rpc.Response{Code: 429, Text: "more work than can be finished", RetryAfterMs: 2000})
		return
	}
	r.trace.Record(id, "ordered", int64(r.node.LastIndex()+1), route.Name)
	r.enqueueCommand("handin", &state.SubmitJob{Host: call.Host, Path: call.Path, ID: id, Job: call.Job, DemandBucket: r.demandBucket()}, r.withTrace(id, "settled", outcomeReply(reply)))
}

// overloaded tells whether more waits than the room can finish in good time.
func (r *Replica) overloaded(route *clusterconfig.Route) bool {
	capacity, _ := r.state.SchedulableCapacity(route.TargetService)
	if capacity.MilliCPU == 0 {
		return false
	}
	if now := time.Now(); now.Sub(r.queuedWorkAt) >= tuning.HeartbeatInterval {
		// Not computed for each call, since it walks all open jobs.
		r.queuedWork, r.queuedWorkAt = r.state.PendingWork(), now
	}
	return float64(r.queuedWork)/float64(capacity.MilliCPU) > tuning.MaxBacklogSecondsPerCore*1000
}

// handleCancelJob cancels a job.
func (r *Replica) handleCancelJob(raw []byte, _ *transport.Stream, reply replyFunc) {
	_, _, id, ok := r.findRoute(raw, reply)
	if !ok {
		return
	}
	if !validJobID(id) {
		reply(rpc.Response{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	r.trace.Record(id, "cancel ordered", int64(r.node.LastIndex()+1), "")
	r.enqueueCommand("cancel", &state.CancelJob{ID: id}, r.withTrace(id, "cancel settled", r.cancelReply(id, reply)))
}

// handlePutConfig replaces the configuration, if its base is still in force.
func (r *Replica) handlePutConfig(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request rpc.ConfigUpdate
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	// Only the version is read here: the text was checked where it came in, and
	// is parsed when the command is applied.
	id := "desired/" + strconv.FormatInt(clusterconfig.VersionOf(request.Raw), 10)
	r.trace.Record(id, "ordered", int64(r.node.LastIndex()+1), "")
	r.enqueueCommand("replace", &state.ReplaceConfiguration{BaseVersion: request.BaseVersion, Raw: request.Raw}, r.withTrace(id, "settled", outcomeReply(reply)))
}

// handleGetConfig gives the newest configuration, whole. A change that this leader has
// confirmed is applied here, since it is confirmed by being applied; one that an
// earlier leader confirmed lies before the first entry of this term, which is
// applied before a leader is ready; and no later leader has confirmed any while
// this one holds its lease. A process that freezes between the look at its lease
// and the answer gives what was newest within the call, since that began before.
func (r *Replica) handleGetConfig(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		// Not a 404, which would end an operator's call for good: the first
		// configuration may be on its way.
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: 200, Value: r.state.Configuration.Version, Body: r.state.Configuration.Raw})
}

// handleGetLimits gives the limits of the newest configuration.
func (r *Replica) handleGetLimits(_ []byte, _ *transport.Stream, reply replyFunc) {
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return
	}
	reply(rpc.Response{Code: 200, Value: r.state.Configuration.Version, Body: transport.Encode(r.state.Configuration.Limits)})
}

// responseNotConfigured answers what needs a configuration before there is one.
var responseNotConfigured = rpc.Response{Code: 503, Text: "not configured yet", RetryAfterMs: 1000}

// handleRegisterWorker gives a worker to a side daemon, under a new fence.
func (r *Replica) handleRegisterWorker(raw []byte, stream *transport.Stream, reply replyFunc) {
	var request state.RegisterWorker
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	r.enqueueCommand("takeup", &request, func(outcome state.Outcome, ok bool) {
		if ok && outcome.Code == 200 {
			lease := r.leases[request.ID]
			if lease == nil || lease.expiring {
				// The lease begins now: no run of an earlier one can be left,
				// and silence is counted from here.
				lease = &workerLease{grantedAt: time.Now(), heardAt: time.Now()}
				r.leases[request.ID] = lease
			}
			_ = r.log.Log("level", "info", "event", "worker.takeup", "worker", request.ID, "node", request.Node, "fence", outcome.Value)
		}
		outcomeReply(reply)(outcome, ok)
	})
}

// handleSetEligibility takes a worker's draining, sickness or sign-off.
func (r *Replica) handleSetEligibility(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request state.SetEligibility
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	r.enqueueCommand("eligible", &request, outcomeReply(reply))
}

// handleReportCompletions takes the ends of runs that a side daemon reports.
func (r *Replica) handleReportCompletions(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request state.ReportCompletions
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	if lease := r.leases[request.Worker]; lease != nil {
		lease.heardAt = time.Now()
	}
	r.enqueueCommand("ends", &request, outcomeReply(reply))
}

// handleRenewLease renews a worker's lease.
func (r *Replica) handleRenewLease(raw []byte, stream *transport.Stream, reply replyFunc) {
	var request rpc.LeaseRenewal
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	if code := r.renewLease(request.Worker, request.Fence, time.Now()); code != 200 {
		reply(rpc.Response{Code: code, Text: "take the worker up again"})
		return
	}
	r.leases[request.Worker].runtimeRatio = request.RuntimePercent
	r.openSession(request, stream)
	response := rpc.Response{Code: 200, Value: r.leaseDuration.Milliseconds()}
	response.Aggregator, response.StandbyAggregator = r.aggregatorAddresses(request.Worker)
	reply(response)
}

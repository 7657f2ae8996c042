package core

import (
	"strconv"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/store"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// replyFunc answers a request; it is called once, in the loop.
type replyFunc = func(rpc.Response)

// anyMemberHandlers handle the requests that any core daemon answers.
var anyMemberHandlers = map[string]func(*Core, []byte, replyFunc){
	rpc.KindLeader:       (*Core).askLead,
	rpc.KindBootstrap:    (*Core).askFound,
	rpc.KindTrace:        (*Core).askTrace,
	rpc.KindClusterState: (*Core).askFleet,
	askState:             func(c *Core, _ []byte, reply replyFunc) { reply(c.announcement()) },
}

// leaderHandlers handle those that only a leader with a valid lease answers.
var leaderHandlers map[string]func(*Core, []byte, *transport.Stream, replyFunc)

func init() {
	// Set here, since some handlers look others up in this table.
	leaderHandlers = map[string]func(*Core, []byte, *transport.Stream, replyFunc){
		rpc.KindJoin:              (*Core).askJoin,
		rpc.KindMembership:        (*Core).askClaim,
		rpc.KindSubmitJob:         (*Core).askHandIn,
		rpc.KindJobStatus:         (*Core).askStatus,
		rpc.KindCancelJob:         (*Core).askCancel,
		rpc.KindPutConfig:         (*Core).askPut,
		rpc.KindGetConfig:         (*Core).askRead,
		rpc.KindGetLimits:         (*Core).askLimits,
		rpc.KindBindRunner:        (*Core).askTakeUp,
		rpc.KindRenewLease:        (*Core).askRenew,
		rpc.KindReportCompletions: (*Core).askEnds,
		rpc.KindSetEligibility:    (*Core).askElig,
		rpc.KindListMembers:       (*Core).askMembers,
		rpc.KindFederationCall:    (*Core).askPeer,
		rpc.KindLeaseBatch:        (*Core).askGrants,
		rpc.KindBatch:             (*Core).askMany,
		rpc.KindReleaseZones:      (*Core).askYield,
	}
}

// onAsk dispatches a request; stream is nil for one of this process.
func (c *Core) onAsk(a rpc.Request, stream *transport.Stream, reply replyFunc) {
	if handler := anyMemberHandlers[a.Kind]; handler != nil {
		handler(c, a.Body, reply)
		return
	}
	handler := leaderHandlers[a.Kind]
	if handler == nil {
		reply(rpc.Response{Code: 400, Text: "unknown ask"})
		return
	}
	if c.node == nil || !c.node.LeaderReady() || !c.leading || !c.node.HasLease(time.Now()) {
		if c.node != nil && !c.leading && c.aggregate(a, stream, reply) {
			return
		}
		reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: c.leadAddr()})
		return
	}
	handler(c, a.Body, stream, reply)
}

// stamped adds to each answer the versions that this daemon has applied.
func (c *Core) stamped(reply replyFunc) replyFunc {
	return func(a rpc.Response) {
		a.ConfigVersion = max(a.ConfigVersion, c.state.Desired.Version)
		if a.AppliedIndex == 0 && c.node != nil {
			a.AppliedIndex = c.state.Applied
		}
		reply(a)
	}
}

// leadAddr is the address of another leader; empty if none is known.
func (c *Core) leadAddr() string {
	if c.node == nil || c.node.Leader() == "" || c.node.Leader() == c.self.ID {
		return ""
	}
	return c.addrOf(c.node.Leader())
}

// askLead tells what this daemon knows of the leader.
func (c *Core) askLead(_ []byte, reply replyFunc) {
	v := rpc.LeaderInfo{}
	if c.node != nil {
		v.Term = c.node.Term()
		v.IsLeader = c.leading && c.node.LeaderReady() && c.node.HasLease(time.Now())
		v.Leader = c.leadAddr()
		v.IsAggregator = v.Leader != "" && c.aggregates(time.Now())
		for _, m := range c.node.Voters() {
			v.KnownServers = append(v.KnownServers, m.Addr)
		}
	}
	reply(rpc.Response{Code: 200, Body: transport.Encode(v)})
}

// askFound takes the announcement of a candidate for the first core.
func (c *Core) askFound(raw []byte, reply replyFunc) {
	var f rpc.BootstrapAnnouncement
	if transport.Decode(raw, &f) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	reply(rpc.Response{Code: 200, Body: transport.Encode(c.found.HandleAnnouncement(f, time.Now()))})
}

// askJoin notes a candidate for a voter's place.
func (c *Core) askJoin(raw []byte, _ *transport.Stream, reply replyFunc) {
	var voter raft.Member
	if transport.Decode(raw, &voter) != nil || voter.ID == "" {
		reply(rpc.Response{Code: 400})
		return
	}
	if !c.node.IsVoter(voter.ID) && c.addrs[voter.ID] == "" {
		_ = c.log.Log("level", "info", "event", "core.candidate", "node", voter.Node, "disk", voter.ID, "addr", voter.Addr)
	}
	c.addrs[voter.ID] = voter.Addr
	c.node.AddLearner(voter)
	c.candidatesByDisk()[voter.ID] = voter
	reply(rpc.Response{Code: 200})
}

// askClaim renews a daemon's membership lease.
func (c *Core) askClaim(raw []byte, _ *transport.Stream, reply replyFunc) {
	var claim rpc.MembershipLease
	if transport.Decode(raw, &claim) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	c.memberLeases[claim.Node+"/"+claim.Role] = memberLease{claim, time.Now()}
	reply(rpc.Response{Code: 200})
}

// replyOutcome answers a request with the outcome of its command.
func replyOutcome(reply replyFunc) func(store.Outcome, bool) {
	return func(outcome store.Outcome, ok bool) {
		if !ok {
			reply(rpc.Response{Code: rpc.CodeLeadershipLost})
			return
		}
		reply(rpc.Response{Code: outcome.Code, Text: outcome.Text, Value: outcome.N})
	}
}

// hexID tells whether a job ID has its 16 hex digits.
func hexID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for i := 0; i < len(s); i++ {
		digit := s[i]
		if !(digit >= '0' && digit <= '9' || digit >= 'a' && digit <= 'f' || digit >= 'A' && digit <= 'F') {
			return false
		}
	}
	return true
}

// route finds the route of a call and the rest of its path; if there is none it
// answers the call, and the last result is false.
func (c *Core) route(raw []byte, reply replyFunc) (rpc.JobRequest, *clusterconfig.Route, string, bool) {
	var call rpc.JobRequest
	if transport.Decode(raw, &call) != nil {
		reply(rpc.Response{Code: 400})
		return call, nil, "", false
	}
	if c.state.Desired.Version == 0 {
		reply(notConfigured)
		return call, nil, "", false
	}
	route, rest := c.state.Table().Find(call.Host, call.Path)
	if route == nil {
		reply(rpc.Response{Code: 404, Text: "no such queue"})
		return call, nil, "", false
	}
	return call, route, rest, true
}

// askHandIn takes a job.
func (c *Core) askHandIn(raw []byte, _ *transport.Stream, reply replyFunc) {
	call, route, id, ok := c.route(raw, reply)
	if !ok {
		return
	}
	if !hexID(id) {
		reply(rpc.Response{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	if c.state.Jobs[id] == nil && c.crowded(route) {
		reply(rpc.Response{Code: 429, Text: "more work than can be finished", RetryAfterMs: 2000})
		return
	}
	c.trace.Record(id, "ordered", int64(c.node.LastIndex()+1), route.Name)
	c.add("handin", &store.HandIn{Host: call.Host, Path: call.Path, ID: id, Job: call.Job, Bucket: c.bucket()}, c.traced(id, "settled", replyOutcome(reply)))
}

// crowded tells whether more waits than the room can finish in good time.
func (c *Core) crowded(route *clusterconfig.Route) bool {
	room, _ := c.state.Bookable(route.TargetService)
	if room.CPU == 0 {
		return false
	}
	if now := time.Now(); now.Sub(c.waitingWorkAt) >= tune.Beat {
		// Not computed for each call, since it walks all open jobs.
		c.waitingWork, c.waitingWorkAt = c.state.WaitingWork(), now
	}
	return float64(c.waitingWork)/float64(room.CPU) > tune.Inbox*1000
}

// askCancel cancels a job.
func (c *Core) askCancel(raw []byte, _ *transport.Stream, reply replyFunc) {
	_, _, id, ok := c.route(raw, reply)
	if !ok {
		return
	}
	if !hexID(id) {
		reply(rpc.Response{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	c.trace.Record(id, "cancel ordered", int64(c.node.LastIndex()+1), "")
	c.add("cancel", &store.Cancel{ID: id}, c.traced(id, "cancel settled", c.replyToCancel(id, reply)))
}

// askPut replaces the configuration, if its base is still in force.
func (c *Core) askPut(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request rpc.ConfigUpdate
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	// Only the version is read here: the text was checked where it came in, and
	// is parsed when the command is applied.
	id := "desired/" + strconv.FormatInt(clusterconfig.VersionOf(request.Raw), 10)
	c.trace.Record(id, "ordered", int64(c.node.LastIndex()+1), "")
	c.add("replace", &store.Replace{Base: request.BaseVersion, Raw: request.Raw}, c.traced(id, "settled", replyOutcome(reply)))
}

// askRead gives the newest configuration, whole. A change that this leader has
// confirmed is applied here, since it is confirmed by being applied; one that an
// earlier leader confirmed lies before the first entry of this term, which is
// applied before a leader is ready; and no later leader has confirmed any while
// this one holds its lease. A process that freezes between the look at its lease
// and the answer gives what was newest within the call, since that began before.
func (c *Core) askRead(_ []byte, _ *transport.Stream, reply replyFunc) {
	if c.state.Desired.Version == 0 {
		// Not a 404, which would end an operator's call for good: the first
		// configuration may be on its way.
		reply(notConfigured)
		return
	}
	reply(rpc.Response{Code: 200, Value: c.state.Desired.Version, Body: c.state.Desired.Raw})
}

// askLimits gives the limits of the newest configuration.
func (c *Core) askLimits(_ []byte, _ *transport.Stream, reply replyFunc) {
	if c.state.Desired.Version == 0 {
		reply(notConfigured)
		return
	}
	reply(rpc.Response{Code: 200, Value: c.state.Desired.Version, Body: transport.Encode(c.state.Desired.Limits)})
}

// notConfigured answers what needs a configuration before there is one.
var notConfigured = rpc.Response{Code: 503, Text: "not configured yet", RetryAfterMs: 1000}

// askTakeUp gives a worker to a side daemon, under a new fence.
func (c *Core) askTakeUp(raw []byte, stream *transport.Stream, reply replyFunc) {
	var request store.TakeUp
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	c.add("takeup", &request, func(outcome store.Outcome, ok bool) {
		if ok && outcome.Code == 200 {
			lease := c.leases[request.ID]
			if lease == nil || lease.expiring {
				// The lease begins now: no run of an earlier one can be left,
				// and silence is counted from here.
				lease = &workerLease{grantedAt: time.Now(), heardAt: time.Now()}
				c.leases[request.ID] = lease
			}
			_ = c.log.Log("level", "info", "event", "worker.takeup", "worker", request.ID, "node", request.Node, "fence", outcome.N)
		}
		replyOutcome(reply)(outcome, ok)
	})
}

// askElig takes a worker's draining, sickness or sign-off.
func (c *Core) askElig(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request store.Eligible
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	c.add("eligible", &request, replyOutcome(reply))
}

// askEnds takes the ends of runs that a side daemon reports.
func (c *Core) askEnds(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request store.Ends
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	if lease := c.leases[request.Worker]; lease != nil {
		lease.heardAt = time.Now()
	}
	c.add("ends", &request, replyOutcome(reply))
}

// askRenew renews a worker's lease.
func (c *Core) askRenew(raw []byte, stream *transport.Stream, reply replyFunc) {
	var request rpc.LeaseRenewal
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	if code := c.grant(request.Worker, request.Fence, time.Now()); code != 200 {
		reply(rpc.Response{Code: code, Text: "take the worker up again"})
		return
	}
	c.leases[request.Worker].ratio = request.RuntimePercent
	c.openSession(request, stream)
	answer := rpc.Response{Code: 200, Value: c.leaseTime.Milliseconds()}
	answer.Aggregator, answer.StandbyAggregator = c.home(request.Worker)
	reply(answer)
}

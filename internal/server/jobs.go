package server

import (
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

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

// withTrace notes what became of a command before its caller hears of it.
func (r *Replica) withTrace(id, event string, next func(state.Outcome, bool)) func(state.Outcome, bool) {
	return func(outcome state.Outcome, ok bool) {
		text := outcome.Text
		if !ok {
			text = "unclear"
		}
		r.trace.Record(id, event, int64(outcome.Code), text)
		next(outcome, ok)
	}
}

// demandBucket is that of now in the record of demand, 0 while moving is off.
func (r *Replica) demandBucket() int64 {
	if r.federation == nil {
		return 0
	}
	return r.federation.BucketOf(r.state.WallClock)
}

package server

import (
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

const msPerSecond = 1000

// jobIDDigits is the length of a job ID, in hex digits.
const jobIDDigits = 16

// validJobID tells whether a job ID consists of its 16 hex digits.
func validJobID(id string) bool {
	if len(id) != jobIDDigits {
		return false
	}
	for i := 0; i < len(id); i++ {
		switch digit := id[i]; {
		case digit >= '0' && digit <= '9', digit >= 'a' && digit <= 'f', digit >= 'A' && digit <= 'F':
		default:
			return false
		}
	}
	return true
}

// findRoute finds the route of a request and the rest of its path, the job's ID. If
// there is none it answers the request, and the last result is false.
func (r *Replica) findRoute(request *rpc.JobRequest, reply replyFunc) (*clusterconfig.Route, string, bool) {
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return nil, "", false
	}
	route, id := r.state.RouteTable().Find(request.Host, request.Path)
	if route == nil {
		reply(responseNoSuchRoute)
		return nil, "", false
	}
	return route, id, true
}

// findJobRoute is findRoute for a request that must name a job.
func (r *Replica) findJobRoute(request *rpc.JobRequest, reply replyFunc) (*clusterconfig.Route, string, bool) {
	route, id, ok := r.findRoute(request, reply)
	if ok && !validJobID(id) {
		reply(responseBadJobID)
		return nil, "", false
	}
	return route, id, ok
}

// handleSubmitJob puts a job into the log. A job whose ID is known already stays as
// it is.
func (r *Replica) handleSubmitJob(request *rpc.JobRequest, _ *transport.Stream, reply replyFunc) {
	route, id, ok := r.findJobRoute(request, reply)
	if !ok {
		return
	}
	if r.state.Jobs[id] == nil && r.overloaded(route) {
		reply(responseOverloaded)
		return
	}
	r.trace.Record(id, "ordered", int64(r.node.LastIndex()+1), route.Name)
	submit := &state.SubmitJob{Host: request.Host, Path: request.Path, ID: id, Job: request.Job, DemandBucket: r.demandBucket()}
	r.enqueueCommand(state.CommandSubmitJob, submit, r.withTrace(id, "settled", outcomeReply(reply)))
}

// overloaded tells whether more work waits than the workers of a route's service
// can finish in good time.
func (r *Replica) overloaded(route *clusterconfig.Route) bool {
	capacity, _ := r.state.SchedulableCapacity(route.TargetService)
	if capacity.MilliCPU == 0 {
		return false
	}
	if now := time.Now(); now.Sub(r.queuedWorkAt) >= tuning.HeartbeatInterval {
		// Not computed for each call, since it walks all open jobs.
		r.queuedWork, r.queuedWorkAt = r.state.PendingWork(), now
	}
	return float64(r.queuedWork)/float64(capacity.MilliCPU) > tuning.MaxBacklogSecondsPerCore*msPerSecond
}

// handleCancelJob cancels a job.
func (r *Replica) handleCancelJob(request *rpc.JobRequest, _ *transport.Stream, reply replyFunc) {
	_, id, ok := r.findJobRoute(request, reply)
	if !ok {
		return
	}
	r.trace.Record(id, "cancel ordered", int64(r.node.LastIndex()+1), "")
	r.enqueueCommand(state.CommandCancelJob, &state.CancelJob{ID: id}, r.withTrace(id, "cancel settled", r.cancelReply(id, reply)))
}

// cancelReply answers a cancellation; one of a job at a peer waits until the
// peer has stopped it.
func (r *Replica) cancelReply(id string, reply replyFunc) commandReply {
	return func(outcome state.Outcome, known bool) {
		if known && outcome.Code == state.CodeAccepted {
			// Its runs may start until the stop is in the peer's log.
			r.cancelWaiters[id] = append(r.cancelWaiters[id], reply)
			return
		}
		outcomeReply(reply)(outcome, known)
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
				reply(responseOK)
			} else {
				reply(responseOutcomeUnknown)
			}
		}
		delete(r.cancelWaiters, id)
	}
}

// withTrace records what became of a command before its caller hears of it.
func (r *Replica) withTrace(id, event string, next commandReply) commandReply {
	return func(outcome state.Outcome, known bool) {
		text := outcome.Text
		if !known {
			text = "unclear"
		}
		r.trace.Record(id, event, int64(outcome.Code), text)
		next(outcome, known)
	}
}

// demandBucket is the present bucket in the record of demand; 0 while federation is off.
func (r *Replica) demandBucket() int64 {
	if r.federation == nil {
		return 0
	}
	return r.federation.BucketOf(r.state.WallClock)
}

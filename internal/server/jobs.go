package server

import (
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

const msPerSecond = 1000

// jobIDDigits is the length of a job ID, in hex digits.
const jobIDDigits = 16

// validJobID reports whether a job ID consists of 16 hex digits.
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

// jobCall is a client's call about jobs, with its route and its authenticated caller.
type jobCall struct {
	route  *clusterconfig.Route
	id     string // of the job; empty if the path names none
	tenant string // of the caller's key; empty where no key is needed
	// service is the one whose workers would run a submitted job; empty for any other call.
	service string
}

// admit finds the route of a request and authenticates its caller. If there is no such route,
// or the caller may not make the call, it answers the request and returns false.
func (r *Replica) admit(request *rpc.JobRequest, reply replyFunc) (jobCall, bool) {
	if r.state.Configuration.Version == 0 {
		reply(responseNotConfigured)
		return jobCall{}, false
	}
	route, id := r.state.RouteTable().Find(request.Host, request.Path)
	if route == nil {
		reply(responseNoSuchRoute)
		return jobCall{}, false
	}
	tenant, ok := r.state.Authenticate(route, request.Key)
	if !ok {
		reply(responseUnknownKey)
		return jobCall{}, false
	}
	if job := r.state.Jobs[id]; job != nil && !r.state.MayAccess(job, tenant) {
		reply(responseOtherTenantsJob)
		return jobCall{}, false
	}
	return jobCall{route: route, id: id, tenant: tenant}, true
}

// admitForJob does the same as admit for a request that must name a job.
func (r *Replica) admitForJob(request *rpc.JobRequest, reply replyFunc) (jobCall, bool) {
	call, ok := r.admit(request, reply)
	if ok && !validJobID(call.id) {
		reply(responseBadJobID)
		return jobCall{}, false
	}
	return call, ok
}

// handleSubmitJob proposes a job. A job whose ID is known already is not changed.
func (r *Replica) handleSubmitJob(request *rpc.JobRequest, _ *transport.Stream, reply replyFunc) {
	call, ok := r.admitForJob(request, reply)
	if !ok {
		return
	}
	call.service = r.state.ServiceForSubmission(call.route, call.id, &request.Job)
	// A refusal promises that the job is not accepted, so it must not be in the log either.
	if r.state.Jobs[call.id] == nil && r.submitting[call.id] == 0 {
		if refusal, refused := r.refusalForMemory(&request.Job); refused {
			reply(refusal)
			return
		}
		if wait := r.backlogWait(call, request); wait > 0 {
			reply(responseOverloaded(wait))
			return
		}
		r.addToBacklog(call, &request.Job)
	}
	r.trace.Record(call.id, "ordered", int64(r.node.LastIndex()+1), call.route.Name)
	submit := state.SubmitJob{Host: request.Host, Path: request.Path, ID: call.id, Job: request.Job, DemandBucket: r.demandBucket()}
	onOutcome := r.trackSubmission(call.id, r.estimatedJobBytes(&request.Job), r.withTrace(call.id, "settled", r.submissionReply(request, reply)))
	if len(r.state.Configuration.Tenants()) == 0 {
		r.enqueueCommand(state.CommandSubmitJob, &submit, onOutcome)
		return
	}
	r.enqueueCommand(state.CommandSubmitTenantJob,
		&state.SubmitTenantJob{Submit: submit, Tenant: call.tenant, ConfigVersion: r.state.Configuration.Version, BeyondShare: request.BeyondShare}, onOutcome)
}

// trackSubmission records that a submission of a job, which will occupy the given memory, is in the log
// and not applied, until its command has an outcome.
func (r *Replica) trackSubmission(id string, bytes float64, next commandReply) commandReply {
	r.submitting[id]++
	r.submittingBytes += bytes
	return func(outcome state.Outcome, known bool) {
		r.submittingBytes -= bytes
		if r.submitting[id]--; r.submitting[id] == 0 {
			delete(r.submitting, id)
		}
		next(outcome, known)
	}
}

// submissionReply answers a submission with the outcome of its command. If another
// configuration came into force in between, the caller is authenticated again by that one.
func (r *Replica) submissionReply(request *rpc.JobRequest, reply replyFunc) commandReply {
	return func(outcome state.Outcome, known bool) {
		switch {
		case !known || outcome.Code != state.CodeConflict:
			outcomeReply(reply)(outcome, known)
		case r.leadsWithLease(time.Now()):
			r.handleSubmitJob(request, nil, reply)
		default:
			// The job was certainly not accepted, so the caller may ask another leader.
			reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
		}
	}
}

func (r *Replica) handleCancelJob(request *rpc.JobRequest, _ *transport.Stream, reply replyFunc) {
	call, ok := r.admitForJob(request, reply)
	if !ok {
		return
	}
	id := call.id
	r.trace.Record(id, "cancel ordered", int64(r.node.LastIndex()+1), "")
	r.enqueueCommand(state.CommandCancelJob, &state.CancelJob{ID: id}, r.withTrace(id, "cancel settled", r.cancelReply(id, reply)))
}

// cancelReply answers a cancellation. The answer for a job at a peer cluster is held until the
// peer has stopped the job.
func (r *Replica) cancelReply(id string, reply replyFunc) commandReply {
	return func(outcome state.Outcome, known bool) {
		if known && outcome.Code == state.CodeAccepted {
			// Its runs may still be started until the cancellation is in the peer's log.
			r.cancelWaiters[id] = append(r.cancelWaiters[id], reply)
			return
		}
		outcomeReply(reply)(outcome, known)
	}
}

// replyToCancelWaiters answers the held cancellations whose job has ended.
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

// withTrace records the outcome of a command in the trace before its caller is answered.
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

// demandBucket returns the current bucket of the recorded demand; 0 while federation is off.
func (r *Replica) demandBucket() int64 {
	if r.federation == nil {
		return 0
	}
	return r.federation.BucketOf(r.state.WallClock)
}

package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// statusHoldTimeout is how long a status request for a job in its final runs may be held until
// completions that are reported but not committed are applied.
const statusHoldTimeout = 60 * time.Millisecond

// statusWaiter is a status request that is held for up to statusHoldTimeout, so that a job's
// last completions can be applied.
type statusWaiter struct {
	reply    replyFunc
	deadline time.Time
}

// handleJobStatus returns the status of a job or, for a path without an ID, the number of
// pending jobs of the route.
func (r *Replica) handleJobStatus(request *rpc.JobRequest, _ *transport.Stream, reply replyFunc) {
	call, ok := r.admit(request, reply)
	if !ok {
		return
	}
	route, id := call.route, call.id
	if id == "" {
		reply(rpc.Response{Code: rpc.CodeOK, Text: "count", Value: int64(r.state.PendingJobCount(route))})
		return
	}
	if status, ok := r.state.JobStatus(id); ok {
		if r.state.Jobs[id].AllTasksRunning() {
			// Its last completions may be in the log and not applied yet, and an
			// outdated answer costs the client another poll.
			r.statusWaiters[id] = append(r.statusWaiters[id], statusWaiter{reply, time.Now().Add(statusHoldTimeout)})
			return
		}
		reply(rpc.Response{Code: rpc.CodeOK, Text: status})
		return
	}
	if !validJobID(id) {
		reply(responseBadJobID)
		return
	}
	reply(responseNoSuchJob)
}

// replyToStatusWaiters answers the held status requests whose job has ended or whose deadline
// has passed. It returns the time until the next one must be answered, 0 if there is none.
func (r *Replica) replyToStatusWaiters(now time.Time) time.Duration {
	untilNext := time.Duration(0)
	for id, waiters := range r.statusWaiters {
		job := r.state.Jobs[id]
		kept := waiters[:0]
		for _, waiter := range waiters {
			if wait := waiter.deadline.Sub(now); wait > 0 && job != nil && job.AllTasksRunning() && r.leading {
				kept = append(kept, waiter)
				if untilNext == 0 || wait < untilNext {
					untilNext = wait
				}
				continue
			}
			switch {
			case !r.leading || !r.node.HasLease(now):
				waiter.reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: r.leaderAddress()})
			case job == nil:
				waiter.reply(responseNoSuchJob)
			default:
				waiter.reply(rpc.Response{Code: rpc.CodeOK, Text: job.Status()})
			}
		}
		if len(kept) == 0 {
			delete(r.statusWaiters, id)
		} else {
			r.statusWaiters[id] = kept
		}
	}
	return untilNext
}

package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// statusSettleWait is how long a status request for a job whose last runs are under way may wait
// for completions that are listed but not committed.
const statusSettleWait = 60 * time.Millisecond

// statusWaiter is a status request that waits for a moment, so that a job's last
// completions can be applied.
type statusWaiter struct {
	reply replyFunc
	until time.Time
}

// handleJobStatus answers with a job's state, or, for a path without an ID, with
// the number of jobs that wait on the route.
func (r *Replica) handleJobStatus(request *rpc.JobRequest, _ *transport.Stream, reply replyFunc) {
	call, ok := r.admit(request, reply)
	if !ok {
		return
	}
	route, id := call.route, call.id
	if id == "" {
		reply(rpc.Response{Code: rpc.CodeOK, Text: "count", Value: int64(r.state.PendingJobs(route.Name))})
		return
	}
	if status, ok := r.state.JobStatus(id); ok {
		if r.state.Jobs[id].InFinalRuns() {
			// Its last completions may be on their way through the log, and an
			// older answer costs the client another poll.
			r.statusWaiters[id] = append(r.statusWaiters[id], statusWaiter{reply, time.Now().Add(statusSettleWait)})
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

// replyToStatusWaiters answers status requests whose job has ended, or that have
// waited long enough; it returns after how long the next one must be answered, 0
// for none.
func (r *Replica) replyToStatusWaiters(now time.Time) time.Duration {
	wake := time.Duration(0)
	for id, waiters := range r.statusWaiters {
		job := r.state.Jobs[id]
		keep := waiters[:0]
		for _, waiter := range waiters {
			if wait := waiter.until.Sub(now); wait > 0 && job != nil && job.InFinalRuns() && r.leading {
				keep = append(keep, waiter)
				if wake == 0 || wait < wake {
					wake = wait
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
		if len(keep) == 0 {
			delete(r.statusWaiters, id)
		} else {
			r.statusWaiters[id] = keep
		}
	}
	return wake
}

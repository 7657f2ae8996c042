package server

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// handleJobStatus answers with a job's state, or with a queue's length.
func (r *Replica) handleJobStatus(raw []byte, _ *transport.Stream, reply replyFunc) {
	_, route, id, ok := r.findRoute(raw, reply)
	if !ok {
		return
	}
	if id == "" {
		reply(rpc.Response{Code: 200, Text: "count", Value: int64(r.state.PendingJobs(route.Name))})
		return
	}
	if status, ok := r.state.JobStatus(id); ok {
		if r.state.Jobs[id].InFinalRuns() {
			// Wait for a moment: the job's last ends may be on their way through
			// the log, and an older answer costs the client another poll.
			r.statusWaiters[id] = append(r.statusWaiters[id], statusWaiter{reply, time.Now().Add(tuning.StatusSettleWait)})
			return
		}
		reply(rpc.Response{Code: 200, Text: status})
		return
	}
	if !validJobID(id) {
		reply(rpc.Response{Code: 400, Text: "the ID wants 16 hex digits"})
		return
	}
	reply(rpc.Response{Code: 410, Text: "no such job"})
}

// statusWaiter is a status request that waits for a moment, so that a job's last
// ends can be applied.
type statusWaiter struct {
	reply replyFunc
	until time.Time
}

// replyToStatusWaiters answers status requests whose job has ended, or that have
// waited long enough; it returns when to come back.
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
				waiter.reply(rpc.Response{Code: 410, Text: "no such job"})
			default:
				waiter.reply(rpc.Response{Code: 200, Text: job.Status()})
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

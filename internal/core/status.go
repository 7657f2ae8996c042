package core

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// askStatus answers with a job's state, or with a queue's length.
func (c *Core) askStatus(raw []byte, _ *transport.Stream, reply replyFunc) {
	_, route, id, ok := c.route(raw, reply)
	if !ok {
		return
	}
	if id == "" {
		reply(rpc.Response{Code: 200, Text: "count", Value: int64(c.state.Waiting(route.Name))})
		return
	}
	if w, ok := c.state.Status(id); ok {
		if c.state.Jobs[id].LastRuns() {
			// Wait for a moment: the job's last ends may be on their way through
			// the log, and an older answer costs the client another poll.
			c.statusWaiters[id] = append(c.statusWaiters[id], statusWaiter{reply, time.Now().Add(tune.Linger)})
			return
		}
		reply(rpc.Response{Code: 200, Text: w})
		return
	}
	if !hexID(id) {
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

// settleStatusWaiters answers status requests whose job has ended, or that have
// waited long enough; it returns when to come back.
func (c *Core) settleStatusWaiters(now time.Time) time.Duration {
	wake := time.Duration(0)
	for id, waiters := range c.statusWaiters {
		job := c.state.Jobs[id]
		keep := waiters[:0]
		for _, waiter := range waiters {
			if left := waiter.until.Sub(now); left > 0 && job != nil && job.LastRuns() && c.leading {
				keep = append(keep, waiter)
				if wake == 0 || left < wake {
					wake = left
				}
				continue
			}
			switch {
			case !c.leading || !c.node.HasLease(now):
				waiter.reply(rpc.Response{Code: rpc.CodeNotLeader, Leader: c.leadAddr()})
			case job == nil:
				waiter.reply(rpc.Response{Code: 410, Text: "no such job"})
			default:
				waiter.reply(rpc.Response{Code: 200, Text: job.Word()})
			}
		}
		if len(keep) == 0 {
			delete(c.statusWaiters, id)
		} else {
			c.statusWaiters[id] = keep
		}
	}
	return wake
}

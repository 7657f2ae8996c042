package api

import (
	"context"
	"sync/atomic"
	"time"

	"tealpond/internal/discovery"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// leaderContact records when the leader was last known to be reachable. It uses the monotonic
// clock, so steps of the wall clock don't affect it. It is safe for concurrent use.
type leaderContact struct {
	start  time.Time
	latest atomic.Int64 // nanoseconds from start, plus 1; 0: never
}

func newLeaderContact() *leaderContact { return &leaderContact{start: time.Now()} }

// record records that the leader responded to a call that began at startedAt. The time of the
// response is not used: if this process was frozen, the response may have been waiting here in the
// meantime.
func (c *leaderContact) record(startedAt time.Time) {
	offset := int64(startedAt.Sub(c.start)) + 1
	for old := c.latest.Load(); offset > old; old = c.latest.Load() {
		if c.latest.CompareAndSwap(old, offset) {
			return
		}
	}
}

// reachedWithin reports whether the leader was reachable less than limit ago.
func (c *leaderContact) reachedWithin(limit time.Duration) bool {
	offset := c.latest.Load()
	return offset > 0 && time.Since(c.start)-time.Duration(offset-1) < limit
}

// Call sends a request to the leader and records what the response says about the leader and the
// configuration version. The response always has a code.
func (s *Server) Call(ctx context.Context, kind string, body any) rpc.Response {
	startedAt := time.Now()
	response := s.callLeader(ctx, rpc.Request{Kind: kind, Body: transport.Encode(body)})
	if response.Code >= rpc.MinHTTPCode {
		s.leaderContact.record(startedAt)
	}
	if response.ConfigVersion != 0 {
		s.observeConfigVersion(response.ConfigVersion)
	}
	return response
}

// forward sends a request to this process's own replica, if there is one, and to the leader
// elsewhere if that replica is not the leader.
func (s *Server) forward(ctx context.Context, request rpc.Request) rpc.Response {
	if s.replica == nil {
		return s.discovery.Do(ctx, request)
	}
	return callLocalThenLeader(ctx, request, s.replica.HandleLocal, s.discovery.Do)
}

// callLocal sends a request to the local replica. The channel receives the first response.
func callLocal(request rpc.Request, localReplica func(rpc.Request, func(rpc.Response))) <-chan rpc.Response {
	responses := make(chan rpc.Response, 1)
	localReplica(request, func(response rpc.Response) {
		select {
		case responses <- response:
		default:
		}
	})
	return responses
}

// callLocalThenLeader sends a request to the local replica and, if that is not the leader or is
// slow, to the leader elsewhere. If the local replica may have appended the request to its log,
// rpc.CodeNoLeader from elsewhere becomes rpc.CodeTimeout, because the request may have been
// accepted.
func callLocalThenLeader(
	ctx context.Context, request rpc.Request,
	localReplica func(rpc.Request, func(rpc.Response)), leader func(context.Context, rpc.Request) rpc.Response,
) rpc.Response {
	responses := callLocal(request, localReplica)
	timer := time.NewTimer(timing.RequestAttemptTimeout + discovery.HoldFromContext(ctx))
	defer timer.Stop()
	maybeAppended := true
	select {
	case response := <-responses:
		if response.Code != rpc.CodeNotLeader && response.Code != rpc.CodeLeadershipLost {
			return response
		}
		maybeAppended = response.Code == rpc.CodeLeadershipLost
	case <-timer.C:
	case <-ctx.Done():
		return rpc.Response{Code: rpc.CodeTimeout}
	}
	response := leader(ctx, request)
	if maybeAppended && response.Code == rpc.CodeNoLeader {
		response.Code = rpc.CodeTimeout
	}
	return response
}

package api

import (
	"context"
	"sync/atomic"
	"time"

	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// leaderContact remembers when the leader was last known to be in reach, on the
// process's steady clock: steps of the time of day don't move it. Safe for
// concurrent use.
type leaderContact struct {
	start  time.Time
	latest atomic.Int64 // nanoseconds from start, plus 1; 0: never
}

func newLeaderContact() *leaderContact { return &leaderContact{start: time.Now()} }

// record notes that the leader answered a call that began at a time. Why not the
// time of the answer: after a freeze it may have lain here for as long.
func (c *leaderContact) record(begun time.Time) {
	offset := int64(begun.Sub(c.start)) + 1
	for old := c.latest.Load(); offset > old; old = c.latest.Load() {
		if c.latest.CompareAndSwap(old, offset) {
			return
		}
	}
}

// heardWithin tells whether the leader was in reach at most so long ago.
func (c *leaderContact) heardWithin(limit time.Duration) bool {
	offset := c.latest.Load()
	return offset > 0 && time.Since(c.start)-time.Duration(offset-1) < limit
}

// Call takes an ask to the leader and notes what the answer says of it.
func (s *Server) Call(ctx context.Context, kind string, body any) member.Answer {
	startedAt := time.Now()
	response := s.callLeader(ctx, member.Ask{Kind: kind, Body: transport.Encode(body)})
	if response.Code >= 100 {
		s.leaderContact.record(startedAt)
	}
	if response.Desired != 0 {
		s.noteVersion(response.Desired)
	}
	return response
}

// forward asks this process's own core, if it has one, and whoever leads else.
func (s *Server) forward(ctx context.Context, request member.Ask) member.Answer {
	if s.replica == nil {
		return s.discovery.AskRaw(ctx, request)
	}
	return callLocalThenLeader(ctx, request, s.replica.Handle, s.discovery.AskRaw)
}

// callLocalThenLeader asks the own core first and then the leader elsewhere. If the own
// core may have put the ask into its log, no later answer says that it was
// surely not taken.
func callLocalThenLeader(ctx context.Context, request member.Ask, local func(member.Ask, func(member.Answer)), leader func(context.Context, member.Ask) member.Answer) member.Answer {
	responses := make(chan member.Answer, 1)
	local(request, func(response member.Answer) {
		select {
		case responses <- response:
		default:
		}
	})
	timer := time.NewTimer(tune.AskRound)
	defer timer.Stop()
	maybeLogged := true
	select {
	case response := <-responses:
		if response.Code != member.NotLead && response.Code != member.Unclear {
			return response
		}
		maybeLogged = response.Code == member.Unclear
	case <-timer.C:
	case <-ctx.Done():
		return member.Answer{Code: member.Lost}
	}
	response := leader(ctx, request)
	if maybeLogged && response.Code == member.NoLeader {
		response.Code = member.Lost
	}
	return response
}

package server

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// shutdownWaitSlack is added to the wait for the other servers, where the event loop itself may be
	// late.
	shutdownWaitSlack = 200 * time.Millisecond
	// shutdownPollInterval is the time between two requests for permission to end.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownRenewInterval is the time between two messages of a server that may end and still
	// answers requests.
	shutdownRenewInterval = 250 * time.Millisecond
	// leadershipTransferTimeout is how long a leader that ends waits for another one to take over.
	leadershipTransferTimeout = 300 * time.Millisecond
	// shutdownExclusionPeriod is how long a daemon that announced its end is appointed to nothing.
	shutdownExclusionPeriod = 5 * time.Second
)

// departure is the end of this process, once it was asked for.
type departure struct {
	waiters          []chan struct{}
	deadline         time.Time // zero: the process stays
	transferDeadline time.Time // of the transfer of leadership under way
	transferring     bool
	requested        bool // the leader is being asked whether this server may end
}

const (
	// codeStillNeeded answers rpc.KindReleaseZones where the others can't do without
	// the server yet, which asks again after Response.RetryAfterMs.
	codeStillNeeded = 425
	// leavePollInterval is how often a leaving server looks whether it may end.
	leavePollInterval = 20 * time.Millisecond
)

// leaveTimeout is the longest that a server waits before it ends.
func (r *Replica) leaveTimeout() time.Duration {
	return max(leadershipTransferTimeout, time.Duration(timing.ShutdownWaitFraction*float64(r.settings.Grace())))
}

// Leave hands over leadership or aggregation before the process ends, and waits,
// up to a bound, while the others could not do without this server's storage.
func (r *Replica) Leave() {
	done := make(chan struct{})
	if !r.send(loopEvent{leave: done}) {
		return
	}
	select {
	case <-done:
	case <-time.After(r.leaveTimeout() + shutdownWaitSlack):
	}
}

// beginLeave begins to leave; done is closed once the process may end. Until it does, this
// server goes on as a replica, and the leader knows that it ends.
func (r *Replica) beginLeave(ctx context.Context, done chan struct{}) {
	r.departure.waiters = append(r.departure.waiters, done)
	if len(r.departure.waiters) > 1 {
		return
	}
	r.departure.deadline = time.Now().Add(r.leaveTimeout())
	switch {
	case r.node == nil:
		r.finishLeaving()
	case !r.node.IsLeader():
		r.requestLeave(ctx)
	}
}

// requestLeave has this server's zones given to their standbys, and asks the leader
// until it may end.
func (r *Replica) requestLeave(ctx context.Context) {
	r.departure.requested = true
	r.aggregator.FailAll(responseNotLeader)
	if !r.node.IsVoter(r.self.ID) && !r.isAppointed(r.self.ID) {
		r.finishLeaving()
		return
	}
	deadline := r.departure.deadline
	go func() {
		r.awaitRelease(ctx, deadline)
		r.post(ctx, loopEvent{leaveGranted: true})
		r.renewRelease(ctx)
	}()
}

// release asks the leader whether this server may end; it returns after how long to ask
// again, 0 if it may.
func (r *Replica) release(ctx context.Context) time.Duration {
	response := r.leaderClient.Call(ctx, rpc.KindReleaseZones, &rpc.ZoneRelease{Disk: r.self.ID})
	if response.Code == rpc.CodeOK {
		return 0
	}
	return max(shutdownPollInterval, time.Duration(response.RetryAfterMs)*time.Millisecond)
}

// awaitRelease asks the leader until this server may end, or its time is over.
func (r *Replica) awaitRelease(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for ctx.Err() == nil {
		wait := r.release(ctx)
		if wait == 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// renewRelease tells the leader again and again that this server ends, until it has: its
// requests may take much of the grace time, and another leader may know nothing of it.
func (r *Replica) renewRelease(ctx context.Context) {
	ticker := time.NewTicker(shutdownRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, shutdownReleasePeriod)
		r.release(callCtx)
		cancel()
	}
}

// finishLeaving lets the process end.
func (r *Replica) finishLeaving() {
	for _, done := range r.departure.waiters {
		close(done)
	}
	r.departure.waiters = nil
}

// continueLeave takes the next step of leaving; it returns after how long the next
// one is due, 0 if this server isn't leaving.
func (r *Replica) continueLeave(ctx context.Context, now time.Time) time.Duration {
	if r.departure.deadline.IsZero() || r.node == nil {
		return 0
	}
	if now.After(r.departure.deadline) {
		r.finishLeaving()
	}
	switch {
	case r.node.IsLeader():
		r.transferLeadership(now)
	case !r.departure.requested:
		// Another leads, by a transfer or without one, and is to know that this server
		// ends: two that do at the same moment wait for each other.
		r.requestLeave(ctx)
	}
	return leavePollInterval
}

// transferLeadership transfers leadership once the others can do without this
// server, or when there is just enough time left for it. Until then it goes on
// leading, and may itself put a candidate in its place.
func (r *Replica) transferLeadership(now time.Time) {
	if len(r.node.Voters()) == 1 {
		r.finishLeaving()
		return
	}
	if r.departure.transferring {
		if now.After(r.departure.transferDeadline) {
			r.departure.transferring = false
			r.finishLeaving()
		}
		return
	}
	noTimeLeft := r.departure.deadline.Sub(now) <= leadershipTransferTimeout
	if !noTimeLeft && r.node.LeaderReady() && r.reasonToStay(r.self.ID) != "" {
		return
	}
	if r.node.TransferLeadership() == nil {
		r.departure.transferring = true
		r.departure.transferDeadline = now.Add(leadershipTransferTimeout)
	}
}

// handleReleaseZones takes the zones from a server that leaves; their standbys take
// over, and a waiting candidate may become a voter in its place. The answer is
// codeStillNeeded until the others can do without the server.
func (r *Replica) handleReleaseZones(request *rpc.ZoneRelease, _ *transport.Stream, reply replyFunc) {
	now := time.Now()
	r.appointments.leavingUntil[request.Disk] = now.Add(shutdownExclusionPeriod)
	r.appointAggregators(now)
	reason := r.reasonToStay(request.Disk)
	for zone, aggregator := range r.state.Aggregators {
		if aggregator.Member == request.Disk && r.appointments.changePending[zone] {
			reason = "its zones are being given to others"
		}
	}
	if reason != "" {
		reply(rpc.Response{Code: codeStillNeeded, Text: reason, RetryAfterMs: shutdownPollInterval.Milliseconds()})
		return
	}
	r.appointments.releasedAt[request.Disk] = now
	reply(responseOK)
}

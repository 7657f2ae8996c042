package server

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// shutdownWaitSlack is added to the wait for the other servers, because the event loop itself
	// may be late.
	shutdownWaitSlack = 200 * time.Millisecond
	// shutdownPollInterval is the interval between two requests for permission to shut down.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownRenewInterval is the interval at which a server that may shut down, and still handles
	// requests, repeats its announcement.
	shutdownRenewInterval = 250 * time.Millisecond
	// leadershipTransferTimeout is how long a leader that shuts down waits for another server to
	// take over.
	leadershipTransferTimeout = 300 * time.Millisecond
	// shutdownExclusionPeriod is how long a daemon that announced its shutdown is excluded from
	// appointments.
	shutdownExclusionPeriod = 5 * time.Second
)

// leaveProgress is the progress of a requested shutdown of this process.
type leaveProgress struct {
	waiters          []chan struct{}
	deadline         time.Time // zero if no shutdown was requested
	transferDeadline time.Time // of the leadership transfer in progress
	transferring     bool
	releaseRequested bool // the leader has been asked to release this server
}

const (
	// codeReleaseDeferred is the response to rpc.KindReleaseZones while the cluster still needs the
	// server, which repeats the request after Response.RetryAfterMs.
	codeReleaseDeferred = 425
	// leavePollInterval is the interval at which a leaving server checks whether it may exit.
	leavePollInterval = 20 * time.Millisecond
)

// leaveTimeout returns the longest time that a server waits before it exits.
func (r *Replica) leaveTimeout() time.Duration {
	return max(leadershipTransferTimeout, time.Duration(timing.ShutdownWaitFraction*float64(r.settings.Grace())))
}

// Leave transfers leadership or aggregation before the process exits. It waits, up to leaveTimeout,
// while the cluster still needs this server's storage.
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

// beginLeave starts leaving the cluster; done is closed once the process may exit. Until then this
// server remains a replica, and the leader knows that it is shutting down.
func (r *Replica) beginLeave(ctx context.Context, done chan struct{}) {
	r.leaving.waiters = append(r.leaving.waiters, done)
	if len(r.leaving.waiters) > 1 {
		return
	}
	r.leaving.deadline = time.Now().Add(r.leaveTimeout())
	switch {
	case r.node == nil:
		r.finishLeaving()
	case !r.node.IsLeader():
		r.requestLeave(ctx)
	}
}

// requestLeave asks the leader to hand over this server's zones to their standbys, and repeats the
// request until the leader releases the server.
func (r *Replica) requestLeave(ctx context.Context) {
	r.leaving.releaseRequested = true
	r.aggregator.FailUnsent(responseNotLeader)
	if !r.node.IsVoter(r.self.ID) && !r.isAppointed(r.self.ID) {
		r.finishLeaving()
		return
	}
	deadline := r.leaving.deadline
	go func() {
		r.awaitRelease(ctx, deadline)
		r.post(ctx, loopEvent{leaveGranted: true})
		r.renewRelease(ctx)
	}()
}

// requestRelease asks the leader whether this server may exit. It returns the delay until the next
// request, or 0 if the server may exit.
func (r *Replica) requestRelease(ctx context.Context) time.Duration {
	response := r.leaderClient.Call(ctx, rpc.KindReleaseZones, &rpc.ZoneRelease{Disk: r.self.ID})
	if response.Code == rpc.CodeOK {
		return 0
	}
	return max(shutdownPollInterval, time.Duration(response.RetryAfterMs)*time.Millisecond)
}

// awaitRelease repeats the request until the leader releases this server or the deadline passes.
func (r *Replica) awaitRelease(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for ctx.Err() == nil {
		wait := r.requestRelease(ctx)
		if wait == 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// renewRelease keeps announcing to the leader that this server is shutting down, until it exits:
// its open requests may take much of the grace period, and a new leader may not know of the
// shutdown.
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
		r.requestRelease(callCtx)
		cancel()
	}
}

// finishLeaving allows the process to exit.
func (r *Replica) finishLeaving() {
	for _, done := range r.leaving.waiters {
		close(done)
	}
	r.leaving.waiters = nil
}

// continueLeave advances the shutdown. It returns the delay until its next step, or 0 if this
// server is not leaving.
func (r *Replica) continueLeave(ctx context.Context, now time.Time) time.Duration {
	if r.leaving.deadline.IsZero() || r.node == nil {
		return 0
	}
	if now.After(r.leaving.deadline) {
		r.finishLeaving()
	}
	switch {
	case r.node.IsLeader():
		r.transferLeadership(now)
	case !r.leaving.releaseRequested:
		// Another server is leader, after a transfer or an election, and must learn that this
		// server is shutting down: two servers that shut down at the same time wait for each other.
		r.requestLeave(ctx)
	}
	return leavePollInterval
}

// transferLeadership transfers leadership once the cluster can do without this server, or when just
// enough time is left for the transfer. Until then this server stays leader, and may itself have a
// candidate take its place as a voter.
func (r *Replica) transferLeadership(now time.Time) {
	if len(r.node.Voters()) == 1 {
		r.finishLeaving()
		return
	}
	if r.leaving.transferring {
		if now.After(r.leaving.transferDeadline) {
			r.leaving.transferring = false
			r.finishLeaving()
		}
		return
	}
	deadlineNear := r.leaving.deadline.Sub(now) <= leadershipTransferTimeout
	if !deadlineNear && r.node.LeaderReady() && r.shutdownBlocker(r.self.ID) != "" {
		return
	}
	if r.node.TransferLeadership() == nil {
		r.leaving.transferring = true
		r.leaving.transferDeadline = now.Add(leadershipTransferTimeout)
	}
}

// handleReleaseZones reassigns the zones of a server that leaves. Their standbys take over, and a
// waiting candidate may replace the server as a voter. The response is codeReleaseDeferred until
// the cluster can do without the server.
func (r *Replica) handleReleaseZones(request *rpc.ZoneRelease, _ *transport.Stream, reply replyFunc) {
	now := time.Now()
	r.appointments.leavingUntil[request.Disk] = now.Add(shutdownExclusionPeriod)
	r.appointAggregators(now)
	reason := r.shutdownBlocker(request.Disk)
	for zone, aggregator := range r.state.Aggregators {
		if aggregator.Member == request.Disk && r.appointments.changePending[zone] {
			reason = "its zones are being given to others"
		}
	}
	if reason != "" {
		reply(rpc.Response{Code: codeReleaseDeferred, Text: reason, RetryAfterMs: shutdownPollInterval.Milliseconds()})
		return
	}
	r.appointments.releasedAt[request.Disk] = now
	reply(responseOK)
}

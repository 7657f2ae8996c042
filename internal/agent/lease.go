package agent

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/timing"
)

// renewLeaseIfDue renews the worker's lease with the leader every
// timing.LeaseRenewInterval. It returns the time until the next renewal, or 0
// while one is in flight.
func (a *Agent) renewLeaseIfDue(session *runnerSession) time.Duration {
	if session.renewingLease {
		return 0
	}
	sinceLast := a.now.Sub(session.lastRenewalAt)
	if session.lastRenewalAt.IsZero() || sinceLast >= timing.LeaseRenewInterval {
		a.renewLease(session)
		return 0
	}
	return max(timing.LeaseRenewInterval-sinceLast, time.Millisecond)
}

// renewLease requests a lease renewal from the leader. The response's Value is the duration of the
// lease, in ms from the request.
func (a *Agent) renewLease(session *runnerSession) {
	session.renewingLease, session.lastRenewalAt = true, a.now
	// The clock is read before the request is sent: the lease counts from then.
	requestedAtMs, fence := session.estimatedClockMs(a.now), session.fence
	if session.clockMs == 0 {
		requestedAtMs = 0
	}
	renewal := &rpc.LeaseRenewal{
		Worker:         session.id,
		Fence:          session.fence,
		RuntimePercent: session.medianRuntimePercent(a.now),
		KnownIndex:     a.appliedIndex,
	}
	a.requestLeader(rpc.KindRenewLease, renewal, renewTimeout, func(response rpc.Response) {
		session.renewingLease = false
		if a.session != session || session.fence != fence {
			return
		}
		switch response.Code {
		case rpc.CodeOK:
			if requestedAtMs > 0 && requestedAtMs+response.Value > session.workerLeaseUntilMs {
				session.workerLeaseUntilMs = requestedAtMs + response.Value
			}
		case rpc.CodeConflict:
			a.registerRunner(session)
		case rpc.CodeGone:
			session.superseded = true
		}
	})
}

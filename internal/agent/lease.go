package agent

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/tuning"
)

// renewLeaseIfDue asks the leader for a longer lease once in a while; it gives
// the time until the next renewal, or 0 while one is under way.
func (a *Agent) renewLeaseIfDue(session *runnerSession) time.Duration {
	if session.renewingLease {
		return 0
	}
	sinceLast := a.now.Sub(session.lastRenewalAt)
	if session.lastRenewalAt.IsZero() || sinceLast >= tuning.LeaseRenewInterval {
		a.renewLease(session)
		return 0
	}
	return max(tuning.LeaseRenewInterval-sinceLast, time.Millisecond)
}

// renewLease asks the leader for a longer lease.
func (a *Agent) renewLease(session *runnerSession) {
	session.renewingLease, session.lastRenewalAt = true, a.now
	// The clock is read before the request, since the lease counts from when it
	// was asked for.
	requestedAtMs, fence := session.estimatedClockMs(a.now), session.fence
	if session.clockMs == 0 {
		requestedAtMs = 0
	}
	a.requestLeader(rpc.KindRenewLease, &rpc.LeaseRenewal{Worker: session.id, Fence: session.fence, RuntimePercent: session.medianRuntimePercent(a.now), KnownIndex: a.appliedIndex}, renewTimeout, func(response rpc.Response) {
		session.renewingLease = false
		if a.session != session || session.fence != fence {
			return
		}
		switch response.Code {
		case rpc.CodeOK:
			if requestedAtMs > 0 && requestedAtMs+response.Value > session.leaseUntilMs {
				session.leaseUntilMs = requestedAtMs + response.Value
			}
		case rpc.CodeConflict:
			a.registerRunner(session)
		case rpc.CodeGone:
			session.superseded = true
		}
	})
}

package agent

import (
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

// stalledRunnerExclusion is how long a runner with stalled runs is reported as unhealthy.
const stalledRunnerExclusion = 2500 * time.Millisecond

// superviseHealth reports changes of the runner's health to the leader, and closes runs that a
// silent runner can no longer be running. It returns the time until it must be called again, or 0.
func (a *Agent) superviseHealth(session *runnerSession) time.Duration {
	silent := session.silent(a.now)
	unhealthy := silent || a.now.Sub(session.lastStalledAt) < stalledRunnerExclusion
	// A report without a response may still reach the leader, so a newer one must follow it.
	if (unhealthy != session.reportedUnhealthy || session.healthUnconfirmed) && !session.reportingHealth {
		a.reportHealth(session, unhealthy, silent)
	}
	switch {
	case silent:
		a.closeRunsOfUnresponsiveRunner(session)
		return silentPause
	case session.reportedUnhealthy:
		return unhealthyPause
	}
	return 0
}

// reportHealth reports to the leader whether the runner is unhealthy: nothing new
// is assigned to an unhealthy runner.
func (a *Agent) reportHealth(session *runnerSession, unhealthy, silent bool) {
	session.reportingHealth = true
	_ = a.log.Log("level", "warn", "event", "runner.health_changed", "worker", session.id, "unhealthy", unhealthy, "silent", silent)
	fence := session.fence
	report := a.newEligibilityReport(session)
	report.Unhealthy = unhealthy
	a.reportEligibility(report, healthTimeout, func(response rpc.Response) {
		session.reportingHealth = false
		if session.fence == fence {
			session.reportedUnhealthy = unhealthy
			session.healthUnconfirmed = response.Code != rpc.CodeOK
		}
	})
}

// newEligibilityReport returns the next report of the runner's session, with the health that was reported
// last.
func (a *Agent) newEligibilityReport(session *runnerSession) *state.ReportEligibility {
	session.eligibilityReports++
	return &state.ReportEligibility{
		ID:         session.id,
		Fence:      session.fence,
		Number:     session.eligibilityReports,
		Draining:   session.drainingCommitted,
		LeavesInMs: a.leavesInMs(session),
		Unhealthy:  session.reportedUnhealthy,
	}
}

// reportEligibility sends a report to the leader. A leader of an earlier program, which knows no numbered
// reports, gets it without its number.
func (a *Agent) reportEligibility(report *state.ReportEligibility, timeout time.Duration, onResponse func(rpc.Response)) {
	a.requestLeader(rpc.KindReportEligibility, report, timeout, func(response rpc.Response) {
		if response.Code == rpc.CodeBadRequest {
			a.requestLeader(rpc.KindSetEligibility, report.Unnumbered(), timeout, onResponse)
			return
		}
		onResponse(response)
	})
}

// closeRunsOfUnresponsiveRunner declares the results of runs that certainly never started or whose
// lease has certainly expired.
func (a *Agent) closeRunsOfUnresponsiveRunner(session *runnerSession) {
	expired := session.leasesExpired(a.now)
	for _, run := range session.runs {
		if run.declaredResult != "" || run.callInFlight && !expired {
			continue
		}
		switch {
		case run.attempts == 0 && run.phase == runPending && session.listed:
			// Until the lists were read, the run may have been started under another fence.
			a.declareResult(session, run, protocol.ResultRefused)
		case expired:
			a.declareResult(session, run, protocol.ResultLeaseExpired)
		}
	}
}

package agent

import (
	"context"
	"net/http"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
)

// runnerRequestTimeout bounds a start or stop call to the runner, which is on the same machine.
const runnerRequestTimeout = 250 * time.Millisecond

// handleHeartbeat handles a heartbeat; a new ID is a new incarnation of the runner. The response is
// sent once the leader has committed what it confirms.
func (a *Agent) handleHeartbeat(request *heartbeatRequest) {
	session := a.session
	if _, ended := a.endedIncarnations.of(request.id); ended && session != nil && session.id != request.id {
		// The heartbeat is late. A new session for it would replace that of the current
		// incarnation, with its lease and its runs.
		request.status <- http.StatusOK
		return
	}
	if session == nil || session.superseded {
		if session == nil || session.id != request.id {
			a.startSession(request)
			return
		}
	} else if session.id != request.id {
		a.verifyIncarnation(request)
		return
	}
	if request.heartbeat.Sequence < session.heartbeatSequence {
		// A heartbeat that arrives after a newer one is acknowledged, but otherwise ignored.
		request.status <- http.StatusOK
		return
	}
	session.heartbeatSequence = request.heartbeat.Sequence
	session.heartbeat = request.heartbeat
	draining := a.isLeaving(session)
	session.recordClock(request.heartbeat.ClockMs, a.now)
	if session.fence == 0 || session.registering {
		session.pendingHeartbeats = append(session.pendingHeartbeats, pendingHeartbeat{draining, request.status})
		return
	}
	if draining && !session.drainingCommitted {
		a.commitDraining(session, request.status)
		return
	}
	request.status <- http.StatusOK
}

// verifyIncarnation asks the runner whether it is the incarnation that a heartbeat names, before a
// session for that one replaces the current session. The heartbeat may be a late one of an
// incarnation that ended before this agent was started, and which it does not know. If the runner
// does not respond, the heartbeat is accepted.
func (a *Agent) verifyIncarnation(request *heartbeatRequest) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, runnerRequestTimeout)
		response := a.runner.Call(ctx, request.id, pathKeepAlive, protocol.KeepAliveRequest{})
		cancel()
		a.post(func() {
			switch session := a.session; {
			case session.id == request.id:
				a.handleHeartbeat(request)
			case response.StatusCode == http.StatusMisdirectedRequest:
				a.recordEnded(request.id)
				request.status <- http.StatusOK
			default:
				a.startSession(request)
			}
		})
	}()
}

// startSession starts a session for a new incarnation in place of the current one; the heartbeat is
// answered once the incarnation is registered.
func (a *Agent) startSession(request *heartbeatRequest) {
	_ = a.log.Log("level", "info", "event", "runner.detected", "worker", request.id)
	session := &runnerSession{
		id:                request.id,
		heartbeat:         request.heartbeat,
		heartbeatSequence: request.heartbeat.Sequence,
		runs:              map[string]*taskRun{},
	}
	if a.session != nil && a.session.fence > 0 {
		session.previousID = a.session.id
	}
	a.session = session
	session.recordClock(request.heartbeat.ClockMs, a.now)
	session.pendingHeartbeats = append(session.pendingHeartbeats, pendingHeartbeat{a.isLeaving(session), request.status})
	a.registerRunner(session)
}

// isLeaving reports whether the runner announced that it leaves, by a heartbeat or a sign-off. Some
// runners report the state "ready" again after their sign-off; that is ignored.
func (a *Agent) isLeaving(session *runnerSession) bool {
	_, signedOff := a.signedOff.of(session.id)
	return signedOff || session.heartbeat.State == protocol.RunnerDraining
}

// leavesInMs returns the minimum time until the runner leaves, or -1 if that is not known.
func (a *Agent) leavesInMs(session *runnerSession) int64 {
	if leavesAt, signedOff := a.signedOff.of(session.id); signedOff {
		return max(0, leavesAt.Sub(a.now).Milliseconds())
	}
	if session.heartbeat.LeavesInMs == nil {
		return -1
	}
	return *session.heartbeat.LeavesInMs
}

// answerPendingHeartbeats answers the requests that waited for the registration.
func (a *Agent) answerPendingHeartbeats(session *runnerSession, status int) {
	for _, pending := range session.pendingHeartbeats {
		if status == http.StatusOK && pending.draining && !session.drainingCommitted {
			a.commitDraining(session, pending.status)
			continue
		}
		pending.status <- status
	}
	session.pendingHeartbeats = nil
}

// commitDraining has the leader commit that the runner is draining, and then answers the heartbeat.
func (a *Agent) commitDraining(session *runnerSession, status chan int) {
	leavesInMs := a.leavesInMs(session)
	_ = a.log.Log("level", "info", "event", "runner.draining_announced", "worker", session.id,
		"leaves_in_ms", leavesInMs, "clock_ms", session.heartbeat.ClockMs)
	report := a.newEligibilityReport(session)
	report.Draining, report.LeavesInMs = true, leavesInMs
	a.reportEligibility(report, eligibilityTimeout, func(response rpc.Response) {
		if response.Code == rpc.CodeOK {
			session.drainingCommitted = true
			status <- http.StatusOK
			return
		}
		status <- http.StatusServiceUnavailable
	})
}

// handleSignOff handles a sign-off, which is acknowledged once it is committed.
func (a *Agent) handleSignOff(request *signOffRequest) {
	session := a.session
	if session == nil || session.id != request.id {
		// It is committed nevertheless: after a restart of this agent, the incarnation may have
		// been registered by the previous process.
		session = &runnerSession{id: request.id}
	}
	a.recordSignOff(session)
	if session == a.session && !session.superseded && (session.fence == 0 || session.registering) {
		session.pendingHeartbeats = append(session.pendingHeartbeats, pendingHeartbeat{true, request.status})
		return
	}
	report := a.newEligibilityReport(session)
	report.Draining, report.Leaving = true, true
	a.reportEligibility(report, eligibilityTimeout, func(response rpc.Response) {
		if response.Code == rpc.CodeOK || response.Code == rpc.CodeGone {
			session.drainingCommitted = true
			request.status <- http.StatusOK
			return
		}
		request.status <- http.StatusServiceUnavailable
	})
}

// recordSignOff records when an incarnation that signs off will leave; a repeated sign-off is
// ignored.
func (a *Agent) recordSignOff(session *runnerSession) {
	if _, again := a.signedOff.of(session.id); again {
		return
	}
	leavesAt := a.now
	if !session.drainingCommitted && !a.isLeaving(session) {
		// The runner has not drained yet, and stays for the drain time from now on.
		leavesAt = leavesAt.Add(time.Duration(a.settings.Bounds.DrainMs * float64(time.Millisecond)))
	}
	a.signedOff.record(session.id, leavesAt, a.now)
}

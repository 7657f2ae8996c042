package agent

import (
	"context"
	"net/http"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

// registerRunner registers the runner with the leader under a new fence.
func (a *Agent) registerRunner(session *runnerSession) {
	if session.registering || session.superseded {
		return
	}
	session.registering = true
	heartbeat, draining := session.heartbeat, a.isLeaving(session)
	command := &state.RegisterWorker{
		ID:             session.id,
		Node:           a.settings.NodeName,
		AgentProcessID: a.processID,
		Service:        heartbeat.Service,
		Zone:           heartbeat.Zone,
		Labels:         heartbeat.Labels,
		Capacity:       heartbeat.FreeResources,
		Draining:       draining,
		LeavesInMs:     a.leavesInMs(session),
		ReplacesFence:  session.replacedFence,
	}
	a.requestLeader(rpc.KindRegisterWorker, command, registerTimeout, func(response rpc.Response) {
		if a.session == session {
			a.handleRegistration(session, draining, response)
		}
	})
}

// handleRegistration handles the leader's response to a registration; draining is the value in the
// request.
func (a *Agent) handleRegistration(session *runnerSession, draining bool, response rpc.Response) {
	if response.Code == rpc.CodePreconditionFailed && response.Value > session.replacedFence {
		a.confirmIncarnation(session, response.Value)
		return
	}
	session.registering = false
	if response.Code == rpc.CodeConflict {
		a.endSession(session)
	}
	if response.Code != rpc.CodeOK {
		a.answerPendingHeartbeats(session, http.StatusServiceUnavailable)
		session.lastRenewalAt = a.now
		return
	}
	if session.previousID != "" {
		// This registration ended the previous incarnation in the state.
		a.recordEnded(session.previousID)
	}
	session.beginFence(response.Value, draining, a.now)
	a.answerPendingHeartbeats(session, http.StatusOK)
}

// beginFence resets the session for a new fence: requests in flight under an older
// one may be refused, and their responses are ignored.
func (s *runnerSession) beginFence(fence int64, draining bool, now time.Time) {
	s.fence, s.listed, s.drainingCommitted = fence, false, draining
	s.readSequence, s.reportsInFlight = s.committedSequence, 0
	s.reportedUnhealthy, s.healthUnconfirmed, s.unansweredCalls, s.lastResponseAt = false, false, 0, now
	// Another agent process that had registered this runner before may have
	// extended its lease as far as this.
	s.longestRunLeaseUntilMs = max(s.longestRunLeaseUntilMs, s.estimatedClockMs(now)+timing.MaxRunLeaseAhead.Milliseconds())
	s.lastRenewalAt = time.Time{}
	s.workerLeaseUntilMs = 0
	s.pollFailures = 0
	// The leader sends all assignments again under the new fence, and running runs are read from
	// the runner's lists.
	s.runs = map[string]*taskRun{}
}

// confirmIncarnation checks with the runner that the session's incarnation is the current one. This
// is needed when the leader knows another incarnation on this machine, registered under the given
// fence: registering would end that one, and the heartbeat that started the session may only have
// arrived late.
func (a *Agent) confirmIncarnation(session *runnerSession, fence int64) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, runnerRequestTimeout)
		response := a.runner.Call(ctx, session.id, pathKeepAlive, protocol.KeepAliveRequest{})
		cancel()
		a.post(func() {
			if a.session != session {
				return
			}
			session.registering = false
			switch {
			case !response.answered():
				a.answerPendingHeartbeats(session, http.StatusServiceUnavailable)
				session.lastRenewalAt = a.now
			case response.StatusCode == http.StatusMisdirectedRequest:
				a.endSession(session)
				a.answerPendingHeartbeats(session, http.StatusOK)
			default:
				session.replacedFence = fence
				a.registerRunner(session)
			}
		})
	}()
}

// endSession ends a session whose incarnation has ended.
func (a *Agent) endSession(session *runnerSession) {
	session.superseded = true
	a.recordEnded(session.id)
}

// recordEnded records that an incarnation has ended, so that a late heartbeat of it starts no new
// session.
func (a *Agent) recordEnded(id string) {
	a.endedIncarnations.record(id, a.now, a.now)
}

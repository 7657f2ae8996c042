package agent

import (
	"context"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// runnerSession is what is known of the runner's present life.
type runnerSession struct {
	id                string
	heartbeat         protocol.Heartbeat
	heartbeatSequence int64
	fence             int64
	registering       bool
	replacedFence     int64  // fence of the life before it on this machine
	before            string // the life before it that this daemon had taken up
	drainingCommitted bool   // committed
	clockMs           int64
	clockReadAt       time.Time
	leaseUntilMs      int64 // granted, on the runner's clock
	confirmedUntilMs  int64 // sent to it and answered
	longestUntilMs    int64 // the furthest that was ever sent, answered or not
	unansweredCalls   int   // calls in a row without an answer
	lastResponseAt    time.Time
	reportedUnhealthy bool      // what the leader was told
	reportingHealth   bool      // an ask about it is under way
	lastStuckAt       time.Time // when a run was last seen to stand still
	runtimeSamples    []runtimeSample
	committedSequence int64  // ends up to here are committed: the leader said so
	readSequence      int64  // ends up to here were read and are on their way
	listed            bool   // both lists were read whole under this fence
	polling           bool   // a look that may wait is under way
	probing           bool   // one beside it that doesn't
	lastPoll          uint64 // of the look begun last
	lastCompletePoll  uint64 // the newest look that brought both lists whole
	pollFailures      int
	lastPollAt        time.Time
	renewingLease     bool
	lastRenewalAt     time.Time
	reportsInFlight   int // asks with ends under way
	runs              map[string]*taskRun
	completed         map[string]*completedRun
	pendingHeartbeats []pendingHeartbeat
	superseded        bool
}

// pendingHeartbeat is a heartbeat that waits for the runner to be taken up.
type pendingHeartbeat struct {
	draining bool
	status   chan int
}

// handleHeartbeat takes a heartbeat: a new id is a new life of the runner.
func (a *Agent) handleHeartbeat(request *heartbeatRequest) {
	session := a.session
	if a.over[request.id] && session != nil && session.id != request.id {
		// Why passed over: it came late, and would end the present life's
		// session here, with its grant and what is known of its runs.
		request.status <- 200
		return
	}
	if session == nil || session.id != request.id {
		_ = a.log.Log("level", "info", "event", "runner.new", "runner", request.id)
		next := &runnerSession{id: request.id, heartbeat: request.heartbeat, heartbeatSequence: request.heartbeat.Sequence, runs: map[string]*taskRun{}}
		if session != nil && session.fence > 0 {
			next.before = session.id
		}
		session, a.session = next, next
		a.noteClock(session, request.heartbeat.ClockMs)
		session.pendingHeartbeats = append(session.pendingHeartbeats, pendingHeartbeat{a.leaves(session), request.status})
		a.registerRunner(session)
		return
	}
	if request.heartbeat.Sequence < session.heartbeatSequence {
		// Why still 200: it was heard, only later than a newer one.
		request.status <- 200
		return
	}
	session.heartbeatSequence = request.heartbeat.Sequence
	session.heartbeat = request.heartbeat
	draining := a.leaves(session)
	a.noteClock(session, request.heartbeat.ClockMs)
	if session.fence == 0 || session.registering {
		session.pendingHeartbeats = append(session.pendingHeartbeats, pendingHeartbeat{draining, request.status})
		return
	}
	if draining && !session.drainingCommitted {
		a.commitDraining(session, request.status)
		return
	}
	request.status <- 200
}

// leaves tells whether the runner said that it leaves: by a heartbeat or by its
// sign-off, after which some go on to say `ready`.
func (a *Agent) leaves(session *runnerSession) bool {
	_, off := a.signOff[session.id]
	return off || session.heartbeat.State == "draining"
}

// leavesInMs is the least time until the runner leaves, in ms, or -1.
func (a *Agent) leavesInMs(session *runnerSession) int64 {
	if at, off := a.signOff[session.id]; off {
		return max(0, at.Sub(a.now).Milliseconds())
	}
	if session.heartbeat.LeavesInMs == nil {
		return -1
	}
	return *session.heartbeat.LeavesInMs
}

// registerRunner has the runner bound to this daemon under a new fence.
func (a *Agent) registerRunner(session *runnerSession) {
	if session.registering || session.superseded {
		return
	}
	session.registering = true
	heartbeat, drain := session.heartbeat, a.leaves(session)
	a.requestLeader(rpc.KindRegisterWorker, &state.RegisterWorker{ID: session.id, Node: a.settings.NodeName, AgentProcess: a.process, Service: heartbeat.Service, Zone: heartbeat.Zone,
		Labels: heartbeat.Labels, Capacity: heartbeat.FreeResources, Draining: drain, LeavesInMs: a.leavesInMs(session), ReplacesFence: session.replacedFence}, 10*time.Second, func(response rpc.Response) {
		if a.session != session {
			return
		}
		if response.Code == 412 && response.Value > session.replacedFence {
			a.confirmIncarnation(session, response.Value)
			return
		}
		session.registering = false
		if response.Code == 409 {
			a.close(session)
		}
		if response.Code != 200 {
			a.answerPendingHeartbeats(session, 503)
			session.lastRenewalAt = a.now
			return
		}
		if session.before != "" {
			// Why now: the state ended it with this take-up.
			a.isOver(session.before)
		}
		session.fence, session.listed, session.drainingCommitted = response.Value, false, drain
		// Why told anew: what is under way under the old fence may be refused.
		session.readSequence, session.reportsInFlight = session.committedSequence, 0
		session.reportedUnhealthy, session.unansweredCalls, session.lastResponseAt = false, 0, a.now
		// Why so far: a daemon that ordered this runner before us may have
		// held it up to there.
		session.longestUntilMs = max(session.longestUntilMs, a.estimatedClockMs(session)+tuning.MaxRunLeaseAhead.Milliseconds())
		session.lastRenewalAt = time.Time{}
		session.leaseUntilMs = 0
		session.pollFailures = 0
		// Why forgotten: the leader says anew what is to run, and what does
		// run is read from the lists under the new fence.
		session.runs = map[string]*taskRun{}
		a.answerPendingHeartbeats(session, 200)
	})
}

// confirmIncarnation asks the runner whether it is still in this life, before the life that
// the state knows on this machine is ended: a heartbeat may have come late.
func (a *Agent) confirmIncarnation(session *runnerSession, fence int64) {
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, tuning.RunnerRequestTimeout)
		response := a.runner.Call(ctx, session.id, pathKeepAlive, protocol.KeepAliveRequest{})
		cancel()
		a.post(func() {
			if a.session != session {
				return
			}
			session.registering = false
			switch response.StatusCode {
			case 0:
				a.answerPendingHeartbeats(session, 503)
				session.lastRenewalAt = a.now
			case 421:
				a.close(session)
				a.answerPendingHeartbeats(session, 200)
			default:
				session.replacedFence = fence
				a.registerRunner(session)
			}
		})
	}()
}

// answerPendingHeartbeats answers the heartbeats that waited.
func (a *Agent) answerPendingHeartbeats(session *runnerSession, status int) {
	for _, pending := range session.pendingHeartbeats {
		if status == 200 && pending.draining && !session.drainingCommitted {
			a.commitDraining(session, pending.status)
			continue
		}
		pending.status <- status
	}
	session.pendingHeartbeats = nil
}

// commitDraining has the runner's draining committed, and then acknowledged.
func (a *Agent) commitDraining(session *runnerSession, status chan int) {
	_ = a.log.Log("level", "info", "event", "runner.drains", "runner", session.id, "leaves_in_ms", a.leavesInMs(session), "clock_ms", session.heartbeat.ClockMs)
	a.requestLeader(rpc.KindSetEligibility, &state.SetEligibility{ID: session.id, Draining: true, LeavesInMs: a.leavesInMs(session), Unhealthy: session.reportedUnhealthy}, 950*time.Millisecond, func(response rpc.Response) {
		if response.Code == 200 {
			session.drainingCommitted = true
			status <- 200
			return
		}
		status <- 503
	})
}

// handleSignOff takes a sign-off: 200 once it is committed.
func (a *Agent) handleSignOff(request *signOffRequest) {
	session := a.session
	if session == nil || session.id != request.id {
		// Why committed all the same: this daemon may have started anew, and
		// the state may know that life from the one before.
		session = &runnerSession{id: request.id}
	}
	if _, again := a.signOff[request.id]; !again {
		leaves := a.now
		if !session.drainingCommitted && !a.leaves(session) {
			// Why later: it never drained, and serves on for as long now.
			leaves = leaves.Add(time.Duration(a.settings.Bounds.DrainMs * float64(time.Millisecond)))
		}
		if a.signOff == nil {
			a.signOff = map[string]time.Time{}
		}
		a.signOff[request.id] = leaves
	}
	if session == a.session && !session.superseded && (session.fence == 0 || session.registering) {
		session.pendingHeartbeats = append(session.pendingHeartbeats, pendingHeartbeat{true, request.status})
		return
	}
	a.requestLeader(rpc.KindSetEligibility, &state.SetEligibility{ID: request.id, Draining: true, LeavesInMs: a.leavesInMs(session), Leaving: true, Unhealthy: session.reportedUnhealthy}, 950*time.Millisecond, func(response rpc.Response) {
		if response.Code == 200 || response.Code == 410 {
			session.drainingCommitted = true
			request.status <- 200
			return
		}
		request.status <- 503
	})
}

// renewLease asks for a longer grant.
func (a *Agent) renewLease(session *runnerSession) {
	session.renewingLease, session.lastRenewalAt = true, a.now
	// Why read before the ask: the grant counts from when it was asked for.
	requestedAtMs, fence := a.estimatedClockMs(session), session.fence
	if session.clockMs == 0 {
		requestedAtMs = 0
	}
	a.requestLeader(rpc.KindRenewLease, &rpc.LeaseRenewal{Worker: session.id, Fence: session.fence, RuntimePercent: a.medianRuntime(session), KnownIndex: a.appliedIndex}, 3*time.Second, func(response rpc.Response) {
		session.renewingLease = false
		if a.session != session || session.fence != fence {
			return
		}
		switch response.Code {
		case 200:
			if requestedAtMs > 0 && requestedAtMs+response.Value > session.leaseUntilMs {
				session.leaseUntilMs = requestedAtMs + response.Value
			}
		case 409:
			a.registerRunner(session)
		case 410:
			session.superseded = true
		}
	})
}

// close ends a session whose life is over.
func (a *Agent) close(session *runnerSession) {
	session.superseded = true
	a.isOver(session.id)
}

// isOver notes that a life is over: no heartbeat brings it back.
func (a *Agent) isOver(id string) {
	if a.over == nil {
		a.over = map[string]bool{}
	}
	a.over[id] = true
}

// noteClock takes note of the runner's clock; late answers show less.
func (a *Agent) noteClock(session *runnerSession, clockMs int64) {
	if clockMs > 0 && clockMs >= session.clockMs {
		session.clockMs, session.clockReadAt = clockMs, a.now
	}
}

// estimatedClockMs is the runner's clock, estimated from the newest reading.
func (a *Agent) estimatedClockMs(session *runnerSession) int64 {
	return session.clockMs + a.now.Sub(session.clockReadAt).Milliseconds()
}

// noteResponse counts calls in a row that the runner left without an answer.
func (a *Agent) noteResponse(session *runnerSession, response RunnerResponse) {
	if response.StatusCode == 0 {
		session.unansweredCalls++
		return
	}
	session.unansweredCalls, session.lastResponseAt = 0, a.now
}

// runnerSilent tells whether the runner has fallen silent.
func (a *Agent) runnerSilent(session *runnerSession) bool {
	return session.unansweredCalls >= 2 && a.now.Sub(session.lastResponseAt) > tuning.RunnerSilenceTimeout
}

// leasesExpired tells whether all that was ever held at the silent runner has lapsed:
// its clock may run slow, and never shows less than this.
func (a *Agent) leasesExpired(session *runnerSession) bool {
	lowestClockMs := session.clockMs + int64(float64(a.now.Sub(session.clockReadAt).Milliseconds())/tuning.LeaseClockDriftFactor)
	return session.clockMs > 0 && lowestClockMs > session.longestUntilMs+tuning.RunLeaseExpiryMargin.Milliseconds()
}

// superviseHealth tells the leader when the runner is sick or well again, and closes
// what a silent runner can no longer be running.
func (a *Agent) superviseHealth(session *runnerSession) time.Duration {
	silent := a.runnerSilent(session)
	unhealthy := silent || a.now.Sub(session.lastStuckAt) < tuning.StalledRunnerExclusion
	if unhealthy != session.reportedUnhealthy && !session.reportingHealth {
		session.reportingHealth = true
		_ = a.log.Log("level", "warn", "event", "runner.sick", "runner", session.id, "sick", unhealthy, "dark", silent)
		a.requestLeader(rpc.KindSetEligibility, &state.SetEligibility{ID: session.id, Draining: session.drainingCommitted, LeavesInMs: a.leavesInMs(session), Unhealthy: unhealthy}, time.Second, func(response rpc.Response) {
			session.reportingHealth = false
			if response.Code == 200 {
				session.reportedUnhealthy = unhealthy
			}
		})
	}
	if !silent {
		if session.reportedUnhealthy {
			return 100 * time.Millisecond
		}
		return 0
	}
	expired := a.leasesExpired(session)
	for _, run := range session.runs {
		if run.declaredResult != "" || run.callInFlight && !expired {
			continue
		}
		switch {
		case run.attempts == 0 && run.phase == runPending && session.listed:
			// Why only once listed: before, another fence may have started it.
			a.declareResult(session, run, "refused")
		case expired:
			a.declareResult(session, run, "lapsed")
		}
	}
	return 50 * time.Millisecond
}

package server

import (
	"time"

	"tealpond/internal/scheduler"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// leaderWork does the periodic work of a leader; it returns when to come back.
func (r *Replica) leaderWork(now time.Time) time.Duration {
	// Another term in between had another leader, perhaps: what this one knew of
	// grants, clocks and callers is of the term before.
	if r.leading && (!r.node.LeaderReady() || r.leadingTerm != r.node.Term()) {
		r.stepDown()
	}
	if !r.node.LeaderReady() {
		return 0
	}
	if !r.leading {
		r.becomeLeader(now)
	}
	wake := tuning.HeartbeatInterval
	if now.Sub(r.periodicWorkAt) >= tuning.HeartbeatInterval {
		r.periodicWorkAt = now
		r.expireWorkerLeases(now)
		r.reconcileVoters(now)
		r.appointAggregators(now)
		r.collectGarbage(now)
		r.updatePlanner(now)
		r.stopRunsOfLeavingWorkers(now)
		r.planDue = r.planDue || len(r.planner.SilentWorkers) > 0 || len(r.state.Allocations) > 0
		if r.debug {
			r.logCapacity(now)
		}
	}
	if due := r.state.NextDueAt(); due > 0 {
		if wait := time.Duration(due-r.wallClock(now)) * time.Millisecond; wait <= 0 {
			// Only one is proposed at a time: until it is applied the run stays
			// due, and each turn of the loop would add another.
			if !r.garbageCollectionProposed {
				r.garbageCollectionProposed = true
				r.enqueueCommand("sweep", &state.CollectGarbage{}, func(state.Outcome, bool) { r.garbageCollectionProposed = false })
			}
		} else if wait < wake {
			wake = wait
		}
	}
	if r.planDue && !r.plansProposed {
		r.planDue = false
		stopTimer := r.metrics.startTimer("plan")
		plans := r.planner.Plan(r.state)
		stopTimer()
		if len(plans) > 0 {
			r.plansProposed = true
			r.enqueueCommand("book", &state.ApplyPlans{Plans: plans}, func(state.Outcome, bool) { r.plansProposed = false })
		}
		if now.Sub(r.preemptedAt) >= tuning.PreemptionInterval {
			if preempted := r.planner.Preemptions(r.state); len(preempted) > 0 {
				r.preemptedAt = now
				_ = r.log.Log("level", "debug", "event", "runs.pushed", "runs", len(preempted))
				r.enqueueCommand("halt", &state.StopRuns{Allocations: preempted, Reason: "pushed out"}, nil)
			}
		}
	}
	return wake
}

// becomeLeader resets what belongs to a term of leadership.
func (r *Replica) becomeLeader(now time.Time) {
	r.leading, r.leadingSince, r.leadingTerm, r.clockBase = true, now, r.node.Term(), r.state.Clock
	r.memberSets, r.appointments = map[string]memberSet{}, newAppointments()
	// All sessions are synced again: before this replica led, orders may have
	// been held back for workers that it knew nothing of yet.
	r.resyncSessions()
	r.leases = map[string]*workerLease{}
	for id, worker := range r.state.Workers {
		if !worker.Dead && !worker.LeaseExpired {
			// Leases aren't in the log, and the previous leader may have
			// renewed some until this one was elected.
			r.leases[id] = &workerLease{grantedAt: now, heardAt: now}
		}
	}
	r.planDue, r.plansProposed, r.garbageCollectionProposed = true, false, false
	r.garbageCollectedAt, r.rollupsRebuiltAt = now, now
	r.wallClockKnown = false
	if limits := stateLimits(r.settings); r.state.Limits != limits {
		r.enqueueCommand("limits", &state.SetLimits{Limits: limits}, nil)
	}
	if r.federation != nil && r.state.Epoch == "" {
		r.enqueueCommand("mint", &state.SetEpoch{Epoch: r.incarnation + "-" + r.self.ID}, nil)
	}
	r.membership, r.planner = membershipTracker{}, scheduler.Planner{CheckpointIntervalMs: int64(r.settings.Bounds.CheckpointEveryS * 1000)}
	_ = r.log.Log("level", "info", "event", "core.lead", "term", r.node.Term(), "index", r.node.AppliedIndex())
}

// stepDown ends this replica's leadership.
func (r *Replica) stepDown() {
	r.leading = false
	r.outgoingSnapshots = map[string]*snapshotSender{}
	_ = r.log.Log("level", "info", "event", "core.resign", "term", r.node.Term())
	for i := range r.pending {
		r.abandonEntry(i)
	}
	for _, session := range r.sessions {
		// Side daemons whose stream is closed look for the new leader at once.
		session.stream.Close()
	}
	r.sessions = map[string]*agentSession{}
	r.leases = map[string]*workerLease{}
}

// collectGarbage proposes the periodic clean-up of the state, with a rebuild of the
// rollups when one is due.
func (r *Replica) collectGarbage(now time.Time) {
	if now.Sub(r.garbageCollectedAt) < tuning.JobExpiryInterval {
		return
	}
	r.garbageCollectedAt = now
	rebuild := now.Sub(r.rollupsRebuiltAt) >= tuning.RollupInterval
	if rebuild {
		r.rollupsRebuiltAt = now
	}
	r.enqueueCommand("sweep", &state.CollectGarbage{RebuildRollups: rebuild}, nil)
}

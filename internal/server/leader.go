package server

import (
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/scheduler"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// jobExpiryInterval is the interval at which expired jobs are removed.
	jobExpiryInterval = 10 * time.Second
	// usageRebuildInterval is the interval at which the usage rollups are rebuilt from the
	// bookings.
	usageRebuildInterval = 5 * time.Minute
)

// maintenance records when a leader last did its periodic work on the state.
type maintenance struct {
	collectionProposed bool // a garbage collection is proposed but not yet applied
	collectedAt        time.Time
	usageRebuiltAt     time.Time
	periodicTasksAt    time.Time
	capacityLoggedAt   time.Time
}

// runLeaderTasks does the work that is due on a leader. It returns the time until it must be called
// again, or 0 if this replica is not the leader.
func (r *Replica) runLeaderTasks(now time.Time) time.Duration {
	// The new term may follow that of another leader, which renewed leases and applied entries. The
	// leader state that this replica kept in memory is then stale.
	if r.leading && (!r.node.LeaderReady() || r.leadingTerm != r.node.Term()) {
		r.stepDown()
	}
	if !r.node.LeaderReady() {
		return 0
	}
	if !r.leading {
		r.becomeLeader(now)
	}
	if now.Sub(r.maintenance.periodicTasksAt) >= timing.HeartbeatInterval {
		r.maintenance.periodicTasksAt = now
		r.runPeriodicTasks(now)
	}
	wake := shorterDelay(timing.HeartbeatInterval, r.runDueTimers(now))
	r.schedule(now)
	return wake
}

// runPeriodicTasks runs the leader's tasks that are due once per heartbeat interval.
func (r *Replica) runPeriodicTasks(now time.Time) {
	r.expireWorkerLeases(now)
	r.reconcileVoters(now)
	r.appointAggregators(now)
	r.collectGarbage(now)
	r.updatePlanner(now)
	r.stopRunsOfLeavingWorkers(now)
	r.planning.due = r.planning.due || len(r.planning.planner.UnresponsiveWorkers) > 0 || len(r.state.Allocations) > 0
	if r.debug {
		r.logCapacity(now)
	}
}

// runDueTimers proposes a garbage collection when periodic jobs are due, which starts them. It
// returns the time until the next one is due, or 0 if there is none or it is due now.
func (r *Replica) runDueTimers(now time.Time) time.Duration {
	due := r.state.NextDueAt()
	if due <= 0 {
		return 0
	}
	if waitMs := due - r.wallClock(now); waitMs > 0 {
		return time.Duration(min(waitMs, protocol.MaxQuantity)) * time.Millisecond
	}
	// Applying CollectGarbage starts the jobs that are due. Only one such command is proposed at a
	// time: the jobs stay due until it is applied, and each loop iteration would propose another.
	if !r.maintenance.collectionProposed {
		r.maintenance.collectionProposed = true
		r.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, func(state.Outcome, bool) { r.maintenance.collectionProposed = false })
	}
	return 0
}

// collectGarbage proposes the periodic garbage collection of the state, and a rebuild of the usage
// rollups when one is due.
func (r *Replica) collectGarbage(now time.Time) {
	if now.Sub(r.maintenance.collectedAt) < jobExpiryInterval {
		return
	}
	r.maintenance.collectedAt = now
	r.expireMemberships(now)
	rebuild := now.Sub(r.maintenance.usageRebuiltAt) >= usageRebuildInterval
	if rebuild {
		r.maintenance.usageRebuiltAt = now
	}
	r.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{RebuildUsage: rebuild}, nil)
	if rebuild {
		r.enqueueCommand(state.CommandRemoveUnused, &state.RemoveUnused{}, nil)
	}
}

// becomeLeader initializes the leader state for a new term. Nothing from an earlier term is kept.
func (r *Replica) becomeLeader(now time.Time) {
	r.leading, r.leadingSince, r.leadingTerm = true, now, r.node.Term()
	r.startTermClocks(now)
	r.memberSets, r.appointments = map[string]memberSet{}, newAppointments()
	// All sessions are synced again: before this replica was leader, it may have held back
	// assignments for workers that it did not know yet.
	r.resyncSessions()
	r.leases = map[string]*workerLease{}
	for id, worker := range r.state.Workers {
		if !worker.Dead && !worker.LeaseExpired {
			// Leases are not in the log, and the previous leader may have renewed some until this
			// one was elected.
			r.leases[id] = newWorkerLease(now)
		}
	}
	r.planning.due, r.planning.proposed, r.maintenance.collectionProposed = true, false, false
	r.planning.notBefore, r.planning.consecutiveRefusals = time.Time{}, 0
	r.maintenance.collectedAt, r.maintenance.usageRebuiltAt = now, now
	if limits := stateLimits(r.settings); r.state.Limits != limits {
		r.enqueueCommand(state.CommandSetLimits, &state.SetLimits{Limits: limits}, nil)
	}
	if r.federation != nil && r.state.Epoch == "" {
		r.enqueueCommand(state.CommandSetEpoch, &state.SetEpoch{Epoch: r.processID + "-" + r.self.ID}, nil)
	}
	r.membership = membershipTracker{}
	r.planning.planner = scheduler.Planner{CheckpointIntervalMs: int64(r.settings.Bounds.CheckpointEveryS * msPerSecond)}
	_ = r.log.Log("level", "info", "event", "leader.elected", "term", r.node.Term(), "index", r.node.AppliedIndex())
}

// stepDown discards the leader state when this replica loses leadership.
func (r *Replica) stepDown() {
	r.leading = false
	r.outgoingSnapshots = map[string]*snapshotSender{}
	_ = r.log.Log("level", "info", "event", "leader.stepped_down", "term", r.node.Term())
	r.abandonAllEntries()
	r.closeSessions()
	r.leases = map[string]*workerLease{}
}

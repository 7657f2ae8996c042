package server

import (
	"time"

	"tealpond/internal/scheduler"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// jobExpiryInterval is the time between two removals of expired jobs.
	jobExpiryInterval = 10 * time.Second
	// usageRebuildInterval is the time between two rebuilds of the usage rollups from the bookings.
	usageRebuildInterval = 5 * time.Minute
)

// upkeep is when a leader last did its periodic work on the state.
type upkeep struct {
	collectionProposed bool // a garbage collection is proposed and not yet applied
	collectedAt        time.Time
	usageRebuiltAt     time.Time
	periodicWorkAt     time.Time
	capacityLoggedAt   time.Time
}

// leaderWork does what a leader has to do at this time; it returns after how long
// it must be called again, 0 for a replica that does not lead.
func (r *Replica) leaderWork(now time.Time) time.Duration {
	// A new term may follow that of another leader, who renewed leases and applied
	// entries: what this replica kept in memory as leader is void then.
	if r.leading && (!r.node.LeaderReady() || r.leadingTerm != r.node.Term()) {
		r.stepDown()
	}
	if !r.node.LeaderReady() {
		return 0
	}
	if !r.leading {
		r.becomeLeader(now)
	}
	if now.Sub(r.upkeep.periodicWorkAt) >= timing.HeartbeatInterval {
		r.upkeep.periodicWorkAt = now
		r.periodicWork(now)
	}
	wake := sooner(timing.HeartbeatInterval, r.runDueTimers(now))
	r.schedule(now)
	return wake
}

// periodicWork is what a leader does once a heartbeat.
func (r *Replica) periodicWork(now time.Time) {
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

// runDueTimers has periodic jobs run whose time has come; it returns after how long
// the next one is due, 0 for none.
func (r *Replica) runDueTimers(now time.Time) time.Duration {
	due := r.state.NextDueAt()
	if due <= 0 {
		return 0
	}
	wait := time.Duration(due-r.wallClock(now)) * time.Millisecond
	if wait > 0 {
		return wait
	}
	// Applying the clean-up starts the jobs that are due. Only one is proposed at a
	// time: until it is applied they stay due, and each turn would propose another.
	if !r.upkeep.collectionProposed {
		r.upkeep.collectionProposed = true
		r.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{}, func(state.Outcome, bool) { r.upkeep.collectionProposed = false })
	}
	return 0
}

// collectGarbage proposes the periodic clean-up of the state, with a rebuild of
// the rollups when one is due.
func (r *Replica) collectGarbage(now time.Time) {
	if now.Sub(r.upkeep.collectedAt) < jobExpiryInterval {
		return
	}
	r.upkeep.collectedAt = now
	r.expireMemberships(now)
	rebuild := now.Sub(r.upkeep.usageRebuiltAt) >= usageRebuildInterval
	if rebuild {
		r.upkeep.usageRebuiltAt = now
	}
	r.enqueueCommand(state.CommandCollectGarbage, &state.CollectGarbage{RebuildUsage: rebuild}, nil)
	if rebuild {
		r.enqueueCommand(state.CommandForgetUnused, &state.ForgetUnused{}, nil)
	}
}

// becomeLeader begins a term of leadership: nothing of an earlier one is kept.
func (r *Replica) becomeLeader(now time.Time) {
	r.leading, r.leadingSince, r.leadingTerm = true, now, r.node.Term()
	r.beginClocks(now)
	r.memberSets, r.appointments = map[string]memberSet{}, newAppointments()
	// All sessions are synced again: before this replica led, assignments may
	// have been held back for workers that it knew nothing of yet.
	r.resyncSessions()
	r.leases = map[string]*workerLease{}
	for id, worker := range r.state.Workers {
		if !worker.Dead && !worker.LeaseExpired {
			// Leases aren't in the log, and the previous leader may have
			// renewed some until this one was elected.
			r.leases[id] = newWorkerLease(now)
		}
	}
	r.planning.due, r.planning.proposed, r.upkeep.collectionProposed = true, false, false
	r.planning.notBefore, r.planning.refusedInARow = time.Time{}, 0
	r.upkeep.collectedAt, r.upkeep.usageRebuiltAt = now, now
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

// stepDown ends this replica's leadership.
func (r *Replica) stepDown() {
	r.leading = false
	r.outgoingSnapshots = map[string]*snapshotSender{}
	_ = r.log.Log("level", "info", "event", "leader.stepped_down", "term", r.node.Term())
	r.abandonAllEntries()
	r.closeSessions()
	r.leases = map[string]*workerLease{}
}

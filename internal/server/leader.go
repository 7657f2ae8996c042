package server

import (
	"sort"
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

// expireWorkerLeases ends the leases of workers that were granted nothing for so long
// that all their runs must be over.
func (r *Replica) expireWorkerLeases(now time.Time) {
	timeout := time.Duration(float64(r.leaseDuration)*tuning.LeaseClockDriftFactor) + tuning.LeaseExpiryMargin
	var expired []state.FencedWorker
	for id, lease := range r.leases {
		worker := r.state.Workers[id]
		if worker == nil || worker.Dead || worker.LeaseExpired {
			delete(r.leases, id)
			continue
		}
		if !lease.expiring && now.Sub(lease.grantedAt) > timeout {
			lease.expiring = true
			expired = append(expired, state.FencedWorker{ID: id, Fence: worker.Fence})
		}
	}
	if len(expired) > 0 {
		sort.Slice(expired, func(a, b int) bool { return expired[a].ID < expired[b].ID })
		_ = r.log.Log("level", "warn", "event", "worker.lapsed", "workers", len(expired), "first", expired[0].ID)
		r.enqueueCommand("lapse", &state.ExpireLeases{Workers: expired}, nil)
	}
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

// wallClock is the wall-clock time in milliseconds: the median of the members'
// offsets, so that a jump of this machine's clock alone has no effect.
func (r *Replica) wallClock(now time.Time) int64 {
	elapsed := now.Sub(r.leadingSince).Milliseconds()
	offsets := []int64{now.UnixMilli() - elapsed}
	for _, clock := range r.node.PeerWallClocks(now) {
		offsets = append(offsets, clock-elapsed)
	}
	sort.Slice(offsets, func(a, b int) bool { return offsets[a] < offsets[b] })
	// The lower median is taken: to start a run too early breaks a rule, to start
	// it late does not.
	median := offsets[(len(offsets)-1)/2]
	if !r.wallClockKnown || len(offsets) > 1 {
		r.wallClockOffset, r.wallClockKnown = median, true
	}
	return r.wallClockOffset + elapsed
}

// updatePlanner tells the scheduler which workers are silent or sick, and how
// fast the others are.
func (r *Replica) updatePlanner(now time.Time) {
	silent, speed := map[string]bool{}, map[string]float64{}
	var ratios []int64
	for id, lease := range r.leases {
		if now.Sub(lease.heardAt) > tuning.WorkerSilenceTimeout || lease.expiring {
			silent[id] = true
		}
		if lease.runtimeRatio > 0 {
			ratios = append(ratios, lease.runtimeRatio)
		}
	}
	if len(ratios) >= 3 {
		sort.Slice(ratios, func(a, b int) bool { return ratios[a] < ratios[b] })
		median := float64(max(ratios[len(ratios)/2], 1))
		r.planner.EstimateRatio = median / 100
		for id, lease := range r.leases {
			if lease.runtimeRatio > 0 {
				speed[id] = scheduler.DampSlowdown(float64(lease.runtimeRatio) / median)
			}
		}
	}
	unhealthy := map[string]bool{}
	for id := range r.leases {
		if pace, ok := r.planner.Pace(id, r.state.Clock); ok {
			speed[id] = pace
		}
	}
	for id := range r.leases {
		if worker := r.state.Workers[id]; worker != nil && (worker.Unhealthy || worker.LeaseExpired) {
			unhealthy[id] = true
		}
	}
	r.planner.SilentWorkers, r.planner.UnhealthyWorkers, r.planner.Slowdown = silent, unhealthy, speed
}

// stopRunsOfLeavingWorkers stops what still runs on workers that are about to leave: it would
// die there, and its text would be lost.
func (r *Replica) stopRunsOfLeavingWorkers(now time.Time) {
	leadTime := r.settings.Bounds.StopGraceMs + tuning.DrainStopLead.Milliseconds()
	var ids []uint64
	for _, worker := range r.state.Workers {
		if worker.Dead || worker.LeaseExpired || !worker.Draining || worker.LeavesAt == 0 || r.clock(now) < worker.LeavesAt-leadTime {
			continue
		}
		for _, allocation := range r.state.AllocationsOn(worker.ID) {
			if !allocation.Stopping {
				ids = append(ids, allocation.ID)
			}
		}
	}
	if len(ids) > 0 {
		sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
		r.enqueueCommand("halt", &state.StopRuns{Allocations: ids, Reason: "worker leaves"}, nil)
	}
}

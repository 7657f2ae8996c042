package core

import (
	"sort"
	"time"

	"tealpond/internal/place"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// leaderTick does the periodic work of a leader; it returns when to come back.
func (c *Core) leaderTick(now time.Time) time.Duration {
	// Another term in between had another leader, perhaps: what this one knew of
	// grants, clocks and callers is of the term before.
	if c.leading && (!c.node.LeaderReady() || c.leadingTerm != c.node.Term()) {
		c.stepDown()
	}
	if !c.node.LeaderReady() {
		return 0
	}
	if !c.leading {
		c.becomeLeader(now)
	}
	wake := tune.Beat
	if now.Sub(c.checkedAt) >= tune.Beat {
		c.checkedAt = now
		c.expireLeases(now)
		c.swap(now)
		c.appoint(now)
		c.sweep(now)
		c.updatePlanner(now)
		c.evacuate(now)
		c.planDue = c.planDue || len(c.planner.Quiet) > 0 || len(c.state.Allocs) > 0
		if c.debug {
			c.logRoom(now)
		}
	}
	if due := c.state.NextDue(); due > 0 {
		if left := time.Duration(due-c.wall(now)) * time.Millisecond; left <= 0 {
			// Only one is proposed at a time: until it is applied the run stays
			// due, and each turn of the loop would add another.
			if !c.sweepInLog {
				c.sweepInLog = true
				c.add("sweep", &store.Sweep{}, func(store.Outcome, bool) { c.sweepInLog = false })
			}
		} else if left < wake {
			wake = left
		}
	}
	if c.planDue && !c.bookInLog {
		c.planDue = false
		done := c.meter.span("plan")
		plans := c.planner.Plan(c.state)
		done()
		if len(plans) > 0 {
			c.bookInLog = true
			c.add("book", &store.Book{Plans: plans}, func(store.Outcome, bool) { c.bookInLog = false })
		}
		if now.Sub(c.preemptedAt) >= tune.PushPause {
			if ids := c.planner.Pushes(c.state); len(ids) > 0 {
				c.preemptedAt = now
				_ = c.log.Log("level", "debug", "event", "runs.pushed", "runs", len(ids))
				c.add("halt", &store.Halt{Allocs: ids, Why: "pushed out"}, nil)
			}
		}
	}
	return wake
}

// becomeLeader resets what belongs to a term of leadership.
func (c *Core) becomeLeader(now time.Time) {
	c.leading, c.leadingSince, c.leadingTerm, c.clockBase = true, now, c.node.Term(), c.state.Clock
	c.memberSets, c.appointments = map[string]memberSet{}, newAppointments()
	// All sessions are synced again: before this replica led, orders may have
	// been held back for workers that it knew nothing of yet.
	c.resyncSessions()
	c.leases = map[string]*workerLease{}
	for id, worker := range c.state.Workers {
		if !worker.Dead && !worker.Lost {
			// Leases aren't in the log, and the previous leader may have
			// renewed some until this one was elected.
			c.leases[id] = &workerLease{grantedAt: now, heardAt: now}
		}
	}
	c.planDue, c.bookInLog, c.sweepInLog = true, false, false
	c.sweptAt, c.rebuiltAt = now, now
	c.wallSet = false
	if l := limits(c.settings); c.state.Limits != l {
		c.add("limits", &store.SetLimits{Limits: l}, nil)
	}
	if c.peering != nil && c.state.Epoch == "" {
		c.add("mint", &store.Mint{Epoch: c.life + "-" + c.self.ID}, nil)
	}
	c.tracker, c.planner = tracker{}, place.Planner{SaveMs: int64(c.settings.Bounds.CheckpointEveryS * 1000)}
	_ = c.log.Log("level", "info", "event", "core.lead", "term", c.node.Term(), "index", c.node.AppliedIndex())
}

// stepDown ends this replica's leadership.
func (c *Core) stepDown() {
	c.leading = false
	c.outgoing = map[string]*outgoing{}
	_ = c.log.Log("level", "info", "event", "core.resign", "term", c.node.Term())
	for i := range c.waiters {
		c.unclear(i)
	}
	for _, session := range c.sessions {
		// Side daemons whose stream is closed look for the new leader at once.
		session.stream.Close()
	}
	c.sessions = map[string]*sideSession{}
	c.leases = map[string]*workerLease{}
}

// expireLeases ends the leases of workers that were granted nothing for so long
// that all their runs must be over.
func (c *Core) expireLeases(now time.Time) {
	after := time.Duration(float64(c.leaseTime)*tune.HoldDrift) + tune.HoldMargin
	var lapsed []store.Fenced
	for id, lease := range c.leases {
		worker := c.state.Workers[id]
		if worker == nil || worker.Dead || worker.Lost {
			delete(c.leases, id)
			continue
		}
		if !lease.expiring && now.Sub(lease.grantedAt) > after {
			lease.expiring = true
			lapsed = append(lapsed, store.Fenced{ID: id, Fence: worker.Fence})
		}
	}
	if len(lapsed) > 0 {
		sort.Slice(lapsed, func(a, b int) bool { return lapsed[a].ID < lapsed[b].ID })
		_ = c.log.Log("level", "warn", "event", "worker.lapsed", "workers", len(lapsed), "first", lapsed[0].ID)
		c.add("lapse", &store.Lapse{Workers: lapsed}, nil)
	}
}

// sweep proposes the periodic clean-up of the state, with a rebuild of the
// rollups when one is due.
func (c *Core) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < tune.Sweep {
		return
	}
	c.sweptAt = now
	again := now.Sub(c.rebuiltAt) >= tune.Rollup
	if again {
		c.rebuiltAt = now
	}
	c.add("sweep", &store.Sweep{Rebuild: again}, nil)
}

// wall is the wall-clock time in milliseconds: the median of the members'
// offsets, so that a jump of this machine's clock alone has no effect.
func (c *Core) wall(now time.Time) int64 {
	steady := now.Sub(c.leadingSince).Milliseconds()
	offsets := []int64{now.UnixMilli() - steady}
	for _, w := range c.node.PeerWallClocks(now) {
		offsets = append(offsets, w-steady)
	}
	sort.Slice(offsets, func(a, b int) bool { return offsets[a] < offsets[b] })
	// The lower median is taken: to start a run too early breaks a rule, to start
	// it late does not.
	middle := offsets[(len(offsets)-1)/2]
	if !c.wallSet || len(offsets) > 1 {
		c.wallOffset, c.wallSet = middle, true
	}
	return c.wallOffset + steady
}

// updatePlanner tells the scheduler which workers are silent or sick, and how
// fast the others are.
func (c *Core) updatePlanner(now time.Time) {
	quiet, speed := map[string]bool{}, map[string]float64{}
	var ratios []int64
	for id, lease := range c.leases {
		if now.Sub(lease.heardAt) > tune.Quiet || lease.expiring {
			quiet[id] = true
		}
		if lease.ratio > 0 {
			ratios = append(ratios, lease.ratio)
		}
	}
	if len(ratios) >= 3 {
		sort.Slice(ratios, func(a, b int) bool { return ratios[a] < ratios[b] })
		median := float64(max(ratios[len(ratios)/2], 1))
		c.planner.Usual = median / 100
		for id, lease := range c.leases {
			if lease.ratio > 0 {
				speed[id] = place.Shrunk(float64(lease.ratio) / median)
			}
		}
	}
	sick := map[string]bool{}
	for id := range c.leases {
		if x, ok := c.planner.Pace(id, c.state.Clock); ok {
			speed[id] = x
		}
	}
	for id := range c.leases {
		if worker := c.state.Workers[id]; worker != nil && (worker.Sick || worker.Lost) {
			sick[id] = true
		}
	}
	c.planner.Quiet, c.planner.Sick, c.planner.Speed = quiet, sick, speed
}

// evacuate stops what still runs on workers that are about to leave: it would
// die there, and its text would be lost.
func (c *Core) evacuate(now time.Time) {
	early := c.settings.Bounds.StopGraceMs + tune.LeaveEarly.Milliseconds()
	var ids []uint64
	for _, worker := range c.state.Workers {
		if worker.Dead || worker.Lost || !worker.Draining || worker.LeavesAt == 0 || c.clock(now) < worker.LeavesAt-early {
			continue
		}
		for _, alloc := range c.state.On(worker.ID) {
			if !alloc.Stopping {
				ids = append(ids, alloc.ID)
			}
		}
	}
	if len(ids) > 0 {
		sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
		c.add("halt", &store.Halt{Allocs: ids, Why: "worker leaves"}, nil)
	}
}

package core

import (
	"sort"
	"time"

	"tealpond/internal/place"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// duty does what a leader owes; it returns when to look again.
func (c *Core) duty(now time.Time) time.Duration {
	// Another term in between had another leader, perhaps: what this one knew of
	// grants, clocks and callers is of the term before.
	if c.led && (!c.node.Ready() || c.ledTerm != c.node.Term()) {
		c.resign()
	}
	if !c.node.Ready() {
		return 0
	}
	if !c.led {
		c.lead(now)
	}
	wake := tune.Beat
	if now.Sub(c.checks) >= tune.Beat {
		c.checks = now
		c.lapses(now)
		c.swap(now)
		c.appoint(now)
		c.sweep(now)
		c.weigh(now)
		c.evacuate(now)
		c.dirty = c.dirty || len(c.planner.Quiet) > 0 || len(c.st.Allocs) > 0
		if c.debug {
			c.logRoom(now)
		}
	}
	if due := c.st.NextDue(); due > 0 {
		if left := time.Duration(due-c.wall(now)) * time.Millisecond; left <= 0 {
			// Why one at a time: until it is applied the run stays due, and
			// each turn of the loop would add another.
			if !c.moving {
				c.moving = true
				c.add("sweep", &store.Sweep{}, func(store.Outcome, bool) { c.moving = false })
			}
		} else if left < wake {
			wake = left
		}
	}
	if c.dirty && !c.booking {
		c.dirty = false
		done := c.meter.span("plan")
		ps := c.planner.Plan(c.st)
		done()
		if len(ps) > 0 {
			c.booking = true
			c.add("book", &store.Book{Plans: ps}, func(store.Outcome, bool) { c.booking = false })
		}
		if now.Sub(c.pushed) >= tune.PushPause {
			if ids := c.planner.Pushes(c.st); len(ids) > 0 {
				c.pushed = now
				_ = c.log.Log("level", "debug", "event", "runs.pushed", "runs", len(ids))
				c.add("halt", &store.Halt{Allocs: ids, Why: "pushed out"}, nil)
			}
		}
	}
	return wake
}

func (c *Core) lead(now time.Time) {
	c.led, c.ledAt, c.ledTerm, c.base = true, now, c.node.Term(), c.st.Clock
	c.sets, c.posts = map[string]seats{}, newPosts()
	// Why all anew: while this one became leader, orders may have been kept
	// back for workers that it knew nothing of yet.
	c.resync()
	c.att = map[string]*attached{}
	for id, w := range c.st.Workers {
		if !w.Dead && !w.Lost {
			// Why from here: grants aren't in the log, and the one before us
			// may have given some until our election.
			c.att[id] = &attached{granted: now, heard: now}
		}
	}
	c.dirty, c.booking, c.moving = true, false, false
	c.swept, c.rebuilt = now, now
	c.wallSet = false
	if l := limits(c.set); c.st.Limits != l {
		c.add("limits", &store.SetLimits{Limits: l}, nil)
	}
	if c.moves != nil && c.st.Epoch == "" {
		c.add("mint", &store.Mint{Epoch: c.life + "-" + c.me.Disk}, nil)
	}
	c.tracks, c.planner = tracker{}, place.Planner{SaveMs: int64(c.set.Bounds.CheckpointEveryS * 1000)}
	_ = c.log.Log("level", "info", "event", "core.lead", "term", c.node.Term(), "index", c.node.Applied())
}

func (c *Core) resign() {
	c.led = false
	c.outgoing = map[string]*outgoing{}
	_ = c.log.Log("level", "info", "event", "core.resign", "term", c.node.Term())
	for i := range c.waits {
		c.unclear(i)
	}
	for _, k := range c.kids {
		// Why closed: side daemons then look for the new leader at once.
		k.stream.Close()
	}
	c.kids = map[string]*kid{}
	c.att = map[string]*attached{}
}

// lapses notes workers that were granted nothing for so long that all they
// held must be over.
func (c *Core) lapses(now time.Time) {
	after := time.Duration(float64(c.hold)*tune.HoldDrift) + tune.HoldMargin
	var lapsed []store.Fenced
	for id, a := range c.att {
		w := c.st.Workers[id]
		if w == nil || w.Dead || w.Lost {
			delete(c.att, id)
			continue
		}
		if !a.lapsing && now.Sub(a.granted) > after {
			a.lapsing = true
			lapsed = append(lapsed, store.Fenced{ID: id, Fence: w.Fence})
		}
	}
	if len(lapsed) > 0 {
		sort.Slice(lapsed, func(a, b int) bool { return lapsed[a].ID < lapsed[b].ID })
		_ = c.log.Log("level", "warn", "event", "worker.lapsed", "workers", len(lapsed), "first", lapsed[0].ID)
		c.add("lapse", &store.Lapse{Workers: lapsed}, nil)
	}
}

func (c *Core) sweep(now time.Time) {
	if now.Sub(c.swept) < tune.Sweep {
		return
	}
	c.swept = now
	again := now.Sub(c.rebuilt) >= tune.Rollup
	if again {
		c.rebuilt = now
	}
	c.add("sweep", &store.Sweep{Rebuild: again}, nil)
}

// wall is the true time: the middle of the members' offsets, and never a lone
// jump of this one.
func (c *Core) wall(now time.Time) int64 {
	steady := now.Sub(c.ledAt).Milliseconds()
	offs := []int64{now.UnixMilli() - steady}
	for _, w := range c.node.Walls(now) {
		offs = append(offs, w-steady)
	}
	sort.Slice(offs, func(a, b int) bool { return offs[a] < offs[b] })
	// Why the lower middle: a start too early breaks a rule, a late one not.
	mid := offs[(len(offs)-1)/2]
	if !c.wallSet || len(offs) > 1 {
		c.wallOff, c.wallSet = mid, true
	}
	return c.wallOff + steady
}

// weigh tells the placer which workers are quiet and how fast the others are.
func (c *Core) weigh(now time.Time) {
	quiet, speed := map[string]bool{}, map[string]float64{}
	var all []int64
	for id, a := range c.att {
		if now.Sub(a.heard) > tune.Quiet || a.lapsing {
			quiet[id] = true
		}
		if a.ratio > 0 {
			all = append(all, a.ratio)
		}
	}
	if len(all) >= 3 {
		sort.Slice(all, func(a, b int) bool { return all[a] < all[b] })
		mid := float64(max(all[len(all)/2], 1))
		c.planner.Usual = mid / 100
		for id, a := range c.att {
			if a.ratio > 0 {
				speed[id] = place.Shrunk(float64(a.ratio) / mid)
			}
		}
	}
	sick := map[string]bool{}
	for id := range c.att {
		if x, ok := c.planner.Pace(id, c.st.Clock); ok {
			speed[id] = x
		}
	}
	for id := range c.att {
		if w := c.st.Workers[id]; w != nil && (w.Sick || w.Lost) {
			sick[id] = true
		}
	}
	c.planner.Quiet, c.planner.Sick, c.planner.Speed = quiet, sick, speed
}

// evacuate stops what still runs on workers that are about to leave: it would
// die there, and its text would be lost.
func (c *Core) evacuate(now time.Time) {
	early := c.set.Bounds.StopGraceMs + tune.LeaveEarly.Milliseconds()
	var ids []uint64
	for _, w := range c.st.Workers {
		if w.Dead || w.Lost || !w.Draining || w.LeavesAt == 0 || c.clock(now) < w.LeavesAt-early {
			continue
		}
		for _, a := range c.st.On(w.ID) {
			if !a.Stopping {
				ids = append(ids, a.ID)
			}
		}
	}
	if len(ids) > 0 {
		sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
		c.add("halt", &store.Halt{Allocs: ids, Why: "worker leaves"}, nil)
	}
}

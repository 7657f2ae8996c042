package core

import (
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/store"
	"tealpond/internal/tune"
)

// posts keeps what the leader knows of who may hold a zone's duty.
type posts struct {
	well   map[string]time.Time // since when a voter is heard
	yields map[string]time.Time // voters that end, until then
	asking map[string]bool      // zones whose change is under way
	looked time.Time
}

func newPosts() posts {
	return posts{well: map[string]time.Time{}, yields: map[string]time.Time{}, asking: map[string]bool{}}
}

// zoneOf is the zone of a core daemon, from its claim; empty if unknown.
func (c *Core) zoneOf(node string) string { return c.claims[node+"/edge"].Zone }

// able tells whether a voter may hold a duty now.
func (c *Core) able(v raft.Voter, now time.Time) bool {
	ok := v.Disk != c.me.Disk && c.node.Silent(v.Disk) < tune.DutySilent && now.After(c.posts.yields[v.Disk])
	if !ok {
		delete(c.posts.well, v.Disk)
	} else if c.posts.well[v.Disk].IsZero() {
		c.posts.well[v.Disk] = now
	}
	return ok
}

// appoint gives each zone that has workers someone to sum up its reports: a
// voter of the zone that does not lead; if there is none and the leader isn't
// of the zone itself, the one with the fewest zones.
func (c *Core) appoint(now time.Time) {
	var can []raft.Voter
	for _, v := range c.node.Voters() {
		if c.able(v, now) {
			can = append(can, v)
		}
	}
	prompt := map[string]bool{}
	held := map[string]int{}
	for _, d := range c.st.Duties {
		held[d.Disk]++
		prompt[d.Disk], prompt[d.Next] = true, true
	}
	c.node.Prompt(prompt)
	zones := map[string]bool{}
	for z := range c.st.Duties {
		zones[z] = true
	}
	if now.Sub(c.posts.looked) >= tune.Quiet {
		c.posts.looked = now
		for _, w := range c.st.Workers {
			if !w.Dead {
				zones[w.Zone] = true
			}
		}
	}
	var names []string
	for z := range zones {
		names = append(names, z)
	}
	sort.Strings(names)
	for _, z := range names {
		if !c.posts.asking[z] {
			c.appointZone(z, can, held, now)
		}
	}
}

func (c *Core) appointZone(z string, can []raft.Voter, held map[string]int, now time.Time) {
	old := c.st.Duties[z]
	inZone := func(v raft.Voter) bool { return c.zoneOf(v.Node) == z }
	rank := append([]raft.Voter(nil), can...)
	sort.SliceStable(rank, func(a, b int) bool {
		if inZone(rank[a]) != inZone(rank[b]) {
			return inZone(rank[a])
		}
		// Why the holder as it is: a change costs each side daemon a stream.
		if x, y := held[rank[a].Disk], held[rank[b].Disk]; x != y && rank[a].Disk != old.Disk && rank[b].Disk != old.Disk {
			return x < y
		}
		return rank[a].Disk == old.Disk || rank[b].Disk != old.Disk && rank[a].Disk < rank[b].Disk
	})
	d := store.Duty{Zone: z}
	mine := c.zoneOf(c.me.Node) == z || c.set.Zone == z
	if len(rank) > 0 && (inZone(rank[0]) || !mine) {
		d.Disk, d.Addr = rank[0].Disk, rank[0].Addr
		if len(rank) > 1 && (inZone(rank[1]) || !mine) {
			d.Next, d.NextAddr = rank[1].Disk, rank[1].Addr
		}
	}
	able := false
	for _, v := range can {
		able = able || v.Disk == old.Disk && v.Addr == old.Addr
	}
	switch {
	case d.Disk == old.Disk && d.Addr == old.Addr && (d.Next == old.Next && d.NextAddr == old.NextAddr || now.Sub(c.posts.well[d.Next]) < tune.DutyCalm && able):
		return
	case able && d.Disk != old.Disk && now.Sub(c.posts.well[d.Disk]) < tune.DutyCalm:
		// Why not yet: who was away a moment ago may go again.
		return
	}
	c.posts.asking[z] = true
	c.add("appoint", &store.Appoint{Duty: d, Base: old.No}, func(o store.Outcome, ok bool) {
		delete(c.posts.asking, z)
		if ok && o.Code == 200 {
			_ = c.log.Log("level", "info", "event", "duty.appointed", "zone", z, "addr", d.Addr, "next", d.NextAddr, "no", o.N)
		}
	})
}

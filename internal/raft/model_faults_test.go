package raft

import (
	"fmt"
	"time"
)

// Faults, clients and changes of voters of the model test, all by lot.

// up are the members that run.
func (w *world) up() []*member {
	var out []*member
	for _, m := range w.members {
		if m.node != nil {
			out = append(out, m)
		}
	}
	return out
}

func (w *world) anyUp() *member {
	if ms := w.up(); len(ms) > 0 {
		return ms[w.lot.Intn(len(ms))]
	}
	return nil
}

// clients sends commands and reads, to those that say they lead, and at times
// to any.
func (w *world) clients() {
	w.after(w.gap(35*time.Millisecond), w.clients)
	for _, m := range w.up() {
		if !m.node.Leads() && !w.chance(0.05) {
			continue
		}
		if w.chance(0.6) {
			w.give(m, input{read: &read{floor: w.checks.floor}})
		}
		for w.chance(0.5) {
			w.commands++
			w.give(m, input{command: fmt.Sprintf("c%d", w.commands)})
		}
	}
}

// chaos brings about the next fault.
func (w *world) chaos() {
	if w.calm {
		return
	}
	w.after(w.gap(w.profile.chaosGap), w.chaos)
	if w.chance(0.1) {
		// A while without new faults, so that the log goes on.
		w.healNet()
		w.after(w.gap(time.Second), func() {})
	}
	m := w.anyUp()
	if m == nil {
		return
	}
	faults := []struct {
		share int
		run   func(*member)
	}{
		{12, w.cutOne}, {4, w.isolate}, {4, w.partition}, {10, func(*member) { w.healNet() }}, {8, w.reconnectOne},
		{8, w.freeze}, {8, func(m *member) { w.down(m, false) }}, {8, func(m *member) { w.down(m, true) }},
		{2, w.powerLoss}, {4, w.stall}, {6, w.transfer}, {6, func(m *member) { w.give(m, input{snapshot: true}) }},
		{6, w.newChange}, {3, w.loseDisk}, {1, w.abandon}, {3, w.prompt},
	}
	sum := 0
	for _, f := range faults {
		sum += f.share
	}
	pick := w.lot.Intn(sum)
	for _, f := range faults {
		if pick -= f.share; pick < 0 {
			f.run(m)
			return
		}
	}
}

func (w *world) cutOne(m *member) {
	o := w.members[w.lot.Intn(len(w.members))]
	w.note("cut>"+o.id, m.id, 0, 0)
	w.net.link(m.id, o.id).cut = true
	if w.chance(0.5) {
		w.net.link(o.id, m.id).cut = true
	}
}

// isolate cuts a member from all others: what it says, what it hears, or both.
func (w *world) isolate(m *member) {
	way := w.lot.Intn(3)
	w.note("isolate", m.id, uint64(way), 0)
	for _, o := range w.members {
		if way != 0 {
			w.net.link(m.id, o.id).cut = true
		}
		if way != 1 {
			w.net.link(o.id, m.id).cut = true
		}
	}
}

func (w *world) partition(*member) {
	side := map[string]bool{}
	for _, m := range w.members {
		side[m.id] = w.chance(0.5)
	}
	w.note("partition", "", 0, 0)
	for _, a := range w.members {
		for _, b := range w.members {
			if side[a.id] != side[b.id] {
				w.net.link(a.id, b.id).cut = true
			}
		}
	}
}

func (w *world) healNet() {
	w.note("heal", "", 0, 0)
	for _, a := range w.members {
		for _, b := range w.members {
			w.net.link(a.id, b.id).cut = false
		}
	}
}

func (w *world) reconnectOne(m *member) {
	for _, o := range w.members {
		w.net.reconnect(m.id, o.id)
	}
}

// freeze stops a process for a while; its clock goes on.
func (w *world) freeze(m *member) {
	w.note("freeze", m.id, 0, 0)
	m.frozen = true
	life := m.life
	w.after(w.gap(700*time.Millisecond), func() {
		if m.life == life {
			w.note("thaw", m.id, 0, 0)
			m.frozen = false
			w.poke(m)
		}
	})
}

func (w *world) down(m *member, power bool) {
	w.crash(m, power)
	life := m.life
	w.after(w.gap(800*time.Millisecond), func() {
		if m.life == life && !m.lost && !m.retired {
			w.start(m)
		}
	})
}

// powerLoss takes the power from a minority, or from all.
func (w *world) powerLoss(*member) {
	all := w.chance(0.5)
	for _, m := range w.up() {
		if all || w.chance(0.4) {
			w.down(m, true)
		}
	}
}

func (w *world) stall(m *member) { m.disk.stalled = w.now + w.gap(time.Second) }

func (w *world) transfer(m *member) {
	for _, o := range w.up() {
		if o.node.Leads() {
			m = o
		}
	}
	w.give(m, input{transfer: true})
}

// prompt has a leader tell some members of each commit at once.
func (w *world) prompt(m *member) {
	some := map[string]bool{}
	for _, o := range w.members {
		some[o.id] = w.chance(0.5)
	}
	m.node.Prompt(some)
}

// newChange has the operator change the voters: replace one that lives, add
// one, or take one out.
func (w *world) newChange(m *member) {
	ids := allVoters(m.node)
	if w.change != nil || len(ids) == 0 {
		return
	}
	c := &change{}
	const replace, add, remove = 0, 1, 2
	kind := w.lot.Intn(3)
	if kind != add || len(ids) >= 5 {
		c.out = ids[w.lot.Intn(len(ids))]
	}
	if kind != remove || len(ids) == 1 {
		c.in = w.candidate().id
	}
	if c.in == c.out {
		return
	}
	w.note("want out="+c.out+" in="+c.in, "", 0, 0)
	w.change = c
}

func (w *world) newcomer() *member {
	n := w.addMember()
	w.start(n)
	return n
}

// loseDisk takes a disk away for good where every set of voters that a member
// may still rest on can bear it; the daemon comes back with an empty one, as
// another.
func (w *world) loseDisk(m *member) {
	for _, o := range w.members {
		if o.node == nil && !o.lost && !o.retired {
			return // what it knows of the voters is not seen now
		}
		if o.node == nil {
			continue
		}
		// The newest configuration may not be on any disk yet.
		n := o.node
		for _, set := range append(voterSets(n), setsOf(n.ConfAt(n.Commit()), n.OldConfAt(n.Commit()))...) {
			gone := 0
			for _, id := range set {
				if w.byID[id].lost || w.byID[id].retired || id == m.id {
					gone++
				}
			}
			if gone*2 >= len(set) && len(set) > 0 {
				return
			}
		}
	}
	w.note("disk lost", m.id, 0, 0)
	w.counts["disks lost"]++
	w.crash(m, true)
	m.lost = true
	if w.change != nil && w.change.in == m.id {
		w.change.in = w.newcomer().id
	}
}

// heal ends all faults; members that have a disk run.
func (w *world) heal() {
	w.calm = true
	w.healNet()
	w.net.quiet = true
	for _, a := range w.members {
		for _, b := range w.members {
			w.net.reconnect(a.id, b.id) // nothing waits behind a message of before
		}
	}
	for _, m := range w.members {
		m.disk.stalled = 0
		if m.frozen {
			m.frozen = false
			w.poke(m)
		}
		if m.node == nil && !m.lost && !m.retired {
			w.start(m)
		}
	}
}

package raft

import (
	"fmt"
	"time"
)

// Faults, clients and changes of voters of the model test, all by lot.

// runningMembers are the members that run.
func (w *modelWorld) runningMembers() []*modelMember {
	var out []*modelMember
	for _, m := range w.members {
		if m.node != nil {
			out = append(out, m)
		}
	}
	return out
}

func (w *modelWorld) randomRunningMember() *modelMember {
	if ms := w.runningMembers(); len(ms) > 0 {
		return ms[w.random.Intn(len(ms))]
	}
	return nil
}

// runClients sends commands and reads, to those that say they lead, and at times
// to any.
func (w *modelWorld) runClients() {
	w.schedule(w.randomDelay(35*time.Millisecond), w.runClients)
	for _, m := range w.runningMembers() {
		if !m.node.IsLeader() && !w.chance(0.05) {
			continue
		}
		if w.chance(0.6) {
			w.enqueue(m, input{read: &clientRead{floor: w.checks.readFloor}})
		}
		for w.chance(0.5) {
			w.commands++
			w.enqueue(m, input{command: fmt.Sprintf("c%d", w.commands)})
		}
	}
}

// injectFault brings about the next fault.
func (w *modelWorld) injectFault() {
	if w.faultsStopped {
		return
	}
	w.schedule(w.randomDelay(w.profile.meanFaultGap), w.injectFault)
	if w.chance(0.1) {
		// A while without new faults, so that the log goes on.
		w.healNetwork()
		w.schedule(w.randomDelay(time.Second), func() {})
	}
	m := w.randomRunningMember()
	if m == nil {
		return
	}
	faults := []struct {
		share int
		run   func(*modelMember)
	}{
		{12, w.cutLink}, {4, w.isolate}, {4, w.partition}, {10, func(*modelMember) { w.healNetwork() }}, {8, w.reconnectMember},
		{8, w.freeze}, {8, func(m *modelMember) { w.crashAndRestart(m, false) }}, {8, func(m *modelMember) { w.crashAndRestart(m, true) }},
		{2, w.powerLoss}, {4, w.stallDisk}, {6, w.transferLeadership}, {6, func(m *modelMember) { w.enqueue(m, input{snapshot: true}) }},
		{6, w.requestConfChange}, {3, w.loseDisk}, {1, w.abandonChange}, {3, w.setEagerCommitPeers},
	}
	sum := 0
	for _, f := range faults {
		sum += f.share
	}
	draw := w.random.Intn(sum)
	for _, f := range faults {
		if draw -= f.share; draw < 0 {
			f.run(m)
			return
		}
	}
}

func (w *modelWorld) cutLink(m *modelMember) {
	o := w.members[w.random.Intn(len(w.members))]
	w.note("cut>"+o.id, m.id, 0, 0)
	w.net.link(m.id, o.id).cut = true
	if w.chance(0.5) {
		w.net.link(o.id, m.id).cut = true
	}
}

// isolate cuts a member from all others: what it says, what it hears, or both.
func (w *modelWorld) isolate(m *modelMember) {
	way := w.random.Intn(3)
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

func (w *modelWorld) partition(*modelMember) {
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

func (w *modelWorld) healNetwork() {
	w.note("heal", "", 0, 0)
	for _, a := range w.members {
		for _, b := range w.members {
			w.net.link(a.id, b.id).cut = false
		}
	}
}

func (w *modelWorld) reconnectMember(m *modelMember) {
	for _, o := range w.members {
		w.net.reconnect(m.id, o.id)
	}
}

// freeze stops a process for a while; its clock goes on.
func (w *modelWorld) freeze(m *modelMember) {
	w.note("freeze", m.id, 0, 0)
	m.frozen = true
	life := m.incarnation
	w.schedule(w.randomDelay(700*time.Millisecond), func() {
		if m.incarnation == life {
			w.note("thaw", m.id, 0, 0)
			m.frozen = false
			w.scheduleTurn(m)
		}
	})
}

func (w *modelWorld) crashAndRestart(m *modelMember, power bool) {
	w.crash(m, power)
	life := m.incarnation
	w.schedule(w.randomDelay(800*time.Millisecond), func() {
		if m.incarnation == life && !m.lost && !m.retired {
			w.start(m)
		}
	})
}

// powerLoss takes the power from a minority, or from all.
func (w *modelWorld) powerLoss(*modelMember) {
	all := w.chance(0.5)
	for _, m := range w.runningMembers() {
		if all || w.chance(0.4) {
			w.crashAndRestart(m, true)
		}
	}
}

func (w *modelWorld) stallDisk(m *modelMember) {
	m.disk.stalledUntil = w.now + w.randomDelay(time.Second)
}

func (w *modelWorld) transferLeadership(m *modelMember) {
	for _, o := range w.runningMembers() {
		if o.node.IsLeader() {
			m = o
		}
	}
	w.enqueue(m, input{transfer: true})
}

// setEagerCommitPeers has a leader tell some members of each commit at once.
func (w *modelWorld) setEagerCommitPeers(m *modelMember) {
	some := map[string]bool{}
	for _, o := range w.members {
		some[o.id] = w.chance(0.5)
	}
	m.node.SetEagerCommitPeers(some)
}

// requestConfChange has the operator change the voters: replace one that lives, add
// one, or take one out.
func (w *modelWorld) requestConfChange(m *modelMember) {
	ids := allVoters(m.node)
	if w.change != nil || len(ids) == 0 {
		return
	}
	change := &voterChange{}
	const replace, add, remove = 0, 1, 2
	kind := w.random.Intn(3)
	if kind != add || len(ids) >= 5 {
		change.outgoing = ids[w.random.Intn(len(ids))]
	}
	if kind != remove || len(ids) == 1 {
		change.incoming = w.pickLearner().id
	}
	if change.incoming == change.outgoing {
		return
	}
	w.note("want out="+change.outgoing+" in="+change.incoming, "", 0, 0)
	w.change = change
}

func (w *modelWorld) addAndStartMember() *modelMember {
	n := w.addMember()
	w.start(n)
	return n
}

// loseDisk takes a disk away for good where every set of voters that a member
// may still rest on can bear it; the daemon comes back with an empty one, as
// another.
func (w *modelWorld) loseDisk(m *modelMember) {
	for _, other := range w.members {
		if other.node == nil && !other.lost && !other.retired {
			return // what it knows of the voters is not seen now
		}
		if other.node == nil {
			continue
		}
		// The newest configuration may not be on any disk yet.
		n := other.node
		for _, set := range append(currentVoterSets(n), voterIDSets(n.VotersAt(n.CommitIndex()), n.OutgoingVotersAt(n.CommitIndex()))...) {
			lost := 0
			for _, id := range set {
				if w.byID[id].lost || w.byID[id].retired || id == m.id {
					lost++
				}
			}
			if lost*2 >= len(set) && len(set) > 0 {
				return
			}
		}
	}
	w.note("disk lost", m.id, 0, 0)
	w.counts["disks lost"]++
	w.crash(m, true)
	m.lost = true
	if w.change != nil && w.change.incoming == m.id {
		w.change.incoming = w.addAndStartMember().id
	}
}

// heal ends all faults; members that have a disk run.
func (w *modelWorld) heal() {
	w.faultsStopped = true
	w.healNetwork()
	w.net.reliable = true
	for _, a := range w.members {
		for _, b := range w.members {
			w.net.reconnect(a.id, b.id) // nothing waits behind a message of before
		}
	}
	for _, m := range w.members {
		m.disk.stalledUntil = 0
		if m.frozen {
			m.frozen = false
			w.scheduleTurn(m)
		}
		if m.node == nil && !m.lost && !m.retired {
			w.start(m)
		}
	}
}

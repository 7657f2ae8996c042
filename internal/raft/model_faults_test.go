package raft

import (
	"fmt"
	"time"
)

// Faults, clients and configuration changes of the model test, all drawn at random.

// runningMembers returns the members whose process runs.
func (w *modelWorld) runningMembers() []*modelMember {
	var running []*modelMember
	for _, member := range w.members {
		if member.node != nil {
			running = append(running, member)
		}
	}
	return running
}

func (w *modelWorld) randomRunningMember() *modelMember {
	if running := w.runningMembers(); len(running) > 0 {
		return running[w.random.Intn(len(running))]
	}
	return nil
}

// runClients sends commands and reads to members that say that they lead, and at times to
// others.
func (w *modelWorld) runClients() {
	w.schedule(w.randomDelay(35*time.Millisecond), w.runClients)
	for _, member := range w.runningMembers() {
		if !member.node.IsLeader() && !w.chance(0.05) {
			continue
		}
		if w.chance(0.6) {
			w.enqueue(member, input{read: &clientRead{floor: w.checks.readFloor}})
		}
		for w.chance(0.5) {
			w.commands++
			w.enqueue(member, input{command: fmt.Sprintf("c%d", w.commands)})
		}
	}
}

// injectFault injects a fault, and schedules the next one.
func (w *modelWorld) injectFault() {
	if w.faultsStopped {
		return
	}
	w.schedule(w.randomDelay(w.profile.meanFaultGap), w.injectFault)
	if w.chance(0.1) {
		// The network works again, so that the log can grow.
		w.healNetwork()
		w.schedule(w.randomDelay(time.Second), func() {})
	}
	member := w.randomRunningMember()
	if member == nil {
		return
	}
	faults := []struct {
		share int
		run   func(*modelMember)
	}{
		{12, w.cutLink},
		{4, w.isolate},
		{4, w.partition},
		{10, func(*modelMember) { w.healNetwork() }},
		{8, w.reconnectMember},
		{8, w.freeze},
		{8, func(member *modelMember) { w.crashAndRestart(member, false) }},
		{8, func(member *modelMember) { w.crashAndRestart(member, true) }},
		{2, w.powerLoss},
		{4, w.stallDisk},
		{6, w.transferLeadership},
		{6, func(member *modelMember) { w.enqueue(member, input{snapshot: true}) }},
		{6, w.requestConfChange},
		{3, w.loseDisk},
		{1, w.abandonChange},
		{3, w.setEagerCommitPeers},
	}
	sum := 0
	for _, fault := range faults {
		sum += fault.share
	}
	draw := w.random.Intn(sum)
	for _, fault := range faults {
		if draw -= fault.share; draw < 0 {
			fault.run(member)
			return
		}
	}
}

func (w *modelWorld) cutLink(member *modelMember) {
	other := w.members[w.random.Intn(len(w.members))]
	w.note("cut>"+other.id, member.id, 0, 0)
	w.net.link(member.id, other.id).cut = true
	if w.chance(0.5) {
		w.net.link(other.id, member.id).cut = true
	}
}

// isolate cuts what a member sends, what it receives, or both.
func (w *modelWorld) isolate(member *modelMember) {
	direction := w.random.Intn(3)
	w.note("isolate", member.id, uint64(direction), 0)
	for _, other := range w.members {
		if direction != 0 {
			w.net.link(member.id, other.id).cut = true
		}
		if direction != 1 {
			w.net.link(other.id, member.id).cut = true
		}
	}
}

func (w *modelWorld) partition(*modelMember) {
	side := map[string]bool{}
	for _, member := range w.members {
		side[member.id] = w.chance(0.5)
	}
	w.note("partition", "", 0, 0)
	for _, from := range w.members {
		for _, to := range w.members {
			if side[from.id] != side[to.id] {
				w.net.link(from.id, to.id).cut = true
			}
		}
	}
}

func (w *modelWorld) healNetwork() {
	w.note("heal", "", 0, 0)
	for _, from := range w.members {
		for _, to := range w.members {
			w.net.link(from.id, to.id).cut = false
		}
	}
}

func (w *modelWorld) reconnectMember(member *modelMember) {
	for _, other := range w.members {
		w.net.reconnect(member.id, other.id)
	}
}

// freeze pauses a process for a while; its clock goes on.
func (w *modelWorld) freeze(member *modelMember) {
	w.note("freeze", member.id, 0, 0)
	member.frozen = true
	incarnation := member.incarnation
	w.schedule(w.randomDelay(700*time.Millisecond), func() {
		if member.incarnation == incarnation {
			w.note("thaw", member.id, 0, 0)
			member.frozen = false
			w.scheduleTurn(member)
		}
	})
}

func (w *modelWorld) crashAndRestart(member *modelMember, power bool) {
	w.crash(member, power)
	incarnation := member.incarnation
	w.schedule(w.randomDelay(800*time.Millisecond), func() {
		if member.incarnation == incarnation && !member.lost && !member.retired {
			w.start(member)
		}
	})
}

// powerLoss takes the power from some members, or from all.
func (w *modelWorld) powerLoss(*modelMember) {
	all := w.chance(0.5)
	for _, member := range w.runningMembers() {
		if all || w.chance(0.4) {
			w.crashAndRestart(member, true)
		}
	}
}

func (w *modelWorld) stallDisk(member *modelMember) {
	member.disk.stalledUntil = w.now + w.randomDelay(time.Second)
}

func (w *modelWorld) transferLeadership(member *modelMember) {
	for _, other := range w.runningMembers() {
		if other.node.IsLeader() {
			member = other
		}
	}
	w.enqueue(member, input{transfer: true})
}

// setEagerCommitPeers lets a member tell some others of each commit at once.
func (w *modelWorld) setEagerCommitPeers(member *modelMember) {
	peers := map[string]bool{}
	for _, other := range w.members {
		peers[other.id] = w.chance(0.5)
	}
	member.node.SetEagerCommitPeers(peers)
}

// requestConfChange lets the operator replace a voter, add one, or remove one.
func (w *modelWorld) requestConfChange(member *modelMember) {
	ids := allVoters(member.node)
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
	member := w.addMember()
	w.start(member)
	return member
}

// loseDisk takes a member's disk away, if every set of voters that any member may still
// use keeps a majority; the daemon comes back with an empty disk, as another member.
func (w *modelWorld) loseDisk(member *modelMember) {
	for _, other := range w.members {
		if other.node == nil && !other.lost && !other.retired {
			return // the configuration on its disk is not known now
		}
		if other.node == nil {
			continue
		}
		// The newest configuration may not be on any disk yet.
		node := other.node
		committed := voterIDSets(node.VotersAt(node.CommitIndex()), node.OutgoingVotersAt(node.CommitIndex()))
		for _, set := range append(currentVoterSets(node), committed...) {
			lost := 0
			for _, id := range set {
				if w.byID[id].lost || w.byID[id].retired || id == member.id {
					lost++
				}
			}
			if lost*2 >= len(set) && len(set) > 0 {
				return
			}
		}
	}
	w.note("disk lost", member.id, 0, 0)
	w.counts["disks lost"]++
	w.crash(member, true)
	member.lost = true
	if w.change != nil && w.change.incoming == member.id {
		w.change.incoming = w.addAndStartMember().id
	}
}

// heal ends all faults and starts all members that have a disk.
func (w *modelWorld) heal() {
	w.faultsStopped = true
	w.healNetwork()
	w.net.reliable = true
	for _, from := range w.members {
		for _, to := range w.members {
			w.net.reconnect(from.id, to.id) // no message waits for an earlier one
		}
	}
	for _, member := range w.members {
		member.disk.stalledUntil = 0
		if member.frozen {
			member.frozen = false
			w.scheduleTurn(member)
		}
		if member.node == nil && !member.lost && !member.retired {
			w.start(member)
		}
	}
}

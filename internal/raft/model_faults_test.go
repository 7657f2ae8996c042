package raft

import (
	"fmt"
	"time"
)

// Randomly generated faults, client requests and configuration changes of the model test.

// runningMembers returns the members whose process is running.
func (c *modelCluster) runningMembers() []*modelMember {
	var running []*modelMember
	for _, member := range c.members {
		if member.node != nil {
			running = append(running, member)
		}
	}
	return running
}

func (c *modelCluster) randomRunningMember() *modelMember {
	if running := c.runningMembers(); len(running) > 0 {
		return running[c.random.Intn(len(running))]
	}
	return nil
}

// runClients sends commands and reads to members that consider themselves leader, and
// occasionally to others.
func (c *modelCluster) runClients() {
	c.schedule(c.randomDelay(35*time.Millisecond), c.runClients)
	for _, member := range c.runningMembers() {
		if !member.node.IsLeader() && !c.chance(0.05) {
			continue
		}
		if c.chance(0.6) {
			c.enqueue(member, input{read: &clientRead{minIndex: c.checks.minReadIndex}})
		}
		for c.chance(0.5) {
			c.commands++
			c.enqueue(member, input{command: fmt.Sprintf("c%d", c.commands)})
		}
	}
}

// injectFault injects a fault, and schedules the next one.
func (c *modelCluster) injectFault() {
	if c.faultsStopped {
		return
	}
	c.schedule(c.randomDelay(c.profile.meanFaultGap), c.injectFault)
	if c.chance(0.1) {
		// Restore the network, so that the log can grow.
		c.healNetwork()
		c.schedule(c.randomDelay(time.Second), func() {})
	}
	member := c.randomRunningMember()
	if member == nil {
		return
	}
	faults := []struct {
		share int
		run   func(*modelMember)
	}{
		{12, c.cutLink},
		{4, c.isolate},
		{4, c.partition},
		{10, func(*modelMember) { c.healNetwork() }},
		{8, c.reconnectMember},
		{8, c.pause},
		{8, func(member *modelMember) { c.crashAndRestart(member, false) }},
		{8, func(member *modelMember) { c.crashAndRestart(member, true) }},
		{2, c.powerLoss},
		{4, c.stallDisk},
		{6, c.transferLeadership},
		{6, func(member *modelMember) { c.enqueue(member, input{snapshot: true}) }},
		{6, c.requestConfChange},
		{3, c.loseDisk},
		{1, c.abandonChange},
		{3, c.setEagerCommitPeers},
	}
	sum := 0
	for _, fault := range faults {
		sum += fault.share
	}
	draw := c.random.Intn(sum)
	for _, fault := range faults {
		if draw -= fault.share; draw < 0 {
			fault.run(member)
			return
		}
	}
}

func (c *modelCluster) cutLink(member *modelMember) {
	other := c.members[c.random.Intn(len(c.members))]
	c.recordEvent("cut>"+other.id, member.id, 0, 0)
	c.net.link(member.id, other.id).cut = true
	if c.chance(0.5) {
		c.net.link(other.id, member.id).cut = true
	}
}

// isolate cuts a member's outgoing links, its incoming links, or both.
func (c *modelCluster) isolate(member *modelMember) {
	direction := c.random.Intn(3)
	c.recordEvent("isolate", member.id, uint64(direction), 0)
	for _, other := range c.members {
		if direction != 0 {
			c.net.link(member.id, other.id).cut = true
		}
		if direction != 1 {
			c.net.link(other.id, member.id).cut = true
		}
	}
}

func (c *modelCluster) partition(*modelMember) {
	side := map[string]bool{}
	for _, member := range c.members {
		side[member.id] = c.chance(0.5)
	}
	c.recordEvent("partition", "", 0, 0)
	for _, from := range c.members {
		for _, to := range c.members {
			if side[from.id] != side[to.id] {
				c.net.link(from.id, to.id).cut = true
			}
		}
	}
}

func (c *modelCluster) healNetwork() {
	c.recordEvent("heal", "", 0, 0)
	for _, from := range c.members {
		for _, to := range c.members {
			c.net.link(from.id, to.id).cut = false
		}
	}
}

func (c *modelCluster) reconnectMember(member *modelMember) {
	for _, other := range c.members {
		c.net.reconnect(member.id, other.id)
	}
}

// pause suspends a process for a random time. Its clock keeps running.
func (c *modelCluster) pause(member *modelMember) {
	c.recordEvent("pause", member.id, 0, 0)
	member.paused = true
	incarnation := member.incarnation
	c.schedule(c.randomDelay(700*time.Millisecond), func() {
		if member.incarnation == incarnation {
			c.recordEvent("resume", member.id, 0, 0)
			member.paused = false
			c.scheduleIteration(member)
		}
	})
}

func (c *modelCluster) crashAndRestart(member *modelMember, powerLoss bool) {
	c.crash(member, powerLoss)
	incarnation := member.incarnation
	c.schedule(c.randomDelay(800*time.Millisecond), func() {
		if member.incarnation == incarnation && !member.lost && !member.retired {
			c.start(member)
		}
	})
}

// powerLoss simulates a power loss of some or all members.
func (c *modelCluster) powerLoss(*modelMember) {
	all := c.chance(0.5)
	for _, member := range c.runningMembers() {
		if all || c.chance(0.4) {
			c.crashAndRestart(member, true)
		}
	}
}

func (c *modelCluster) stallDisk(member *modelMember) {
	member.disk.stalledUntil = c.now + c.randomDelay(time.Second)
}

func (c *modelCluster) transferLeadership(member *modelMember) {
	for _, other := range c.runningMembers() {
		if other.node.IsLeader() {
			member = other
		}
	}
	c.enqueue(member, input{transfer: true})
}

// setEagerCommitPeers makes a member send new commit indexes immediately to some other members.
func (c *modelCluster) setEagerCommitPeers(member *modelMember) {
	peers := map[string]bool{}
	for _, other := range c.members {
		peers[other.id] = c.chance(0.5)
	}
	member.node.SetEagerCommitPeers(peers)
}

// requestConfChange requests to replace, add or remove a voter, as an operator would.
func (c *modelCluster) requestConfChange(member *modelMember) {
	ids := allVoters(member.node)
	if c.change != nil || len(ids) == 0 {
		return
	}
	change := &voterChange{}
	const replace, add, remove = 0, 1, 2
	kind := c.random.Intn(3)
	if kind != add || len(ids) >= 5 {
		change.outgoing = ids[c.random.Intn(len(ids))]
	}
	if kind != remove || len(ids) == 1 {
		change.incoming = c.pickLearner().id
	}
	if change.incoming == change.outgoing {
		return
	}
	c.recordEvent("change requested out="+change.outgoing+" in="+change.incoming, "", 0, 0)
	c.change = change
}

func (c *modelCluster) addAndStartMember() *modelMember {
	member := c.addMember()
	c.start(member)
	return member
}

// loseDisk destroys a member's disk, unless that would leave a set of voters that some
// member may still use without a majority. The daemon rejoins with an empty disk, as
// another member.
func (c *modelCluster) loseDisk(member *modelMember) {
	for _, other := range c.members {
		if other.node == nil && !other.lost && !other.retired {
			return // the configuration on its disk is unknown
		}
		if other.node == nil {
			continue
		}
		// The latest configuration may not be on any disk yet, so the committed one counts too.
		node := other.node
		committed := voterIDSets(node.VotersAt(node.CommitIndex()), node.OutgoingVotersAt(node.CommitIndex()))
		for _, set := range append(currentVoterSets(node), committed...) {
			lost := 0
			for _, id := range set {
				if c.byID[id].lost || c.byID[id].retired || id == member.id {
					lost++
				}
			}
			if lost*2 >= len(set) && len(set) > 0 {
				return
			}
		}
	}
	c.recordEvent("disk lost", member.id, 0, 0)
	c.counts["disks lost"]++
	c.crash(member, true)
	member.lost = true
	if c.change != nil && c.change.incoming == member.id {
		c.change.incoming = c.addAndStartMember().id
	}
}

// heal ends all faults and starts all stopped members that are neither retired nor lost.
func (c *modelCluster) heal() {
	c.faultsStopped = true
	c.healNetwork()
	c.net.reliable = true
	for _, from := range c.members {
		for _, to := range c.members {
			c.net.reconnect(from.id, to.id) // new messages don't queue behind delayed ones
		}
	}
	for _, member := range c.members {
		member.disk.stalledUntil = 0
		if member.paused {
			member.paused = false
			c.scheduleIteration(member)
		}
		if member.node == nil && !member.lost && !member.retired {
			c.start(member)
		}
	}
}

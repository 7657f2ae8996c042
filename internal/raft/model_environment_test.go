package raft

import (
	"encoding/binary"
	"time"
)

// Simulated disk, network and state machine of the model test.

// stateMachine is the replicated state: a digest of all applied entries.
type stateMachine struct {
	index    uint64 // of the last applied entry
	lastData uint64 // of the last applied command
	digest   uint64
}

func (s stateMachine) apply(entry Entry) stateMachine {
	s.index = entry.Index
	if entry.Kind != EntryNormal {
		return s
	}
	s.lastData = entry.Index
	s.digest = s.digest*1099511628211 ^ hashEntry(entry)
	return s
}

func (s stateMachine) encode() []byte {
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], s.index)
	binary.BigEndian.PutUint64(b[8:], s.lastData)
	binary.BigEndian.PutUint64(b[16:], s.digest)
	return b[:]
}

func decodeStateMachine(b []byte) stateMachine {
	if len(b) < 24 {
		return stateMachine{}
	}
	return stateMachine{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])}
}

func hashEntry(entry Entry) uint64 {
	hash := uint64(14695981039346656037)
	for _, x := range []uint64{entry.Index, entry.Term, uint64(entry.Kind)} {
		hash = (hash ^ x) * 1099511628211
	}
	for _, x := range entry.Data {
		hash = (hash ^ uint64(x)) * 1099511628211
	}
	return hash
}

// diskWrite is one write: a Ready of the node, or a snapshot that the member created.
type diskWrite struct {
	ready    Ready
	snapshot *Snapshot
}

// modelDisk holds the synced contents of a disk, and the writes that aren't synced yet.
type modelDisk struct {
	hardState    HardState
	commit       uint64
	snapshot     Snapshot
	log          []Entry
	queued       []diskWrite // not started
	inFlight     []diskWrite // being written
	written      bool        // the write in flight has reached the operating system, but isn't synced
	stalledUntil time.Duration
}

// recoveredDisk is the state that a member recovers from its disk when it starts.
type recoveredDisk struct {
	hardState HardState
	commit    uint64
	snapshot  Snapshot
	log       []Entry
}

// apply makes one write durable, as package storage does, unless a mutation changes that.
func (d *modelDisk) apply(write diskWrite, mutation string) {
	if write.ready.HardState != nil {
		d.hardState = *write.ready.HardState
	}
	d.commit = max(d.commit, write.ready.CommitIndex)
	if write.snapshot != nil {
		d.snapshot = *write.snapshot
		d.log = entriesAfter(d.log, d.snapshot.Index)
		if mutation == mutationDropSuffix {
			d.log = nil
		}
	}
	if write.ready.Snapshot != nil {
		d.snapshot, d.log = *write.ready.Snapshot, nil
	}
	for _, entry := range write.ready.Entries {
		if mutation == mutationSingleMajority {
			entry = withoutOutgoingVoters(entry)
		}
		keep := len(d.log)
		for keep > 0 && d.log[keep-1].Index >= entry.Index {
			keep--
		}
		d.log = append(d.log[:keep:keep], entry)
	}
}

// entriesAfter returns the entries after an index.
func entriesAfter(log []Entry, index uint64) []Entry {
	var after []Entry
	for _, entry := range log {
		if entry.Index > index {
			after = append(after, entry)
		}
	}
	return after
}

// holds reports whether an entry is durable, in the log or in the snapshot.
func (d *modelDisk) holds(index, term uint64) bool {
	if index <= d.snapshot.Index {
		return true
	}
	for i := len(d.log) - 1; i >= 0; i-- {
		if d.log[i].Index == index {
			return d.log[i].Term == term
		}
	}
	return false
}

func (d *modelDisk) queueWrite(cluster *modelCluster, member *modelMember, write diskWrite) {
	if cluster.mutation.name == mutationEarlySync {
		// The write is reported as synced before it is.
		cluster.schedule(0, func() { cluster.enqueue(member, input{written: []diskWrite{write}}) })
		member.writesInFlight++
		content := Ready{HardState: write.ready.HardState, Entries: write.ready.Entries, Snapshot: write.ready.Snapshot, CommitIndex: write.ready.CommitIndex}
		d.queued = append(d.queued, diskWrite{ready: content, snapshot: write.snapshot})
		d.startWrite(cluster, member)
		return
	}
	d.queued = append(d.queued, write)
	d.startWrite(cluster, member)
}

// startWrite starts the next write, which includes all queued ones.
func (d *modelDisk) startWrite(cluster *modelCluster, member *modelMember) {
	if d.inFlight != nil || len(d.queued) == 0 {
		return
	}
	d.inFlight, d.queued, d.written = d.queued, nil, false
	incarnation := member.incarnation
	writeTime := cluster.randomDelay(cluster.profile.syncTime / 2)
	if d.stalledUntil > cluster.now {
		writeTime += d.stalledUntil - cluster.now
	}
	cluster.schedule(writeTime, func() {
		if member.incarnation == incarnation {
			d.written = true
		}
	})
	cluster.schedule(writeTime+cluster.randomDelay(cluster.profile.syncTime/2), func() {
		if member.incarnation != incarnation {
			return
		}
		done := d.inFlight
		for _, write := range done {
			d.apply(write, cluster.mutation.name)
		}
		d.inFlight = nil
		if cluster.mutation.name != mutationEarlySync {
			cluster.enqueue(member, input{written: done})
		}
		d.startWrite(cluster, member)
	})
}

// crash decides how much of the write in flight becomes durable. Without power loss, all of
// it does if it has reached the operating system. Otherwise a random prefix does, which is
// often empty.
func (d *modelDisk) crash(cluster *modelCluster, powerLoss bool) {
	keep := 0
	switch {
	case !powerLoss && d.written:
		keep = len(d.inFlight)
	case cluster.chance(0.5):
		keep = cluster.random.Intn(len(d.inFlight) + 1)
	}
	for _, write := range d.inFlight[:keep] {
		d.apply(write, cluster.mutation.name)
	}
	d.inFlight, d.queued, d.written = nil, nil, false
}

// recoverContents returns the state that a starting member finds on the disk. Some mutations
// corrupt it first.
func (d *modelDisk) recoverContents(cluster *modelCluster) recoveredDisk {
	switch cluster.mutation.name {
	case mutationLoseHardState:
		if cluster.chance(0.5) {
			d.hardState = HardState{}
		}
	case mutationCommitAhead:
		d.commit += uint64(cluster.random.Intn(4))
	case mutationLoseMiddleEntry:
		if n := len(d.log); n > 2 && cluster.chance(0.5) {
			i := 1 + cluster.random.Intn(n-2)
			d.log = append(d.log[:i:i], d.log[i+1:]...)
		}
	case mutationLoseLastEntries:
		if n := len(d.log); n > 0 && cluster.chance(0.5) {
			d.log = d.log[:n-1-cluster.random.Intn(min(n, 3))]
		}
	}
	return recoveredDisk{d.hardState, d.commit, d.snapshot, append([]Entry(nil), d.log...)}
}

// modelLink is the network link from one member to another.
type modelLink struct {
	cut             bool
	earliestArrival time.Duration // earliest arrival time of the next message of this connection
	connection      int           // number of the current connection
}

// modelNetwork loses, delays and duplicates messages.
type modelNetwork struct {
	cluster  *modelCluster
	links    map[string]*modelLink
	reliable bool // no message is lost, duplicated or delayed
}

func (n *modelNetwork) link(from, to string) *modelLink {
	link := n.links[from+">"+to]
	if link == nil {
		link = &modelLink{}
		n.links[from+">"+to] = link
	}
	return link
}

// sendAll checks and sends messages.
func (n *modelNetwork) sendAll(member *modelMember, messages []Message) {
	sortByReceiver(messages)
	for _, message := range messages {
		n.cluster.checks.onSend(member, message)
		if n.cluster.mutation.alterMessage != nil && !n.cluster.mutation.alterMessage(n.cluster, &message) {
			continue
		}
		n.send(message)
	}
}

func (n *modelNetwork) send(message Message) {
	cluster, profile := n.cluster, n.cluster.profile
	link := n.link(message.From, message.To)
	if link.cut || !n.reliable && cluster.chance(profile.lossShare) {
		return
	}
	arrival := cluster.now + 200*time.Microsecond + cluster.randomDelay(time.Millisecond)
	if !n.reliable && cluster.chance(profile.delayedShare) {
		mean := 300 * time.Millisecond
		if cluster.chance(0.2) {
			mean = 3 * time.Second // long enough for elections to take place meanwhile
		}
		arrival += cluster.randomDelay(mean)
	}
	if profile.ordered {
		arrival = max(arrival, link.earliestArrival)
		link.earliestArrival = arrival
	}
	n.deliver(link, message, arrival)
	if !n.reliable && cluster.chance(profile.duplicateShare) {
		n.deliver(link, message, arrival+cluster.randomDelay(400*time.Millisecond))
	}
}

func (n *modelNetwork) deliver(link *modelLink, message Message, arrival time.Duration) {
	cluster := n.cluster
	connection := link.connection
	cluster.schedule(arrival-cluster.now, func() {
		if link.cut || connection != link.connection && cluster.chance(0.5) {
			return
		}
		if member := cluster.byID[message.To]; member != nil && member.node != nil {
			cluster.enqueue(member, input{message: &message})
		}
	})
}

// reconnect starts a new connection. Messages in flight on the old one may be lost, or may
// arrive after those of the new one.
func (n *modelNetwork) reconnect(from, to string) {
	link := n.link(from, to)
	link.connection++
	link.earliestArrival = 0
}

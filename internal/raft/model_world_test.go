package raft

import (
	"encoding/binary"
	"time"
)

// Disk, network and state machine of the model test.

// stateMachine is the replicated state: what was applied, as a digest.
type stateMachine struct {
	index    uint64 // of the newest entry
	lastData uint64 // of the newest command
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

// diskWrite is one write: a Ready of the node, or a snapshot that the member took.
type diskWrite struct {
	ready    Ready
	snapshot *Snapshot
}

// modelDisk holds what is synced, and the writes that are not.
type modelDisk struct {
	hardState    HardState
	commit       uint64
	snapshot     Snapshot
	log          []Entry
	waiting      []diskWrite // not begun
	inFlight     []diskWrite // in the write that is under way
	written      bool        // this write has reached the operating system, and is not synced
	stalledUntil time.Duration
}

// recoveredDisk is what a member finds on its disk when it starts.
type recoveredDisk struct {
	hardState HardState
	commit    uint64
	snapshot  Snapshot
	log       []Entry
}

// apply makes one write durable, as the package storage does, but for a mutation.
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

// entriesAfter returns the entries above an index.
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

func (d *modelDisk) add(world *modelWorld, member *modelMember, write diskWrite) {
	if world.mutation.name == mutationEarlySync {
		// The mutation: the write is reported as synced before it is.
		world.schedule(0, func() { world.enqueue(member, input{written: []diskWrite{write}}) })
		member.writesInFlight++
		content := Ready{HardState: write.ready.HardState, Entries: write.ready.Entries, Snapshot: write.ready.Snapshot, CommitIndex: write.ready.CommitIndex}
		d.waiting = append(d.waiting, diskWrite{ready: content, snapshot: write.snapshot})
		d.startWrite(world, member)
		return
	}
	d.waiting = append(d.waiting, write)
	d.startWrite(world, member)
}

// startWrite begins the next write with all that wait.
func (d *modelDisk) startWrite(world *modelWorld, member *modelMember) {
	if d.inFlight != nil || len(d.waiting) == 0 {
		return
	}
	d.inFlight, d.waiting, d.written = d.waiting, nil, false
	incarnation := member.incarnation
	writeTime := world.randomDelay(world.profile.syncTime / 2)
	if d.stalledUntil > world.now {
		writeTime += d.stalledUntil - world.now
	}
	world.schedule(writeTime, func() {
		if member.incarnation == incarnation {
			d.written = true
		}
	})
	world.schedule(writeTime+world.randomDelay(world.profile.syncTime/2), func() {
		if member.incarnation != incarnation {
			return
		}
		done := d.inFlight
		for _, write := range done {
			d.apply(write, world.mutation.name)
		}
		d.inFlight = nil
		if world.mutation.name != mutationEarlySync {
			world.enqueue(member, input{written: done})
		}
		d.startWrite(world, member)
	})
}

// crash decides how much of the write under way is durable: a kill keeps what the
// operating system has, a loss of power any prefix, often nothing.
func (d *modelDisk) crash(world *modelWorld, power bool) {
	keep := 0
	switch {
	case !power && d.written:
		keep = len(d.inFlight)
	case world.chance(0.5):
		keep = world.random.Intn(len(d.inFlight) + 1)
	}
	for _, write := range d.inFlight[:keep] {
		d.apply(write, world.mutation.name)
	}
	d.inFlight, d.waiting, d.written = nil, nil, false
}

// open returns what a start finds, after what a mutation removes.
func (d *modelDisk) open(world *modelWorld) recoveredDisk {
	switch world.mutation.name {
	case mutationForgetVote:
		if world.chance(0.5) {
			d.hardState = HardState{}
		}
	case mutationCommitAhead:
		d.commit += uint64(world.random.Intn(4))
	case mutationForgetMiddle:
		if n := len(d.log); n > 2 && world.chance(0.5) {
			i := 1 + world.random.Intn(n-2)
			d.log = append(d.log[:i:i], d.log[i+1:]...)
		}
	case mutationForgetTail:
		if n := len(d.log); n > 0 && world.chance(0.5) {
			d.log = d.log[:n-1-world.random.Intn(min(n, 3))]
		}
	}
	return recoveredDisk{d.hardState, d.commit, d.snapshot, append([]Entry(nil), d.log...)}
}

// modelLink is the way of messages from one member to another.
type modelLink struct {
	cut        bool
	earliest   time.Duration // no message of this connection arrives earlier
	connection int           // number of the connection
}

// modelNetwork loses, delays and duplicates messages.
type modelNetwork struct {
	world    *modelWorld
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

// post sends messages that may leave now.
func (n *modelNetwork) post(member *modelMember, messages []Message) {
	sortByReceiver(messages)
	for _, message := range messages {
		n.world.checks.posted(member, message)
		if n.world.mutation.alterMessage != nil && !n.world.mutation.alterMessage(n.world, &message) {
			continue
		}
		n.send(message)
	}
}

func (n *modelNetwork) send(message Message) {
	world, profile := n.world, n.world.profile
	link := n.link(message.From, message.To)
	if link.cut || !n.reliable && world.chance(profile.lossShare) {
		return
	}
	arrival := world.now + 200*time.Microsecond + world.randomDelay(time.Millisecond)
	if !n.reliable && world.chance(profile.delayedShare) {
		mean := 300 * time.Millisecond
		if world.chance(0.2) {
			mean = 3 * time.Second // past elections
		}
		arrival += world.randomDelay(mean)
	}
	if profile.ordered {
		arrival = max(arrival, link.earliest)
		link.earliest = arrival
	}
	n.deliver(link, message, arrival)
	if !n.reliable && world.chance(profile.duplicateShare) {
		n.deliver(link, message, arrival+world.randomDelay(400*time.Millisecond))
	}
}

func (n *modelNetwork) deliver(link *modelLink, message Message, arrival time.Duration) {
	world := n.world
	connection := link.connection
	world.schedule(arrival-world.now, func() {
		if link.cut || connection != link.connection && world.chance(0.5) {
			return
		}
		if member := world.byID[message.To]; member != nil && member.node != nil {
			world.enqueue(member, input{message: &message})
		}
	})
}

// reconnect starts a new connection: messages under way may be lost, and may arrive
// after those of the new one.
func (n *modelNetwork) reconnect(from, to string) {
	link := n.link(from, to)
	link.connection++
	link.earliest = 0
}

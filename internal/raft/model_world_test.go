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

func (s stateMachine) apply(e Entry) stateMachine {
	s.index = e.Index
	if e.Kind != EntryNormal {
		return s
	}
	s.lastData = e.Index
	s.digest = s.digest*1099511628211 ^ hashEntry(e)
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

func hashEntry(e Entry) uint64 {
	h := uint64(14695981039346656037)
	for _, x := range []uint64{e.Index, e.Term, uint64(e.Kind)} {
		h = (h ^ x) * 1099511628211
	}
	for _, x := range e.Data {
		h = (h ^ uint64(x)) * 1099511628211
	}
	return h
}

// diskWrite is one write: an out of the node, or a snapshot of its own.
type diskWrite struct {
	ready    Ready
	snapshot *Snapshot
}

// modelDisk holds what is synced, and what is on its way to it.
type modelDisk struct {
	hardState    HardState
	snapshot     Snapshot
	log          []Entry
	waiting      []diskWrite // in the process
	inFlight     []diskWrite // in one write
	written      bool        // the write reached the system, the sync is not over
	stalledUntil time.Duration
}

type recoveredDisk struct {
	hardState HardState
	snapshot  Snapshot
	log       []Entry
}

// apply makes one job lasting, as disk.write does, but for a planted break.
func (d *modelDisk) apply(write diskWrite, mutation string) {
	if write.ready.HardState != nil {
		d.hardState = *write.ready.HardState
	}
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
	for _, e := range write.ready.Entries {
		if mutation == mutationSingleMajority {
			e = withoutOutgoingVoters(e)
		}
		keep := len(d.log)
		for keep > 0 && d.log[keep-1].Index >= e.Index {
			keep--
		}
		d.log = append(d.log[:keep:keep], e)
	}
}

func entriesAfter(log []Entry, index uint64) []Entry {
	var out []Entry
	for _, e := range log {
		if e.Index > index {
			out = append(out, e)
		}
	}
	return out
}

// holds tells whether an entry is on the disk for sure; a snapshot above it
// counts as holding it.
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
		// The break: the write is said to be synced before it is.
		world.schedule(0, func() { world.enqueue(member, input{written: []diskWrite{write}}) })
		member.writesInFlight++
		d.waiting = append(d.waiting, diskWrite{ready: Ready{HardState: write.ready.HardState, Entries: write.ready.Entries, Snapshot: write.ready.Snapshot}, snapshot: write.snapshot})
		d.startWrite(world, member)
		return
	}
	d.waiting = append(d.waiting, write)
	d.startWrite(world, member)
}

// startWrite starts the next write with all that waits.
func (d *modelDisk) startWrite(world *modelWorld, member *modelMember) {
	if d.inFlight != nil || len(d.waiting) == 0 {
		return
	}
	d.inFlight, d.waiting, d.written = d.waiting, nil, false
	life := member.incarnation
	half := world.randomDelay(world.profile.syncTime / 2)
	if d.stalledUntil > world.now {
		half += d.stalledUntil - world.now
	}
	world.schedule(half, func() {
		if member.incarnation == life {
			d.written = true
		}
	})
	world.schedule(half+world.randomDelay(world.profile.syncTime/2), func() {
		if member.incarnation != life {
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

// crash decides what of the write under way is there: a kill keeps what the
// system has, a loss of power any prefix, often nothing.
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

// open is what a start finds.
func (d *modelDisk) open(world *modelWorld, member *modelMember) recoveredDisk {
	switch world.mutation.name {
	case mutationForgetVote:
		if world.chance(0.5) {
			d.hardState = HardState{}
		}
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
	return recoveredDisk{d.hardState, d.snapshot, append([]Entry(nil), d.log...)}
}

// modelLink is the way from one member to another.
type modelLink struct {
	cut        bool
	earliest   time.Duration // nothing of this connection comes earlier
	connection int           // counts the connections
}

type modelNetwork struct {
	w        *modelWorld
	links    map[string]*modelLink
	reliable bool // no message is lost, doubled or late
}

func (n *modelNetwork) link(from, to string) *modelLink {
	l := n.links[from+">"+to]
	if l == nil {
		l = &modelLink{}
		n.links[from+">"+to] = l
	}
	return l
}

// post sends messages that may be sent now.
func (n *modelNetwork) post(m *modelMember, ms []Message) {
	sortByReceiver(ms)
	for _, x := range ms {
		n.w.checks.posted(m, x)
		if n.w.mutation.alterMessage != nil && !n.w.mutation.alterMessage(n.w, &x) {
			continue
		}
		n.send(x)
	}
}

func (n *modelNetwork) send(x Message) {
	w, p := n.w, n.w.profile
	l := n.link(x.From, x.To)
	if l.cut || !n.reliable && w.chance(p.lossShare) {
		return
	}
	at := w.now + 200*time.Microsecond + w.randomDelay(time.Millisecond)
	if !n.reliable && w.chance(p.delayedShare) {
		mean := 300 * time.Millisecond
		if w.chance(0.2) {
			mean = 3 * time.Second // past elections
		}
		at += w.randomDelay(mean)
	}
	if p.ordered {
		at = max(at, l.earliest)
		l.earliest = at
	}
	n.deliver(l, x, at)
	if !n.reliable && w.chance(p.duplicateShare) {
		n.deliver(l, x, at+w.randomDelay(400*time.Millisecond))
	}
}

func (n *modelNetwork) deliver(l *modelLink, x Message, at time.Duration) {
	w := n.w
	stream := l.connection
	w.schedule(at-w.now, func() {
		if l.cut || stream != l.connection && w.chance(0.5) {
			return
		}
		if m := w.byID[x.To]; m != nil && m.node != nil {
			w.enqueue(m, input{message: &x})
		}
	})
}

// reconnect starts a new connection: what was under way may be lost, and may
// come after what is sent on the new one.
func (n *modelNetwork) reconnect(from, to string) {
	l := n.link(from, to)
	l.connection++
	l.earliest = 0
}

package raft

import (
	"encoding/binary"
	"time"
)

// Disk, network and state machine of the model test.

// machine is the replicated state: what was applied, as a digest.
type machine struct {
	index    uint64 // of the newest entry
	lastData uint64 // of the newest command
	digest   uint64
}

func (s machine) apply(e Entry) machine {
	s.index = e.Index
	if e.Kind != EntryData {
		return s
	}
	s.lastData = e.Index
	s.digest = s.digest*1099511628211 ^ entryHash(e)
	return s
}

func (s machine) save() []byte {
	var b [24]byte
	binary.BigEndian.PutUint64(b[0:], s.index)
	binary.BigEndian.PutUint64(b[8:], s.lastData)
	binary.BigEndian.PutUint64(b[16:], s.digest)
	return b[:]
}

func loadMachine(b []byte) machine {
	if len(b) < 24 {
		return machine{}
	}
	return machine{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])}
}

func entryHash(e Entry) uint64 {
	h := uint64(14695981039346656037)
	for _, x := range []uint64{e.Index, e.Term, uint64(e.Kind)} {
		h = (h ^ x) * 1099511628211
	}
	for _, x := range e.Data {
		h = (h ^ uint64(x)) * 1099511628211
	}
	return h
}

// diskJob is one write: an out of the node, or a snapshot of its own.
type diskJob struct {
	out   Out
	point *Point
}

// modelDisk holds what is synced, and what is on its way to it.
type modelDisk struct {
	hard    Hard
	point   Point
	log     []Entry
	waiting []diskJob // in the process
	flight  []diskJob // in one write
	written bool      // the write reached the system, the sync is not over
	stalled time.Duration
}

type heldOnDisk struct {
	hard  Hard
	point Point
	log   []Entry
}

// put makes one job lasting, as disk.write does, but for a planted break.
func (d *modelDisk) put(j diskJob, plant string) {
	if j.out.Hard != nil {
		d.hard = *j.out.Hard
	}
	if j.point != nil {
		d.point = *j.point
		d.log = entriesAfter(d.log, d.point.Index)
		if plant == plantNoSuffix {
			d.log = nil
		}
	}
	if j.out.Point != nil {
		d.point, d.log = *j.out.Point, nil
	}
	for _, e := range j.out.Entries {
		if plant == plantSingle {
			e = withoutOld(e)
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
	if index <= d.point.Index {
		return true
	}
	for i := len(d.log) - 1; i >= 0; i-- {
		if d.log[i].Index == index {
			return d.log[i].Term == term
		}
	}
	return false
}

func (d *modelDisk) add(w *world, m *member, j diskJob) {
	if w.plant.name == plantEarlySync {
		// The break: the write is said to be synced before it is.
		w.after(0, func() { w.give(m, input{wrote: []diskJob{j}}) })
		m.inDisk++
		d.waiting = append(d.waiting, diskJob{out: Out{Hard: j.out.Hard, Entries: j.out.Entries, Point: j.out.Point}, point: j.point})
		d.begin(w, m)
		return
	}
	d.waiting = append(d.waiting, j)
	d.begin(w, m)
}

// begin starts the next write with all that waits.
func (d *modelDisk) begin(w *world, m *member) {
	if d.flight != nil || len(d.waiting) == 0 {
		return
	}
	d.flight, d.waiting, d.written = d.waiting, nil, false
	life := m.life
	half := w.gap(w.profile.syncTime / 2)
	if d.stalled > w.now {
		half += d.stalled - w.now
	}
	w.after(half, func() {
		if m.life == life {
			d.written = true
		}
	})
	w.after(half+w.gap(w.profile.syncTime/2), func() {
		if m.life != life {
			return
		}
		done := d.flight
		for _, j := range done {
			d.put(j, w.plant.name)
		}
		d.flight = nil
		if w.plant.name != plantEarlySync {
			w.give(m, input{wrote: done})
		}
		d.begin(w, m)
	})
}

// crash decides what of the write under way is there: a kill keeps what the
// system has, a loss of power any prefix, often nothing.
func (d *modelDisk) crash(w *world, power bool) {
	keep := 0
	switch {
	case !power && d.written:
		keep = len(d.flight)
	case w.chance(0.5):
		keep = w.lot.Intn(len(d.flight) + 1)
	}
	for _, j := range d.flight[:keep] {
		d.put(j, w.plant.name)
	}
	d.flight, d.waiting, d.written = nil, nil, false
}

// open is what a start finds.
func (d *modelDisk) open(w *world, m *member) heldOnDisk {
	switch w.plant.name {
	case plantForgetVote:
		if w.chance(0.5) {
			d.hard = Hard{}
		}
	case plantForgetMiddle:
		if n := len(d.log); n > 2 && w.chance(0.5) {
			i := 1 + w.lot.Intn(n-2)
			d.log = append(d.log[:i:i], d.log[i+1:]...)
		}
	case plantForgetTail:
		if n := len(d.log); n > 0 && w.chance(0.5) {
			d.log = d.log[:n-1-w.lot.Intn(min(n, 3))]
		}
	}
	return heldOnDisk{d.hard, d.point, append([]Entry(nil), d.log...)}
}

// netLink is the way from one member to another.
type netLink struct {
	cut    bool
	floor  time.Duration // nothing of this connection comes earlier
	stream int           // counts the connections
}

type network struct {
	w     *world
	links map[string]*netLink
	quiet bool // no message is lost, doubled or late
}

func (n *network) link(from, to string) *netLink {
	l := n.links[from+">"+to]
	if l == nil {
		l = &netLink{}
		n.links[from+">"+to] = l
	}
	return l
}

// post sends messages that may be sent now.
func (n *network) post(m *member, ms []Msg) {
	sortByReceiver(ms)
	for _, x := range ms {
		n.w.checks.posted(m, x)
		if n.w.plant.tamper != nil && !n.w.plant.tamper(n.w, &x) {
			continue
		}
		n.send(x)
	}
}

func (n *network) send(x Msg) {
	w, p := n.w, n.w.profile
	l := n.link(x.From, x.To)
	if l.cut || !n.quiet && w.chance(p.loss) {
		return
	}
	at := w.now + 200*time.Microsecond + w.gap(time.Millisecond)
	if !n.quiet && w.chance(p.late) {
		mean := 300 * time.Millisecond
		if w.chance(0.2) {
			mean = 3 * time.Second // past elections
		}
		at += w.gap(mean)
	}
	if p.ordered {
		at = max(at, l.floor)
		l.floor = at
	}
	n.deliver(l, x, at)
	if !n.quiet && w.chance(p.double) {
		n.deliver(l, x, at+w.gap(400*time.Millisecond))
	}
}

func (n *network) deliver(l *netLink, x Msg, at time.Duration) {
	w := n.w
	stream := l.stream
	w.after(at-w.now, func() {
		if l.cut || stream != l.stream && w.chance(0.5) {
			return
		}
		if m := w.byID[x.To]; m != nil && m.node != nil {
			w.give(m, input{msg: &x})
		}
	})
}

// reconnect starts a new connection: what was under way may be lost, and may
// come after what is sent on the new one.
func (n *network) reconnect(from, to string) {
	l := n.link(from, to)
	l.stream++
	l.floor = 0
}

package raft

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"
)

// The harness of the model test: members, clocks, and the loop that drives a
// Node, all under one seed. It uses the exported interface only, in the order
// in which the daemon's own loop does (core.rest).

// profile is what a seed draws once for its whole walk.
type profile struct {
	voters        int
	timing        Timing
	chaosGap      time.Duration // mean time between two faults
	loss, double  float64       // share of messages lost, doubled
	late          float64       // share of messages that are late
	ordered       bool          // messages of one connection keep their order
	syncTime      time.Duration // mean time of a write
	snapshotEvery uint64        // entries between two snapshots
	snapshotKeep  uint64        // entries kept before a snapshot
}

func drawProfile(lot *rand.Rand) profile {
	p := profile{voters: []int{3, 3, 3, 3, 5, 5, 4, 2, 1}[lot.Intn(9)]}
	p.timing = Timing{Beat: 80 * time.Millisecond, Elect: 400 * time.Millisecond, Spread: 200 * time.Millisecond,
		Quorum: 650 * time.Millisecond, LeaseShare: 0.85, Window: []int{2, 8, 64}[lot.Intn(3)], Bytes: []int{1, 100, 4096}[lot.Intn(3)]}
	p.chaosGap = time.Duration(30+lot.Intn(400)) * time.Millisecond
	p.loss = []float64{0, 0.01, 0.1}[lot.Intn(3)]
	p.double = []float64{0, 0.02, 0.1}[lot.Intn(3)]
	p.late = []float64{0, 0.02, 0.1}[lot.Intn(3)]
	p.ordered = lot.Intn(2) == 0
	p.syncTime = time.Duration(1+lot.Intn(15)) * time.Millisecond
	p.snapshotEvery = uint64(3 + lot.Intn(25))
	p.snapshotKeep = uint64(lot.Intn(6))
	return p
}

// member is one daemon: a disk for good, and a Node while it runs.
type member struct {
	id      string
	node    *Node // nil while it is down
	life    int   // counts the starts; events of an earlier life are void
	rate    float64
	offset  time.Duration
	frozen  bool
	lost    bool // the disk is gone for good
	idle    bool // runs, without a vote as far as the operator knows
	retired bool // left the cluster, and ended
	inbox   []input
	turnSet bool
	wake    int // names the newest timer
	disk    modelDisk
	inDisk  int // jobs given to the disk and not back
	state   machine
	waits   map[uint64]proposal
	pending []string // commands for the next turn
	lastPt  uint64
	asked   time.Duration // when the operator last looked, as leader
}

// input is one thing that a loop takes in.
type input struct {
	msg      *Msg
	wrote    []diskJob
	command  string
	read     *read
	transfer bool
	snapshot bool
}

type proposal struct {
	term uint64
	data string
}

// read is a client's read: it must see all that was known to be done at its start.
type read struct{ floor uint64 }

// change is what the operator wants done to the voters.
type change struct {
	out, in string
	begun   bool // a leader has proposed it
}

// world is one walk.
type world struct {
	seed     int64
	lot      *rand.Rand
	profile  profile
	now      time.Duration
	seq      int
	queue    eventQueue
	members  []*member
	byID     map[string]*member
	net      network
	checks   *checker
	plant    plant
	change   *change
	commands int
	step     int
	calm     bool // no more faults
	trace    []string
	tracing  bool
	digest   uint64 // of all that happened: two walks of one seed are equal
	counts   map[string]int
	lastAck  uint64 // index of the newest acknowledged command
	lastCmd  string
	// How long it took until all was well once it was healed.
	recovered time.Duration
}

func newWorld(seed int64, p plant, only check) *world {
	w := &world{seed: seed, lot: rand.New(rand.NewSource(seed)), byID: map[string]*member{}, plant: p, counts: map[string]int{}}
	w.profile = drawProfile(w.lot)
	if p.profile != nil {
		p.profile(&w.profile)
	}
	w.checks = newChecker(w, only)
	w.net = network{w: w, links: map[string]*netLink{}}
	var vs []Voter
	for i := 0; i < w.profile.voters; i++ {
		vs = append(vs, voter(w.addMember().id))
	}
	first := Point{Index: 1, Conf: vs, Data: machine{index: 1}.save()}
	w.checks.found(first)
	for _, m := range w.members {
		m.disk.point = first
		w.start(m)
	}
	w.after(w.gap(w.profile.chaosGap), w.chaos)
	w.after(time.Millisecond, w.clients)
	return w
}

func voter(id string) Voter { return Voter{Node: "node-" + id, Disk: id, Addr: id} }

func (w *world) addMember() *member {
	m := &member{id: fmt.Sprintf("m%d", len(w.members)), rate: 0.99 + 0.02*w.lot.Float64(), offset: time.Duration(w.lot.Intn(1e9))}
	w.members = append(w.members, m)
	w.byID[m.id] = m
	return m
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, run})
}

// gap draws a time with the given mean.
func (w *world) gap(mean time.Duration) time.Duration {
	return time.Duration(w.lot.ExpFloat64()*float64(mean)) + time.Microsecond
}

func (w *world) chance(p float64) bool { return w.lot.Float64() < p }

// note keeps one line of what happened.
func (w *world) note(kind, id string, a, b uint64) {
	for _, s := range []string{kind, id} {
		for i := 0; i < len(s); i++ {
			w.digest = (w.digest ^ uint64(s[i])) * 1099511628211
		}
	}
	w.digest = (w.digest ^ a ^ b<<32 ^ uint64(w.now)) * 1099511628211
	if w.tracing {
		w.trace = append(w.trace, fmt.Sprintf("%6d %9.3fs %-4s %s %d %d", w.step, w.now.Seconds(), id, kind, a, b))
	}
}

func (m *member) clock(now time.Duration) time.Time {
	return time.Unix(1000, 0).Add(m.offset + time.Duration(float64(now)*m.rate))
}

func (w *world) start(m *member) {
	m.life++
	m.frozen, m.inbox, m.turnSet, m.inDisk, m.pending = false, nil, false, 0, nil
	m.waits = map[uint64]proposal{}
	held := m.disk.open(w, m)
	m.state = loadMachine(held.point.Data)
	m.lastPt = held.point.Index
	w.checks.started(m, held)
	w.note("start", m.id, held.hard.Term, held.point.Index)
	m.node = New(m.id, held.hard, held.point, held.log, m.clock(w.now), w.profile.timing, w.lot.Int63())
	node := m.node
	node.SetPoint(func() *Point { return w.snapshot(m) })
	w.poke(m)
}

// crash ends a process; with power the machine loses what was not synced.
func (w *world) crash(m *member, power bool) {
	if m.node == nil {
		return
	}
	w.note("crash", m.id, m.node.Term(), m.node.Commit())
	m.disk.crash(w, power)
	m.node = nil
	m.life++
}

// snapshot is the state of a member as core.point gives it.
func (w *world) snapshot(m *member) *Point {
	i := m.node.Applied()
	t, _ := m.node.TermAt(i)
	return &Point{Index: i, Term: t, Conf: m.node.ConfAt(i), Old: m.node.OldConfAt(i), Data: m.state.save()}
}

// give puts an input before a member's loop.
func (w *world) give(m *member, in input) {
	m.inbox = append(m.inbox, in)
	w.poke(m)
}

// poke lets a member's loop turn, sometimes only when more has come in.
func (w *world) poke(m *member) {
	if m.turnSet || m.node == nil {
		return
	}
	m.turnSet = true
	lag := time.Duration(0)
	if w.chance(0.2) {
		lag = time.Duration(w.lot.Intn(20)) * time.Millisecond
	}
	life := m.life
	w.after(lag, func() {
		if m.life == life {
			m.turnSet = false
			w.turn(m)
		}
	})
}

// turn is one turn of the loop: all that waits is taken, then it rests.
func (w *world) turn(m *member) {
	if m.node == nil || m.frozen {
		return
	}
	now := m.clock(w.now)
	waiting := m.inbox
	m.inbox = nil
	for _, in := range waiting {
		w.take(m, in, now)
		w.checks.observe(m)
	}
	w.rest(m, now)
	w.checks.observe(m)
}

func (w *world) take(m *member, in input, now time.Time) {
	switch {
	case in.msg != nil:
		w.note(kindNames[in.msg.Kind]+"<"+in.msg.From, m.id, in.msg.Term, in.msg.Index)
		m.node.Step(*in.msg, now)
	case in.wrote != nil:
		for _, j := range in.wrote {
			m.inDisk--
			w.wrote(m, j)
		}
	case in.command != "":
		m.pending = append(m.pending, in.command)
	case in.read != nil:
		if m.node.Ready() && m.node.Lease(now) {
			w.counts["reads"]++
			w.checks.read(m, *in.read)
		}
	case in.transfer:
		if m.node.Leads() && m.node.Transfer() {
			w.counts["transfers"]++
			w.note("transfer", m.id, m.node.Term(), 0)
		}
	case in.snapshot:
		m.lastPt = 0
	}
}

func (w *world) wrote(m *member, j diskJob) {
	if j.out.Writes() {
		m.node.Synced(j.out.Mark)
	}
	w.net.post(m, j.out.After)
	if j.point != nil {
		m.node.Drop(j.point.Index - min(j.point.Index, w.profile.snapshotKeep))
	}
}

func (w *world) rest(m *member, now time.Time) {
	wake := m.node.Tick(now)
	w.apply(m)
	w.operate(m)
	w.propose(m)
	for i := 0; ; i++ {
		o := m.node.Take()
		if o.Empty() {
			break
		}
		if i > 1000 {
			w.checks.fail(checkLive, "%s: Take never ends", m.id)
			break
		}
		w.out(m, o)
		w.apply(m)
	}
	if every := w.profile.snapshotEvery; m.node.Applied() >= m.lastPt+every || m.lastPt == 0 && m.node.Applied() > m.disk.point.Index {
		p := w.snapshot(m)
		m.lastPt = p.Index
		w.counts["snapshots"]++
		w.write(m, diskJob{point: p})
	}
	if wake <= 0 {
		wake = time.Second
	}
	m.wake++
	life, mine := m.life, m.wake
	w.after(time.Duration(float64(wake)/m.rate)+time.Duration(w.lot.Intn(2000))*time.Microsecond, func() {
		if m.life == life && m.wake == mine {
			w.poke(m)
		}
	})
}

func (w *world) out(m *member, o Out) {
	w.checks.entries(m, o.Entries)
	w.net.post(m, o.Now)
	if o.Point != nil {
		w.note("load", m.id, o.Point.Index, o.Point.Term)
		w.counts["loads"]++
		m.state = loadMachine(o.Point.Data)
		m.lastPt = o.Point.Index
		w.checks.loaded(m, o.Point.Index)
	}
	if o.Writes() || len(o.After) > 0 && m.inDisk > 0 {
		w.write(m, diskJob{out: o})
	} else {
		w.net.post(m, o.After)
	}
}

func (w *world) write(m *member, j diskJob) {
	m.inDisk++
	m.disk.add(w, m, j)
}

func (w *world) apply(m *member) {
	for _, e := range m.node.Settled() {
		w.checks.applying(m, e)
		if w.plant.name != plantSkip || e.Kind != EntryData || !w.chance(0.05) {
			m.state = m.state.apply(e)
		} else {
			m.state.index = e.Index
		}
		w.checks.applied(m, e)
		if p, ok := m.waits[e.Index]; ok {
			delete(m.waits, e.Index)
			if p.term == e.Term {
				w.counts["acks"]++
				w.checks.acked(m, e, p)
				w.lastAck, w.lastCmd = e.Index, p.data
			}
		}
	}
}

func (w *world) propose(m *member) {
	for _, c := range m.pending {
		if !m.node.Ready() {
			continue
		}
		if i, ok := m.node.Propose([]byte(c)); ok {
			w.note("propose", m.id, i, m.node.Term())
			m.waits[i] = proposal{m.node.Term(), c}
		}
	}
	m.pending = nil
}

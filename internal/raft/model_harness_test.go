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

// walkProfile is what a seed draws once for its whole walk.
type walkProfile struct {
	voters                    int
	config                    Config
	meanFaultGap              time.Duration // mean time between two faults
	lossShare, duplicateShare float64       // share of messages lost, doubled
	delayedShare              float64       // share of messages that are late
	ordered                   bool          // messages of one connection keep their order
	syncTime                  time.Duration // mean time of a write
	snapshotEvery             uint64        // entries between two snapshots
	snapshotKeep              uint64        // entries kept before a snapshot
}

func randomProfile(lot *rand.Rand) walkProfile {
	p := walkProfile{voters: []int{3, 3, 3, 3, 5, 5, 4, 2, 1}[lot.Intn(9)]}
	p.config = Config{HeartbeatInterval: 80 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, ElectionJitter: 200 * time.Millisecond,
		CheckQuorumTimeout: 650 * time.Millisecond, LeaseFraction: 0.85, MaxInflightEntries: []int{2, 8, 64}[lot.Intn(3)], MaxAppendBytes: []int{1, 100, 4096}[lot.Intn(3)]}
	p.meanFaultGap = time.Duration(30+lot.Intn(400)) * time.Millisecond
	p.lossShare = []float64{0, 0.01, 0.1}[lot.Intn(3)]
	p.duplicateShare = []float64{0, 0.02, 0.1}[lot.Intn(3)]
	p.delayedShare = []float64{0, 0.02, 0.1}[lot.Intn(3)]
	p.ordered = lot.Intn(2) == 0
	p.syncTime = time.Duration(1+lot.Intn(15)) * time.Millisecond
	p.snapshotEvery = uint64(3 + lot.Intn(25))
	p.snapshotKeep = uint64(lot.Intn(6))
	return p
}

// modelMember is one daemon: a disk for good, and a Node while it runs.
type modelMember struct {
	id                string
	node              *Node // nil while it is down
	incarnation       int   // counts the starts; events of an earlier life are void
	clockRate         float64
	clockOffset       time.Duration
	frozen            bool
	lost              bool // the disk is gone for good
	idle              bool // runs, without a vote as far as the operator knows
	retired           bool // left the cluster, and ended
	inbox             []input
	turnScheduled     bool
	timerID           int // names the newest timer
	disk              modelDisk
	writesInFlight    int // jobs given to the disk and not back
	state             stateMachine
	proposals         map[uint64]proposal
	commands          []string // commands for the next turn
	lastSnapshotIndex uint64
	lastOperatedAt    time.Duration // when the operator last looked, as leader
}

// input is one thing that a loop takes in.
type input struct {
	message  *Message
	written  []diskWrite
	command  string
	read     *clientRead
	transfer bool
	snapshot bool
}

type proposal struct {
	term uint64
	data string
}

// clientRead is a client's read: it must see all that was known to be done at its start.
type clientRead struct{ floor uint64 }

// voterChange is what the operator wants done to the voters.
type voterChange struct {
	outgoing, incoming string
	proposed           bool // a leader has proposed it
}

// modelWorld is one walk.
type modelWorld struct {
	seed             int64
	random           *rand.Rand
	profile          walkProfile
	now              time.Duration
	sequence         int
	queue            eventQueue
	members          []*modelMember
	byID             map[string]*modelMember
	net              modelNetwork
	checks           *checker
	mutation         mutation
	change           *voterChange
	commands         int
	step             int
	faultsStopped    bool // no more faults
	trace            []string
	tracing          bool
	digest           uint64 // of all that happened: two walks of one seed are equal
	counts           map[string]int
	lastAckedIndex   uint64 // index of the newest acknowledged command
	lastAckedCommand string
	// How long it took until all was well once it was healed.
	recovered time.Duration
}

func newModelWorld(seed int64, mutation mutation, only check) *modelWorld {
	w := &modelWorld{seed: seed, random: rand.New(rand.NewSource(seed)), byID: map[string]*modelMember{}, mutation: mutation, counts: map[string]int{}}
	w.profile = randomProfile(w.random)
	if mutation.profile != nil {
		mutation.profile(&w.profile)
	}
	w.checks = newChecker(w, only)
	w.net = modelNetwork{w: w, links: map[string]*modelLink{}}
	var voters []Member
	for i := 0; i < w.profile.voters; i++ {
		voters = append(voters, modelVoter(w.addMember().id))
	}
	first := Snapshot{Index: 1, Voters: voters, Data: stateMachine{index: 1}.encode()}
	w.checks.bootstrap(first)
	for _, m := range w.members {
		m.disk.snapshot = first
		w.start(m)
	}
	w.schedule(w.randomDelay(w.profile.meanFaultGap), w.injectFault)
	w.schedule(time.Millisecond, w.runClients)
	return w
}

func modelVoter(id string) Member { return Member{Node: "node-" + id, ID: id, Addr: id} }

func (w *modelWorld) addMember() *modelMember {
	m := &modelMember{id: fmt.Sprintf("m%d", len(w.members)), clockRate: 0.99 + 0.02*w.random.Float64(), clockOffset: time.Duration(w.random.Intn(1e9))}
	w.members = append(w.members, m)
	w.byID[m.id] = m
	return m
}

func (w *modelWorld) schedule(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + d, w.sequence, run})
}

// randomDelay draws a time with the given mean.
func (w *modelWorld) randomDelay(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64()*float64(mean)) + time.Microsecond
}

func (w *modelWorld) chance(p float64) bool { return w.random.Float64() < p }

// note keeps one line of what happened.
func (w *modelWorld) note(kind, id string, a, b uint64) {
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

func (m *modelMember) clock(now time.Duration) time.Time {
	return time.Unix(1000, 0).Add(m.clockOffset + time.Duration(float64(now)*m.clockRate))
}

func (w *modelWorld) start(m *modelMember) {
	m.incarnation++
	m.frozen, m.inbox, m.turnScheduled, m.writesInFlight, m.commands = false, nil, false, 0, nil
	m.proposals = map[uint64]proposal{}
	held := m.disk.open(w, m)
	m.state = decodeStateMachine(held.snapshot.Data)
	m.lastSnapshotIndex = held.snapshot.Index
	w.checks.started(m, held)
	w.note("start", m.id, held.hardState.Term, held.snapshot.Index)
	m.node = New(m.id, held.hardState, held.snapshot, held.log, m.clock(w.now), w.profile.config, w.random.Int63())
	node := m.node
	node.SetSnapshotSource(func() *Snapshot { return w.snapshot(m) })
	w.scheduleTurn(m)
}

// crash ends a process; with power the machine loses what was not synced.
func (w *modelWorld) crash(m *modelMember, power bool) {
	if m.node == nil {
		return
	}
	w.note("crash", m.id, m.node.Term(), m.node.CommitIndex())
	m.disk.crash(w, power)
	m.node = nil
	m.incarnation++
}

// snapshot is the state of a member as core.point gives it.
func (w *modelWorld) snapshot(m *modelMember) *Snapshot {
	i := m.node.AppliedIndex()
	t, _ := m.node.TermAt(i)
	return &Snapshot{Index: i, Term: t, Voters: m.node.VotersAt(i), OutgoingVoters: m.node.OutgoingVotersAt(i), Data: m.state.encode()}
}

// enqueue puts an input before a member's loop.
func (w *modelWorld) enqueue(m *modelMember, in input) {
	m.inbox = append(m.inbox, in)
	w.scheduleTurn(m)
}

// scheduleTurn lets a member's loop turn, sometimes only when more has come in.
func (w *modelWorld) scheduleTurn(m *modelMember) {
	if m.turnScheduled || m.node == nil {
		return
	}
	m.turnScheduled = true
	lag := time.Duration(0)
	if w.chance(0.2) {
		lag = time.Duration(w.random.Intn(20)) * time.Millisecond
	}
	life := m.incarnation
	w.schedule(lag, func() {
		if m.incarnation == life {
			m.turnScheduled = false
			w.runTurn(m)
		}
	})
}

// runTurn is one turn of the loop: all that waits is taken, then it rests.
func (w *modelWorld) runTurn(m *modelMember) {
	if m.node == nil || m.frozen {
		return
	}
	now := m.clock(w.now)
	waiting := m.inbox
	m.inbox = nil
	for _, in := range waiting {
		w.handleInput(m, in, now)
		w.checks.observe(m)
	}
	w.finishTurn(m, now)
	w.checks.observe(m)
}

func (w *modelWorld) handleInput(m *modelMember, in input, now time.Time) {
	switch {
	case in.message != nil:
		w.note(kindNames[in.message.Kind]+"<"+in.message.From, m.id, in.message.Term, in.message.Index)
		m.node.Step(*in.message, now)
	case in.written != nil:
		for _, j := range in.written {
			m.writesInFlight--
			w.writeCompleted(m, j)
		}
	case in.command != "":
		m.commands = append(m.commands, in.command)
	case in.read != nil:
		if m.node.LeaderReady() && m.node.HasLease(now) {
			w.counts["reads"]++
			w.checks.read(m, *in.read)
		}
	case in.transfer:
		if m.node.IsLeader() && m.node.TransferLeadership() {
			w.counts["transfers"]++
			w.note("transfer", m.id, m.node.Term(), 0)
		}
	case in.snapshot:
		m.lastSnapshotIndex = 0
	}
}

func (w *modelWorld) writeCompleted(m *modelMember, write diskWrite) {
	if write.ready.MustSync() {
		m.node.WriteSynced(write.ready.WriteToken)
	}
	w.net.post(m, write.ready.MessagesAfterSync)
	if write.snapshot != nil {
		m.node.Compact(write.snapshot.Index - min(write.snapshot.Index, w.profile.snapshotKeep))
	}
}

func (w *modelWorld) finishTurn(m *modelMember, now time.Time) {
	wake := m.node.Tick(now)
	w.apply(m)
	w.operateMembership(m)
	w.propose(m)
	for i := 0; ; i++ {
		ready := m.node.Ready()
		if ready.IsEmpty() {
			break
		}
		if i > 1000 {
			w.checks.fail(checkLiveness, "%s: Take never ends", m.id)
			break
		}
		w.handleReady(m, ready)
		w.apply(m)
	}
	if every := w.profile.snapshotEvery; m.node.AppliedIndex() >= m.lastSnapshotIndex+every || m.lastSnapshotIndex == 0 && m.node.AppliedIndex() > m.disk.snapshot.Index {
		p := w.snapshot(m)
		m.lastSnapshotIndex = p.Index
		w.counts["snapshots"]++
		w.write(m, diskWrite{snapshot: p})
	}
	if wake <= 0 {
		wake = time.Second
	}
	m.timerID++
	life, mine := m.incarnation, m.timerID
	w.schedule(time.Duration(float64(wake)/m.clockRate)+time.Duration(w.random.Intn(2000))*time.Microsecond, func() {
		if m.incarnation == life && m.timerID == mine {
			w.scheduleTurn(m)
		}
	})
}

func (w *modelWorld) handleReady(m *modelMember, ready Ready) {
	w.checks.appended(m, ready.Entries)
	w.net.post(m, ready.Messages)
	if ready.Snapshot != nil {
		w.note("load", m.id, ready.Snapshot.Index, ready.Snapshot.Term)
		w.counts["loads"]++
		m.state = decodeStateMachine(ready.Snapshot.Data)
		m.lastSnapshotIndex = ready.Snapshot.Index
		w.checks.loaded(m, ready.Snapshot.Index)
	}
	if ready.MustSync() || len(ready.MessagesAfterSync) > 0 && m.writesInFlight > 0 {
		w.write(m, diskWrite{ready: ready})
	} else {
		w.net.post(m, ready.MessagesAfterSync)
	}
}

func (w *modelWorld) write(m *modelMember, write diskWrite) {
	m.writesInFlight++
	m.disk.add(w, m, write)
}

func (w *modelWorld) apply(m *modelMember) {
	for _, e := range m.node.NextCommittedEntries() {
		w.checks.applying(m, e)
		if w.mutation.name != mutationSkipEntry || e.Kind != EntryNormal || !w.chance(0.05) {
			m.state = m.state.apply(e)
		} else {
			m.state.index = e.Index
		}
		w.checks.applied(m, e)
		if p, ok := m.proposals[e.Index]; ok {
			delete(m.proposals, e.Index)
			if p.term == e.Term {
				w.counts["acks"]++
				w.checks.acknowledged(m, e, p)
				w.lastAckedIndex, w.lastAckedCommand = e.Index, p.data
			}
		}
	}
}

func (w *modelWorld) propose(m *modelMember) {
	for _, c := range m.commands {
		if !m.node.LeaderReady() {
			continue
		}
		if i, ok := m.node.Propose([]byte(c)); ok {
			w.note("propose", m.id, i, m.node.Term())
			m.proposals[i] = proposal{m.node.Term(), c}
		}
	}
	m.commands = nil
}

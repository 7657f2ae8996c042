package raft

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"
)

// The harness of the model test: members, clocks, and the loop that drives a Node, all
// from one seed. It uses the exported interface only, in the order in which the event
// loop of the package server does.

// modelMember is one daemon: a disk, and a Node while it runs.
type modelMember struct {
	id                string
	node              *Node // nil while it is down
	incarnation       int   // counts starts and crashes; events of an earlier one are void
	clockRate         float64
	clockOffset       time.Duration
	frozen            bool
	lost              bool // its disk is lost
	idle              bool // runs, and is no voter as far as the operator knows
	retired           bool // was voted out, and ended
	inbox             []input
	turnScheduled     bool
	timerID           int // of the newest timer; earlier ones are void
	disk              modelDisk
	writesInFlight    int // writes that the disk has not reported
	state             stateMachine
	proposals         map[uint64]proposal
	commands          []string // commands for the next turn
	lastSnapshotIndex uint64
	lastOperatedAt    time.Duration // when the operator last looked, as leader
}

// input is one thing that a member's loop handles; one field is set.
type input struct {
	message  *Message
	written  []diskWrite
	command  string
	read     *clientRead
	transfer bool
	snapshot bool
}

// proposal is a command that waits for its commit.
type proposal struct {
	term uint64
	data string
}

// clientRead is a client's read: it must see the state at the floor or a later one.
type clientRead struct{ floor uint64 }

// voterChange is what the operator wants done to the voters.
type voterChange struct {
	outgoing, incoming string
	proposed           bool // by a leader
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
	faultsStopped    bool
	trace            []string
	tracing          bool
	digest           uint64 // of all that happened: two walks of one seed are equal
	counts           map[string]int
	lastAckedIndex   uint64 // index of the newest acknowledged command
	lastAckedCommand string
	recovered        time.Duration // from the end of all faults to the end of the walk
}

func newModelWorld(seed int64, mutation mutation, only check) *modelWorld {
	w := &modelWorld{
		seed:     seed,
		random:   rand.New(rand.NewSource(seed)),
		byID:     map[string]*modelMember{},
		mutation: mutation,
		counts:   map[string]int{},
	}
	w.profile = randomProfile(w.random)
	if mutation.profile != nil {
		mutation.profile(&w.profile)
	}
	w.checks = newChecker(w, only)
	w.net = modelNetwork{world: w, links: map[string]*modelLink{}}
	var voters []Member
	for i := 0; i < w.profile.voters; i++ {
		voters = append(voters, testMember(w.addMember().id))
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

func (w *modelWorld) addMember() *modelMember {
	member := &modelMember{
		id:          fmt.Sprintf("m%d", len(w.members)),
		clockRate:   0.99 + 0.02*w.random.Float64(),
		clockOffset: time.Duration(w.random.Intn(1e9)),
	}
	w.members = append(w.members, member)
	w.byID[member.id] = member
	return member
}

func (w *modelWorld) schedule(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + delay, w.sequence, run})
}

// randomDelay draws a delay with the given mean.
func (w *modelWorld) randomDelay(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64()*float64(mean)) + time.Microsecond
}

func (w *modelWorld) chance(probability float64) bool { return w.random.Float64() < probability }

// note adds an event to the digest and, if it is on, to the trace.
func (w *modelWorld) note(kind, id string, a, b uint64) {
	for _, text := range []string{kind, id} {
		for i := 0; i < len(text); i++ {
			w.digest = (w.digest ^ uint64(text[i])) * 1099511628211
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

func (w *modelWorld) start(member *modelMember) {
	member.incarnation++
	member.frozen, member.inbox, member.turnScheduled, member.writesInFlight, member.commands = false, nil, false, 0, nil
	member.proposals = map[uint64]proposal{}
	recovered := member.disk.open(w)
	member.state = decodeStateMachine(recovered.snapshot.Data)
	member.lastSnapshotIndex = recovered.snapshot.Index
	w.checks.started(member, recovered)
	w.note("start", member.id, recovered.hardState.Term, recovered.snapshot.Index)
	member.node = New(member.id, recovered.hardState, recovered.snapshot, recovered.log, member.clock(w.now), w.profile.config, w.random.Int63())
	member.node.RestoreCommit(recovered.commit)
	node := member.node
	node.SetSnapshotSource(func() *Snapshot { return w.snapshot(member) })
	w.scheduleTurn(member)
}

// crash ends a process; with power, the machine loses what was not synced.
func (w *modelWorld) crash(member *modelMember, power bool) {
	if member.node == nil {
		return
	}
	w.note("crash", member.id, member.node.Term(), member.node.CommitIndex())
	member.disk.crash(w, power)
	member.node = nil
	member.incarnation++
}

// snapshot returns the state of a member as the package server does.
func (w *modelWorld) snapshot(member *modelMember) *Snapshot {
	index := member.node.AppliedIndex()
	term, _ := member.node.TermAt(index)
	return &Snapshot{
		Index:          index,
		Term:           term,
		Voters:         member.node.VotersAt(index),
		OutgoingVoters: member.node.OutgoingVotersAt(index),
		Data:           member.state.encode(),
	}
}

// enqueue puts an input into a member's queue.
func (w *modelWorld) enqueue(member *modelMember, in input) {
	member.inbox = append(member.inbox, in)
	w.scheduleTurn(member)
}

// scheduleTurn lets a member's loop run, sometimes only after a while, so that more
// inputs wait.
func (w *modelWorld) scheduleTurn(member *modelMember) {
	if member.turnScheduled || member.node == nil {
		return
	}
	member.turnScheduled = true
	lag := time.Duration(0)
	if w.chance(0.2) {
		lag = time.Duration(w.random.Intn(20)) * time.Millisecond
	}
	incarnation := member.incarnation
	w.schedule(lag, func() {
		if member.incarnation == incarnation {
			member.turnScheduled = false
			w.runTurn(member)
		}
	})
}

// runTurn handles all inputs that wait, then what follows from them.
func (w *modelWorld) runTurn(member *modelMember) {
	if member.node == nil || member.frozen {
		return
	}
	now := member.clock(w.now)
	waiting := member.inbox
	member.inbox = nil
	for _, in := range waiting {
		w.handleInput(member, in, now)
		w.checks.observe(member)
	}
	w.finishTurn(member, now)
	w.checks.observe(member)
}

func (w *modelWorld) handleInput(member *modelMember, in input, now time.Time) {
	switch {
	case in.message != nil:
		w.note(kindNames[in.message.Kind]+"<"+in.message.From, member.id, in.message.Term, in.message.Index)
		member.node.Step(*in.message, now)
	case in.written != nil:
		for _, write := range in.written {
			member.writesInFlight--
			w.writeCompleted(member, write)
		}
	case in.command != "":
		member.commands = append(member.commands, in.command)
	case in.read != nil:
		if member.node.LeaderReady() && member.node.HasLease(now) {
			w.counts["reads"]++
			w.checks.read(member, *in.read)
		}
	case in.transfer:
		if member.node.IsLeader() && member.node.TransferLeadership() == nil {
			w.counts["transfers"]++
			w.note("transfer", member.id, member.node.Term(), 0)
		}
	case in.snapshot:
		member.lastSnapshotIndex = 0
	}
}

func (w *modelWorld) writeCompleted(member *modelMember, write diskWrite) {
	if write.ready.MustSync() {
		member.node.WriteSynced(write.ready.WriteToken)
	}
	w.net.post(member, write.ready.MessagesAfterSync)
	if write.snapshot != nil {
		member.node.Compact(write.snapshot.Index - min(write.snapshot.Index, w.profile.snapshotKeep))
	}
}

// finishTurn ticks the node, proposes, does what is ready, and sets the next timer.
func (w *modelWorld) finishTurn(member *modelMember, now time.Time) {
	wake := member.node.Tick(now)
	w.apply(member)
	w.operateMembership(member)
	w.propose(member)
	for i := 0; ; i++ {
		ready := member.node.Ready()
		if ready.IsEmpty() {
			break
		}
		if i > 1000 {
			w.checks.fail(checkLiveness, "%s: Ready is never empty", member.id)
			break
		}
		w.handleReady(member, ready)
		w.apply(member)
	}
	isDue := member.node.AppliedIndex() >= member.lastSnapshotIndex+w.profile.snapshotEvery
	isRequested := member.lastSnapshotIndex == 0 && member.node.AppliedIndex() > member.disk.snapshot.Index
	if isDue || isRequested {
		snapshot := w.snapshot(member)
		member.lastSnapshotIndex = snapshot.Index
		w.counts["snapshots"]++
		w.write(member, diskWrite{snapshot: snapshot})
	}
	if wake <= 0 {
		wake = time.Second
	}
	member.timerID++
	incarnation, timer := member.incarnation, member.timerID
	w.schedule(time.Duration(float64(wake)/member.clockRate)+time.Duration(w.random.Intn(2000))*time.Microsecond, func() {
		if member.incarnation == incarnation && member.timerID == timer {
			w.scheduleTurn(member)
		}
	})
}

func (w *modelWorld) handleReady(member *modelMember, ready Ready) {
	w.checks.appended(member, ready.Entries)
	w.net.post(member, ready.Messages)
	if ready.Snapshot != nil {
		w.note("load", member.id, ready.Snapshot.Index, ready.Snapshot.Term)
		w.counts["loads"]++
		member.state = decodeStateMachine(ready.Snapshot.Data)
		member.lastSnapshotIndex = ready.Snapshot.Index
		w.checks.loaded(member, ready.Snapshot.Index)
	}
	if ready.MustSync() || len(ready.MessagesAfterSync) > 0 && member.writesInFlight > 0 {
		w.write(member, diskWrite{ready: ready})
	} else {
		w.net.post(member, ready.MessagesAfterSync)
	}
}

func (w *modelWorld) write(member *modelMember, write diskWrite) {
	member.writesInFlight++
	member.disk.add(w, member, write)
}

func (w *modelWorld) apply(member *modelMember) {
	for _, entry := range member.node.NextCommittedEntries() {
		w.checks.applying(member, entry)
		if w.mutation.name != mutationSkipEntry || entry.Kind != EntryNormal || !w.chance(0.05) {
			member.state = member.state.apply(entry)
		} else {
			member.state.index = entry.Index
		}
		w.checks.applied(member, entry)
		if proposed, ok := member.proposals[entry.Index]; ok {
			delete(member.proposals, entry.Index)
			if proposed.term == entry.Term {
				w.counts["acks"]++
				w.checks.acknowledged(member, entry, proposed)
				w.lastAckedIndex, w.lastAckedCommand = entry.Index, proposed.data
			}
		}
	}
}

func (w *modelWorld) propose(member *modelMember) {
	for _, command := range member.commands {
		if !member.node.LeaderReady() {
			continue
		}
		if index, err := member.node.Propose([]byte(command)); err == nil {
			w.note("propose", member.id, index, member.node.Term())
			member.proposals[index] = proposal{member.node.Term(), command}
		}
	}
	member.commands = nil
}

package raft

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"
)

// The harness of the model test: members, clocks, and the event loop that drives a Node. All
// behavior is determined by one seed. The event loop uses only the exported methods of Node,
// in the same order as the event loop of package server.

// modelMember is one daemon: a disk, and a Node while the daemon is running.
type modelMember struct {
	id                 string
	node               *Node // nil while the daemon is down
	incarnation        int   // number of starts and crashes; events of an earlier incarnation are ignored
	clockRate          float64
	clockOffset        time.Duration
	paused             bool
	lost               bool // its disk was lost
	idle               bool // running, but not a voter as far as the operator knows
	retired            bool // was removed from the voters and stopped
	inbox              []input
	iterationScheduled bool
	timerID            int // of the latest timer; earlier ones are ignored
	disk               modelDisk
	writesInFlight     int // number of writes whose completion the disk hasn't reported
	state              stateMachine
	proposals          map[uint64]proposal
	commands           []string // to be proposed in the current iteration
	lastSnapshotIndex  uint64
	lastReconciledAt   time.Duration // when it last ran reconcileMembership as leader
}

// input is an input of a member's event loop. Exactly one field is set.
type input struct {
	message  *Message
	written  []diskWrite
	command  string
	read     *clientRead
	transfer bool
	snapshot bool
}

// proposal is a proposed command that isn't applied yet.
type proposal struct {
	term uint64
	data string
}

// clientRead is a read request of a client. It must see the state at minIndex or a later one.
type clientRead struct{ minIndex uint64 }

// voterChange is a change of the voters requested by the operator. An empty ID means that no
// voter is removed or added.
type voterChange struct {
	outgoing, incoming string
	proposed           bool // by a leader
}

// modelCluster is a simulated cluster with its clients and faults. It runs one walk.
type modelCluster struct {
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
	digest           uint64 // of all events; equal for two walks with the same seed
	counts           map[string]int
	lastAckedIndex   uint64 // index of the last acknowledged command
	lastAckedCommand string
	recovered        time.Duration // time from the end of all faults to the end of the walk
}

func newModelCluster(seed int64, mutation mutation, onlyCheck check) *modelCluster {
	c := &modelCluster{
		seed:     seed,
		random:   rand.New(rand.NewSource(seed)),
		byID:     map[string]*modelMember{},
		mutation: mutation,
		counts:   map[string]int{},
	}
	c.profile = randomProfile(c.random)
	if mutation.profile != nil {
		mutation.profile(&c.profile)
	}
	c.checks = newChecker(c, onlyCheck)
	c.net = modelNetwork{cluster: c, links: map[string]*modelLink{}}
	var voters []Member
	for i := 0; i < c.profile.voters; i++ {
		voters = append(voters, testMember(c.addMember().id))
	}
	first := Snapshot{Index: 1, Voters: voters, Data: stateMachine{index: 1}.encode()}
	c.checks.bootstrap(first)
	for _, m := range c.members {
		m.disk.snapshot = first
		c.start(m)
	}
	c.schedule(c.randomDelay(c.profile.meanFaultGap), c.injectFault)
	c.schedule(time.Millisecond, c.runClients)
	return c
}

func (c *modelCluster) addMember() *modelMember {
	member := &modelMember{
		id:          fmt.Sprintf("m%d", len(c.members)),
		clockRate:   0.99 + 0.02*c.random.Float64(),
		clockOffset: time.Duration(c.random.Intn(1e9)),
	}
	c.members = append(c.members, member)
	c.byID[member.id] = member
	return member
}

func (c *modelCluster) schedule(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{c.now + delay, c.sequence, run})
}

// randomDelay returns an exponentially distributed random delay with the given mean.
func (c *modelCluster) randomDelay(mean time.Duration) time.Duration {
	return time.Duration(c.random.ExpFloat64()*float64(mean)) + time.Microsecond
}

func (c *modelCluster) chance(probability float64) bool { return c.random.Float64() < probability }

// recordEvent adds an event to the digest and, if tracing is enabled, to the trace.
func (c *modelCluster) recordEvent(kind, id string, a, b uint64) {
	for _, text := range []string{kind, id} {
		for i := 0; i < len(text); i++ {
			c.digest = (c.digest ^ uint64(text[i])) * 1099511628211
		}
	}
	c.digest = (c.digest ^ a ^ b<<32 ^ uint64(c.now)) * 1099511628211
	if c.tracing {
		c.trace = append(c.trace, fmt.Sprintf("%6d %9.3fs %-4s %s %d %d", c.step, c.now.Seconds(), id, kind, a, b))
	}
}

func (m *modelMember) clock(now time.Duration) time.Time {
	return time.Unix(1000, 0).Add(m.clockOffset + time.Duration(float64(now)*m.clockRate))
}

func (c *modelCluster) start(member *modelMember) {
	member.incarnation++
	member.paused, member.inbox, member.iterationScheduled, member.writesInFlight, member.commands = false, nil, false, 0, nil
	member.proposals = map[uint64]proposal{}
	recovered := member.disk.recoverContents(c)
	member.state = decodeStateMachine(recovered.snapshot.Data)
	member.lastSnapshotIndex = recovered.snapshot.Index
	c.checks.onStart(member, recovered)
	c.recordEvent("start", member.id, recovered.hardState.Term, recovered.snapshot.Index)
	member.node = New(member.id, recovered.hardState, recovered.snapshot, recovered.log, member.clock(c.now), c.profile.config, c.random.Int63())
	member.node.RestoreCommit(recovered.commit)
	node := member.node
	node.SetSnapshotSource(func() *Snapshot { return c.snapshot(member) })
	c.scheduleIteration(member)
}

// crash kills a process. With powerLoss, writes that are not synced may be lost even if they
// have reached the operating system.
func (c *modelCluster) crash(member *modelMember, powerLoss bool) {
	if member.node == nil {
		return
	}
	c.recordEvent("crash", member.id, member.node.Term(), member.node.CommitIndex())
	member.disk.crash(c, powerLoss)
	member.node = nil
	member.incarnation++
}

// snapshot returns a snapshot of a member's state, as package server does.
func (c *modelCluster) snapshot(member *modelMember) *Snapshot {
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

// enqueue adds an input to a member's inbox.
func (c *modelCluster) enqueue(member *modelMember, in input) {
	member.inbox = append(member.inbox, in)
	c.scheduleIteration(member)
}

// scheduleIteration schedules an iteration of a member's event loop, sometimes with a delay,
// so that several inputs queue up.
func (c *modelCluster) scheduleIteration(member *modelMember) {
	if member.iterationScheduled || member.node == nil {
		return
	}
	member.iterationScheduled = true
	delay := time.Duration(0)
	if c.chance(0.2) {
		delay = time.Duration(c.random.Intn(20)) * time.Millisecond
	}
	incarnation := member.incarnation
	c.schedule(delay, func() {
		if member.incarnation == incarnation {
			member.iterationScheduled = false
			c.runIteration(member)
		}
	})
}

// runIteration runs one iteration of a member's event loop: it handles all queued inputs,
// then their consequences.
func (c *modelCluster) runIteration(member *modelMember) {
	if member.node == nil || member.paused {
		return
	}
	now := member.clock(c.now)
	inputs := member.inbox
	member.inbox = nil
	for _, in := range inputs {
		c.handleInput(member, in, now)
		c.checks.observe(member)
	}
	c.finishIteration(member, now)
	c.checks.observe(member)
}

func (c *modelCluster) handleInput(member *modelMember, in input, now time.Time) {
	switch {
	case in.message != nil:
		c.recordEvent(kindNames[in.message.Kind]+"<"+in.message.From, member.id, in.message.Term, in.message.Index)
		member.node.Step(*in.message, now)
	case in.written != nil:
		for _, write := range in.written {
			member.writesInFlight--
			c.writeCompleted(member, write)
		}
	case in.command != "":
		member.commands = append(member.commands, in.command)
	case in.read != nil:
		if member.node.LeaderReady() && member.node.HasLease(now) {
			c.counts["reads"]++
			c.checks.read(member, *in.read)
		}
	case in.transfer:
		if member.node.IsLeader() && member.node.TransferLeadership() == nil {
			c.counts["transfers"]++
			c.recordEvent("transfer", member.id, member.node.Term(), 0)
		}
	case in.snapshot:
		member.lastSnapshotIndex = 0
	}
}

func (c *modelCluster) writeCompleted(member *modelMember, write diskWrite) {
	if write.ready.MustSync() {
		member.node.WriteSynced(write.ready.WriteToken)
	}
	c.net.sendAll(member, write.ready.MessagesAfterSync)
	if write.snapshot != nil {
		member.node.Compact(write.snapshot.Index - min(write.snapshot.Index, c.profile.snapshotKeep))
	}
}

// finishIteration ticks the node, proposes commands, processes Readys, and sets the next timer.
func (c *modelCluster) finishIteration(member *modelMember, now time.Time) {
	wake := member.node.Tick(now)
	c.apply(member)
	c.reconcileMembership(member)
	c.propose(member)
	for i := 0; ; i++ {
		ready := member.node.Ready()
		if ready.IsEmpty() {
			break
		}
		if i > 1000 {
			c.checks.fail(checkLiveness, "%s: Ready not empty after 1000 calls", member.id)
			break
		}
		c.handleReady(member, ready)
		c.apply(member)
	}
	if bytes := entriesBytes(member.node.log); bytes != member.node.LogBytes() {
		panic(fmt.Sprintf("%s: the log has %d bytes, recounted %d", member.id, member.node.LogBytes(), bytes))
	}
	isDue := member.node.AppliedIndex() >= member.lastSnapshotIndex+c.profile.snapshotEvery
	isRequested := member.lastSnapshotIndex == 0 && member.node.AppliedIndex() > member.disk.snapshot.Index
	if isDue || isRequested {
		snapshot := c.snapshot(member)
		member.lastSnapshotIndex = snapshot.Index
		c.counts["snapshots"]++
		c.write(member, diskWrite{snapshot: snapshot})
	}
	if wake <= 0 {
		wake = time.Second
	}
	member.timerID++
	incarnation, timer := member.incarnation, member.timerID
	c.schedule(time.Duration(float64(wake)/member.clockRate)+time.Duration(c.random.Intn(2000))*time.Microsecond, func() {
		if member.incarnation == incarnation && member.timerID == timer {
			c.scheduleIteration(member)
		}
	})
}

func (c *modelCluster) handleReady(member *modelMember, ready Ready) {
	c.checks.onAppend(member, ready.Entries)
	c.net.sendAll(member, ready.Messages)
	if ready.Snapshot != nil {
		c.recordEvent("snapshot loaded", member.id, ready.Snapshot.Index, ready.Snapshot.Term)
		c.counts["loads"]++
		member.state = decodeStateMachine(ready.Snapshot.Data)
		member.lastSnapshotIndex = ready.Snapshot.Index
		c.checks.onSnapshotLoaded(member, ready.Snapshot.Index)
	}
	if ready.MustSync() || len(ready.MessagesAfterSync) > 0 && member.writesInFlight > 0 {
		c.write(member, diskWrite{ready: ready})
	} else {
		c.net.sendAll(member, ready.MessagesAfterSync)
	}
}

func (c *modelCluster) write(member *modelMember, write diskWrite) {
	member.writesInFlight++
	member.disk.queueWrite(c, member, write)
}

func (c *modelCluster) apply(member *modelMember) {
	for _, entry := range member.node.NextCommittedEntries() {
		c.checks.beforeApply(member, entry)
		if c.mutation.name != mutationSkipEntry || entry.Kind != EntryNormal || !c.chance(0.05) {
			member.state = member.state.apply(entry)
		} else {
			member.state.index = entry.Index
		}
		c.checks.afterApply(member, entry)
		if proposed, ok := member.proposals[entry.Index]; ok {
			delete(member.proposals, entry.Index)
			if proposed.term == entry.Term {
				c.counts["acks"]++
				c.checks.onAcknowledged(member, entry, proposed)
				c.lastAckedIndex, c.lastAckedCommand = entry.Index, proposed.data
			}
		}
	}
}

func (c *modelCluster) propose(member *modelMember) {
	for _, command := range member.commands {
		if !member.node.LeaderReady() {
			continue
		}
		if index, err := member.node.Propose([]byte(command)); err == nil {
			c.recordEvent("propose", member.id, index, member.node.Term())
			member.proposals[index] = proposal{member.node.Term(), command}
		}
	}
	member.commands = nil
}

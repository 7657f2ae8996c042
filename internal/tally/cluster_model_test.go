package tally

import (
	"fmt"
	"maps"
	"math/rand"
	"time"
)

// machine is a replica with its disk.
type machine struct {
	replica     *Replica
	disk        []Run
	writing     []Run // the write in progress
	origin      string
	fileCount   int
	diskStalled bool // writes don't complete
	// membersKnownAt is when the replica learns who its peers are: at once if it has them on its disk.
	membersKnownAt time.Time
	down           bool
	// acknowledged has the IDs that the replica acknowledged since its last start.
	acknowledged map[string]bool
}

// cluster is a group of machines with a network that loses, delays and blocks messages.
type cluster struct {
	random          *rand.Rand
	now             time.Time
	machines        []*machine
	inFlight        []delivery
	blocked         map[[2]int]bool
	sentAmounts     map[string]int64 // by ID, the amount of each add that was made
	acknowledgedIDs map[string]bool  // acknowledged adds, which must not be lost
	// onMessage is called for each message that is sent, if it is set.
	onMessage func(Message)
	// crashAt is the point of a step at which the machine crashTarget crashes. It restarts at once
	// and receives another add before it hears from a peer.
	crashAt     crashPoint
	crashTarget int
	crashes     int // number of crashes so far
	// sendsBeforeWrite injects a defect: a machine sends each add before it is written.
	sendsBeforeWrite bool
	// allowsDuplicateNumbers is set where files are restored from older copies, so that a number
	// can be assigned twice.
	allowsDuplicateNumbers bool
}

// crashPoint is a point in a machine's step at which it may crash.
type crashPoint int

const (
	noCrash     crashPoint = iota
	beforeWrite            // adds are staged
	duringWrite            // the write is in progress, messages were sent
	afterWrite             // the write is complete, but not reported to the replica
	beforeSend             // the write is reported to the replica, but nothing was sent since
	crashPointCount
)

type delivery struct {
	from, to  int
	arrivesAt time.Time
	message   Message
}

func newCluster(seed int64, size int) *cluster {
	c := &cluster{random: rand.New(rand.NewSource(seed)), now: testStart,
		blocked: map[[2]int]bool{}, sentAmounts: map[string]int64{}, acknowledgedIDs: map[string]bool{}}
	for range size {
		c.machines = append(c.machines, &machine{})
	}
	for i := range c.machines {
		c.start(i)
	}
	return c
}

func memberID(i int) string { return fmt.Sprint("m", i) }

// start starts a machine with the contents of its disk.
func (c *cluster) start(i int) {
	m := c.machines[i]
	if m.writing != nil && c.random.Intn(2) == 0 {
		m.disk = append(m.disk, m.writing...) // the write completed nevertheless
	}
	if m.writing = nil; len(m.disk) == 0 {
		m.fileCount++
		m.origin = fmt.Sprintf("%s/%d", memberID(i), m.fileCount)
	}
	m.down, m.acknowledged = false, map[string]bool{}
	m.replica = NewReplica(testConfig(m.origin), m.disk, int64(len(m.disk)), c.now)
	m.membersKnownAt = c.now
	c.setPeers(i)
}

// setPeers tells a machine's replica its peers, if it has learnt them.
func (c *cluster) setPeers(i int) {
	m := c.machines[i]
	if m.membersKnownAt.After(c.now) {
		m.replica.SetPeers(nil, false, c.now)
		return
	}
	var peers []string
	for j := range c.machines {
		if j != i {
			peers = append(peers, memberID(j))
		}
	}
	m.replica.SetPeers(peers, true, c.now)
}

// loseDisk restarts a machine with an empty disk. Its replica learns who its peers are only later.
func (c *cluster) loseDisk(i int) {
	m := c.machines[i]
	m.disk, m.writing = nil, nil
	c.start(i)
	m.membersKnownAt = c.now.Add(time.Duration(c.random.Intn(1000)) * time.Millisecond)
	c.setPeers(i)
}

// step advances the cluster by 10 ms.
func (c *cluster) step() {
	c.now = c.now.Add(10 * time.Millisecond)
	deliveries := c.inFlight
	c.inFlight = nil
	for _, f := range deliveries {
		switch {
		case f.arrivesAt.After(c.now) || c.blocked[[2]int{f.from, f.to}]:
			c.inFlight = append(c.inFlight, f)
		case !c.machines[f.to].down:
			c.machines[f.to].replica.Receive(memberID(f.from), f.message, c.now)
		}
	}
	for i, m := range c.machines {
		if m.down {
			continue
		}
		c.setPeers(i)
		m.replica.Tick(c.now)
		m.replica.DropChangesBefore(c.now.Add(-900 * time.Millisecond))
		c.crashIf(i, beforeWrite)
		if !m.diskStalled {
			if m.writing != nil {
				m.disk, m.writing = append(m.disk, m.writing...), nil
				if !c.crashIf(i, afterWrite) {
					m.replica.Written(int64(len(m.disk)), c.now)
				}
			}
			m.writing = m.replica.TakeWrites()
		}
		c.crashIf(i, beforeSend)
		c.sendMessages(i)
		c.crashIf(i, duringWrite)
	}
}

// sendMessages transmits a machine's messages, and loses some of them.
func (c *cluster) sendMessages(i int) {
	for _, envelope := range c.machines[i].replica.TakeMessages() {
		if c.onMessage != nil {
			c.onMessage(envelope.Message)
		}
		if c.random.Intn(20) == 0 {
			continue // lost
		}
		var to int
		_, _ = fmt.Sscanf(envelope.To, "m%d", &to)
		c.inFlight = append(c.inFlight, delivery{i, to,
			c.now.Add(time.Duration(c.random.Intn(30)) * time.Millisecond), envelope.Message})
	}
}

// crashIf crashes a machine if crashAt is this point, restarts it and makes another add there.
func (c *cluster) crashIf(i int, at crashPoint) bool {
	if c.crashAt != at || c.crashTarget != i ||
		len(c.machines[i].replica.toWrite)+len(c.machines[i].replica.writing) == 0 {
		return false
	}
	c.crashAt = noCrash
	c.start(i)
	c.crashes++
	c.add(i, fmt.Sprint("ended", c.crashes))
	return true
}

// add makes an add at a machine.
func (c *cluster) add(i int, id string) {
	m := c.machines[i]
	if m.down {
		return
	}
	c.sentAmounts[id] = int64(1 + len(id))
	m.replica.Change(Add{Tally: "t", ID: NewID("t", id), Amount: c.sentAmounts[id]},
		c.now, func(result Result, _ Position) {
			if result == ResultOK {
				c.acknowledgedIDs[id], m.acknowledged[id] = true, true
			}
		})
	if !c.sendsBeforeWrite {
		return
	}
	for j := range c.machines {
		if unwritten := m.replica.toWrite; j != i && len(unwritten) > 0 {
			m.replica.send(memberID(j), Message{Runs: unwritten[len(unwritten)-1:]})
		}
	}
}

// checkReads checks the total at each machine: it is at most the sum of all adds made (TWICE) and
// at least the sum of the adds that the machine acknowledged itself (STALE).
func (c *cluster) checkReads() error {
	maximum := int64(0)
	for _, amount := range c.sentAmounts {
		maximum += amount
	}
	for i, m := range c.machines {
		if m.down {
			continue
		}
		total, result := m.replica.Read("t", nil, c.now)
		if result != ResultOK {
			continue
		}
		minimum := int64(0)
		for id := range m.acknowledged {
			minimum += c.sentAmounts[id]
		}
		if total > maximum || total < minimum {
			return fmt.Errorf("TWICE or STALE: machine %d has total %d, want at most %d (sent) and at least %d (acknowledged)",
				i, total, maximum, minimum)
		}
	}
	return nil
}

// checkConverged checks, after a time without faults, that all machines show all acknowledged adds
// and no more than was sent, and hold the same adds under the same numbers.
func (c *cluster) checkConverged() error {
	minimum := int64(0)
	for id := range c.acknowledgedIDs {
		minimum += c.sentAmounts[id]
	}
	if err := c.checkReads(); err != nil {
		return err
	}
	for i, m := range c.machines {
		set, first := m.replica.set, c.machines[0].replica.set
		if total, result := m.replica.Read("t", nil, c.now); result != ResultOK || total < minimum {
			return fmt.Errorf("LOST: machine %d has total %d (result %v), want at least %d (acknowledged)",
				i, total, result, minimum)
		}
		for id := range c.acknowledgedIDs {
			if _, found := set.Find(NewID("t", id)); !found {
				return fmt.Errorf("LOST: machine %d lacks add %s, which was acknowledged", i, id)
			}
		}
		if !maps.Equal(set.Vector(), first.Vector()) {
			return fmt.Errorf("vectors of machines 0 and %d differ", i)
		}
		if err := compareAdds(first, set); err != nil {
			return fmt.Errorf("machines 0 and %d: %w", i, err)
		}
		if set.Digest() != digestOf(set.Vector()) {
			return fmt.Errorf("machine %d: digest doesn't match its vector", i)
		}
		if contents := recomputeContents(set); set.Contents() != contents {
			return fmt.Errorf("machine %d: contents digest is %x, recomputed %x", i, set.Contents(), contents)
		}
		if !c.allowsDuplicateNumbers && m.replica.Differences() != (Differences{}) {
			return fmt.Errorf("machine %d: contents differed from a peer's: %+v", i, m.replica.Differences())
		}
	}
	return nil
}

// recomputeContents computes the contents digest of a set from its adds.
func recomputeContents(s *Set) (sum uint64) {
	for _, origin := range s.origins {
		for i := range origin.written {
			sum += hashAdd(origin.name, i+1, origin.adds[i])
		}
	}
	return sum
}

// compareAdds compares all adds of two sets with equal vectors, position by position.
func compareAdds(a, b *Set) error {
	for _, ours := range a.origins {
		theirs := b.origins[b.byName[ours.name]]
		for i := range ours.written {
			if ours.adds[i] != theirs.adds[i] {
				return fmt.Errorf("add %d of origin %s differs: %v and %v", i+1, ours.name, ours.adds[i], theirs.adds[i])
			}
		}
	}
	return nil
}

// injectFault randomly starts or heals a partition, stops or starts a machine, stalls or resumes a
// disk, or schedules a crash at some point of a machine's next write.
func (c *cluster) injectFault() {
	machine := c.random.Intn(len(c.machines))
	switch c.random.Intn(100) {
	case 0:
		side := c.random.Intn(1 << len(c.machines))
		for i := range c.machines {
			for j := range c.machines {
				if side>>i&1 != side>>j&1 {
					c.blocked[[2]int{i, j}] = true
				}
			}
		}
	case 1, 2:
		clear(c.blocked)
	case 3:
		c.machines[machine].down = true
	case 4, 5:
		if c.machines[machine].down {
			c.start(machine)
		}
	case 6:
		c.machines[machine].diskStalled = true
	case 7, 8:
		c.machines[machine].diskStalled = false
	case 9, 10, 11, 12:
		if !c.machines[machine].down {
			c.crashTarget, c.crashAt = machine, 1+crashPoint(c.random.Intn(int(crashPointCount-1)))
		}
	}
}

// loseDiskAfterAcknowledgement makes a machine lose its disk right after it acknowledged an add, twice
// in a row, while there are no other faults. What it acknowledges between the two losses must be on
// another disk as well.
func (c *cluster) loseDiskAfterAcknowledgement() {
	victim := c.random.Intn(len(c.machines))
	for i := 0; !c.addAndLoseDisk(victim, fmt.Sprint("last", i), 50); i++ {
	}
	for i := range 5 {
		if c.addAndLoseDisk(victim, fmt.Sprint("wiped", i), 1+c.random.Intn(40)) {
			return
		}
	}
}

// addAndLoseDisk makes an add at a machine, which loses its disk as soon as it has acknowledged it. It
// reports whether the add was acknowledged within a number of steps.
func (c *cluster) addAndLoseDisk(victim int, id string, steps int) bool {
	c.add(victim, id)
	for range steps {
		c.step()
		if c.machines[victim].acknowledged[id] {
			c.loseDisk(victim)
			return true
		}
	}
	return false
}

// runWithFaults runs partitions, machines that stop or crash at each point of a write, disks that
// stall, and then the loss of one disk outside partitions. It checks reads after each step and
// convergence at the end.
func (c *cluster) runWithFaults() error {
	for range 100 {
		c.step()
	}
	for step := range 3000 {
		c.injectFault()
		if c.random.Intn(5) == 0 {
			id := fmt.Sprint(c.random.Intn(1 + step/4))
			c.add(c.random.Intn(len(c.machines)), id)
		}
		c.step()
		if err := c.checkReads(); err != nil {
			return err
		}
	}
	clear(c.blocked)
	for i, m := range c.machines {
		m.diskStalled = false
		if m.down {
			c.start(i)
		}
	}
	for range 300 {
		c.step()
	}
	if err := c.checkConverged(); err != nil {
		return err
	}
	c.loseDiskAfterAcknowledgement()
	for range 300 {
		c.step()
	}
	return c.checkConverged()
}

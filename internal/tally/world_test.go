package tally

import (
	"fmt"
	"maps"
	"math/rand"
	"time"
)

// machine is a replica with its disk.
type machine struct {
	replica *Replica
	disk    []Run
	writing []Run // on its way to the disk
	origin  string
	files   int
	stalled bool // its disk
	down    bool
	// acknowledged are the IDs that it has acknowledged in this life.
	acknowledged map[string]bool
}

// world is a group of machines with a network that loses, delays and cuts.
type world struct {
	random   *rand.Rand
	now      time.Time
	machines []*machine
	inFlight []flight
	cut      map[[2]int]bool
	sent     map[string]int64 // the amount of each ID that was ever sent
	kept     map[string]bool  // IDs that were acknowledged and must not be lost
	// onMessage is notified of each message that is sent, if it is set.
	onMessage func(Message)
	// endAt is the moment of a step at which ending, a machine, ends; it starts again at once
	// and is handed another add before it hears anything.
	endAt  moment
	ending int
	ended  int // how many IDs were handed to machines that had just ended
	// sendsUnwritten is a planted break: a machine sends each add before it is written.
	sendsUnwritten bool
	// mayDiffer: files are put back from copies, so that a number can be given twice.
	mayDiffer bool
}

// moment is a place in the work of a machine at which it may end.
type moment int

const (
	never       moment = iota
	beforeWrite        // adds are staged
	duringWrite        // the disk has them to write, messages were sent
	afterWrite         // the disk has them, the replica does not know yet
	beforeSend         // the replica knows that they are on the disk, nothing was sent since
	lastMoment
)

type flight struct {
	from, to  int
	arrivesAt time.Time
	message   Message
}

func newWorld(seed int64, size int) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), now: testStart, cut: map[[2]int]bool{}, sent: map[string]int64{}, kept: map[string]bool{}}
	for range size {
		w.machines = append(w.machines, &machine{})
	}
	for i := range w.machines {
		w.start(i)
	}
	return w
}

func memberID(i int) string { return fmt.Sprint("m", i) }

// start starts a machine with what is on its disk.
func (w *world) start(i int) {
	m := w.machines[i]
	if m.writing != nil && w.random.Intn(2) == 0 {
		m.disk = append(m.disk, m.writing...) // it came to an end all the same
	}
	if m.writing = nil; len(m.disk) == 0 {
		m.files++
		m.origin = fmt.Sprintf("%s/%d", memberID(i), m.files)
	}
	m.down, m.acknowledged = false, map[string]bool{}
	m.replica = NewReplica(testConfig(m.origin), m.disk, int64(len(m.disk)), w.now)
	var peers []string
	for j := range w.machines {
		if j != i {
			peers = append(peers, memberID(j))
		}
	}
	m.replica.SetPeers(peers)
}

// step lets 10 ms pass.
func (w *world) step() {
	w.now = w.now.Add(10 * time.Millisecond)
	flights := w.inFlight
	w.inFlight = nil
	for _, f := range flights {
		switch {
		case f.arrivesAt.After(w.now) || w.cut[[2]int{f.from, f.to}]:
			w.inFlight = append(w.inFlight, f)
		case !w.machines[f.to].down:
			w.machines[f.to].replica.Receive(memberID(f.from), f.message, w.now)
		}
	}
	for i, m := range w.machines {
		if m.down {
			continue
		}
		m.replica.Tick(w.now)
		m.replica.Abandon(w.now.Add(-900 * time.Millisecond))
		w.endIf(i, beforeWrite)
		if !m.stalled {
			if m.writing != nil {
				m.disk, m.writing = append(m.disk, m.writing...), nil
				if !w.endIf(i, afterWrite) {
					m.replica.Written(int64(len(m.disk)), w.now)
				}
			}
			m.writing = m.replica.TakeWrites()
		}
		w.endIf(i, beforeSend)
		w.sendMessages(i)
		w.endIf(i, duringWrite)
	}
}

// sendMessages carries what a machine wants sent, of which some is lost.
func (w *world) sendMessages(i int) {
	for _, envelope := range w.machines[i].replica.TakeMessages() {
		if w.onMessage != nil {
			w.onMessage(envelope.Message)
		}
		if w.random.Intn(20) == 0 {
			continue // lost
		}
		var to int
		_, _ = fmt.Sscanf(envelope.To, "m%d", &to)
		w.inFlight = append(w.inFlight, flight{i, to, w.now.Add(time.Duration(w.random.Intn(30)) * time.Millisecond), envelope.Message})
	}
}

// endIf ends a machine if this is the moment, starts it again and hands it another add.
func (w *world) endIf(i int, at moment) bool {
	if w.endAt != at || w.ending != i || len(w.machines[i].replica.toWrite)+len(w.machines[i].replica.writing) == 0 {
		return false
	}
	w.endAt = never
	w.start(i)
	w.ended++
	w.add(i, fmt.Sprint("ended", w.ended))
	return true
}

// add has a caller add at a machine.
func (w *world) add(i int, id string) {
	m := w.machines[i]
	if m.down {
		return
	}
	w.sent[id] = int64(1 + len(id))
	m.replica.Change(Add{Tally: "t", ID: NewID("t", id), Amount: w.sent[id]}, w.now, func(result Result, _ Position) {
		if result == ResultOK {
			w.kept[id], m.acknowledged[id] = true, true
		}
	})
	if !w.sendsUnwritten {
		return
	}
	for j := range w.machines {
		if unwritten := m.replica.toWrite; j != i && len(unwritten) > 0 {
			m.replica.send(memberID(j), Message{Runs: unwritten[len(unwritten)-1:]})
		}
	}
}

// checkReads holds the sum that each machine shows against the rules: TWICE, and STALE of
// what it has acknowledged itself.
func (w *world) checkReads() error {
	most := int64(0)
	for _, amount := range w.sent {
		most += amount
	}
	for i, m := range w.machines {
		if m.down {
			continue
		}
		total, result := m.replica.Read("t", nil, w.now)
		if result != ResultOK {
			continue
		}
		least := int64(0)
		for id := range m.acknowledged {
			least += w.sent[id]
		}
		if total > most || total < least {
			return fmt.Errorf("TWICE or STALE: machine %d shows %d, %d was sent, %d acknowledged there", i, total, most, least)
		}
	}
	return nil
}

// checkKept: after a calm time all machines show all that was acknowledged, and no more than
// what was sent, and hold the same adds under the same numbers.
func (w *world) checkKept() error {
	least := int64(0)
	for id := range w.kept {
		least += w.sent[id]
	}
	if err := w.checkReads(); err != nil {
		return err
	}
	for i, m := range w.machines {
		set, first := m.replica.set, w.machines[0].replica.set
		if total, result := m.replica.Read("t", nil, w.now); result != ResultOK || total < least {
			return fmt.Errorf("LOST: machine %d shows %d (%v), %d was acknowledged", i, total, result, least)
		}
		if !maps.Equal(set.Vector(), first.Vector()) {
			return fmt.Errorf("machines 0 and %d differ", i)
		}
		if err := differenceOf(first, set); err != nil {
			return fmt.Errorf("machines 0 and %d: %w", i, err)
		}
		if set.Digest() != digestOf(set.Vector()) {
			return fmt.Errorf("machine %d: the digest is not that of its vector", i)
		}
		if contents := contentsOf(set); set.Contents() != contents {
			return fmt.Errorf("machine %d: the digest of its contents is %x, counted again %x", i, set.Contents(), contents)
		}
		if !w.mayDiffer && m.replica.Differences() != (Differences{}) {
			return fmt.Errorf("machine %d: contents differed, %+v", i, m.replica.Differences())
		}
	}
	return nil
}

// contentsOf counts the digest of a set's contents again.
func contentsOf(s *Set) (sum uint64) {
	for _, origin := range s.origins {
		for i := range origin.written {
			sum += hashAdd(origin.name, i+1, origin.adds[i])
		}
	}
	return sum
}

// differenceOf compares all adds of two sets with equal vectors, by their places.
func differenceOf(a, b *Set) error {
	for _, ours := range a.origins {
		theirs := b.origins[b.byName[ours.name]]
		for i := range ours.written {
			if ours.adds[i] != theirs.adds[i] {
				return fmt.Errorf("add %d of %s is %v and %v", i+1, ours.name, ours.adds[i], theirs.adds[i])
			}
		}
	}
	return nil
}

// trouble has something happen now and then: a partition, whichever, or its end, a machine
// that ends or starts, or ends at some moment of its next write, a disk that stalls or goes on.
func (w *world) trouble() {
	machine := w.random.Intn(len(w.machines))
	switch w.random.Intn(100) {
	case 0:
		side := w.random.Intn(1 << len(w.machines))
		for i := range w.machines {
			for j := range w.machines {
				if side>>i&1 != side>>j&1 {
					w.cut[[2]int{i, j}] = true
				}
			}
		}
	case 1, 2:
		clear(w.cut)
	case 3:
		w.machines[machine].down = true
	case 4, 5:
		if w.machines[machine].down {
			w.start(machine)
		}
	case 6:
		w.machines[machine].stalled = true
	case 7, 8:
		w.machines[machine].stalled = false
	case 9, 10, 11, 12:
		if !w.machines[machine].down {
			w.ending, w.endAt = machine, 1+moment(w.random.Intn(int(lastMoment-1)))
		}
	}
}

// loseDiskOfWhoAcknowledges has a machine lose its disk right after it has acknowledged an
// add, in a calm time.
func (w *world) loseDiskOfWhoAcknowledges() {
	for i := 0; ; i++ {
		id, victim := fmt.Sprint("last", i), w.random.Intn(len(w.machines))
		w.add(victim, id)
		for range 50 {
			w.step()
			if w.machines[victim].acknowledged[id] {
				w.machines[victim].disk, w.machines[victim].writing = nil, nil
				w.start(victim)
				return
			}
		}
	}
}

// playTroubles plays partitions, machines that end, also at each moment of a write, disks that
// stall, and one disk that is lost at a time outside partitions.
func (w *world) playTroubles() error {
	for range 100 {
		w.step()
	}
	for step := range 3000 {
		w.trouble()
		if w.random.Intn(5) == 0 {
			id := fmt.Sprint(w.random.Intn(1 + step/4))
			w.add(w.random.Intn(len(w.machines)), id)
		}
		w.step()
		if err := w.checkReads(); err != nil {
			return err
		}
	}
	clear(w.cut)
	for i, m := range w.machines {
		m.stalled = false
		if m.down {
			w.start(i)
		}
	}
	for range 300 {
		w.step()
	}
	if err := w.checkKept(); err != nil {
		return err
	}
	w.loseDiskOfWhoAcknowledges()
	for range 300 {
		w.step()
	}
	return w.checkKept()
}

package member

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// seedNode is a seed of the model: a founder that listens from a time on, and
// may lose its memory.
type seedNode struct {
	f     Founder
	up    time.Time
	wiped time.Time
}

// coreNode is a candidate of the model, and a member once it was told to go.
type coreNode struct {
	me     raft.Member
	next   time.Time
	turns  int
	seeds  Announcer
	bound  []raft.Member
	member bool // founded with bound
	joined bool // a core was founded without it
	killed time.Time
	late   bool // started again
}

// founding is a first start of n core daemons and three seeds.
type founding struct {
	rnd   *rand.Rand
	now   time.Time
	seeds map[string]*seedNode
	names []string
	cores []*coreNode
	lost  float64 // part of the announcements without an answer
}

func newFounding(seed int64) *founding {
	m := &founding{rnd: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), seeds: map[string]*seedNode{}}
	n := 3 + m.rnd.Intn(6)
	// At least 3: 2 x lostMachines + 1, and no more than there are.
	least := 3 + 2*m.rnd.Intn((n-1)/2)
	m.lost = m.rnd.Float64() * 0.2
	start := func(most int) time.Time { return m.now.Add(time.Duration(m.rnd.Intn(most)) * time.Millisecond) }
	for i := range 3 {
		s := &seedNode{f: Founder{Least: least}, up: start(300)}
		if m.rnd.Intn(4) == 0 {
			s.up = start(2500) // slow to start
		}
		if i == 0 && m.rnd.Intn(4) == 0 {
			s.wiped = s.up.Add(time.Duration(m.rnd.Intn(4000)) * time.Millisecond)
		}
		addr := fmt.Sprint("s", i)
		m.seeds[addr], m.names = s, append(m.names, addr)
	}
	for i := range n {
		c := &coreNode{me: raft.Member{Node: fmt.Sprint("n", i), ID: fmt.Sprint("d", i)}, next: start(300)}
		if m.rnd.Intn(6) == 0 {
			c.next = start(2500)
		}
		if m.rnd.Intn(8) == 0 {
			c.killed = c.next.Add(time.Duration(m.rnd.Intn(3000)) * time.Millisecond)
		}
		m.cores = append(m.cores, c)
	}
	return m
}

// ask announces to one seed; false without an answer.
func (m *founding) ask(addr string, f Found) (Proposal, bool) {
	s := m.seeds[addr]
	if !s.wiped.IsZero() && !m.now.Before(s.wiped) {
		s.f, s.up, s.wiped = Founder{Least: s.f.Least}, m.now.Add(time.Duration(300+m.rnd.Intn(1500))*time.Millisecond), time.Time{}
	}
	if m.now.Before(s.up) || m.rnd.Float64() < m.lost/2 {
		return Proposal{}, false
	}
	p := s.f.Take(f, m.now)
	return p, m.rnd.Float64() >= m.lost/2
}

// turn is one announcement of a core daemon, as core's announcer makes it.
func (m *founding) turn(c *coreNode) {
	if !c.killed.IsZero() && !m.now.Before(c.killed) {
		// What is on its disk stays: its identity, and what it is bound to.
		c.next, c.killed, c.late = m.now.Add(time.Duration(300+m.rnd.Intn(1500))*time.Millisecond), time.Time{}, true
		c.turns, c.seeds = 0, Announcer{}
		return
	}
	c.next = m.now.Add(tune.Announce)
	c.turns++
	f := Found{Me: c.me, Bound: c.bound, Late: c.late && len(c.bound) == 0}
	if c.member {
		if c.turns < tune.FoundTold && c.turns%4 == 1 {
			for _, addr := range m.names {
				m.ask(addr, f)
			}
		}
		return
	}
	addr := c.seeds.Place(m.names, m.now)
	p, ok := m.ask(addr, f)
	if !ok {
		c.next = m.now.Add(tune.Dial)
		return
	}
	c.seeds.Answered(m.now)
	switch {
	case len(p.Set) == 0:
	case len(c.bound) == 0:
		for _, voter := range p.Set {
			if voter == c.me {
				c.bound = p.Set
			}
		}
		c.joined = len(c.bound) == 0
	case p.Go:
		c.member = true
	}
}

// play runs it for so long and gives the sets of the cores that were founded.
func (m *founding) play(d time.Duration) map[string]bool {
	for end := m.now.Add(d); m.now.Before(end); {
		sort.SliceStable(m.cores, func(a, b int) bool { return m.cores[a].next.Before(m.cores[b].next) })
		c := m.cores[0]
		m.now = c.next
		if c.joined {
			c.next = end
			continue
		}
		m.turn(c)
	}
	sets := map[string]bool{}
	for _, c := range m.cores {
		if c.member {
			sets[fmt.Sprint(c.bound)] = true
		}
	}
	return sets
}

// TestOneCoreIsFounded: whatever the number of core daemons, the order in which
// they and the seeds start, announcements without an answer, and a seed that
// forgets, core daemons that are ended and started again, one core is founded and all belong to it or know of it.
func TestOneCoreIsFounded(t *testing.T) {
	for seed := range int64(1500) {
		m := newFounding(seed)
		sets := m.play(20 * time.Second)
		if len(sets) != 1 {
			t.Errorf("seed %d, %d core daemons: %d cores were founded", seed, len(m.cores), len(sets))
		}
		for _, c := range m.cores {
			if late := c.late && len(c.bound) == 0; !c.member && !c.joined && !late {
				t.Errorf("seed %d, %d core daemons: %s belongs to none; bound to %v", seed, len(m.cores), c.me.Node, c.bound)
			}
		}
	}
}

// TestCandidatesInsistOnOneSeed: the order in the settings doesn't matter, and
// another seed is turned to only after a long silence.
func TestCandidatesInsistOnOneSeed(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b Announcer
	for range 4 {
		if x, y := a.Place([]string{"s2", "s1", "s3"}, now), b.Place([]string{"s1", "s3", "s2"}, now); x != "s1" || y != "s1" {
			t.Fatalf("%s and %s", x, y)
		}
		now = now.Add(tune.FoundPatience - 2*tune.Announce)
		b.Answered(now)
		if x := a.Place([]string{"s2", "s1"}, now); x != "s1" {
			t.Fatalf("silent for less than %v: %s", tune.FoundPatience, x)
		}
		a.Answered(now)
	}
	now = now.Add(tune.FoundPatience)
	if x := a.Place([]string{"s2", "s1"}, now); x != "s2" {
		t.Errorf("after the first was silent for %v: %s", tune.FoundPatience, x)
	}
	b.Answered(now)
	if x := b.Place([]string{"s2", "s1"}, now); x != "s1" {
		t.Errorf("the first answers: %s", x)
	}
	if x := a.Place(nil, now); x != "" {
		t.Errorf("without seeds: %q", x)
	}
}

// TestFounderCountsMachinesWithAnIdentityOnce: a daemon whose disk isn't open
// yet has no identity to be bound to, and one that came back with another disk
// before the core was founded takes its own place.
func TestFounderCountsMachinesWithAnIdentityOnce(t *testing.T) {
	f := Founder{Least: 3}
	now := time.Unix(1000, 0)
	announce := func(machines ...[2]string) Proposal {
		var p Proposal
		for range 20 {
			now = now.Add(tune.Announce)
			for _, m := range machines {
				p = f.Take(Found{Me: raft.Member{Node: m[0], ID: m[1]}}, now)
			}
		}
		return p
	}
	f.Take(Found{Me: raft.Member{Node: "a", ID: "a1"}}, now)
	if p := announce([2]string{"a", "a2"}, [2]string{"b", "b1"}, [2]string{"c", ""}); len(p.Set) != 0 {
		t.Fatalf("two machines were proposed as %v", p.Set)
	}
	if p := announce([2]string{"a", "a2"}, [2]string{"b", "b1"}, [2]string{"c", "c1"}); len(p.Set) != 3 || p.Set[0].ID != "a2" {
		t.Errorf("proposed %v", p.Set)
	}
}

// TestEmptiedMachinesFoundNothing: however many core daemons with empty disks
// announce themselves, without one in its first life the system isn't starting
// for the first time.
func TestEmptiedMachinesFoundNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	f := Founder{Least: 3}
	for range 100 {
		now = now.Add(tune.Announce)
		for i := range 6 {
			if p := f.Take(Found{Me: raft.Member{ID: fmt.Sprint("d", i)}, Late: true}, now); len(p.Set) != 0 {
				t.Fatalf("a core of %d", len(p.Set))
			}
		}
	}
}

// TestSetLeavesOutWhoFellSilent: the first core must not wait for a machine that
// announced itself and was lost.
func TestSetLeavesOutWhoFellSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	f := Founder{Least: 3}
	f.Take(Found{Me: raft.Member{ID: "gone"}}, now)
	var p Proposal
	for range 20 {
		now = now.Add(tune.Announce)
		for i := range 2 {
			p = f.Take(Found{Me: raft.Member{ID: fmt.Sprint("d", i)}}, now)
		}
	}
	if len(p.Set) != 0 {
		t.Fatalf("a core of %d, two of them there", len(p.Set))
	}
	for range 20 {
		now = now.Add(tune.Announce)
		for i := range 3 {
			p = f.Take(Found{Me: raft.Member{ID: fmt.Sprint("d", i)}}, now)
		}
	}
	if len(p.Set) != 3 || p.Set[0].ID != "d0" {
		t.Errorf("proposed %v", p.Set)
	}
}

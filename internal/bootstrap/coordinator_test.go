package bootstrap

import (
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/tuning"
)

// seedNode is a seed of the model: a founder that listens from a time on, and
// may lose its memory.
type seedNode struct {
	coordinator Coordinator
	startsAt    time.Time
	wipedAt     time.Time
}

// candidateNode is a candidate of the model, and a member once it was told to go.
type candidateNode struct {
	voter     raft.Member
	nextAt    time.Time
	turns     int
	selector  SeedSelector
	bound     []raft.Member
	member    bool // founded with bound
	leftOut   bool // a core was founded without it
	killedAt  time.Time
	restarted bool // started again
}

// bootstrapModel is a first start of n core daemons and three seeds.
type bootstrapModel struct {
	random     *rand.Rand
	now        time.Time
	seeds      map[string]*seedNode
	addresses  []string
	candidates []*candidateNode
	lossRate   float64 // part of the announcements without an answer
}

func newBootstrapModel(seed int64) *bootstrapModel {
	m := &bootstrapModel{random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), seeds: map[string]*seedNode{}}
	candidateCount := 3 + m.random.Intn(6)
	// At least 3: 2 x lostMachines + 1, and no more than there are.
	minVoters := 3 + 2*m.random.Intn((candidateCount-1)/2)
	m.lossRate = m.random.Float64() * 0.2
	startWithin := func(maxMs int) time.Time { return m.now.Add(time.Duration(m.random.Intn(maxMs)) * time.Millisecond) }
	for i := range 3 {
		seedServer := &seedNode{coordinator: Coordinator{MinVoters: minVoters}, startsAt: startWithin(300)}
		if m.random.Intn(4) == 0 {
			seedServer.startsAt = startWithin(2500) // slow to start
		}
		if i == 0 && m.random.Intn(4) == 0 {
			seedServer.wipedAt = seedServer.startsAt.Add(time.Duration(m.random.Intn(4000)) * time.Millisecond)
		}
		addr := fmt.Sprint("s", i)
		m.seeds[addr], m.addresses = seedServer, append(m.addresses, addr)
	}
	for i := range candidateCount {
		candidate := &candidateNode{voter: raft.Member{Node: fmt.Sprint("n", i), ID: fmt.Sprint("d", i)}, nextAt: startWithin(300)}
		if m.random.Intn(6) == 0 {
			candidate.nextAt = startWithin(2500)
		}
		if m.random.Intn(8) == 0 {
			candidate.killedAt = candidate.nextAt.Add(time.Duration(m.random.Intn(3000)) * time.Millisecond)
		}
		m.candidates = append(m.candidates, candidate)
	}
	return m
}

// announce announces to one seed; false without an answer.
func (m *bootstrapModel) announce(addr string, announcement rpc.BootstrapAnnouncement) (rpc.BootstrapProposal, bool) {
	seed := m.seeds[addr]
	if !seed.wipedAt.IsZero() && !m.now.Before(seed.wipedAt) {
		seed.coordinator, seed.startsAt, seed.wipedAt = Coordinator{MinVoters: seed.coordinator.MinVoters}, m.now.Add(time.Duration(300+m.random.Intn(1500))*time.Millisecond), time.Time{}
	}
	if m.now.Before(seed.startsAt) || m.random.Float64() < m.lossRate/2 {
		return rpc.BootstrapProposal{}, false
	}
	proposal := seed.coordinator.HandleAnnouncement(announcement, m.now)
	return proposal, m.random.Float64() >= m.lossRate/2
}

// step is one announcement of a core daemon, as core's announcer makes it.
func (m *bootstrapModel) step(candidate *candidateNode) {
	if !candidate.killedAt.IsZero() && !m.now.Before(candidate.killedAt) {
		// What is on its disk stays: its identity, and what it is bound to.
		candidate.nextAt, candidate.killedAt, candidate.restarted = m.now.Add(time.Duration(300+m.random.Intn(1500))*time.Millisecond), time.Time{}, true
		candidate.turns, candidate.selector = 0, SeedSelector{}
		return
	}
	candidate.nextAt = m.now.Add(tuning.BootstrapAnnounceInterval)
	candidate.turns++
	announcement := rpc.BootstrapAnnouncement{Voter: candidate.voter, BoundVoters: candidate.bound, NotFirstStart: candidate.restarted && len(candidate.bound) == 0}
	if candidate.member {
		if candidate.turns < tuning.BootstrapAnnounceRounds && candidate.turns%4 == 1 {
			for _, addr := range m.addresses {
				m.announce(addr, announcement)
			}
		}
		return
	}
	addr := candidate.selector.Select(m.addresses, m.now)
	proposal, ok := m.announce(addr, announcement)
	if !ok {
		candidate.nextAt = m.now.Add(tuning.DialTimeout)
		return
	}
	candidate.selector.OnResponse(m.now)
	switch {
	case len(proposal.Voters) == 0:
	case len(candidate.bound) == 0:
		for _, voter := range proposal.Voters {
			if voter == candidate.voter {
				candidate.bound = proposal.Voters
			}
		}
		candidate.leftOut = len(candidate.bound) == 0
	case proposal.Start:
		candidate.member = true
	}
}

// run runs it for so long and gives the sets of the cores that were founded.
func (m *bootstrapModel) run(duration time.Duration) map[string]bool {
	for end := m.now.Add(duration); m.now.Before(end); {
		sort.SliceStable(m.candidates, func(a, b int) bool { return m.candidates[a].nextAt.Before(m.candidates[b].nextAt) })
		candidate := m.candidates[0]
		m.now = candidate.nextAt
		if candidate.leftOut {
			candidate.nextAt = end
			continue
		}
		m.step(candidate)
	}
	sets := map[string]bool{}
	for _, candidate := range m.candidates {
		if candidate.member {
			sets[fmt.Sprint(candidate.bound)] = true
		}
	}
	return sets
}

// TestExactlyOneClusterIsBootstrapped: whatever the number of core daemons, the order in which
// they and the seeds start, announcements without an answer, and a seed that
// forgets, core daemons that are ended and started again, one core is founded and all belong to it or know of it.
func TestExactlyOneClusterIsBootstrapped(t *testing.T) {
	for seed := range int64(1500) {
		model := newBootstrapModel(seed)
		sets := model.run(20 * time.Second)
		if len(sets) != 1 {
			t.Errorf("seed %d, %d core daemons: %d cores were founded", seed, len(model.candidates), len(sets))
		}
		for _, candidate := range model.candidates {
			if notFirstStart := candidate.restarted && len(candidate.bound) == 0; !candidate.member && !candidate.leftOut && !notFirstStart {
				t.Errorf("seed %d, %d core daemons: %s belongs to none; bound to %v", seed, len(model.candidates), candidate.voter.Node, candidate.bound)
			}
		}
	}
}

// TestSeedSelectorKeepsToOneSeed: the order in the settings doesn't matter, and
// another seed is turned to only after a long silence.
func TestSeedSelectorKeepsToOneSeed(t *testing.T) {
	now := time.Unix(1000, 0)
	var first, second SeedSelector
	for range 4 {
		if x, y := first.Select([]string{"s2", "s1", "s3"}, now), second.Select([]string{"s1", "s3", "s2"}, now); x != "s1" || y != "s1" {
			t.Fatalf("%s and %s", x, y)
		}
		now = now.Add(tuning.BootstrapSeedTimeout - 2*tuning.BootstrapAnnounceInterval)
		second.OnResponse(now)
		if x := first.Select([]string{"s2", "s1"}, now); x != "s1" {
			t.Fatalf("silent for less than %v: %s", tuning.BootstrapSeedTimeout, x)
		}
		first.OnResponse(now)
	}
	now = now.Add(tuning.BootstrapSeedTimeout)
	if x := first.Select([]string{"s2", "s1"}, now); x != "s2" {
		t.Errorf("after the first was silent for %v: %s", tuning.BootstrapSeedTimeout, x)
	}
	second.OnResponse(now)
	if x := second.Select([]string{"s2", "s1"}, now); x != "s1" {
		t.Errorf("the first answers: %s", x)
	}
	if x := first.Select(nil, now); x != "" {
		t.Errorf("without seeds: %q", x)
	}
}

// TestCoordinatorCountsEachIdentifiedMachineOnce: a daemon whose disk isn't open
// yet has no identity to be bound to, and one that came back with another disk
// before the core was founded takes its own place.
func TestCoordinatorCountsEachIdentifiedMachineOnce(t *testing.T) {
	coordinator := Coordinator{MinVoters: 3}
	now := time.Unix(1000, 0)
	announce := func(machines ...[2]string) rpc.BootstrapProposal {
		var proposal rpc.BootstrapProposal
		for range 20 {
			now = now.Add(tuning.BootstrapAnnounceInterval)
			for _, machine := range machines {
				proposal = coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{Node: machine[0], ID: machine[1]}}, now)
			}
		}
		return proposal
	}
	coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{Node: "a", ID: "a1"}}, now)
	if proposal := announce([2]string{"a", "a2"}, [2]string{"b", "b1"}, [2]string{"c", ""}); len(proposal.Voters) != 0 {
		t.Fatalf("two machines were proposed as %v", proposal.Voters)
	}
	if proposal := announce([2]string{"a", "a2"}, [2]string{"b", "b1"}, [2]string{"c", "c1"}); len(proposal.Voters) != 3 || proposal.Voters[0].ID != "a2" {
		t.Errorf("proposed %v", proposal.Voters)
	}
}

// TestRestartedCandidatesBootstrapNothing: however many core daemons with empty disks
// announce themselves, without one in its first life the system isn't starting
// for the first time.
func TestRestartedCandidatesBootstrapNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator := Coordinator{MinVoters: 3}
	for range 100 {
		now = now.Add(tuning.BootstrapAnnounceInterval)
		for i := range 6 {
			if proposal := coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: fmt.Sprint("d", i)}, NotFirstStart: true}, now); len(proposal.Voters) != 0 {
				t.Fatalf("a core of %d", len(proposal.Voters))
			}
		}
	}
}

// TestProposalLeavesOutSilentCandidates: the first core must not wait for a machine that
// announced itself and was lost.
func TestProposalLeavesOutSilentCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	coordinator := Coordinator{MinVoters: 3}
	coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: "gone"}}, now)
	var proposal rpc.BootstrapProposal
	for range 20 {
		now = now.Add(tuning.BootstrapAnnounceInterval)
		for i := range 2 {
			proposal = coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: fmt.Sprint("d", i)}}, now)
		}
	}
	if len(proposal.Voters) != 0 {
		t.Fatalf("a core of %d, two of them there", len(proposal.Voters))
	}
	for range 20 {
		now = now.Add(tuning.BootstrapAnnounceInterval)
		for i := range 3 {
			proposal = coordinator.HandleAnnouncement(rpc.BootstrapAnnouncement{Voter: raft.Member{ID: fmt.Sprint("d", i)}}, now)
		}
	}
	if len(proposal.Voters) != 3 || proposal.Voters[0].ID != "d0" {
		t.Errorf("proposed %v", proposal.Voters)
	}
}

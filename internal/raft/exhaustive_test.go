package raft

import (
	"flag"
	"slices"
	"strings"
	"testing"
)

// search goes through all states that a number of moves leads to.
type search struct {
	mutation  searchMutation
	seen      map[uint64]int8 // by name: the moves that were left there
	states    int
	violation string
	path      []move
}

func (x *search) explore(s *searchState, depth int) bool {
	if depth == 0 {
		return true
	}
	hash := s.hash()
	if int(x.seen[hash]) >= depth {
		return true
	}
	if x.seen[hash] == 0 {
		x.states++
	}
	x.seen[hash] = int8(depth)
	for _, next := range s.moves() {
		x.path = append(x.path, next)
		after, violation := s.after(next, x.mutation)
		if violation != "" && strings.HasPrefix(violation, string(x.mutation.check)) {
			x.violation = violation
			return false
		}
		if violation == "" && !x.explore(after, depth-1) {
			return false
		}
		x.path = x.path[:len(x.path)-1]
	}
	return true
}

// searchScenario is a beginning, and the bounds of the search from there.
type searchScenario struct {
	name     string
	prelude  []move // deliver: all until it is quiet; sync: what is on the wire is lost
	budget   [limitedKinds]int
	lateSync bool
	depth    int
}

var (
	deliverAll = move{eventDeliver, 0}
	loseAll    = move{eventSync, 0}
)

var searchScenarios = []searchScenario{
	{"an election", []move{{eventTimeout, 0}}, [limitedKinds]int{1, 0, 1, 1}, false, 7},
	{"two candidates", []move{{eventTimeout, 0}, {eventTimeout, 1}}, [limitedKinds]int{0, 0, 0, 1}, false, 8},
	{"a leader with a committed entry", []move{{eventTimeout, 0}, deliverAll}, [limitedKinds]int{1, 1, 1, 1}, false, 7},
	{"an entry that only the leader has", []move{{eventTimeout, 0}, deliverAll, {eventPropose, 0}, loseAll}, [limitedKinds]int{2, 0, 1, 1}, false, 6},
	{"entries of two leaders, each on one disk", []move{{eventTimeout, 0}, deliverAll, {eventPropose, 0}, loseAll, {eventTimeout, 1}, deliverAll, {eventPropose, 1}, loseAll},
		[limitedKinds]int{2, 0, 0, 1}, false, 6},
	{"a leader that is voted out", []move{{eventTimeout, 0}, deliverAll, {eventConfChange, 0}}, [limitedKinds]int{1, 0, 0, 1}, false, 7},
	{"two members agree, the third knows nothing", []move{{eventTimeout, 0}, {eventExchange, 2}, loseAll}, [limitedKinds]int{1, 0, 1, 1}, false, 7},
	{"entries that the third lacks", []move{{eventTimeout, 0}, deliverAll, {eventPropose, 0}, {eventExchange, 2}, {eventPropose, 0}, {eventExchange, 2}, loseAll},
		[limitedKinds]int{1, 1, 0, 1}, false, 6},
	{"writes that are synced late", []move{{eventTimeout, 0}, deliverAll}, [limitedKinds]int{1, 0, 2, 1}, true, 7},
	{"votes that are synced late", []move{{eventTimeout, 0}}, [limitedKinds]int{1, 0, 1, 1}, true, 7},
}

// exchange delivers what member 0 and another have for each other.
func (s *searchState) exchange(other int, mutation searchMutation) *searchState {
	pair := []string{searchIDs[0], searchIDs[other]}
	for {
		i := slices.IndexFunc(s.messages, func(x searchMessage) bool { return slices.Contains(pair, x.From) && slices.Contains(pair, x.To) })
		if i < 0 {
			return s
		}
		s, _ = s.after(move{eventDeliver, i}, mutation)
	}
}

// start plays the first moves of a scenario.
func (c searchScenario) start(mutation searchMutation) *searchState {
	s := newSearchState()
	for _, next := range c.prelude {
		s.budget = [limitedKinds]int{1, 1, 1, 1}
		switch next {
		case deliverAll:
			for len(s.messages) > 0 {
				s, _ = s.after(deliverAll, mutation)
			}
		case loseAll:
			s.messages = nil
		default:
			if next.kind == eventExchange {
				s = s.exchange(next.at, mutation)
				continue
			}
			s, _ = s.after(next, mutation)
		}
	}
	s.budget, s.lateSync = c.budget, c.lateSync
	return s
}

var modelDeeper = flag.Int("model.deeper", defaultDeeper, "moves by which the exhaustive search goes deeper; each takes some four times as long")

func TestExhaustiveAtThreeMembers(t *testing.T) {
	for _, c := range searchScenarios {
		x := &search{seen: map[uint64]int8{}}
		if !x.explore(c.start(x.mutation), c.depth+*modelDeeper) {
			t.Errorf("%s: %v: %s", c.name, x.path, x.violation)
		}
		t.Logf("%s: %d states, all to depth %d", c.name, x.states, c.depth+*modelDeeper)
	}
}

// TestExhaustiveSearchFindsInjectedBugs: the search finds what a planted break brings about.
func TestExhaustiveSearchFindsInjectedBugs(t *testing.T) {
	for _, b := range []searchMutation{
		{name: "refused votes are counted", check: checkLeader, scenario: "two candidates", tamper: func(m *Message) {
			if m.Kind == MsgVoteResponse {
				m.Reject = false
			}
		}},
		{name: "a crash loses term and vote", check: checkLeader, scenario: "two members agree, the third knows nothing", forgetHardState: true},
		{name: "candidates say that they hold all", check: checkLeaderCompleteness, scenario: "entries that the third lacks", tamper: func(m *Message) {
			if m.Kind == MsgVote || m.Kind == MsgPreVote {
				m.Index, m.LogTerm = 1<<40, 1<<40
			}
		}},
		{name: "entries are said to be synced before they are", check: checkLeaderCompleteness, scenario: "two members agree, the third knows nothing", earlySync: true},
		{name: "an entry changes on its way", check: checkCommitted, scenario: "a leader with a committed entry", tamper: func(m *Message) {
			if len(m.Entries) > 0 && m.To == "b" {
				m.Entries = slices.Clone(m.Entries)
				m.Entries[0].Data = []byte("other")
			}
		}},
		{name: "the term of an entry changes on its way", check: checkLogMatching, scenario: "entries that the third lacks", tamper: func(m *Message) {
			if m.To == "b" {
				m.Commit = 0 // or it would be seen when it is applied
			}
			if len(m.Entries) > 0 && m.To == "b" && m.Entries[0].Index == 3 {
				m.Entries = slices.Clone(m.Entries)
				m.Entries[0].Term++
			} else if m.To == "b" && m.Index == 3 {
				m.LogTerm++
			}
		}},
	} {
		t.Run(string(b.check)+"/"+b.name, func(t *testing.T) {
			i := slices.IndexFunc(searchScenarios, func(c searchScenario) bool { return c.name == b.scenario })
			c := searchScenarios[i]
			x := &search{seen: map[uint64]int8{}, mutation: b}
			if !x.explore(c.start(b), c.depth) {
				t.Logf("%s: %v: %s", c.name, x.path, x.violation)
				return
			}
			t.Error("not found")
		})
	}
}

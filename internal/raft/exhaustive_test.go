package raft

import (
	"flag"
	"slices"
	"strings"
	"testing"
)

// search explores all states that are reachable with a bounded number of transitions.
type search struct {
	mutation  searchMutation
	seen      map[uint64]int8 // by hash: the remaining number of transitions at the visit
	states    int
	violation string
	path      []transition
}

// explore searches from a state to the given depth. It returns false once an invariant is violated.
func (s *search) explore(state *searchState, depth int) bool {
	if depth == 0 {
		return true
	}
	hash := state.hash()
	if int(s.seen[hash]) >= depth {
		return true
	}
	if s.seen[hash] == 0 {
		s.states++
	}
	s.seen[hash] = int8(depth)
	for _, next := range state.transitions() {
		s.path = append(s.path, next)
		after, violation := state.after(next, s.mutation)
		if violation != "" && strings.HasPrefix(violation, string(s.mutation.check)) {
			s.violation = violation
			return false
		}
		if violation == "" && !s.explore(after, depth-1) {
			return false
		}
		s.path = s.path[:len(s.path)-1]
	}
	return true
}

// searchScenario defines an initial state and the bounds of a search from it.
type searchScenario struct {
	name      string
	setup     []transition // transitions to the initial state, may contain deliverAll and dropAll
	budget    [budgetedKinds]int
	delaySync bool
	depth     int
}

// Transitions that are used in setups only.
var (
	deliverAll = transition{eventDeliver, 0} // deliver messages until none are left
	dropAll    = transition{eventSync, 0}    // drop all messages
)

// Setups that several scenarios begin with.
var (
	firstTimesOut   = []transition{{eventTimeout, 0}}
	leaderElected   = []transition{{eventTimeout, 0}, deliverAll}
	uncommittedTail = []transition{{eventTimeout, 0}, deliverAll, {eventPropose, 0}, dropAll}
)

// Scenarios that mutations refer to.
const (
	scenarioTwoCandidates       = "two candidates"
	scenarioCommitted           = "a leader with a committed entry"
	scenarioThirdWithoutEntries = "two members hold the same entries, the third holds none"
	scenarioThirdBehind         = "entries that the third member lacks"
)

var searchScenarios = []searchScenario{
	{"an election", firstTimesOut, [budgetedKinds]int{1, 0, 1, 1}, false, 7},
	{scenarioTwoCandidates, []transition{{eventTimeout, 0}, {eventTimeout, 1}}, [budgetedKinds]int{0, 0, 0, 1}, false, 8},
	{scenarioCommitted, leaderElected, [budgetedKinds]int{1, 1, 1, 1}, false, 7},
	{"an entry that only the leader holds", uncommittedTail, [budgetedKinds]int{2, 0, 1, 1}, false, 6},
	{"entries of two leaders, each on one disk", slices.Concat(uncommittedTail,
		[]transition{{eventTimeout, 1}, deliverAll, {eventPropose, 1}, dropAll}), [budgetedKinds]int{2, 0, 0, 1}, false, 6},
	{"a leader that is removed from the voters", slices.Concat(leaderElected, []transition{{eventConfChange, 0}}), [budgetedKinds]int{1, 0, 0, 1}, false, 7},
	{scenarioThirdWithoutEntries, []transition{{eventTimeout, 0}, {eventExchange, 2}, dropAll}, [budgetedKinds]int{1, 0, 1, 1}, false, 7},
	{scenarioThirdBehind, slices.Concat(leaderElected,
		[]transition{{eventPropose, 0}, {eventExchange, 2}, {eventPropose, 0}, {eventExchange, 2}, dropAll}), [budgetedKinds]int{1, 1, 0, 1}, false, 6},
	{"writes with delayed sync", leaderElected, [budgetedKinds]int{1, 0, 2, 1}, true, 7},
	{"votes with delayed sync", firstTimesOut, [budgetedKinds]int{1, 0, 1, 1}, true, 7},
}

// exchange delivers the messages between the first member and another until none are left.
func (s *searchState) exchange(other int, mutation searchMutation) *searchState {
	pair := []string{searchIDs[0], searchIDs[other]}
	for {
		index := slices.IndexFunc(s.messages, func(message searchMessage) bool {
			return slices.Contains(pair, message.From) && slices.Contains(pair, message.To)
		})
		if index < 0 {
			return s
		}
		s, _ = s.after(transition{eventDeliver, index}, mutation)
	}
}

// initialState returns the state after the setup of a scenario.
func (c searchScenario) initialState(mutation searchMutation) *searchState {
	state := newSearchState()
	for _, next := range c.setup {
		state.budget = [budgetedKinds]int{1, 1, 1, 1}
		switch next {
		case deliverAll:
			for len(state.messages) > 0 {
				state, _ = state.after(deliverAll, mutation)
			}
		case dropAll:
			state.messages = nil
		default:
			if next.kind == eventExchange {
				state = state.exchange(next.target, mutation)
				continue
			}
			state, _ = state.after(next, mutation)
		}
	}
	state.budget, state.delaySync = c.budget, c.delaySync
	return state
}

var modelExtraDepth = flag.Int("model.deeper", defaultExtraDepth,
	"additional depth of the exhaustive search; each transition takes about four times as long")

func TestExhaustiveSearchWithThreeMembers(t *testing.T) {
	for _, scenario := range searchScenarios {
		s := &search{seen: map[uint64]int8{}}
		if !s.explore(scenario.initialState(s.mutation), scenario.depth+*modelExtraDepth) {
			t.Errorf("%s: %v: %s", scenario.name, s.path, s.violation)
		}
		t.Logf("%s: %d states, searched to depth %d", scenario.name, s.states, scenario.depth+*modelExtraDepth)
	}
}

// TestExhaustiveSearchFindsInjectedBugs checks that the search finds the violation caused by each
// mutation.
func TestExhaustiveSearchFindsInjectedBugs(t *testing.T) {
	for _, mutation := range []searchMutation{
		{name: "rejected votes are counted", check: checkLeader, scenario: scenarioTwoCandidates, alterMessage: func(message *Message) {
			if message.Kind == MsgVoteResponse {
				message.Reject = false
			}
		}},
		{name: "a crash loses term and vote", check: checkLeader, scenario: scenarioThirdWithoutEntries, loseHardState: true},
		{name: "candidates claim to hold all entries", check: checkLeaderCompleteness, scenario: scenarioThirdBehind, alterMessage: func(message *Message) {
			if message.Kind == MsgVote || message.Kind == MsgPreVote {
				message.Index, message.LogTerm = 1<<40, 1<<40
			}
		}},
		{name: "entries are reported as synced before they are", check: checkLeaderCompleteness, scenario: scenarioThirdWithoutEntries, earlySync: true},
		{name: "an entry is modified in transit", check: checkCommitted, scenario: scenarioCommitted, alterMessage: func(message *Message) {
			if len(message.Entries) > 0 && message.To == "b" {
				message.Entries = slices.Clone(message.Entries)
				message.Entries[0].Data = []byte("other")
			}
		}},
		{name: "the term of an entry is modified in transit", check: checkLogMatching, scenario: scenarioThirdBehind, alterMessage: func(message *Message) {
			if message.To == "b" {
				message.Commit = 0 // otherwise checkCommitted would fail when the entry is applied
			}
			if len(message.Entries) > 0 && message.To == "b" && message.Entries[0].Index == 3 {
				message.Entries = slices.Clone(message.Entries)
				message.Entries[0].Term++
			} else if message.To == "b" && message.Index == 3 {
				message.LogTerm++
			}
		}},
	} {
		t.Run(string(mutation.check)+"/"+mutation.name, func(t *testing.T) {
			index := slices.IndexFunc(searchScenarios, func(scenario searchScenario) bool { return scenario.name == mutation.scenario })
			scenario := searchScenarios[index]
			s := &search{seen: map[uint64]int8{}, mutation: mutation}
			if !s.explore(scenario.initialState(mutation), scenario.depth) {
				t.Logf("%s: %v: %s", scenario.name, s.path, s.violation)
				return
			}
			t.Error("no violation found")
		})
	}
}

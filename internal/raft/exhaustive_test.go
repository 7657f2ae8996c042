package raft

import (
	"flag"
	"slices"
	"strings"
	"testing"
)

// search explores all states that a number of moves can lead to.
type search struct {
	mutation  searchMutation
	seen      map[uint64]int8 // by hash: the number of moves that were left there
	states    int
	violation string
	path      []move
}

// explore goes on from a state by a number of moves; false once an invariant is violated.
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
	for _, next := range state.moves() {
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

// searchScenario is a state to start from, and the bounds of the search.
type searchScenario struct {
	name     string
	prelude  []move // with deliverAll and loseAll
	budget   [limitedKinds]int
	lateSync bool
	depth    int
}

// Moves of a prelude only.
var (
	deliverAll = move{eventDeliver, 0} // deliver messages until there are none
	loseAll    = move{eventSync, 0}    // drop all messages
)

// Preludes that several scenarios begin with.
var (
	firstTimesOut   = []move{{eventTimeout, 0}}
	leaderElected   = []move{{eventTimeout, 0}, deliverAll}
	uncommittedTail = []move{{eventTimeout, 0}, deliverAll, {eventPropose, 0}, loseAll}
)

// Scenarios that mutations name.
const (
	scenarioTwoCandidates = "two candidates"
	scenarioCommitted     = "a leader with a committed entry"
	scenarioThirdUnaware  = "two members agree, the third knows nothing"
	scenarioThirdBehind   = "entries that the third lacks"
)

var searchScenarios = []searchScenario{
	{"an election", firstTimesOut, [limitedKinds]int{1, 0, 1, 1}, false, 7},
	{scenarioTwoCandidates, []move{{eventTimeout, 0}, {eventTimeout, 1}}, [limitedKinds]int{0, 0, 0, 1}, false, 8},
	{scenarioCommitted, leaderElected, [limitedKinds]int{1, 1, 1, 1}, false, 7},
	{"an entry that only the leader has", uncommittedTail, [limitedKinds]int{2, 0, 1, 1}, false, 6},
	{"entries of two leaders, each on one disk", slices.Concat(uncommittedTail,
		[]move{{eventTimeout, 1}, deliverAll, {eventPropose, 1}, loseAll}), [limitedKinds]int{2, 0, 0, 1}, false, 6},
	{"a leader that is voted out", slices.Concat(leaderElected, []move{{eventConfChange, 0}}), [limitedKinds]int{1, 0, 0, 1}, false, 7},
	{scenarioThirdUnaware, []move{{eventTimeout, 0}, {eventExchange, 2}, loseAll}, [limitedKinds]int{1, 0, 1, 1}, false, 7},
	{scenarioThirdBehind, slices.Concat(leaderElected,
		[]move{{eventPropose, 0}, {eventExchange, 2}, {eventPropose, 0}, {eventExchange, 2}, loseAll}), [limitedKinds]int{1, 1, 0, 1}, false, 6},
	{"writes that are synced late", leaderElected, [limitedKinds]int{1, 0, 2, 1}, true, 7},
	{"votes that are synced late", firstTimesOut, [limitedKinds]int{1, 0, 1, 1}, true, 7},
}

// exchange delivers the messages between member 0 and another until there are none.
func (s *searchState) exchange(other int, mutation searchMutation) *searchState {
	pair := []string{searchIDs[0], searchIDs[other]}
	for {
		index := slices.IndexFunc(s.messages, func(message searchMessage) bool {
			return slices.Contains(pair, message.From) && slices.Contains(pair, message.To)
		})
		if index < 0 {
			return s
		}
		s, _ = s.after(move{eventDeliver, index}, mutation)
	}
}

// start returns the state after the prelude of a scenario.
func (c searchScenario) start(mutation searchMutation) *searchState {
	state := newSearchState()
	for _, next := range c.prelude {
		state.budget = [limitedKinds]int{1, 1, 1, 1}
		switch next {
		case deliverAll:
			for len(state.messages) > 0 {
				state, _ = state.after(deliverAll, mutation)
			}
		case loseAll:
			state.messages = nil
		default:
			if next.kind == eventExchange {
				state = state.exchange(next.at, mutation)
				continue
			}
			state, _ = state.after(next, mutation)
		}
	}
	state.budget, state.lateSync = c.budget, c.lateSync
	return state
}

var modelDeeper = flag.Int("model.deeper", defaultDeeper,
	"moves by which the exhaustive search goes deeper; each takes some four times as long")

func TestExhaustiveAtThreeMembers(t *testing.T) {
	for _, scenario := range searchScenarios {
		s := &search{seen: map[uint64]int8{}}
		if !s.explore(scenario.start(s.mutation), scenario.depth+*modelDeeper) {
			t.Errorf("%s: %v: %s", scenario.name, s.path, s.violation)
		}
		t.Logf("%s: %d states, all to depth %d", scenario.name, s.states, scenario.depth+*modelDeeper)
	}
}

// TestExhaustiveSearchFindsInjectedBugs: the search finds the violation that a mutation
// leads to.
func TestExhaustiveSearchFindsInjectedBugs(t *testing.T) {
	for _, mutation := range []searchMutation{
		{name: "rejected votes are counted", check: checkLeader, scenario: scenarioTwoCandidates, alterMessage: func(message *Message) {
			if message.Kind == MsgVoteResponse {
				message.Reject = false
			}
		}},
		{name: "a crash loses term and vote", check: checkLeader, scenario: scenarioThirdUnaware, forgetHardState: true},
		{name: "candidates say that they hold all", check: checkLeaderCompleteness, scenario: scenarioThirdBehind, alterMessage: func(message *Message) {
			if message.Kind == MsgVote || message.Kind == MsgPreVote {
				message.Index, message.LogTerm = 1<<40, 1<<40
			}
		}},
		{name: "entries are reported as synced before they are", check: checkLeaderCompleteness, scenario: scenarioThirdUnaware, earlySync: true},
		{name: "an entry changes on its way", check: checkCommitted, scenario: scenarioCommitted, alterMessage: func(message *Message) {
			if len(message.Entries) > 0 && message.To == "b" {
				message.Entries = slices.Clone(message.Entries)
				message.Entries[0].Data = []byte("other")
			}
		}},
		{name: "the term of an entry changes on its way", check: checkLogMatching, scenario: scenarioThirdBehind, alterMessage: func(message *Message) {
			if message.To == "b" {
				message.Commit = 0 // or it would be seen when it is applied
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
			if !s.explore(scenario.start(mutation), scenario.depth) {
				t.Logf("%s: %v: %s", scenario.name, s.path, s.violation)
				return
			}
			t.Error("no violation was found")
		})
	}
}

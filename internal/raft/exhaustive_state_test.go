package raft

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"
)

// An exhaustive search of the states of three members, with every order of a bounded number of
// events. Messages may arrive in any order or, within the depth of the search, never. A write
// is synced immediately or later. Unsynced writes are lost in a crash. A state that was already
// visited with at least as many remaining transitions isn't searched again.

// searchState is one state of the search. A transition copies what it modifies.
type searchState struct {
	now            time.Time
	members        [3]searchMember
	messages       []searchMessage // sorted by hash, since any may arrive next
	committed      []Entry         // the committed log, from index 2 on
	committedTerms []uint64        // terms in which the committed entries were first seen
	leaders        map[uint64]string
	budget         [budgetedKinds]int // remaining number of events of each kind
	delaySync      bool               // a sync is a transition of its own
}

// searchMember is a node and its disk, with a hash of both.
type searchMember struct {
	node      *Node
	hardState HardState
	log       []Entry
	pending   []Ready // returned by Ready, not synced
	hash      uint64
}

type searchMessage struct {
	Message
	hash uint64
}

// Kinds of events of the search.
const (
	eventTimeout   = iota // time passes, and the election timer of a member expires
	eventHeartbeat        // a heartbeat of a leader is due
	eventPropose
	eventCrash // a member loses its unsynced writes and restarts
	budgetedKinds
	eventDeliver
	eventSync
	eventConfChange // in setups only: the leader proposes a configuration without itself
	eventExchange   // in setups only: the first member and another deliver all their messages to each other
)

var searchIDs = []string{"a", "b", "c"}

// searchConfig has no jitter, so that nothing depends on random numbers.
var searchConfig = Config{
	HeartbeatInterval:  80 * time.Millisecond,
	ElectionTimeout:    400 * time.Millisecond,
	CheckQuorumTimeout: 650 * time.Millisecond,
	LeaseFraction:      0.85,
	MaxInflightEntries: 8,
	MaxAppendBytes:     1 << 10,
}

var searchSnapshot = Snapshot{Index: 1, Voters: []Member{testMember("a"), testMember("b"), testMember("c")}}

func newSearchState() *searchState {
	s := &searchState{now: time.Unix(1000, 0), leaders: map[uint64]string{}}
	for i := range s.members {
		s.start(i)
	}
	return s
}

func (s *searchState) start(index int) {
	member := &s.members[index]
	member.pending = nil
	member.node = New(searchIDs[index], member.hardState, searchSnapshot, slices.Clone(member.log), s.now, searchConfig, 1)
}

// transition is one event: its kind, and the index of its member or message.
type transition struct{ kind, target int }

func (m transition) String() string {
	kind := [...]string{"timeout", "heartbeat", "propose", "crash", "", "deliver", "sync", "conf change", "exchange"}[m.kind]
	if m.kind == eventDeliver {
		return fmt.Sprint(kind, " ", m.target)
	}
	return kind + " " + searchIDs[m.target]
}

// transitions returns all events that may occur next.
func (s *searchState) transitions() []transition {
	var transitions []transition
	for i, member := range s.members {
		leads := member.node.IsLeader()
		for kind, enabled := range [budgetedKinds]bool{eventTimeout: !leads, eventHeartbeat: leads, eventPropose: leads, eventCrash: true} {
			if enabled && s.budget[kind] > 0 {
				transitions = append(transitions, transition{kind, i})
			}
		}
		if len(member.pending) > 0 {
			transitions = append(transitions, transition{eventSync, i})
		}
	}
	for i := range s.messages {
		if i == 0 || s.messages[i].hash != s.messages[i-1].hash {
			transitions = append(transitions, transition{eventDeliver, i})
		}
	}
	return transitions
}

// searchMutation is a bug injected into the harness of the search. Only violations of its check
// are reported.
type searchMutation struct {
	name          string
	check         check
	scenario      string // scenario in which the search must find it
	alterMessage  func(*Message)
	loseHardState bool // a crash loses term and vote
	earlySync     bool // entries are reported as synced before they are
}

// after returns the state after a transition, and a description of the invariant that it
// violates, or the empty string.
func (s *searchState) after(next transition, mutation searchMutation) (*searchState, string) {
	after := *s
	if next.kind < budgetedKinds {
		after.budget[next.kind]--
	}
	index := next.target
	var message Message
	if next.kind == eventDeliver {
		message = s.messages[index].Message
		after.messages = slices.Delete(slices.Clone(s.messages), index, index+1)
		index = slices.Index(searchIDs, message.To)
	}
	member := &after.members[index]
	if next.kind != eventCrash {
		member.node = deepCopyNode(member.node)
	}
	switch next.kind {
	case eventTimeout:
		after.now = after.now.Add(searchConfig.ElectionTimeout + 2*searchConfig.HeartbeatInterval)
		member.node.Tick(after.now)
	case eventHeartbeat:
		after.now = after.now.Add(searchConfig.HeartbeatInterval)
		member.node.Tick(after.now)
	case eventPropose:
		_, _ = member.node.Propose([]byte{byte(after.budget[eventPropose])}) // fails on other members than the leader
	case eventCrash:
		if mutation.loseHardState {
			member.hardState = HardState{}
		}
		after.start(index)
	case eventDeliver:
		member.node.Step(message, after.now)
	case eventSync:
		after.sync(member, mutation)
	case eventConfChange:
		isProposer := func(voter Member) bool { return voter.ID == member.node.ID() }
		// Fails while a change is in progress.
		_ = member.node.ProposeConfChange(slices.DeleteFunc(slices.Clone(member.node.Voters()), isProposer))
	}
	violation := after.processReady(member, mutation)
	member.hash = hashOf(reflect.ValueOf(member).Elem())
	return &after, violation
}

// sync makes all pending writes of a member durable.
func (s *searchState) sync(member *searchMember, mutation searchMutation) {
	writes := member.pending
	member.pending = nil
	for _, ready := range writes {
		if ready.HardState != nil {
			member.hardState = *ready.HardState
		}
		for _, entry := range ready.Entries {
			keep := len(member.log)
			for keep > 0 && member.log[keep-1].Index >= entry.Index {
				keep--
			}
			member.log = append(member.log[:keep:keep], entry)
		}
		if ready.WriteToken.Sequence > 0 {
			member.node.WriteSynced(ready.WriteToken)
		}
		s.send(ready.MessagesAfterSync, mutation)
	}
}

func (s *searchState) send(messages []Message, mutation searchMutation) {
	for _, message := range messages {
		if mutation.alterMessage != nil {
			mutation.alterMessage(&message)
		}
		sent := searchMessage{message, hashOf(reflect.ValueOf(message))}
		position, _ := slices.BinarySearchFunc(s.messages, sent, func(left, right searchMessage) int { return cmp.Compare(left.hash, right.hash) })
		s.messages = slices.Insert(slices.Clone(s.messages), position, sent)
	}
}

// processReady processes the Readys of a member and checks the invariants.
func (s *searchState) processReady(member *searchMember, mutation searchMutation) string {
	for {
		if violation := s.checkCommitted(member.node); violation != "" {
			return violation
		}
		ready := member.node.Ready()
		if ready.IsEmpty() {
			return s.checkInvariants(member.node)
		}
		s.send(ready.Messages, mutation)
		if mutation.earlySync && len(ready.Entries) > 0 && ready.HardState == nil {
			member.node.WriteSynced(ready.WriteToken)
			s.send(ready.MessagesAfterSync, mutation)
			member.pending = append(slices.Clip(member.pending), Ready{Entries: ready.Entries})
			continue
		}
		if ready.MustSync() || len(ready.MessagesAfterSync) > 0 && len(member.pending) > 0 {
			member.pending = append(slices.Clip(member.pending), ready)
		} else {
			s.send(ready.MessagesAfterSync, mutation)
		}
		if !s.delaySync {
			s.sync(member, mutation)
		}
	}
}

// checkCommitted compares the entries that a member applies with the committed log.
func (s *searchState) checkCommitted(node *Node) string {
	for _, entry := range node.NextCommittedEntries() {
		position := int(entry.Index) - 2
		if position == len(s.committed) {
			s.committed = append(slices.Clip(s.committed), entry)
			s.committedTerms = append(slices.Clip(s.committedTerms), node.Term())
		} else if position > len(s.committed) || !reflect.DeepEqual(s.committed[position], entry) {
			return fmt.Sprintf("%s: %s applies %v, but the committed log is %v", checkCommitted, node.ID(), entry, s.committed)
		}
	}
	return ""
}

func (s *searchState) checkInvariants(node *Node) string {
	if old, known := s.leaders[node.Term()]; node.IsLeader() && known && old != node.ID() {
		return fmt.Sprintf("%s: %s and %s both lead in term %d", checkLeader, old, node.ID(), node.Term())
	} else if node.IsLeader() && !known {
		s.leaders = maps.Clone(s.leaders)
		s.leaders[node.Term()] = node.ID()
		for i, entry := range s.committed {
			if term, ok := node.TermAt(entry.Index); s.committedTerms[i] < node.Term() && (!ok || term != entry.Term) {
				return fmt.Sprintf("%s: leader %s of term %d lacks entry %d",
					checkLeaderCompleteness, node.ID(), node.Term(), entry.Index)
			}
		}
	}
	for _, other := range s.members {
		agreed := false
		for i := min(node.LastIndex(), other.node.LastIndex()); i > 1; i-- {
			term, _ := node.TermAt(i)
			otherTerm, _ := other.node.TermAt(i)
			if agreed && term != otherTerm {
				return fmt.Sprintf("%s: %s and %s differ at entry %d, but not at a later one",
					checkLogMatching, node.ID(), other.node.ID(), i)
			}
			agreed = agreed || term == otherTerm
		}
	}
	return ""
}

// hash returns a hash of a state. States with the same hash are treated as equal.
func (s *searchState) hash() uint64 {
	hasher := newHasher()
	for _, member := range s.members {
		hasher.mix(member.hash)
	}
	for _, message := range s.messages {
		hasher.mix(message.hash)
	}
	for _, v := range []any{s.now, s.committed, s.committedTerms, s.leaders, s.budget} {
		hasher.add(reflect.ValueOf(v))
	}
	return hasher.sum
}

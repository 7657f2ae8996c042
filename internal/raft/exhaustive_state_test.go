package raft

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"
)

// A small exhaustive search: three members, and every order of a bounded
// number of events. Messages may come in any order or, for as long as the
// search goes, never; a write is synced at once or only later; what is not
// synced is lost in a crash. States that were seen with as many events left are
// not searched again.

// searchState is one state of the search. A move copies what it changes.
type searchState struct {
	now         time.Time
	members     [3]searchMember
	messages    []searchMessage // sorted by name, since any may come next
	committed   []Entry         // the committed log, from index 2 on
	committedIn []uint64        // the terms in which that was seen
	leaders     map[uint64]string
	budget      [limitedKinds]int // how often each kind of event may still happen
	lateSync    bool              // a sync is a move of its own
}

// searchMember is a node and its disk; name sums it up.
type searchMember struct {
	node      *Node
	hardState HardState
	log       []Entry
	pending   []Ready // handed out, not synced
	hash      uint64
}

type searchMessage struct {
	Message
	hash uint64
}

// Kinds of events of the search.
const (
	eventTimeout   = iota // time passes, and the timer of a member fires
	eventHeartbeat        // a heartbeat of a leader is due
	eventPropose
	eventCrash // a member loses what is not synced, and starts again
	limitedKinds
	eventDeliver
	eventSync
	// In beginnings only: the leader proposes the voters without itself; it and
	// one other exchange all that they have to say.
	eventConfChange
	eventExchange
)

var searchIDs = []string{"a", "b", "c"}

// No spread: the waits are the same each time, and no lot plays a part.
var searchConfig = Config{HeartbeatInterval: 80 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, CheckQuorumTimeout: 650 * time.Millisecond,
	LeaseFraction: 0.85, MaxInflightEntries: 8, MaxAppendBytes: 1 << 10}

var searchSnapshot = Snapshot{Index: 1, Voters: []Member{modelVoter("a"), modelVoter("b"), modelVoter("c")}}

func newSearchState() *searchState {
	s := &searchState{now: time.Unix(1000, 0), leaders: map[uint64]string{}}
	for i := range s.members {
		s.start(i)
	}
	return s
}

func (s *searchState) start(i int) {
	m := &s.members[i]
	m.pending = nil
	m.node = New(searchIDs[i], m.hardState, searchSnapshot, slices.Clone(m.log), s.now, searchConfig, 1)
}

// move is one event: its kind, and the member or the message that it is for.
type move struct{ kind, at int }

func (m move) String() string {
	kind := [...]string{"timeout", "beat", "propose", "crash", "", "deliver", "sync", "change", "talk"}[m.kind]
	if m.kind == eventDeliver {
		return fmt.Sprint(kind, " ", m.at)
	}
	return kind + " " + searchIDs[m.at]
}

// moves are all that may happen next.
func (s *searchState) moves() []move {
	var moves []move
	for i, m := range s.members {
		leads := m.node.IsLeader()
		for kind, may := range [limitedKinds]bool{eventTimeout: !leads, eventHeartbeat: leads, eventPropose: leads, eventCrash: true} {
			if may && s.budget[kind] > 0 {
				moves = append(moves, move{kind, i})
			}
		}
		if len(m.pending) > 0 {
			moves = append(moves, move{eventSync, i})
		}
	}
	for i := range s.messages {
		if i == 0 || s.messages[i].hash != s.messages[i-1].hash {
			moves = append(moves, move{eventDeliver, i})
		}
	}
	return moves
}

// searchMutation is a planted break of the search; only its check counts then.
type searchMutation struct {
	name            string
	check           check
	scenario        string // where it is looked for
	tamper          func(*Message)
	forgetHardState bool // a crash loses term and vote
	earlySync       bool // entries are said to be synced before they are
}

// after is the state after a move, and what is wrong with it, or nothing.
func (s *searchState) after(next move, mutation searchMutation) (*searchState, string) {
	after := *s
	if next.kind < limitedKinds {
		after.budget[next.kind]--
	}
	i := next.at
	var msg Message
	if next.kind == eventDeliver {
		msg = s.messages[i].Message
		after.messages = slices.Delete(slices.Clone(s.messages), i, i+1)
		i = slices.Index(searchIDs, msg.To)
	}
	m := &after.members[i]
	if next.kind != eventCrash {
		m.node = deepCopyNode(m.node)
	}
	switch next.kind {
	case eventTimeout:
		after.now = after.now.Add(searchConfig.ElectionTimeout + 2*searchConfig.HeartbeatInterval)
		m.node.Tick(after.now)
	case eventHeartbeat:
		after.now = after.now.Add(searchConfig.HeartbeatInterval)
		m.node.Tick(after.now)
	case eventPropose:
		m.node.Propose([]byte{byte(after.budget[eventPropose])})
	case eventCrash:
		if mutation.forgetHardState {
			m.hardState = HardState{}
		}
		after.start(i)
	case eventDeliver:
		m.node.Step(msg, after.now)
	case eventSync:
		after.sync(m, mutation)
	case eventConfChange:
		m.node.ProposeConfChange(slices.DeleteFunc(slices.Clone(m.node.Voters()), func(v Member) bool { return v.ID == m.node.ID() }))
	}
	violation := after.drain(m, mutation)
	m.hash = hashOf(reflect.ValueOf(m).Elem())
	return &after, violation
}

// sync makes all that a member handed out lasting.
func (s *searchState) sync(m *searchMember, mutation searchMutation) {
	writes := m.pending
	m.pending = nil
	for _, ready := range writes {
		if ready.HardState != nil {
			m.hardState = *ready.HardState
		}
		for _, e := range ready.Entries {
			keep := len(m.log)
			for keep > 0 && m.log[keep-1].Index >= e.Index {
				keep--
			}
			m.log = append(m.log[:keep:keep], e)
		}
		if ready.WriteToken.Sequence > 0 {
			m.node.WriteSynced(ready.WriteToken)
		}
		s.send(ready.MessagesAfterSync, mutation)
	}
}

func (s *searchState) send(messages []Message, b searchMutation) {
	for _, x := range messages {
		if b.tamper != nil {
			b.tamper(&x)
		}
		w := searchMessage{x, hashOf(reflect.ValueOf(x))}
		at, _ := slices.BinarySearchFunc(s.messages, w, func(a, b searchMessage) int { return cmp.Compare(a.hash, b.hash) })
		s.messages = slices.Insert(slices.Clone(s.messages), at, w)
	}
}

// drain does what a member hands out, and checks the state.
func (s *searchState) drain(m *searchMember, mutation searchMutation) string {
	for {
		if violation := s.checkCommitted(m.node); violation != "" {
			return violation
		}
		ready := m.node.Ready()
		if ready.IsEmpty() {
			return s.checkInvariants(m.node)
		}
		s.send(ready.Messages, mutation)
		if mutation.earlySync && len(ready.Entries) > 0 && ready.HardState == nil {
			m.node.WriteSynced(ready.WriteToken)
			s.send(ready.MessagesAfterSync, mutation)
			m.pending = append(slices.Clip(m.pending), Ready{Entries: ready.Entries})
			continue
		}
		if ready.MustSync() || len(ready.MessagesAfterSync) > 0 && len(m.pending) > 0 {
			m.pending = append(slices.Clip(m.pending), ready)
		} else {
			s.send(ready.MessagesAfterSync, mutation)
		}
		if !s.lateSync {
			s.sync(m, mutation)
		}
	}
}

// checkCommitted compares what a member applies with the committed log.
func (s *searchState) checkCommitted(n *Node) string {
	for _, e := range n.NextCommittedEntries() {
		at := int(e.Index) - 2
		if at == len(s.committed) {
			s.committed = append(slices.Clip(s.committed), e)
			s.committedIn = append(slices.Clip(s.committedIn), n.Term())
		} else if at > len(s.committed) || !reflect.DeepEqual(s.committed[at], e) {
			return fmt.Sprintf("%s: %s applies %v, committed are %v", checkCommitted, n.ID(), e, s.committed)
		}
	}
	return ""
}

func (s *searchState) checkInvariants(n *Node) string {
	if old, known := s.leaders[n.Term()]; n.IsLeader() && known && old != n.ID() {
		return fmt.Sprintf("%s: %s and %s in term %d", checkLeader, old, n.ID(), n.Term())
	} else if n.IsLeader() && !known {
		s.leaders = maps.Clone(s.leaders)
		s.leaders[n.Term()] = n.ID()
		for i, e := range s.committed {
			if t, ok := n.TermAt(e.Index); s.committedIn[i] < n.Term() && (!ok || t != e.Term) {
				return fmt.Sprintf("%s: %s in term %d lacks %d", checkLeaderCompleteness, n.ID(), n.Term(), e.Index)
			}
		}
	}
	for _, o := range s.members {
		same := false
		for i := min(n.LastIndex(), o.node.LastIndex()); i > 1; i-- {
			x, _ := n.TermAt(i)
			y, _ := o.node.TermAt(i)
			if same && x != y {
				return fmt.Sprintf("%s: %s and %s differ at %d, and not above it", checkLogMatching, n.ID(), o.node.ID(), i)
			}
			same = same || x == y
		}
	}
	return ""
}

// hash names a state; two of one name go on alike.
func (s *searchState) hash() uint64 {
	h := newHasher()
	for _, m := range s.members {
		h.mix(m.hash)
	}
	for _, x := range s.messages {
		h.mix(x.hash)
	}
	for _, v := range []any{s.now, s.committed, s.committedIn, s.leaders, s.budget} {
		h.add(reflect.ValueOf(v))
	}
	return h.sum
}

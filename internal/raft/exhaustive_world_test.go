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

// smallWorld is one state of the search. A move copies what it changes.
type smallWorld struct {
	now      time.Time
	members  [3]smallMember
	wire     []wireMsg // sorted by name, since any may come next
	settled  []Entry   // the committed log, from index 2 on
	seenIn   []uint64  // the terms in which that was seen
	leaders  map[uint64]string
	left     [limitedKinds]int // how often each kind of event may still happen
	lateSync bool              // a sync is a move of its own
}

// smallMember is a node and its disk; name sums it up.
type smallMember struct {
	node    *Node
	hard    Hard
	log     []Entry
	pending []Out // handed out, not synced
	name    uint64
}

type wireMsg struct {
	Msg
	name uint64
}

// Kinds of events of the search.
const (
	eventTimeout = iota // time passes, and the timer of a member fires
	eventBeat           // a heartbeat of a leader is due
	eventPropose
	eventCrash // a member loses what is not synced, and starts again
	limitedKinds
	eventDeliver
	eventSync
	// In beginnings only: the leader proposes the voters without itself; it and
	// one other exchange all that they have to say.
	eventChange
	eventTalk
)

var smallNames = []string{"a", "b", "c"}

// No spread: the waits are the same each time, and no lot plays a part.
var smallTiming = Timing{Beat: 80 * time.Millisecond, Elect: 400 * time.Millisecond, Quorum: 650 * time.Millisecond,
	LeaseShare: 0.85, Window: 8, Bytes: 1 << 10}

var smallStart = Point{Index: 1, Conf: []Voter{voter("a"), voter("b"), voter("c")}}

func newSmallWorld() *smallWorld {
	s := &smallWorld{now: time.Unix(1000, 0), leaders: map[uint64]string{}}
	for i := range s.members {
		s.start(i)
	}
	return s
}

func (s *smallWorld) start(i int) {
	m := &s.members[i]
	m.pending = nil
	m.node = New(smallNames[i], m.hard, smallStart, slices.Clone(m.log), s.now, smallTiming, 1)
}

// move is one event: its kind, and the member or the message that it is for.
type move struct{ kind, at int }

func (m move) String() string {
	kind := [...]string{"timeout", "beat", "propose", "crash", "", "deliver", "sync", "change", "talk"}[m.kind]
	if m.kind == eventDeliver {
		return fmt.Sprint(kind, " ", m.at)
	}
	return kind + " " + smallNames[m.at]
}

// moves are all that may happen next.
func (s *smallWorld) moves() []move {
	var out []move
	for i, m := range s.members {
		leads := m.node.Leads()
		for kind, may := range [limitedKinds]bool{eventTimeout: !leads, eventBeat: leads, eventPropose: leads, eventCrash: true} {
			if may && s.left[kind] > 0 {
				out = append(out, move{kind, i})
			}
		}
		if len(m.pending) > 0 {
			out = append(out, move{eventSync, i})
		}
	}
	for i := range s.wire {
		if i == 0 || s.wire[i].name != s.wire[i-1].name {
			out = append(out, move{eventDeliver, i})
		}
	}
	return out
}

// smallBreak is a planted break of the search; only its check counts then.
type smallBreak struct {
	name       string
	check      check
	scenario   string // where it is looked for
	tamper     func(*Msg)
	forgetHard bool // a crash loses term and vote
	earlySync  bool // entries are said to be synced before they are
}

// after is the state after a move, and what is wrong with it, or nothing.
func (s *smallWorld) after(mv move, b smallBreak) (*smallWorld, string) {
	t := *s
	if mv.kind < limitedKinds {
		t.left[mv.kind]--
	}
	i := mv.at
	var msg Msg
	if mv.kind == eventDeliver {
		msg = s.wire[i].Msg
		t.wire = slices.Delete(slices.Clone(s.wire), i, i+1)
		i = slices.Index(smallNames, msg.To)
	}
	m := &t.members[i]
	if mv.kind != eventCrash {
		m.node = copyNode(m.node)
	}
	switch mv.kind {
	case eventTimeout:
		t.now = t.now.Add(smallTiming.Elect + 2*smallTiming.Beat)
		m.node.Tick(t.now)
	case eventBeat:
		t.now = t.now.Add(smallTiming.Beat)
		m.node.Tick(t.now)
	case eventPropose:
		m.node.Propose([]byte{byte(t.left[eventPropose])})
	case eventCrash:
		if b.forgetHard {
			m.hard = Hard{}
		}
		t.start(i)
	case eventDeliver:
		m.node.Step(msg, t.now)
	case eventSync:
		t.sync(m, b)
	case eventChange:
		m.node.ProposeConf(slices.DeleteFunc(slices.Clone(m.node.Voters()), func(v Voter) bool { return v.Disk == m.node.Me() }))
	}
	wrong := t.drain(m, b)
	m.name = hashOf(reflect.ValueOf(m).Elem())
	return &t, wrong
}

// sync makes all that a member handed out lasting.
func (s *smallWorld) sync(m *smallMember, b smallBreak) {
	outs := m.pending
	m.pending = nil
	for _, o := range outs {
		if o.Hard != nil {
			m.hard = *o.Hard
		}
		for _, e := range o.Entries {
			keep := len(m.log)
			for keep > 0 && m.log[keep-1].Index >= e.Index {
				keep--
			}
			m.log = append(m.log[:keep:keep], e)
		}
		if o.Mark.Write > 0 {
			m.node.Synced(o.Mark)
		}
		s.send(o.After, b)
	}
}

func (s *smallWorld) send(ms []Msg, b smallBreak) {
	for _, x := range ms {
		if b.tamper != nil {
			b.tamper(&x)
		}
		w := wireMsg{x, hashOf(reflect.ValueOf(x))}
		at, _ := slices.BinarySearchFunc(s.wire, w, func(a, b wireMsg) int { return cmp.Compare(a.name, b.name) })
		s.wire = slices.Insert(slices.Clone(s.wire), at, w)
	}
}

// drain does what a member hands out, and checks the state.
func (s *smallWorld) drain(m *smallMember, b smallBreak) string {
	for {
		if wrong := s.settle(m.node); wrong != "" {
			return wrong
		}
		o := m.node.Take()
		if o.Empty() {
			return s.check(m.node)
		}
		s.send(o.Now, b)
		if b.earlySync && len(o.Entries) > 0 && o.Hard == nil {
			m.node.Synced(o.Mark)
			s.send(o.After, b)
			m.pending = append(slices.Clip(m.pending), Out{Entries: o.Entries})
			continue
		}
		if o.Writes() || len(o.After) > 0 && len(m.pending) > 0 {
			m.pending = append(slices.Clip(m.pending), o)
		} else {
			s.send(o.After, b)
		}
		if !s.lateSync {
			s.sync(m, b)
		}
	}
}

// settle compares what a member applies with the committed log.
func (s *smallWorld) settle(n *Node) string {
	for _, e := range n.Settled() {
		at := int(e.Index) - 2
		if at == len(s.settled) {
			s.settled = append(slices.Clip(s.settled), e)
			s.seenIn = append(slices.Clip(s.seenIn), n.Term())
		} else if at > len(s.settled) || !reflect.DeepEqual(s.settled[at], e) {
			return fmt.Sprintf("%s: %s applies %v, committed are %v", checkCommitted, n.Me(), e, s.settled)
		}
	}
	return ""
}

func (s *smallWorld) check(n *Node) string {
	if old, known := s.leaders[n.Term()]; n.Leads() && known && old != n.Me() {
		return fmt.Sprintf("%s: %s and %s in term %d", checkLeader, old, n.Me(), n.Term())
	} else if n.Leads() && !known {
		s.leaders = maps.Clone(s.leaders)
		s.leaders[n.Term()] = n.Me()
		for i, e := range s.settled {
			if t, ok := n.TermAt(e.Index); s.seenIn[i] < n.Term() && (!ok || t != e.Term) {
				return fmt.Sprintf("%s: %s in term %d lacks %d", checkComplete, n.Me(), n.Term(), e.Index)
			}
		}
	}
	for _, o := range s.members {
		same := false
		for i := min(n.LastIndex(), o.node.LastIndex()); i > 1; i-- {
			x, _ := n.TermAt(i)
			y, _ := o.node.TermAt(i)
			if same && x != y {
				return fmt.Sprintf("%s: %s and %s differ at %d, and not above it", checkLogs, n.Me(), o.node.Me(), i)
			}
			same = same || x == y
		}
	}
	return ""
}

// name names a state; two of one name go on alike.
func (s *smallWorld) name() uint64 {
	h := newHasher()
	for _, m := range s.members {
		h.mix(m.name)
	}
	for _, x := range s.wire {
		h.mix(x.name)
	}
	for _, v := range []any{s.now, s.settled, s.seenIn, s.leaders, s.left} {
		h.add(reflect.ValueOf(v))
	}
	return h.sum
}

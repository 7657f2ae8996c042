package raft

import (
	"flag"
	"slices"
	"strings"
	"testing"
)

// search goes through all states that a number of moves leads to.
type search struct {
	brk    smallBreak
	seen   map[uint64]int8 // by name: the moves that were left there
	states int
	wrong  string
	path   []move
}

func (x *search) from(s *smallWorld, depth int) bool {
	if depth == 0 {
		return true
	}
	name := s.name()
	if int(x.seen[name]) >= depth {
		return true
	}
	if x.seen[name] == 0 {
		x.states++
	}
	x.seen[name] = int8(depth)
	for _, mv := range s.moves() {
		x.path = append(x.path, mv)
		t, wrong := s.after(mv, x.brk)
		if wrong != "" && strings.HasPrefix(wrong, string(x.brk.check)) {
			x.wrong = wrong
			return false
		}
		if wrong == "" && !x.from(t, depth-1) {
			return false
		}
		x.path = x.path[:len(x.path)-1]
	}
	return true
}

// smallScenario is a beginning, and the bounds of the search from there.
type smallScenario struct {
	name     string
	begin    []move // deliver: all until it is quiet; sync: what is on the wire is lost
	left     [limitedKinds]int
	lateSync bool
	depth    int
}

var (
	quiet = move{eventDeliver, 0}
	lose  = move{eventSync, 0}
)

var smallScenarios = []smallScenario{
	{"an election", []move{{eventTimeout, 0}}, [limitedKinds]int{1, 0, 1, 1}, false, 7},
	{"two candidates", []move{{eventTimeout, 0}, {eventTimeout, 1}}, [limitedKinds]int{0, 0, 0, 1}, false, 8},
	{"a leader with a committed entry", []move{{eventTimeout, 0}, quiet}, [limitedKinds]int{1, 1, 1, 1}, false, 7},
	{"an entry that only the leader has", []move{{eventTimeout, 0}, quiet, {eventPropose, 0}, lose}, [limitedKinds]int{2, 0, 1, 1}, false, 6},
	{"entries of two leaders, each on one disk", []move{{eventTimeout, 0}, quiet, {eventPropose, 0}, lose, {eventTimeout, 1}, quiet, {eventPropose, 1}, lose},
		[limitedKinds]int{2, 0, 0, 1}, false, 6},
	{"a leader that is voted out", []move{{eventTimeout, 0}, quiet, {eventChange, 0}}, [limitedKinds]int{1, 0, 0, 1}, false, 7},
	{"two members agree, the third knows nothing", []move{{eventTimeout, 0}, {eventTalk, 2}, lose}, [limitedKinds]int{1, 0, 1, 1}, false, 7},
	{"entries that the third lacks", []move{{eventTimeout, 0}, quiet, {eventPropose, 0}, {eventTalk, 2}, {eventPropose, 0}, {eventTalk, 2}, lose},
		[limitedKinds]int{1, 1, 0, 1}, false, 6},
	{"writes that are synced late", []move{{eventTimeout, 0}, quiet}, [limitedKinds]int{1, 0, 2, 1}, true, 7},
	{"votes that are synced late", []move{{eventTimeout, 0}}, [limitedKinds]int{1, 0, 1, 1}, true, 7},
}

// talk delivers what member 0 and another have for each other.
func (s *smallWorld) talk(other int, b smallBreak) *smallWorld {
	pair := []string{smallNames[0], smallNames[other]}
	for {
		i := slices.IndexFunc(s.wire, func(x wireMsg) bool { return slices.Contains(pair, x.From) && slices.Contains(pair, x.To) })
		if i < 0 {
			return s
		}
		s, _ = s.after(move{eventDeliver, i}, b)
	}
}

// beginning plays the first moves of a scenario.
func (c smallScenario) beginning(b smallBreak) *smallWorld {
	s := newSmallWorld()
	for _, mv := range c.begin {
		s.left = [limitedKinds]int{1, 1, 1, 1}
		switch mv {
		case quiet:
			for len(s.wire) > 0 {
				s, _ = s.after(quiet, b)
			}
		case lose:
			s.wire = nil
		default:
			if mv.kind == eventTalk {
				s = s.talk(mv.at, b)
				continue
			}
			s, _ = s.after(mv, b)
		}
	}
	s.left, s.lateSync = c.left, c.lateSync
	return s
}

var modelDeeper = flag.Int("model.deeper", defaultDeeper, "moves by which the exhaustive search goes deeper; each takes some four times as long")

func TestExhaustiveAtThreeMembers(t *testing.T) {
	for _, c := range smallScenarios {
		x := &search{seen: map[uint64]int8{}}
		if !x.from(c.beginning(x.brk), c.depth+*modelDeeper) {
			t.Errorf("%s: %v: %s", c.name, x.path, x.wrong)
		}
		t.Logf("%s: %d states, all to depth %d", c.name, x.states, c.depth+*modelDeeper)
	}
}

// TestExhaustiveChecksCanFail: the search finds what a planted break brings about.
func TestExhaustiveChecksCanFail(t *testing.T) {
	for _, b := range []smallBreak{
		{name: "refused votes are counted", check: checkLeader, scenario: "two candidates", tamper: func(m *Msg) {
			if m.Kind == MsgVoteAnswer {
				m.Reject = false
			}
		}},
		{name: "a crash loses term and vote", check: checkLeader, scenario: "two members agree, the third knows nothing", forgetHard: true},
		{name: "candidates say that they hold all", check: checkComplete, scenario: "entries that the third lacks", tamper: func(m *Msg) {
			if m.Kind == MsgVote || m.Kind == MsgPreVote {
				m.Index, m.LogTerm = 1<<40, 1<<40
			}
		}},
		{name: "entries are said to be synced before they are", check: checkComplete, scenario: "two members agree, the third knows nothing", earlySync: true},
		{name: "an entry changes on its way", check: checkCommitted, scenario: "a leader with a committed entry", tamper: func(m *Msg) {
			if len(m.Entries) > 0 && m.To == "b" {
				m.Entries = slices.Clone(m.Entries)
				m.Entries[0].Data = []byte("other")
			}
		}},
		{name: "the term of an entry changes on its way", check: checkLogs, scenario: "entries that the third lacks", tamper: func(m *Msg) {
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
			i := slices.IndexFunc(smallScenarios, func(c smallScenario) bool { return c.name == b.scenario })
			c := smallScenarios[i]
			x := &search{seen: map[uint64]int8{}, brk: b}
			if !x.from(c.beginning(b), c.depth) {
				t.Logf("%s: %v: %s", c.name, x.path, x.wrong)
				return
			}
			t.Error("not found")
		})
	}
}

package raft

import "fmt"

// The checks of the model test. They look at all members, disks and messages
// at each step, from outside, and know what was committed over all.

type check string

const (
	checkLeader    = check("at most one leader a term")
	checkVote      = check("one vote a term")
	checkElected   = check("a leader has the votes of a majority")
	checkComplete  = check("a leader holds all that was committed")
	checkCommitted = check("no committed entry is lost or changed")
	checkLogs      = check("logs match")
	checkApplied   = check("the same state at the same index")
	checkReads     = check("reads are linearizable")
	checkDurable   = check("what is committed is on the disks of a majority")
	checkPromise   = check("what is promised is on the disk")
	checkMeet      = check("majorities of configurations in a row meet")
	checkDisk      = check("the log on disk is whole")
	checkLive      = check("a command is committed once all is healed")
	checkPanic     = check("no panic")
)

var allChecks = []check{checkLeader, checkVote, checkElected, checkComplete, checkCommitted, checkLogs, checkApplied, checkReads,
	checkDurable, checkPromise, checkMeet, checkDisk, checkLive, checkPanic}

// failure is the first check that failed.
type failure struct {
	check check
	text  string
	step  int
}

func (f *failure) String() string { return fmt.Sprintf("step %d: %s: %s", f.step, f.check, f.text) }

// record is one entry of the committed log.
type record struct {
	term, hash uint64
	kind       byte
	state      machine // after it
	seenIn     uint64  // the lowest term in which it was seen committed
}

type lineKey struct{ index, term uint64 }
type line struct{ hash, prevTerm uint64 }
type voteKey struct {
	id   string
	term uint64
}

// checker holds what is known of the whole cluster.
type checker struct {
	w       *world
	only    check // the one check that counts, or empty: all
	failure *failure

	first     uint64 // the index of log[0]
	log       []record
	sets      [][]string // the newest committed configuration
	leaders   map[uint64]string
	votes     map[voteKey]string
	granted   map[uint64]map[string]map[string]bool // term, candidate, voter
	lines     map[lineKey]line
	terms     map[string]uint64 // the highest term seen of a running member
	commits   map[string]uint64
	led       map[string]uint64 // the term whose lead was looked at
	floor     uint64            // index that each read that starts now must see
	confAfter uint64
}

func newChecker(w *world, only check) *checker {
	return &checker{w: w, only: only, leaders: map[uint64]string{}, votes: map[voteKey]string{}, granted: map[uint64]map[string]map[string]bool{},
		lines: map[lineKey]line{}, terms: map[string]uint64{}, commits: map[string]uint64{}, led: map[string]uint64{}}
}

func (c *checker) fail(k check, format string, args ...any) {
	if c.failure == nil && (c.only == "" || c.only == k) {
		c.failure = &failure{k, fmt.Sprintf(format, args...), c.w.step}
	}
}

// panicked ends a walk in which only another check counts.
func (c *checker) panicked(text string) {
	if c.failure == nil {
		c.failure = &failure{checkPanic, text, c.w.step}
	}
}

func (c *checker) found(p Point) {
	c.first = p.Index
	c.log = []record{{term: p.Term, state: loadMachine(p.Data)}}
	c.sets = setsOf(p.Conf, p.Old)
}

func (c *checker) last() uint64 { return c.first + uint64(len(c.log)) - 1 }

func (c *checker) at(index uint64) *record {
	if index < c.first || index > c.last() {
		return nil
	}
	return &c.log[index-c.first]
}

// started looks at what a member found on its disk.
func (c *checker) started(m *member, h heldOnDisk) {
	delete(c.terms, m.id)
	delete(c.commits, m.id)
	prev, term := h.point.Index, h.point.Term
	for _, e := range h.log {
		if e.Index != prev+1 || e.Term < term {
			c.fail(checkDisk, "%s: entry %d of term %d follows %d of term %d", m.id, e.Index, e.Term, prev, term)
			return
		}
		prev, term = e.Index, e.Term
	}
	c.state(m, "found on disk")
}

// loaded looks at the state of a received snapshot.
func (c *checker) loaded(m *member, index uint64) {
	if m.state.index != index {
		c.fail(checkApplied, "%s: a snapshot up to %d holds the state at %d", m.id, index, m.state.index)
	}
	c.state(m, "loaded")
}

func (c *checker) state(m *member, how string) {
	if m.state.index < c.first {
		return
	}
	r := c.at(m.state.index)
	if r == nil {
		c.fail(checkCommitted, "%s: state at %d %s, committed are %d", m.id, m.state.index, how, c.last())
	} else if r.state != m.state {
		c.fail(checkApplied, "%s: state at %d %s differs", m.id, m.state.index, how)
	}
}

// applying takes an entry into the committed log, or compares it.
func (c *checker) applying(m *member, e Entry) {
	if e.Index != m.state.index+1 {
		c.fail(checkApplied, "%s: applies %d to the state at %d", m.id, e.Index, m.state.index)
	}
	if e.Index == c.last()+1 {
		c.log = append(c.log, record{term: e.Term, hash: entryHash(e), kind: e.Kind, state: c.log[len(c.log)-1].state.apply(e), seenIn: m.node.Term()})
		if e.Kind == EntryConf {
			c.configured(m, e)
		}
		return
	}
	r := c.at(e.Index)
	switch {
	case r == nil:
		c.fail(checkCommitted, "%s: applies %d, committed are %d", m.id, e.Index, c.last())
	case r.term != e.Term || r.hash != entryHash(e):
		c.fail(checkCommitted, "%s: entry %d of term %d, committed was one of term %d", m.id, e.Index, e.Term, r.term)
	default:
		r.seenIn = min(r.seenIn, m.node.Term())
	}
}

func (c *checker) configured(m *member, e Entry) {
	sets, err := confSets(e.Data)
	if err != nil {
		c.fail(checkMeet, "entry %d: %v", e.Index, err)
		return
	}
	if !meet(c.sets, sets) {
		c.fail(checkMeet, "entry %d: %v after %v", e.Index, sets, c.sets)
	}
	c.sets, c.confAfter = sets, e.Index
}

func (c *checker) applied(m *member, e Entry) {
	if r := c.at(e.Index); r != nil && r.state != m.state {
		c.fail(checkApplied, "%s: state after %d differs", m.id, e.Index)
	}
}

func (c *checker) acked(m *member, e Entry, p proposal) {
	if string(e.Data) != p.data {
		c.fail(checkCommitted, "%s: %q was acknowledged, entry %d is %q", m.id, p.data, e.Index, e.Data)
	}
	c.floor = max(c.floor, e.Index)
}

func (c *checker) read(m *member, r read) {
	if m.state.lastData < r.floor {
		c.fail(checkReads, "%s in term %d: read at %d, but %d was acknowledged or read before it began", m.id, m.node.Term(), m.state.lastData, r.floor)
	}
	c.floor = max(c.floor, m.state.lastData)
}

// entries looks at what a member adds to its log.
func (c *checker) entries(m *member, es []Entry) {
	for _, e := range es {
		prev, ok := m.node.TermAt(e.Index - 1)
		if t, held := m.node.TermAt(e.Index); !ok || !held || t != e.Term {
			continue
		}
		k, l := lineKey{e.Index, e.Term}, line{entryHash(e), prev}
		if old, seen := c.lines[k]; seen && old != l {
			c.fail(checkLogs, "%s: entry %d of term %d differs from another's, or what it follows does", m.id, e.Index, e.Term)
		} else if !seen {
			c.lines[k] = l
		}
	}
}

// posted looks at a message at the moment when it may leave.
func (c *checker) posted(m *member, x Msg) {
	d := &m.disk
	switch {
	case x.Kind == MsgVote || x.Kind == MsgVoteAnswer && !x.Reject:
		voted := x.To
		if x.Kind == MsgVote {
			voted = m.id
		}
		k := voteKey{m.id, x.Term}
		if old := c.votes[k]; old != "" && old != voted {
			c.fail(checkVote, "%s votes for %s and %s in term %d", m.id, old, voted, x.Term)
		}
		c.votes[k] = voted
		c.grant(x.Term, voted, m.id)
		if d.hard.Term < x.Term || d.hard.Term == x.Term && d.hard.Vote != voted {
			c.fail(checkPromise, "%s votes for %s in term %d, on disk is %q in term %d", m.id, voted, x.Term, d.hard.Vote, d.hard.Term)
		}
	case x.Kind == MsgAppendAnswer || x.Kind == MsgAppend:
		if d.hard.Term < x.Term {
			c.fail(checkPromise, "%s speaks in term %d, on disk is %d", m.id, x.Term, d.hard.Term)
		}
		// Above that term another leader may have replaced the entry since.
		if x.Kind == MsgAppendAnswer && !x.Reject && d.hard.Term == x.Term && m.node.Term() == x.Term {
			if t, ok := m.node.TermAt(x.Index); ok && !d.holds(x.Index, t) {
				c.fail(checkPromise, "%s acknowledges %d of term %d, which its disk does not hold", m.id, x.Index, t)
			}
		}
	}
}

func (c *checker) grant(term uint64, candidate, from string) {
	if c.granted[term] == nil {
		c.granted[term] = map[string]map[string]bool{}
	}
	if c.granted[term][candidate] == nil {
		c.granted[term][candidate] = map[string]bool{}
	}
	c.granted[term][candidate][from] = true
}

// observe looks at a member after each input.
func (c *checker) observe(m *member) {
	n := m.node
	if n == nil {
		return
	}
	if n.Term() < c.terms[m.id] {
		c.fail(checkVote, "%s: term fell from %d to %d", m.id, c.terms[m.id], n.Term())
	}
	c.terms[m.id] = n.Term()
	if n.Commit() < c.commits[m.id] {
		c.fail(checkCommitted, "%s: commit fell from %d to %d", m.id, c.commits[m.id], n.Commit())
	}
	if n.Leads() {
		c.leads(m)
		if n.Commit() > c.commits[m.id] && n.Commit() > c.first {
			c.durable(m)
		}
	}
	c.commits[m.id] = n.Commit()
}

func (c *checker) leads(m *member) {
	n := m.node
	if c.led[m.id] == n.Term() {
		return
	}
	c.led[m.id] = n.Term()
	c.w.note("leads", m.id, n.Term(), n.LastIndex())
	c.w.counts["leaders"]++
	if old, ok := c.leaders[n.Term()]; ok && old != m.id {
		c.fail(checkLeader, "%s and %s in term %d", old, m.id, n.Term())
	}
	c.leaders[n.Term()] = m.id
	votes := c.granted[n.Term()][m.id]
	if !quorum(voterSets(n), func(id string) bool { return id == m.id || votes[id] }) {
		c.fail(checkElected, "%s in term %d: voters %v, votes of %v", m.id, n.Term(), voterSets(n), votes)
	}
	for i := c.last(); i > c.first; i-- {
		r := c.at(i)
		t, ok := n.TermAt(i)
		if !ok && i <= n.LastIndex() {
			break // in its snapshot
		}
		// What a later term committed, an earlier leader needs not hold.
		if r.seenIn < n.Term() && (!ok || t != r.term) {
			c.fail(checkComplete, "%s in term %d lacks %d of term %d, last is %d", m.id, n.Term(), i, r.term, n.LastIndex())
			break
		}
	}
}

// durable wants what a leader counts as committed on the disks of a majority;
// a disk lost since counts as it was, since one in a minority may be lost.
func (c *checker) durable(m *member) {
	i := m.node.Commit()
	t, ok := m.node.TermAt(i)
	if !ok {
		return
	}
	if !quorum(voterSets(m.node), func(id string) bool { return c.w.byID[id].disk.holds(i, t) }) {
		c.fail(checkDurable, "%s commits %d of term %d, voters %v", m.id, i, t, voterSets(m.node))
	}
}

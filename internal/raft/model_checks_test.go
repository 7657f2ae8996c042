package raft

import "fmt"

// The checks of the model test. They look at all members, disks and messages
// at each step, from outside, and know what was committed over all.

type check string

const (
	checkLeader              = check("at most one leader a term")
	checkVote                = check("one vote a term")
	checkElectedByMajority   = check("a leader has the votes of a majority")
	checkLeaderCompleteness  = check("a leader holds all that was committed")
	checkCommitted           = check("no committed entry is lost or changed")
	checkLogMatching         = check("logs match")
	checkApplied             = check("the same state at the same index")
	checkLinearizableReads   = check("reads are linearizable")
	checkDurable             = check("what is committed is on the disks of a majority")
	checkPersistedBeforeSent = check("what is promised is on the disk")
	checkQuorumsIntersect    = check("majorities of configurations in a row meet")
	checkDisk                = check("the log on disk is whole")
	checkLiveness            = check("a command is committed once all is healed")
	checkPanic               = check("no panic")
)

var allChecks = []check{checkLeader, checkVote, checkElectedByMajority, checkLeaderCompleteness, checkCommitted, checkLogMatching, checkApplied, checkLinearizableReads,
	checkDurable, checkPersistedBeforeSent, checkQuorumsIntersect, checkDisk, checkLiveness, checkPanic}

// failure is the first check that failed.
type failure struct {
	check check
	text  string
	step  int
}

func (f *failure) String() string { return fmt.Sprintf("step %d: %s: %s", f.step, f.check, f.text) }

// committedEntry is one entry of the committed log.
type committedEntry struct {
	term, hash     uint64
	kind           EntryKind
	state          stateMachine // after it
	lowestTermSeen uint64       // the lowest term in which it was seen committed
}

type entryKey struct{ index, term uint64 }
type entryDigest struct{ hash, prevTerm uint64 }
type voteKey struct {
	id   string
	term uint64
}

// checker holds what is known of the whole cluster.
type checker struct {
	w       *modelWorld
	only    check // the one check that counts, or empty: all
	failure *failure

	first       uint64 // the index of log[0]
	log         []committedEntry
	voterSets   [][]string // the newest committed configuration
	leaders     map[uint64]string
	votes       map[voteKey]string
	granted     map[uint64]map[string]map[string]bool // term, candidate, voter
	entries     map[entryKey]entryDigest
	terms       map[string]uint64 // the highest term seen of a running member
	commits     map[string]uint64
	lastLedTerm map[string]uint64 // the term whose lead was looked at
	readFloor   uint64            // index that each read that starts now must see
	confIndex   uint64
}

func newChecker(w *modelWorld, only check) *checker {
	return &checker{w: w, only: only, leaders: map[uint64]string{}, votes: map[voteKey]string{}, granted: map[uint64]map[string]map[string]bool{},
		entries: map[entryKey]entryDigest{}, terms: map[string]uint64{}, commits: map[string]uint64{}, lastLedTerm: map[string]uint64{}}
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

func (c *checker) bootstrap(p Snapshot) {
	c.first = p.Index
	c.log = []committedEntry{{term: p.Term, state: decodeStateMachine(p.Data)}}
	c.voterSets = voterIDSets(p.Voters, p.OutgoingVoters)
}

func (c *checker) last() uint64 { return c.first + uint64(len(c.log)) - 1 }

func (c *checker) at(index uint64) *committedEntry {
	if index < c.first || index > c.last() {
		return nil
	}
	return &c.log[index-c.first]
}

// started looks at what a member found on its disk.
func (c *checker) started(m *modelMember, recovered recoveredDisk) {
	delete(c.terms, m.id)
	delete(c.commits, m.id)
	prev, term := recovered.snapshot.Index, recovered.snapshot.Term
	for _, e := range recovered.log {
		if e.Index != prev+1 || e.Term < term {
			c.fail(checkDisk, "%s: entry %d of term %d follows %d of term %d", m.id, e.Index, e.Term, prev, term)
			return
		}
		prev, term = e.Index, e.Term
	}
	c.state(m, "found on disk")
}

// loaded looks at the state of a received snapshot.
func (c *checker) loaded(m *modelMember, index uint64) {
	if m.state.index != index {
		c.fail(checkApplied, "%s: a snapshot up to %d holds the state at %d", m.id, index, m.state.index)
	}
	c.state(m, "loaded")
}

func (c *checker) state(m *modelMember, how string) {
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
func (c *checker) applying(m *modelMember, e Entry) {
	if e.Index != m.state.index+1 {
		c.fail(checkApplied, "%s: applies %d to the state at %d", m.id, e.Index, m.state.index)
	}
	if e.Index == c.last()+1 {
		c.log = append(c.log, committedEntry{term: e.Term, hash: hashEntry(e), kind: e.Kind, state: c.log[len(c.log)-1].state.apply(e), lowestTermSeen: m.node.Term()})
		if e.Kind == EntryConfChange {
			c.applyConfChange(m, e)
		}
		return
	}
	r := c.at(e.Index)
	switch {
	case r == nil:
		c.fail(checkCommitted, "%s: applies %d, committed are %d", m.id, e.Index, c.last())
	case r.term != e.Term || r.hash != hashEntry(e):
		c.fail(checkCommitted, "%s: entry %d of term %d, committed was one of term %d", m.id, e.Index, e.Term, r.term)
	default:
		r.lowestTermSeen = min(r.lowestTermSeen, m.node.Term())
	}
}

func (c *checker) applyConfChange(m *modelMember, e Entry) {
	sets, err := confChangeVoterSets(e.Data)
	if err != nil {
		c.fail(checkQuorumsIntersect, "entry %d: %v", e.Index, err)
		return
	}
	if !quorumsIntersect(c.voterSets, sets) {
		c.fail(checkQuorumsIntersect, "entry %d: %v after %v", e.Index, sets, c.voterSets)
	}
	c.voterSets, c.confIndex = sets, e.Index
}

func (c *checker) applied(m *modelMember, e Entry) {
	if r := c.at(e.Index); r != nil && r.state != m.state {
		c.fail(checkApplied, "%s: state after %d differs", m.id, e.Index)
	}
}

func (c *checker) acknowledged(m *modelMember, e Entry, p proposal) {
	if string(e.Data) != p.data {
		c.fail(checkCommitted, "%s: %q was acknowledged, entry %d is %q", m.id, p.data, e.Index, e.Data)
	}
	c.readFloor = max(c.readFloor, e.Index)
}

func (c *checker) read(m *modelMember, r clientRead) {
	if m.state.lastData < r.floor {
		c.fail(checkLinearizableReads, "%s in term %d: read at %d, but %d was acknowledged or read before it began", m.id, m.node.Term(), m.state.lastData, r.floor)
	}
	c.readFloor = max(c.readFloor, m.state.lastData)
}

// appended looks at what a member adds to its log.
func (c *checker) appended(m *modelMember, es []Entry) {
	for _, e := range es {
		prev, ok := m.node.TermAt(e.Index - 1)
		if t, held := m.node.TermAt(e.Index); !ok || !held || t != e.Term {
			continue
		}
		k, l := entryKey{e.Index, e.Term}, entryDigest{hashEntry(e), prev}
		if old, seen := c.entries[k]; seen && old != l {
			c.fail(checkLogMatching, "%s: entry %d of term %d differs from another's, or what it follows does", m.id, e.Index, e.Term)
		} else if !seen {
			c.entries[k] = l
		}
	}
}

// posted looks at a message at the moment when it may leave.
func (c *checker) posted(m *modelMember, message Message) {
	disk := &m.disk
	switch {
	case message.Kind == MsgVote || message.Kind == MsgVoteResponse && !message.Reject:
		voted := message.To
		if message.Kind == MsgVote {
			voted = m.id
		}
		k := voteKey{m.id, message.Term}
		if old := c.votes[k]; old != "" && old != voted {
			c.fail(checkVote, "%s votes for %s and %s in term %d", m.id, old, voted, message.Term)
		}
		c.votes[k] = voted
		c.grant(message.Term, voted, m.id)
		if disk.hardState.Term < message.Term || disk.hardState.Term == message.Term && disk.hardState.Vote != voted {
			c.fail(checkPersistedBeforeSent, "%s votes for %s in term %d, on disk is %q in term %d", m.id, voted, message.Term, disk.hardState.Vote, disk.hardState.Term)
		}
	case message.Kind == MsgAppendResponse || message.Kind == MsgAppend:
		if disk.hardState.Term < message.Term {
			c.fail(checkPersistedBeforeSent, "%s speaks in term %d, on disk is %d", m.id, message.Term, disk.hardState.Term)
		}
		// Above that term another leader may have replaced the entry since.
		if message.Kind == MsgAppendResponse && !message.Reject && disk.hardState.Term == message.Term && m.node.Term() == message.Term {
			if t, ok := m.node.TermAt(message.Index); ok && !disk.holds(message.Index, t) {
				c.fail(checkPersistedBeforeSent, "%s acknowledges %d of term %d, which its disk does not hold", m.id, message.Index, t)
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
func (c *checker) observe(m *modelMember) {
	n := m.node
	if n == nil {
		return
	}
	if n.Term() < c.terms[m.id] {
		c.fail(checkVote, "%s: term fell from %d to %d", m.id, c.terms[m.id], n.Term())
	}
	c.terms[m.id] = n.Term()
	if n.CommitIndex() < c.commits[m.id] {
		c.fail(checkCommitted, "%s: commit fell from %d to %d", m.id, c.commits[m.id], n.CommitIndex())
	}
	if n.IsLeader() {
		c.leaderElected(m)
		if n.CommitIndex() > c.commits[m.id] && n.CommitIndex() > c.first {
			c.durable(m)
		}
	}
	c.commits[m.id] = n.CommitIndex()
}

func (c *checker) leaderElected(m *modelMember) {
	n := m.node
	if c.lastLedTerm[m.id] == n.Term() {
		return
	}
	c.lastLedTerm[m.id] = n.Term()
	c.w.note("leads", m.id, n.Term(), n.LastIndex())
	c.w.counts["leaders"]++
	if old, ok := c.leaders[n.Term()]; ok && old != m.id {
		c.fail(checkLeader, "%s and %s in term %d", old, m.id, n.Term())
	}
	c.leaders[n.Term()] = m.id
	votes := c.granted[n.Term()][m.id]
	if !hasQuorum(currentVoterSets(n), func(id string) bool { return id == m.id || votes[id] }) {
		c.fail(checkElectedByMajority, "%s in term %d: voters %v, votes of %v", m.id, n.Term(), currentVoterSets(n), votes)
	}
	for i := c.last(); i > c.first; i-- {
		r := c.at(i)
		t, ok := n.TermAt(i)
		if !ok && i <= n.LastIndex() {
			break // in its snapshot
		}
		// What a later term committed, an earlier leader needs not hold.
		if r.lowestTermSeen < n.Term() && (!ok || t != r.term) {
			c.fail(checkLeaderCompleteness, "%s in term %d lacks %d of term %d, last is %d", m.id, n.Term(), i, r.term, n.LastIndex())
			break
		}
	}
}

// durable wants what a leader counts as committed on the disks of a majority;
// a disk lost since counts as it was, since one in a minority may be lost.
func (c *checker) durable(m *modelMember) {
	i := m.node.CommitIndex()
	t, ok := m.node.TermAt(i)
	if !ok {
		return
	}
	if !hasQuorum(currentVoterSets(m.node), func(id string) bool { return c.w.byID[id].disk.holds(i, t) }) {
		c.fail(checkDurable, "%s commits %d of term %d, voters %v", m.id, i, t, currentVoterSets(m.node))
	}
}

package raft

import "fmt"

// The checks of the model test. At each step they look at all members, disks and
// messages from outside, and compare them with all that was ever committed.

// check names an invariant.
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

var allChecks = []check{
	checkLeader, checkVote, checkElectedByMajority, checkLeaderCompleteness, checkCommitted, checkLogMatching, checkApplied,
	checkLinearizableReads, checkDurable, checkPersistedBeforeSent, checkQuorumsIntersect, checkDisk, checkLiveness, checkPanic,
}

// failure is the first violation of an invariant.
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
	lowestTermSeen uint64       // in which it was known to be committed
}

type entryKey struct{ index, term uint64 }
type entryDigest struct{ hash, prevTerm uint64 }
type voteKey struct {
	id   string
	term uint64
}

// checker holds what is known of the whole cluster.
type checker struct {
	world   *modelWorld
	only    check // the one check that counts, or empty for all
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
	lastLedTerm map[string]uint64 // the newest term for which a member was checked as leader
	readFloor   uint64            // a read that starts now must see this index
	confIndex   uint64
}

func newChecker(world *modelWorld, only check) *checker {
	return &checker{
		world:       world,
		only:        only,
		leaders:     map[uint64]string{},
		votes:       map[voteKey]string{},
		granted:     map[uint64]map[string]map[string]bool{},
		entries:     map[entryKey]entryDigest{},
		terms:       map[string]uint64{},
		commits:     map[string]uint64{},
		lastLedTerm: map[string]uint64{},
	}
}

func (c *checker) fail(violated check, format string, args ...any) {
	if c.failure == nil && (c.only == "" || c.only == violated) {
		c.failure = &failure{violated, fmt.Sprintf(format, args...), c.world.step}
	}
}

// panicked records a panic, also where only another check counts.
func (c *checker) panicked(text string) {
	if c.failure == nil {
		c.failure = &failure{checkPanic, text, c.world.step}
	}
}

func (c *checker) bootstrap(snapshot Snapshot) {
	c.first = snapshot.Index
	c.log = []committedEntry{{term: snapshot.Term, state: decodeStateMachine(snapshot.Data)}}
	c.voterSets = voterIDSets(snapshot.Voters, snapshot.OutgoingVoters)
}

func (c *checker) last() uint64 { return c.first + uint64(len(c.log)) - 1 }

func (c *checker) at(index uint64) *committedEntry {
	if index < c.first || index > c.last() {
		return nil
	}
	return &c.log[index-c.first]
}

// started checks what a member found on its disk.
func (c *checker) started(member *modelMember, recovered recoveredDisk) {
	delete(c.terms, member.id)
	delete(c.commits, member.id)
	prev, term := recovered.snapshot.Index, recovered.snapshot.Term
	for _, entry := range recovered.log {
		if entry.Index != prev+1 || entry.Term < term {
			c.fail(checkDisk, "%s: entry %d of term %d follows %d of term %d", member.id, entry.Index, entry.Term, prev, term)
			return
		}
		prev, term = entry.Index, entry.Term
	}
	c.state(member, "found on disk")
}

// loaded checks the state of a received snapshot.
func (c *checker) loaded(member *modelMember, index uint64) {
	if member.state.index != index {
		c.fail(checkApplied, "%s: a snapshot up to %d holds the state at %d", member.id, index, member.state.index)
	}
	c.state(member, "loaded")
}

func (c *checker) state(member *modelMember, how string) {
	if member.state.index < c.first {
		return
	}
	committed := c.at(member.state.index)
	if committed == nil {
		c.fail(checkCommitted, "%s: state at %d %s, committed are %d", member.id, member.state.index, how, c.last())
	} else if committed.state != member.state {
		c.fail(checkApplied, "%s: state at %d %s differs", member.id, member.state.index, how)
	}
}

// applying adds an entry that a member is about to apply to the committed log, or compares
// it with that.
func (c *checker) applying(member *modelMember, entry Entry) {
	if entry.Index != member.state.index+1 {
		c.fail(checkApplied, "%s: applies %d to the state at %d", member.id, entry.Index, member.state.index)
	}
	if entry.Index == c.last()+1 {
		c.log = append(c.log, committedEntry{
			term:           entry.Term,
			hash:           hashEntry(entry),
			kind:           entry.Kind,
			state:          c.log[len(c.log)-1].state.apply(entry),
			lowestTermSeen: member.node.Term(),
		})
		if entry.Kind == EntryConfChange {
			c.applyConfChange(entry)
		}
		return
	}
	committed := c.at(entry.Index)
	switch {
	case committed == nil:
		c.fail(checkCommitted, "%s: applies %d, committed are %d", member.id, entry.Index, c.last())
	case committed.term != entry.Term || committed.hash != hashEntry(entry):
		c.fail(checkCommitted, "%s: entry %d of term %d, committed was one of term %d", member.id, entry.Index, entry.Term, committed.term)
	default:
		committed.lowestTermSeen = min(committed.lowestTermSeen, member.node.Term())
	}
}

func (c *checker) applyConfChange(entry Entry) {
	sets, err := confChangeVoterSets(entry.Data)
	if err != nil {
		c.fail(checkQuorumsIntersect, "entry %d: %v", entry.Index, err)
		return
	}
	if !quorumsIntersect(c.voterSets, sets) {
		c.fail(checkQuorumsIntersect, "entry %d: %v after %v", entry.Index, sets, c.voterSets)
	}
	c.voterSets, c.confIndex = sets, entry.Index
}

func (c *checker) applied(member *modelMember, entry Entry) {
	if committed := c.at(entry.Index); committed != nil && committed.state != member.state {
		c.fail(checkApplied, "%s: state after %d differs", member.id, entry.Index)
	}
}

func (c *checker) acknowledged(member *modelMember, entry Entry, proposed proposal) {
	if string(entry.Data) != proposed.data {
		c.fail(checkCommitted, "%s: %q was acknowledged, entry %d is %q", member.id, proposed.data, entry.Index, entry.Data)
	}
	c.readFloor = max(c.readFloor, entry.Index)
}

func (c *checker) read(member *modelMember, request clientRead) {
	if member.state.lastData < request.floor {
		c.fail(checkLinearizableReads, "%s in term %d: read at %d, but %d was acknowledged or read before it began",
			member.id, member.node.Term(), member.state.lastData, request.floor)
	}
	c.readFloor = max(c.readFloor, member.state.lastData)
}

// appended checks entries that a member adds to its log.
func (c *checker) appended(member *modelMember, entries []Entry) {
	for _, entry := range entries {
		prev, ok := member.node.TermAt(entry.Index - 1)
		if term, held := member.node.TermAt(entry.Index); !ok || !held || term != entry.Term {
			continue
		}
		key, digest := entryKey{entry.Index, entry.Term}, entryDigest{hashEntry(entry), prev}
		if earlier, seen := c.entries[key]; seen && earlier != digest {
			c.fail(checkLogMatching, "%s: entry %d of term %d differs from another's, or what it follows does", member.id, entry.Index, entry.Term)
		} else if !seen {
			c.entries[key] = digest
		}
	}
}

// posted checks a message at the moment when it may leave.
func (c *checker) posted(member *modelMember, message Message) {
	disk := &member.disk
	switch {
	case message.Kind == MsgVote || message.Kind == MsgVoteResponse && !message.Reject:
		voted := message.To
		if message.Kind == MsgVote {
			voted = member.id
		}
		key := voteKey{member.id, message.Term}
		if earlier := c.votes[key]; earlier != "" && earlier != voted {
			c.fail(checkVote, "%s votes for %s and %s in term %d", member.id, earlier, voted, message.Term)
		}
		c.votes[key] = voted
		c.grant(message.Term, voted, member.id)
		if disk.hardState.Term < message.Term || disk.hardState.Term == message.Term && disk.hardState.Vote != voted {
			c.fail(checkPersistedBeforeSent, "%s votes for %s in term %d, on disk is %q in term %d",
				member.id, voted, message.Term, disk.hardState.Vote, disk.hardState.Term)
		}
	case message.Kind == MsgAppendResponse || message.Kind == MsgAppend:
		if disk.hardState.Term < message.Term {
			c.fail(checkPersistedBeforeSent, "%s speaks in term %d, on disk is %d", member.id, message.Term, disk.hardState.Term)
		}
		// In a later term another leader may have replaced the entry since.
		if message.Kind == MsgAppendResponse && !message.Reject && disk.hardState.Term == message.Term && member.node.Term() == message.Term {
			if term, ok := member.node.TermAt(message.Index); ok && !disk.holds(message.Index, term) {
				c.fail(checkPersistedBeforeSent, "%s acknowledges %d of term %d, which its disk does not hold", member.id, message.Index, term)
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

// observe checks a member after each input.
func (c *checker) observe(member *modelMember) {
	node := member.node
	if node == nil {
		return
	}
	if node.Term() < c.terms[member.id] {
		c.fail(checkVote, "%s: term fell from %d to %d", member.id, c.terms[member.id], node.Term())
	}
	c.terms[member.id] = node.Term()
	if node.CommitIndex() < c.commits[member.id] {
		c.fail(checkCommitted, "%s: commit fell from %d to %d", member.id, c.commits[member.id], node.CommitIndex())
	}
	if node.IsLeader() {
		c.leaderElected(member)
		if node.CommitIndex() > c.commits[member.id] && node.CommitIndex() > c.first {
			c.durable(member)
		}
	}
	c.commits[member.id] = node.CommitIndex()
}

func (c *checker) leaderElected(member *modelMember) {
	node := member.node
	if c.lastLedTerm[member.id] == node.Term() {
		return
	}
	c.lastLedTerm[member.id] = node.Term()
	c.world.note("leads", member.id, node.Term(), node.LastIndex())
	c.world.counts["leaders"]++
	if earlier, ok := c.leaders[node.Term()]; ok && earlier != member.id {
		c.fail(checkLeader, "%s and %s in term %d", earlier, member.id, node.Term())
	}
	c.leaders[node.Term()] = member.id
	votes := c.granted[node.Term()][member.id]
	if !hasQuorum(currentVoterSets(node), func(id string) bool { return id == member.id || votes[id] }) {
		c.fail(checkElectedByMajority, "%s in term %d: voters %v, votes of %v", member.id, node.Term(), currentVoterSets(node), votes)
	}
	for index := c.last(); index > c.first; index-- {
		committed := c.at(index)
		term, ok := node.TermAt(index)
		if !ok && index <= node.LastIndex() {
			break // the leader's snapshot includes it
		}
		// A leader needs not hold what is committed in a later term.
		if committed.lowestTermSeen < node.Term() && (!ok || term != committed.term) {
			c.fail(checkLeaderCompleteness, "%s in term %d lacks %d of term %d, last is %d",
				member.id, node.Term(), index, committed.term, node.LastIndex())
			break
		}
	}
}

// durable checks that what a leader counts as committed is on the disks of a quorum. A
// disk that was lost since counts as it was, since a minority may lose theirs.
func (c *checker) durable(member *modelMember) {
	index := member.node.CommitIndex()
	term, ok := member.node.TermAt(index)
	if !ok {
		return
	}
	if !hasQuorum(currentVoterSets(member.node), func(id string) bool { return c.world.byID[id].disk.holds(index, term) }) {
		c.fail(checkDurable, "%s commits %d of term %d, voters %v", member.id, index, term, currentVoterSets(member.node))
	}
}

package raft

import "fmt"

// The invariant checks of the model test. At each step they observe all members, disks and
// messages, and compare them with all entries that were ever committed.

// check names an invariant.
type check string

const (
	checkLeader              = check("at most one leader per term")
	checkVote                = check("one vote per term")
	checkElectedByQuorum     = check("a leader has the votes of a quorum")
	checkLeaderCompleteness  = check("a leader holds all committed entries")
	checkCommitted           = check("no committed entry is lost or changed")
	checkLogMatching         = check("logs match")
	checkApplied             = check("the same state at the same index")
	checkLinearizableReads   = check("reads are linearizable")
	checkDurable             = check("committed entries are on the disks of a quorum")
	checkPersistedBeforeSent = check("state is persisted before messages that depend on it")
	checkQuorumsIntersect    = check("quorums of consecutive configurations intersect")
	checkDisk                = check("the log on disk has no gaps")
	checkLiveness            = check("a command is committed once all faults have ended")
	checkPanic               = check("no panic")
)

var allChecks = []check{
	checkLeader, checkVote, checkElectedByQuorum, checkLeaderCompleteness, checkCommitted, checkLogMatching, checkApplied,
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
	state          stateMachine // after the entry is applied
	lowestTermSeen uint64       // lowest term in which a member knew that it is committed
}

type entryKey struct{ index, term uint64 }
type entryDigest struct{ hash, prevTerm uint64 }
type voteKey struct {
	id   string
	term uint64
}

// checker holds the observed history of the whole cluster, which the checks refer to.
type checker struct {
	cluster   *modelCluster
	onlyCheck check // the only check that is reported, or empty for all
	failure   *failure

	firstIndex   uint64 // index of log[0]
	log          []committedEntry
	voterSets    [][]string // latest committed configuration
	leaders      map[uint64]string
	votes        map[voteKey]string
	granted      map[uint64]map[string]map[string]bool // granted votes by term, candidate and voter
	entries      map[entryKey]entryDigest
	terms        map[string]uint64 // highest term seen of each running member
	commits      map[string]uint64
	lastLedTerm  map[string]uint64 // latest term for which each member was checked as leader
	minReadIndex uint64            // lowest index that a read starting now must see
	confIndex    uint64
}

func newChecker(cluster *modelCluster, onlyCheck check) *checker {
	return &checker{
		cluster:     cluster,
		onlyCheck:   onlyCheck,
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
	if c.failure == nil && (c.onlyCheck == "" || c.onlyCheck == violated) {
		c.failure = &failure{violated, fmt.Sprintf(format, args...), c.cluster.step}
	}
}

// onPanic records a panic, even if only another check is reported.
func (c *checker) onPanic(text string) {
	if c.failure == nil {
		c.failure = &failure{checkPanic, text, c.cluster.step}
	}
}

func (c *checker) bootstrap(snapshot Snapshot) {
	c.firstIndex = snapshot.Index
	c.log = []committedEntry{{term: snapshot.Term, state: decodeStateMachine(snapshot.Data)}}
	c.voterSets = voterIDSets(snapshot.Voters, snapshot.OutgoingVoters)
}

func (c *checker) lastIndex() uint64 { return c.firstIndex + uint64(len(c.log)) - 1 }

func (c *checker) entryAt(index uint64) *committedEntry {
	if index < c.firstIndex || index > c.lastIndex() {
		return nil
	}
	return &c.log[index-c.firstIndex]
}

// onStart checks the state that a member recovered from its disk.
func (c *checker) onStart(member *modelMember, recovered recoveredDisk) {
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
	c.state(member, "recovered from disk")
}

// onSnapshotLoaded checks the state of a member after it loaded a received snapshot.
func (c *checker) onSnapshotLoaded(member *modelMember, index uint64) {
	if member.state.index != index {
		c.fail(checkApplied, "%s: the snapshot up to %d holds the state at %d", member.id, index, member.state.index)
	}
	c.state(member, "loaded from a snapshot")
}

// state compares the state of a member with the committed state at the same index.
func (c *checker) state(member *modelMember, source string) {
	if member.state.index < c.firstIndex {
		return
	}
	committed := c.entryAt(member.state.index)
	if committed == nil {
		c.fail(checkCommitted, "%s: state at %d %s, but the last committed entry is %d",
			member.id, member.state.index, source, c.lastIndex())
	} else if committed.state != member.state {
		c.fail(checkApplied, "%s: state at %d %s differs from the committed one", member.id, member.state.index, source)
	}
}

// beforeApply compares an entry that a member is about to apply with the committed log, or
// appends it if it is the next one.
func (c *checker) beforeApply(member *modelMember, entry Entry) {
	if entry.Index != member.state.index+1 {
		c.fail(checkApplied, "%s: applies entry %d to the state at %d", member.id, entry.Index, member.state.index)
	}
	if entry.Index == c.lastIndex()+1 {
		c.log = append(c.log, committedEntry{
			term:           entry.Term,
			hash:           hashEntry(entry),
			kind:           entry.Kind,
			state:          c.log[len(c.log)-1].state.apply(entry),
			lowestTermSeen: member.node.Term(),
		})
		if entry.Kind == EntryConfChange {
			c.onConfChange(entry)
		}
		return
	}
	committed := c.entryAt(entry.Index)
	switch {
	case committed == nil:
		c.fail(checkCommitted, "%s: applies entry %d, but the last committed entry is %d",
			member.id, entry.Index, c.lastIndex())
	case committed.term != entry.Term || committed.hash != hashEntry(entry):
		c.fail(checkCommitted, "%s: applies entry %d of term %d, but the committed one is of term %d",
			member.id, entry.Index, entry.Term, committed.term)
	default:
		committed.lowestTermSeen = min(committed.lowestTermSeen, member.node.Term())
	}
}

func (c *checker) onConfChange(entry Entry) {
	sets, err := confChangeVoterSets(entry.Data)
	if err != nil {
		c.fail(checkQuorumsIntersect, "entry %d: %v", entry.Index, err)
		return
	}
	if !quorumsIntersect(c.voterSets, sets) {
		c.fail(checkQuorumsIntersect, "entry %d: voters %v after %v", entry.Index, sets, c.voterSets)
	}
	c.voterSets, c.confIndex = sets, entry.Index
}

func (c *checker) afterApply(member *modelMember, entry Entry) {
	if committed := c.entryAt(entry.Index); committed != nil && committed.state != member.state {
		c.fail(checkApplied, "%s: state after entry %d differs from the committed one", member.id, entry.Index)
	}
}

func (c *checker) onAcknowledged(member *modelMember, entry Entry, proposed proposal) {
	if string(entry.Data) != proposed.data {
		c.fail(checkCommitted, "%s: acknowledged command %q, but entry %d is %q",
			member.id, proposed.data, entry.Index, entry.Data)
	}
	c.minReadIndex = max(c.minReadIndex, entry.Index)
}

// read checks that a client read sees all that was acknowledged or read before it started.
func (c *checker) read(member *modelMember, request clientRead) {
	if member.state.lastData < request.minIndex {
		c.fail(checkLinearizableReads,
			"%s in term %d: read at index %d, but index %d was acknowledged or read before the read started",
			member.id, member.node.Term(), member.state.lastData, request.minIndex)
	}
	c.minReadIndex = max(c.minReadIndex, member.state.lastData)
}

// onAppend checks entries that a member appends to its log.
func (c *checker) onAppend(member *modelMember, entries []Entry) {
	for _, entry := range entries {
		prev, ok := member.node.TermAt(entry.Index - 1)
		if term, held := member.node.TermAt(entry.Index); !ok || !held || term != entry.Term {
			continue
		}
		key, digest := entryKey{entry.Index, entry.Term}, entryDigest{hashEntry(entry), prev}
		if earlier, seen := c.entries[key]; seen && earlier != digest {
			c.fail(checkLogMatching,
				"%s: entry %d of term %d, or the term of its predecessor, differs from that of another member",
				member.id, entry.Index, entry.Term)
		} else if !seen {
			c.entries[key] = digest
		}
	}
}

// onSend checks a message when it is sent.
func (c *checker) onSend(member *modelMember, message Message) {
	disk := &member.disk
	switch {
	case message.Kind == MsgVote || message.Kind == MsgVoteResponse && !message.Reject:
		voted := message.To
		if message.Kind == MsgVote {
			voted = member.id
		}
		key := voteKey{member.id, message.Term}
		if earlier := c.votes[key]; earlier != "" && earlier != voted {
			c.fail(checkVote, "%s votes for both %s and %s in term %d", member.id, earlier, voted, message.Term)
		}
		c.votes[key] = voted
		c.recordVote(message.Term, voted, member.id)
		if disk.hardState.Term < message.Term || disk.hardState.Term == message.Term && disk.hardState.Vote != voted {
			c.fail(checkPersistedBeforeSent, "%s votes for %s in term %d, but its disk holds the vote %q in term %d",
				member.id, voted, message.Term, disk.hardState.Vote, disk.hardState.Term)
		}
	case message.Kind == MsgAppendResponse || message.Kind == MsgAppend:
		if disk.hardState.Term < message.Term {
			c.fail(checkPersistedBeforeSent, "%s sends a message in term %d, but its disk holds term %d",
				member.id, message.Term, disk.hardState.Term)
		}
		// In a later term another leader may have replaced the entry.
		if message.Kind == MsgAppendResponse && !message.Reject && disk.hardState.Term == message.Term && member.node.Term() == message.Term {
			if term, ok := member.node.TermAt(message.Index); ok && !disk.holds(message.Index, term) {
				c.fail(checkPersistedBeforeSent, "%s acknowledges entry %d of term %d, which its disk does not hold",
					member.id, message.Index, term)
			}
		}
	}
}

func (c *checker) recordVote(term uint64, candidate, from string) {
	if c.granted[term] == nil {
		c.granted[term] = map[string]map[string]bool{}
	}
	if c.granted[term][candidate] == nil {
		c.granted[term][candidate] = map[string]bool{}
	}
	c.granted[term][candidate][from] = true
}

// observe checks the state of a member after each input.
func (c *checker) observe(member *modelMember) {
	node := member.node
	if node == nil {
		return
	}
	if node.Term() < c.terms[member.id] {
		c.fail(checkVote, "%s: term decreased from %d to %d", member.id, c.terms[member.id], node.Term())
	}
	c.terms[member.id] = node.Term()
	if node.CommitIndex() < c.commits[member.id] {
		c.fail(checkCommitted, "%s: commit index decreased from %d to %d",
			member.id, c.commits[member.id], node.CommitIndex())
	}
	if node.IsLeader() {
		c.onLeader(member)
		if node.CommitIndex() > c.commits[member.id] && node.CommitIndex() > c.firstIndex {
			c.onCommit(member)
		}
	}
	c.commits[member.id] = node.CommitIndex()
}

func (c *checker) onLeader(member *modelMember) {
	node := member.node
	if c.lastLedTerm[member.id] == node.Term() {
		return
	}
	c.lastLedTerm[member.id] = node.Term()
	c.cluster.recordEvent("leader", member.id, node.Term(), node.LastIndex())
	c.cluster.counts["leaders"]++
	if earlier, ok := c.leaders[node.Term()]; ok && earlier != member.id {
		c.fail(checkLeader, "%s and %s both lead in term %d", earlier, member.id, node.Term())
	}
	c.leaders[node.Term()] = member.id
	votes := c.granted[node.Term()][member.id]
	if !hasQuorum(currentVoterSets(node), func(id string) bool { return id == member.id || votes[id] }) {
		c.fail(checkElectedByQuorum, "%s leads in term %d with voters %v and votes of %v",
			member.id, node.Term(), currentVoterSets(node), votes)
	}
	for index := c.lastIndex(); index > c.firstIndex; index-- {
		committed := c.entryAt(index)
		term, ok := node.TermAt(index)
		if !ok && index <= node.LastIndex() {
			break // included in the leader's snapshot
		}
		// A leader needn't hold entries that were committed in a later term.
		if committed.lowestTermSeen < node.Term() && (!ok || term != committed.term) {
			c.fail(checkLeaderCompleteness, "leader %s of term %d lacks entry %d of term %d, its last entry is %d",
				member.id, node.Term(), index, committed.term, node.LastIndex())
			break
		}
	}
}

// onCommit checks that the last entry that a leader considers committed is on the disks of a
// quorum. A lost disk counts with its last contents, since a minority may lose their disks.
func (c *checker) onCommit(member *modelMember) {
	index := member.node.CommitIndex()
	term, ok := member.node.TermAt(index)
	if !ok {
		return
	}
	if !hasQuorum(currentVoterSets(member.node), func(id string) bool { return c.cluster.byID[id].disk.holds(index, term) }) {
		c.fail(checkDurable, "%s commits entry %d of term %d, which no quorum of the voters %v has on disk",
			member.id, index, term, currentVoterSets(member.node))
	}
}

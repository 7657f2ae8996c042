package raft

import (
	"math/rand"
	"time"
)

// Node is the state machine of one member. It isn't safe for several tasks.
type Node struct {
	me     string
	timing Timing
	random *rand.Rand

	term   uint64
	vote   string
	role   role
	leader string

	base           Point // index, term of the last entry dropped, and the conf there
	log            []Entry
	configurations []configuration

	commit, applied uint64
	synced          uint64
	hardOut         int // hard states not yet synced
	// Writes handed out, and how many of them are synced.
	writes, written uint64
	// A write up to cutWrite may name entries that were replaced since: from
	// cutIndex on it proves nothing.
	cutWrite, cutIndex uint64

	started  time.Time // stamps count from here
	stamped  int64     // the newest stamp
	now      time.Time
	heard    time.Time // the election wait counts from here
	kept     time.Time // the last word of a leader, or the start
	elected  time.Time
	wait     time.Duration
	votes    map[string]bool
	peers    map[string]*progress
	learners map[string]Voter
	prompt   map[string]bool
	noop     uint64
	// What was committed when the present round of heartbeats began, and the
	// one before it.
	roundCommit, roundBefore uint64
	roundAt                  time.Time
	leaving                  bool
	handing                  handOver // while leaving

	hardDirty bool
	out       Out
	wall      func() int64
	pointNow  func() *Point
}

// New builds a node from what its disk holds.
func New(me string, hard Hard, point Point, log []Entry, now time.Time, timing Timing, seed int64) *Node {
	n := &Node{me: me, timing: timing, random: rand.New(rand.NewSource(seed)), term: hard.Term, vote: hard.Vote,
		base: Point{Index: point.Index, Term: point.Term, Conf: point.Conf, Old: point.Old}, log: log, commit: point.Index, applied: point.Index,
		started: now, now: now, heard: now, kept: now, learners: map[string]Voter{}}
	n.configurations = []configuration{{point.Index, point.Conf, point.Old}}
	for _, e := range log {
		n.noteConfiguration(e)
	}
	n.synced = n.last()
	// A whole wait after a start: a lease that this member confirmed
	// before it ended may still be trusted.
	n.wait = n.timing.Elect + n.timing.Beat/4 + time.Duration(n.random.Int63n(int64(n.timing.Spread)/2+1))
	return n
}

func (n *Node) last() uint64 { return n.base.Index + uint64(len(n.log)) }

func (n *Node) termAt(i uint64) (uint64, bool) {
	if i == n.base.Index {
		return n.base.Term, true
	}
	if i < n.base.Index || i > n.last() {
		return 0, false
	}
	return n.log[i-n.base.Index-1].Term, true
}

// Me is this node's disk.
func (n *Node) Me() string { return n.me }

// Term is the current term.
func (n *Node) Term() uint64 { return n.term }

// Lead is the disk of the known leader, or empty.
func (n *Node) Lead() string { return n.leader }

// Leads tells whether this node is the leader of its term.
func (n *Node) Leads() bool { return n.role == leader }

// Commit and Applied tell how far the log is settled and handed out.
func (n *Node) Commit() uint64  { return n.commit }
func (n *Node) Applied() uint64 { return n.applied }

// LastIndex is the index of the newest entry.
func (n *Node) LastIndex() uint64 { return n.last() }

func (n *Node) send(m Msg, after bool) {
	m.From = n.me
	if m.Kind != MsgPreVote && m.Kind != MsgPreVoteAnswer {
		m.Term = n.term
	}
	if after || n.hardDirty || n.hardOut > 0 {
		n.out.After = append(n.out.After, m)
	} else {
		n.out.Now = append(n.out.Now, m)
	}
}

// Tick moves the clock on and returns when to call again.
func (n *Node) Tick(now time.Time) time.Duration {
	n.now = now
	if n.role == leader {
		if now.Sub(n.quorumAt(now)) > n.timing.Quorum && now.Sub(n.elected) > n.timing.Quorum {
			// Whoever can reach a majority must not wait for this member.
			n.newTerm(n.term, "")
			n.heard = now
			n.resetWait()
			return n.wait
		}
		if n.leaving && now.Sub(n.handing.since) >= n.timing.Elect {
			n.endTransfer()
			return n.timing.Beat
		}
		if n.nextRound() {
			n.orderTransfer()
		}
		for d, p := range n.peers {
			if now.Sub(p.sent) >= n.timing.Beat {
				n.sendAppend(d, p, true)
			}
		}
		return n.timing.Beat
	}
	if !n.mayLead() {
		return time.Second
	}
	if left := n.wait - now.Sub(n.heard); left > 0 {
		return left
	}
	n.campaign(false, false)
	return n.wait
}

// Step takes a message.
func (n *Node) Step(m Msg, now time.Time) {
	n.now = now
	if m.To != n.me {
		return
	}
	if m.Term > n.term {
		switch m.Kind {
		case MsgPreVote, MsgPreVoteAnswer:
		case MsgVote:
			// A leader lives, and its lease may rest on this member.
			if !m.Force && now.Sub(n.kept) < n.timing.Elect {
				return
			}
			if !m.Force && n.role == leader && n.Lease(now) {
				return
			}
			n.newTerm(m.Term, "")
		case MsgAppend, MsgPoint:
			n.newTerm(m.Term, m.From)
		default:
			n.newTerm(m.Term, "")
		}
	}
	if h := handlers[m.Kind]; h != nil {
		h(n, m)
	}
}

var handlers = map[byte]func(*Node, Msg){
	MsgAppend:        (*Node).onAppend,
	MsgAppendAnswer:  (*Node).onAppendAnswer,
	MsgPreVote:       (*Node).onPreVote,
	MsgPreVoteAnswer: (*Node).onPreVoteAnswer,
	MsgVote:          (*Node).onVote,
	MsgVoteAnswer:    (*Node).onVoteAnswer,
	MsgPoint:         (*Node).onPoint,
	MsgTransfer:      (*Node).onTransfer,
}

// Take hands out what is to be done.
func (n *Node) Take() Out {
	n.flush()
	o := n.out
	n.out = Out{}
	if n.hardDirty {
		o.Hard = &Hard{Term: n.term, Vote: n.vote}
		n.hardDirty = false
		n.hardOut++
		o.Mark.Hard = true
	}
	if k := len(o.Entries); k > 0 {
		o.Mark.Index, o.Mark.Term = o.Entries[k-1].Index, o.Entries[k-1].Term
	}
	if o.Point != nil {
		o.Mark.Point = o.Point.Index
	}
	if o.Writes() {
		n.writes++
		o.Mark.Write = n.writes
	}
	return o
}

// Synced takes note that a write is on disk.
func (n *Node) Synced(m Mark) {
	if m.Hard {
		n.hardOut--
		if n.role == candidate && n.hardOut == 0 && !n.hardDirty {
			n.votes[n.me] = true
			n.countVotes()
		}
	}
	n.written = max(n.written, m.Write)
	if m.Point == n.base.Index {
		n.synced = max(n.synced, m.Point)
	}
	last := m.Index
	if t, ok := n.termAt(last); !ok || t != m.Term {
		last = 0
	}
	if m.Write <= n.cutWrite {
		last = min(last, n.cutIndex-1)
	}
	n.synced = max(n.synced, last)
	n.settle()
}

// cut notes that the entries from an index on are replaced. Writes handed out
// before and not yet synced prove nothing of what will stand there: the same
// entry may even come back while an older write is still to remove it.
func (n *Node) cut(index uint64) {
	n.synced = min(n.synced, index-1)
	if n.written >= n.cutWrite || index < n.cutIndex {
		n.cutIndex = index
	}
	n.cutWrite = n.writes
}

// Settled hands out the entries to apply, once each. While a received snapshot
// waits to be taken there are none: they follow the state that it holds, and
// the caller has the old one still.
func (n *Node) Settled() []Entry {
	if n.out.Point != nil || n.applied >= n.commit {
		return nil
	}
	out := n.log[n.applied-n.base.Index : n.commit-n.base.Index]
	n.applied = n.commit
	return out
}

// TermAt is the term of an entry still held.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.termAt(index) }

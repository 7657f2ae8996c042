package raft

import (
	"math/rand"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type role byte

const (
	follower = role(iota)
	preRunner
	runner
	leader
)

// progress is what the leader knows of another member.
type progress struct {
	match, next uint64
	probing     bool
	pointSent   time.Time
	acked       time.Time // the send time of the newest answered append
	heard       time.Time
	sent        time.Time
	wall        int64
	wallAt      time.Time
	told        uint64 // the newest commit that it was told of
}

type confAt struct {
	index  uint64
	voters []Voter
}

// Node is the state machine of one member. It isn't safe for several tasks.
type Node struct {
	me     string
	timing Timing
	rnd    *rand.Rand

	term uint64
	vote string
	role role
	lead string

	base  Point // index, term of the last entry dropped, and the conf there
	log   []Entry
	confs []confAt

	commit, applied uint64
	synced          uint64
	hardOut         int // hard states not yet synced

	now     time.Time
	heard   time.Time // the election wait counts from here
	kept    time.Time // the last word of a leader, or the start
	elected time.Time
	wait    time.Duration
	votes   map[string]bool
	peers   map[string]*progress
	learn   map[string]Voter
	prompt  map[string]bool
	noop    uint64
	leaving bool

	hardDirty bool
	out       Out
	wall      func() int64
	pointNow  func() *Point
}

// New builds a node from what its disk holds.
func New(me string, hard Hard, point Point, log []Entry, now time.Time, timing Timing, seed int64) *Node {
	n := &Node{me: me, timing: timing, rnd: rand.New(rand.NewSource(seed)), term: hard.Term, vote: hard.Vote,
		base: Point{Index: point.Index, Term: point.Term, Conf: point.Conf}, log: log, commit: point.Index, applied: point.Index,
		now: now, heard: now, kept: now, learn: map[string]Voter{}}
	n.confs = []confAt{{point.Index, point.Conf}}
	for _, e := range log {
		n.noteConf(e)
	}
	n.synced = n.last()
	// Why a whole wait after a start: a lease that this member confirmed
	// before it ended may still be trusted.
	n.wait = n.timing.Elect + n.timing.Beat/4 + time.Duration(n.rnd.Int63n(int64(n.timing.Spread)/2+1))
	return n
}

// SetWall gives the reading of the time of day that goes into answers.
func (n *Node) SetWall(f func() int64) { n.wall = f }

// SetPoint gives the source of checkpoints for members that lag.
func (n *Node) SetPoint(f func() *Point) { n.pointNow = f }

func (n *Node) resetWait() {
	// Why a beat more: the others heard the leader up to a beat later, and
	// would refuse until their own wait is over.
	n.wait = n.timing.Elect + n.timing.Beat + time.Duration(n.rnd.Int63n(int64(n.timing.Spread)+1))
}

// retryWait is the shorter wait after a round without an outcome.
func (n *Node) retryWait() {
	n.wait = n.timing.Beat + time.Duration(n.rnd.Int63n(int64(n.timing.Spread)+1))
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

func (n *Node) noteConf(e Entry) {
	if e.Kind != EntryConf {
		return
	}
	var vs []Voter
	if err := cbor.Unmarshal(e.Data, &vs); err != nil {
		panic("raft: conf entry unreadable: " + err.Error())
	}
	n.confs = append(n.confs, confAt{e.Index, vs})
}

// Voters are those of the newest conf in the log.
func (n *Node) Voters() []Voter { return n.confs[len(n.confs)-1].voters }

// ConfIndex is the entry of the newest conf.
func (n *Node) ConfIndex() uint64 { return n.confs[len(n.confs)-1].index }

// Voter tells whether a disk votes.
func (n *Node) Voter(disk string) bool {
	for _, v := range n.Voters() {
		if v.Disk == disk {
			return true
		}
	}
	return false
}

// Me is this node's disk.
func (n *Node) Me() string { return n.me }

// Term is the current term.
func (n *Node) Term() uint64 { return n.term }

// Lead is the disk of the known leader, or empty.
func (n *Node) Lead() string { return n.lead }

// Leads tells whether this node is the leader of its term.
func (n *Node) Leads() bool { return n.role == leader }

// Ready tells whether the leader has applied the first entry of its term.
func (n *Node) Ready() bool {
	return n.role == leader && n.noop > 0 && n.applied >= n.noop && !n.leaving
}

// Commit and Applied tell how far the log is settled and handed out.
func (n *Node) Commit() uint64  { return n.commit }
func (n *Node) Applied() uint64 { return n.applied }

// LastIndex is the index of the newest entry.
func (n *Node) LastIndex() uint64 { return n.last() }

// Lease tells whether a majority has confirmed this leader so lately that no
// other can have been elected.
func (n *Node) Lease(now time.Time) bool {
	if n.role != leader || n.leaving {
		return false
	}
	return now.Sub(n.quorumAt(now)) < time.Duration(float64(n.timing.Elect)*n.timing.LeaseShare)
}

// quorumAt is the newest time at which a majority is known to have followed.
func (n *Node) quorumAt(now time.Time) time.Time {
	vs := n.Voters()
	ts := make([]time.Time, 0, len(vs))
	for _, v := range vs {
		if v.Disk == n.me {
			ts = append(ts, now)
		} else if p := n.peers[v.Disk]; p != nil {
			ts = append(ts, p.acked)
		} else {
			ts = append(ts, time.Time{})
		}
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i].After(ts[j]) })
	return ts[len(ts)/2]
}

func (n *Node) newTerm(term uint64, lead string) {
	if n.role == leader {
		n.heard = n.now
		n.resetWait()
	}
	if term > n.term {
		n.term, n.vote = term, ""
		n.hardDirty = true
	}
	if n.role == leader {
		n.peers = nil
	}
	n.role, n.lead, n.noop, n.leaving = follower, lead, 0, false
}

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
			// Why resign: whoever can reach a majority must not wait for us.
			n.newTerm(n.term, "")
			n.heard = now
			n.resetWait()
			return n.wait
		}
		for d, p := range n.peers {
			if now.Sub(p.sent) >= n.timing.Beat {
				n.sendAppend(d, p, true)
			}
		}
		return n.timing.Beat
	}
	if !n.Voter(n.me) {
		return time.Second
	}
	if left := n.wait - now.Sub(n.heard); left > 0 {
		return left
	}
	n.campaign(false, false)
	return n.wait
}

func (n *Node) campaign(real, force bool) {
	n.heard = n.now
	n.retryWait()
	n.lead = ""
	n.votes = map[string]bool{n.me: true}
	kind, term := MsgPreVote, n.term+1
	n.role = preRunner
	if real {
		n.term++
		n.vote = n.me
		n.hardDirty = true
		n.role = runner
		kind = MsgVote
	}
	lt, _ := n.termAt(n.last())
	for _, v := range n.Voters() {
		if v.Disk != n.me {
			n.send(Msg{Kind: kind, To: v.Disk, Term: term, Index: n.last(), LogTerm: lt, Force: force}, real)
		}
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	got := 0
	for _, v := range n.Voters() {
		if n.votes[v.Disk] {
			got++
		}
	}
	if got*2 <= len(n.Voters()) {
		return
	}
	if n.role == preRunner {
		n.campaign(true, false)
		return
	}
	if n.role == runner {
		n.lead = n.me
		n.role = leader
		n.leaving = false
		n.elected = n.now
		n.peers = map[string]*progress{}
		n.trackPeers()
		n.noop = n.last() + 1
		n.appendEntry(EntryNone, nil)
	}
}

func (n *Node) trackPeers() {
	want := map[string]bool{}
	for _, v := range n.Voters() {
		want[v.Disk] = true
	}
	for d := range n.learn {
		want[d] = true
	}
	delete(want, n.me)
	for d := range want {
		if n.peers[d] == nil {
			n.peers[d] = &progress{next: n.last() + 1, probing: true, heard: n.now}
		}
	}
	for d := range n.peers {
		if !want[d] {
			delete(n.peers, d)
		}
	}
}

func (n *Node) appendEntry(kind byte, data []byte) uint64 {
	e := Entry{Index: n.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, e)
	n.noteConf(e)
	n.out.Entries = append(n.out.Entries, e)
	return e.Index
}

// Propose adds a command to the log; the index is that at which it will be
// applied, if the term stays the same.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != leader || n.leaving {
		return 0, false
	}
	return n.appendEntry(EntryData, data), true
}

// ProposeConf changes the voters by one member; refused while an earlier
// change is not settled.
func (n *Node) ProposeConf(vs []Voter) bool {
	if n.role != leader || n.leaving || n.ConfIndex() > n.commit || n.commit < n.noop {
		return false
	}
	raw, err := cbor.Marshal(vs)
	if err != nil {
		panic("raft: " + err.Error())
	}
	n.appendEntry(EntryConf, raw)
	for _, v := range vs {
		delete(n.learn, v.Disk)
	}
	n.trackPeers()
	return true
}

// Learn starts to bring a candidate up to date.
func (n *Node) Learn(v Voter) {
	if n.role != leader || n.Voter(v.Disk) {
		return
	}
	n.learn[v.Disk] = v
	n.trackPeers()
}

// Forget ends that.
func (n *Node) Forget(disk string) {
	delete(n.learn, disk)
	if n.role == leader {
		n.trackPeers()
	}
}

// near is how many entries a candidate may lack that are on their way.
const near = 32

// Caught tells whether a candidate holds what is settled, but for a few entries.
func (n *Node) Caught(disk string) bool {
	p := n.peers[disk]
	// Why a little short of it: under load the newest entries are always under way.
	return p != nil && !p.probing && p.match+near >= n.commit
}

// Silent is how long a member has not been heard.
func (n *Node) Silent(disk string) time.Duration {
	if p := n.peers[disk]; p != nil {
		return n.now.Sub(p.heard)
	}
	return 0
}

// Walls are the others' offsets of time of day against now, in ms.
func (n *Node) Walls(now time.Time) []int64 {
	var out []int64
	for _, v := range n.Voters() {
		if p := n.peers[v.Disk]; p != nil && p.wall != 0 && now.Sub(p.wallAt) < 3*time.Second {
			out = append(out, p.wall+now.Sub(p.wallAt).Milliseconds())
		}
	}
	return out
}

// Transfer hands the lead to the voter that is furthest; false if none is.
func (n *Node) Transfer() bool {
	if n.role != leader || n.leaving {
		return false
	}
	best := ""
	for _, v := range n.Voters() {
		p := n.peers[v.Disk]
		if p == nil || p.probing || n.now.Sub(p.heard) > n.timing.Elect {
			continue
		}
		if best == "" || p.match > n.peers[best].match {
			best = v.Disk
		}
	}
	if best == "" {
		return false
	}
	n.flush()
	n.leaving = true
	n.send(Msg{Kind: MsgTransfer, To: best}, false)
	return true
}

// Prompt names the members that are told of each commit at once, and not with
// the next append: they act on what they have applied.
func (n *Node) Prompt(disks map[string]bool) { n.prompt = disks }

// sendCommit tells a member of the commit; no answer is wanted.
func (n *Node) sendCommit(d string, p *progress) {
	prev := p.next - 1
	lt, ok := n.termAt(prev)
	if !ok {
		return
	}
	p.told = n.commit
	n.send(Msg{Kind: MsgAppend, To: d, Index: prev, LogTerm: lt, Commit: n.commit}, false)
}

// flush sends what members lack.
func (n *Node) flush() {
	if n.role != leader {
		return
	}
	for d, p := range n.peers {
		if p.probing {
			if n.now.Sub(p.sent) >= n.timing.Beat {
				n.sendAppend(d, p, true)
			}
			continue
		}
		for p.next <= n.last() && p.next-p.match <= uint64(n.timing.Window) {
			n.sendAppend(d, p, false)
		}
		if n.prompt[d] && p.told < n.commit && p.next > p.told+1 {
			n.sendCommit(d, p)
		}
	}
}

func (n *Node) sendAppend(d string, p *progress, beat bool) {
	prev := p.next - 1
	lt, ok := n.termAt(prev)
	if !ok {
		// Why paced: a checkpoint is large, and one on its way is enough.
		if n.now.Sub(p.pointSent) < time.Second {
			if beat {
				p.sent = n.now
				n.send(Msg{Kind: MsgAppend, To: d, Index: n.commit, LogTerm: ^uint64(0), Commit: 0, Sent: n.now.UnixNano()}, false)
			}
			return
		}
		pt := n.pointNow()
		p.pointSent, p.sent = n.now, n.now
		n.send(Msg{Kind: MsgPoint, To: d, Point: pt, Sent: n.now.UnixNano()}, false)
		return
	}
	m := Msg{Kind: MsgAppend, To: d, Index: prev, LogTerm: lt, Commit: n.commit, Sent: n.now.UnixNano()}
	size := 0
	for i := p.next; i <= n.last() && size < n.timing.Bytes; i++ {
		// Why one: while the place is searched, more would be thrown away.
		if p.probing && i > p.next {
			break
		}
		e := n.log[i-n.base.Index-1]
		m.Entries = append(m.Entries, e)
		size += len(e.Data) + 16
	}
	if !p.probing {
		p.next += uint64(len(m.Entries))
	}
	p.sent, p.told = n.now, n.commit
	n.send(m, false)
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
			// Why ignored: a leader lives, and its lease may rest on us.
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
	if h := steps[m.Kind]; h != nil {
		h(n, m)
	}
}

var steps = map[byte]func(*Node, Msg){
	MsgAppend:        (*Node).onAppend,
	MsgAppendAnswer:  (*Node).onAppendAnswer,
	MsgPreVote:       (*Node).onPreVote,
	MsgPreVoteAnswer: (*Node).onPreVoteAnswer,
	MsgVote:          (*Node).onVote,
	MsgVoteAnswer:    (*Node).onVoteAnswer,
	MsgPoint:         (*Node).onPoint,
	MsgTransfer:      (*Node).onTransfer,
}

func (n *Node) upToDate(m Msg) bool {
	lt, _ := n.termAt(n.last())
	return m.LogTerm > lt || m.LogTerm == lt && m.Index >= n.last()
}

func (n *Node) onPreVote(m Msg) {
	fresh := n.role == leader || n.now.Sub(n.kept) < n.timing.Elect
	ok := m.Term > n.term && n.upToDate(m) && !fresh
	t := m.Term
	if !ok {
		t = n.term
	}
	n.send(Msg{Kind: MsgPreVoteAnswer, To: m.From, Term: t, Reject: !ok}, false)
}

func (n *Node) onPreVoteAnswer(m Msg) {
	if m.Reject {
		if m.Term > n.term {
			n.newTerm(m.Term, "")
		}
		return
	}
	if n.role == preRunner && m.Term == n.term+1 {
		n.votes[m.From] = true
		n.countVotes()
	}
}

func (n *Node) onVote(m Msg) {
	if m.Term < n.term {
		n.send(Msg{Kind: MsgVoteAnswer, To: m.From, Reject: true}, false)
		return
	}
	ok := (n.vote == "" || n.vote == m.From) && n.lead == "" && n.upToDate(m) && n.role == follower
	// Why not soon after a start: a lease from before it may be running.
	if !m.Force && n.now.Sub(n.kept) < n.timing.Elect {
		ok = false
	}
	if ok {
		n.vote = m.From
		n.hardDirty = true
		n.heard = n.now
		n.resetWait()
	}
	n.send(Msg{Kind: MsgVoteAnswer, To: m.From, Reject: !ok}, ok)
}

func (n *Node) onVoteAnswer(m Msg) {
	if n.role != runner || m.Term != n.term || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.countVotes()
}

func (n *Node) follow(m Msg) bool {
	if m.Term < n.term {
		// Why answered: a thawed leader must learn of the newer term.
		n.send(Msg{Kind: MsgAppendAnswer, To: m.From, Reject: true, Index: n.last()}, false)
		return false
	}
	if n.role != follower {
		if n.role == leader {
			panic("raft: two leaders in one term")
		}
		n.role = follower
	}
	n.lead = m.From
	n.heard, n.kept = n.now, n.now
	n.resetWait()
	return true
}

func (n *Node) answer(m Msg, index uint64, reject, after bool) {
	if m.Kind == MsgAppend && m.Sent == 0 && len(m.Entries) == 0 {
		// Why silent: it only told of a commit.
		return
	}
	a := Msg{Kind: MsgAppendAnswer, To: m.From, Index: index, Reject: reject, Sent: m.Sent}
	if n.wall != nil {
		a.Wall = n.wall()
	}
	n.send(a, after)
}

func (n *Node) onAppend(m Msg) {
	if !n.follow(m) {
		return
	}
	if m.Index < n.commit && m.LogTerm != ^uint64(0) {
		// Why cut: what is settled can't differ.
		skip := n.commit - m.Index
		if uint64(len(m.Entries)) <= skip {
			if n.synced >= n.commit {
				n.answer(m, n.commit, false, false)
			} else {
				n.answer(m, n.commit, false, true)
			}
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = n.commit
		m.LogTerm, _ = n.termAt(n.commit)
	}
	t, ok := n.termAt(m.Index)
	if !ok || t != m.LogTerm {
		hint := n.last()
		if m.Index <= hint && m.Index > 0 {
			hint = m.Index - 1
		}
		if hint < n.commit {
			hint = n.commit
		}
		n.answer(m, hint, true, false)
		return
	}
	wrote := false
	for i, e := range m.Entries {
		if t, ok := n.termAt(e.Index); ok {
			if t == e.Term {
				continue
			}
			if e.Index <= n.commit {
				panic("raft: a settled entry would change")
			}
			n.log = n.log[:e.Index-n.base.Index-1]
			for len(n.confs) > 1 && n.confs[len(n.confs)-1].index >= e.Index {
				n.confs = n.confs[:len(n.confs)-1]
			}
			if n.synced >= e.Index {
				n.synced = e.Index - 1
			}
			keep := n.out.Entries[:0]
			for _, o := range n.out.Entries {
				if o.Index < e.Index {
					keep = append(keep, o)
				}
			}
			n.out.Entries = keep
		}
		for _, f := range m.Entries[i:] {
			n.log = append(n.log, f)
			n.noteConf(f)
			n.out.Entries = append(n.out.Entries, f)
		}
		wrote = true
		break
	}
	got := m.Index + uint64(len(m.Entries))
	if m.Commit > n.commit && got > n.commit {
		n.commit = min(m.Commit, got)
	}
	n.answer(m, got, false, wrote || n.synced < got)
}

func (n *Node) onAppendAnswer(m Msg) {
	p := n.peers[m.From]
	if n.role != leader || m.Term != n.term || p == nil {
		return
	}
	p.heard = n.now
	if sent := n.now.Add(time.Duration(m.Sent - n.now.UnixNano())); m.Sent != 0 && sent.After(p.acked) {
		p.acked = sent
	}
	if m.Wall != 0 {
		p.wall, p.wallAt = m.Wall, n.now
	}
	if m.Reject {
		if m.Index+1 < p.next || p.probing {
			p.next = max(m.Index+1, p.match+1)
			p.probing = true
			p.sent = n.now
			// Why not while a checkpoint is on its way: each refusal would
			// call forth the next.
			if _, ok := n.termAt(p.next - 1); ok || n.now.Sub(p.pointSent) >= time.Second {
				n.sendAppend(m.From, p, false)
			}
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	if p.probing {
		p.probing = false
		p.next = p.match + 1
	}
	if p.next <= p.match {
		p.next = p.match + 1
	}
	n.settle()
}

func (n *Node) settle() {
	if n.role != leader {
		return
	}
	vs := n.Voters()
	ms := make([]uint64, 0, len(vs))
	for _, v := range vs {
		if v.Disk == n.me {
			ms = append(ms, n.synced)
		} else if p := n.peers[v.Disk]; p != nil {
			ms = append(ms, p.match)
		} else {
			ms = append(ms, 0)
		}
	}
	sort.Slice(ms, func(i, j int) bool { return ms[i] > ms[j] })
	c := ms[len(ms)/2]
	if t, ok := n.termAt(c); ok && c > n.commit && t == n.term {
		n.commit = c
		// Why told at once: the others then apply without waiting for a beat.
	}
}

func (n *Node) onPoint(m Msg) {
	if !n.follow(m) || m.Point == nil {
		return
	}
	if m.Point.Index <= n.commit {
		n.answer(m, n.commit, false, true)
		return
	}
	n.base = Point{Index: m.Point.Index, Term: m.Point.Term, Conf: m.Point.Conf}
	n.log = nil
	n.confs = []confAt{{m.Point.Index, m.Point.Conf}}
	n.commit, n.applied, n.synced = m.Point.Index, m.Point.Index, m.Point.Index
	n.out.Entries = nil
	n.out.Point = m.Point
	n.answer(m, m.Point.Index, false, true)
}

func (n *Node) onTransfer(m Msg) {
	if m.Term != n.term || !n.Voter(n.me) {
		return
	}
	n.campaign(true, true)
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
	return o
}

// Synced takes note that a write is on disk.
func (n *Node) Synced(m Mark) {
	if m.Hard {
		n.hardOut--
	}
	if t, ok := n.termAt(m.Index); ok && t == m.Term && m.Index > n.synced {
		n.synced = m.Index
	}
	n.settle()
}

// Settled hands out the entries to apply, once each.
func (n *Node) Settled() []Entry {
	if n.applied >= n.commit {
		return nil
	}
	out := n.log[n.applied-n.base.Index : n.commit-n.base.Index]
	n.applied = n.commit
	return out
}

// Drop forgets entries up to index, which a checkpoint holds.
func (n *Node) Drop(index uint64) {
	if index <= n.base.Index || index > n.applied {
		return
	}
	t, _ := n.termAt(index)
	conf := n.confs[0]
	rest := n.confs
	for len(rest) > 0 && rest[0].index <= index {
		conf = rest[0]
		rest = rest[1:]
	}
	n.log = append([]Entry(nil), n.log[index-n.base.Index:]...)
	n.base = Point{Index: index, Term: t, Conf: conf.voters}
	n.confs = append([]confAt{{conf.index, conf.voters}}, rest...)
}

// ConfAt is the conf in force at an applied entry.
func (n *Node) ConfAt(index uint64) []Voter {
	out := n.confs[0].voters
	for _, c := range n.confs {
		if c.index <= index {
			out = c.voters
		}
	}
	return out
}

// TermAt is the term of an entry still held.
func (n *Node) TermAt(index uint64) (uint64, bool) { return n.termAt(index) }

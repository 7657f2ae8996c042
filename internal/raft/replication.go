package raft

import (
	"slices"
	"sort"
	"time"
)

// progress is what the leader knows of another member.
type progress struct {
	match, next uint64
	probing     bool
	// since and matched are the newest stamps that had been given out when
	// next was last set anew, and when match last rose.
	since, matched int64
	faulty         bool // it broke a promise, and counts for nothing
	pointSent      time.Time
	acked          time.Time // the send time of the newest answered append
	heard          time.Time
	sent           time.Time
	wall           int64
	wallAt         time.Time
	told           uint64 // the newest commit that it was told of
}

func (n *Node) appendEntry(kind byte, data []byte) uint64 {
	e := Entry{Index: n.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, e)
	n.noteConfiguration(e)
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

// Prompt names the members that are told of each commit at once, and not with
// the next append: they act on what they have applied.
func (n *Node) Prompt(disks map[string]bool) { n.prompt = disks }

// sendCommit tells a member of the commit; no answer is wanted.
func (n *Node) sendCommit(d string, p *progress) {
	prev := p.next - 1
	logTerm, ok := n.termAt(prev)
	if !ok {
		return
	}
	p.told = n.commit
	n.send(Msg{Kind: MsgAppend, To: d, Index: prev, LogTerm: logTerm, Commit: n.commit}, false)
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
		for !p.probing && p.next <= n.last() && p.next-p.match <= uint64(n.timing.Window) {
			n.sendAppend(d, p, false)
		}
		if n.prompt[d] && p.told < n.commit && p.next > p.told+1 {
			n.sendCommit(d, p)
		}
	}
}

// stamp numbers an append: nanoseconds of the steady clock since the start of
// this node, and no two alike. The time of day may jump, and a lease counted
// from it would then reach too far.
func (n *Node) stamp() int64 {
	n.stamped = max(n.stamped+1, int64(n.now.Sub(n.started)))
	return n.stamped
}

// stampTime is the time at which an append was sent, or a moment before.
func (n *Node) stampTime(stamp int64) time.Time { return n.started.Add(time.Duration(stamp)) }

// noEntry is the term of no entry: an append that names it wants only a sign of
// life, and its refusal means nothing.
const noEntry = ^uint64(0)

// sendAlive asks for a sign of life, where there is nothing else to send.
func (n *Node) sendAlive(d string, p *progress) {
	p.sent = n.now
	n.send(Msg{Kind: MsgAppend, To: d, Index: n.commit, LogTerm: noEntry, Sent: n.stamp()}, false)
}

// sendSnapshot sends the state to a member that lacks entries which are no
// longer held.
func (n *Node) sendSnapshot(d string, p *progress, beat bool) {
	p.probing = true
	// A snapshot is large, and one on its way is enough; while one that was
	// received waits to be taken, the caller has an older state still.
	if n.now.Sub(p.pointSent) < time.Second || n.out.Point != nil {
		if beat {
			n.sendAlive(d, p)
		}
		return
	}
	p.pointSent, p.sent = n.now, n.now
	n.send(Msg{Kind: MsgPoint, To: d, Point: n.pointNow(), Sent: n.stamp()}, false)
}

// sendAppend sends the next entries that a member lacks, or a heartbeat.
func (n *Node) sendAppend(d string, p *progress, beat bool) {
	if p.faulty {
		if beat {
			n.sendAlive(d, p)
		}
		return
	}
	prev := p.next - 1
	logTerm, ok := n.termAt(prev)
	if !ok {
		n.sendSnapshot(d, p, beat)
		return
	}
	m := Msg{Kind: MsgAppend, To: d, Index: prev, LogTerm: logTerm, Commit: n.commit, Sent: n.stamp()}
	size := 0
	for i := p.next; i <= n.last() && size < n.timing.Bytes; i++ {
		// One only: while the place is searched, more would be thrown away.
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

// follow takes note of the leader; false if the message is of an older term.
func (n *Node) follow(m Msg) bool {
	if m.Term < n.term {
		// A thawed leader must learn of the newer term. Without a stamp it
		// tells nothing of this member's log.
		n.send(Msg{Kind: MsgAppendAnswer, To: m.From, Reject: true}, false)
		return false
	}
	if n.role != follower {
		if n.role == leader {
			panic("raft: two leaders in one term")
		}
		n.role = follower
	}
	n.leader = m.From
	n.heard, n.kept = n.now, n.now
	n.resetWait()
	return true
}

// answer tells the leader how far this log agrees with its own, or refuses.
func (n *Node) answer(m Msg, index uint64, reject, after bool) {
	if m.Kind == MsgAppend && m.Sent == 0 && len(m.Entries) == 0 {
		// It only told of a commit.
		return
	}
	a := Msg{Kind: MsgAppendAnswer, To: m.From, Index: index, Reject: reject, Sent: m.Sent, LogTerm: m.LogTerm, Commit: m.Index}
	if n.wall != nil {
		a.Wall = n.wall()
	}
	n.send(a, after)
}

// onAppend takes entries, or a heartbeat, from the leader.
func (n *Node) onAppend(m Msg) {
	if !n.follow(m) {
		return
	}
	if m.Index < n.commit && m.LogTerm != noEntry {
		// What is committed can't differ.
		skip := n.commit - m.Index
		if uint64(len(m.Entries)) <= skip {
			n.answer(m, n.commit, false, n.synced < n.commit)
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
			n.truncate(e.Index)
		}
		for _, f := range m.Entries[i:] {
			n.log = append(n.log, f)
			n.noteConfiguration(f)
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

// truncate drops the log from an index on, where the leader's differs.
func (n *Node) truncate(index uint64) {
	if index <= n.commit {
		panic("raft: a committed entry would change")
	}
	n.log = n.log[:index-n.base.Index-1]
	for len(n.configurations) > 1 && n.current().index >= index {
		n.configurations = n.configurations[:len(n.configurations)-1]
	}
	n.cut(index)
	n.out.Entries = slices.DeleteFunc(n.out.Entries, func(o Entry) bool { return o.Index >= index })
}

// onAppendAnswer takes note of how far a member's log goes.
func (n *Node) onAppendAnswer(m Msg) {
	p := n.peers[m.From]
	if n.role != leader || m.Term != n.term || p == nil {
		return
	}
	p.heard = n.now
	if sent := n.stampTime(m.Sent); m.Sent != 0 && sent.After(p.acked) {
		p.acked = sent
	}
	if m.Wall != 0 {
		p.wall, p.wallAt = m.Wall, n.now
	}
	if p.faulty {
		return
	}
	if m.Reject {
		n.onRefusal(m, p)
		return
	}
	if m.Index > p.match {
		p.match, p.matched = m.Index, n.stamped
	}
	if p.probing || p.next <= p.match {
		p.since = n.stamped
		p.next = p.match + 1
	}
	p.probing = false
	n.settle()
	if n.handing.to == m.From && !n.handing.ordered {
		n.orderTransfer()
	}
}

// onRefusal looks for the place from which a member's log differs. The answer
// echoes the append that it refused: its stamp, and the index (Commit) and term
// that it named. Answers of a lost connection may come late; one to an append
// from before the present place was chosen says nothing.
//
// A refusal at or below match breaks a promise, if the append was sent after
// match had been acknowledged: the member has lost entries that it said were on
// its disk (the disk was wiped, or an old copy of it put in place, under the
// same identity). Its answer can't have passed the acknowledgement on the way,
// however late either came. From then on this leader counts it neither for
// commits nor for the lease, and sends it no entries: to count it again would
// let two majorities meet in a member that forgot. What was committed with its
// help is held by one disk less than it seems, which nothing can undo; what is
// committed from here on rests on the others alone. A later leader, which was
// promised nothing, can't tell and takes the member as it finds it; so the
// voter is to be replaced (see Faulty).
func (n *Node) onRefusal(m Msg, p *progress) {
	asked := m.Commit
	switch {
	case m.LogTerm == noEntry || m.Sent <= p.since:
		return
	case asked <= p.match:
		if asked > 0 && m.Sent > p.matched {
			p.faulty, p.probing = true, true
		}
		return
	}
	p.next = max(min(m.Index+1, asked), p.match+1)
	p.probing = true
	p.since = n.stamped
	// Not while a snapshot is on its way: each refusal would call forth the next.
	if _, ok := n.termAt(p.next - 1); ok || n.now.Sub(p.pointSent) >= time.Second {
		n.sendAppend(m.From, p, false)
	}
}

// Faulty names the members that refused entries which they had acknowledged to
// this leader. They count for nothing until they are replaced.
func (n *Node) Faulty() []string {
	var disks []string
	for d, p := range n.peers {
		if p.faulty {
			disks = append(disks, d)
		}
	}
	sort.Strings(disks)
	return disks
}

// settle commits what a majority, in mid-change of both sets, holds on disk.
// Only entries of this term are counted; those before them follow.
func (n *Node) settle() {
	if n.role != leader {
		return
	}
	held := n.current().reached(func(disk string) uint64 {
		if disk == n.me {
			return n.synced
		}
		if p := n.peers[disk]; p != nil && !p.faulty {
			return p.match
		}
		return 0
	})
	if t, ok := n.termAt(held); ok && held > n.commit && t == n.term {
		n.commit = held
	}
	n.carryChange()
}

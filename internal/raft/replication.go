package raft

import (
	"sort"
	"time"
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
	logTerm, ok := n.termAt(prev)
	if !ok {
		// Why paced: a checkpoint is large, and one on its way is enough.
		if n.now.Sub(p.pointSent) < time.Second {
			if beat {
				p.sent = n.now
				n.send(Msg{Kind: MsgAppend, To: d, Index: n.commit, LogTerm: ^uint64(0), Commit: 0, Sent: n.now.UnixNano()}, false)
			}
			return
		}
		point := n.pointNow()
		p.pointSent, p.sent = n.now, n.now
		n.send(Msg{Kind: MsgPoint, To: d, Point: point, Sent: n.now.UnixNano()}, false)
		return
	}
	m := Msg{Kind: MsgAppend, To: d, Index: prev, LogTerm: logTerm, Commit: n.commit, Sent: n.now.UnixNano()}
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
	n.leader = m.From
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
			for len(n.configurations) > 1 && n.configurations[len(n.configurations)-1].index >= e.Index {
				n.configurations = n.configurations[:len(n.configurations)-1]
			}
			n.cut(e.Index)
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
	voters := n.Voters()
	matches := make([]uint64, 0, len(voters))
	for _, v := range voters {
		if v.Disk == n.me {
			matches = append(matches, n.synced)
		} else if p := n.peers[v.Disk]; p != nil {
			matches = append(matches, p.match)
		} else {
			matches = append(matches, 0)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	c := matches[len(matches)/2]
	if t, ok := n.termAt(c); ok && c > n.commit && t == n.term {
		n.commit = c
		// Why told at once: the others then apply without waiting for a beat.
	}
}

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
	// nextSetStamp and matchSetStamp are the newest stamps that had been given out when
	// next was last set anew, and when match last rose.
	nextSetStamp, matchSetStamp int64
	faulty                      bool // it broke a promise, and counts for nothing
	snapshotSentAt              time.Time
	lastAckedSend               time.Time // the send time of the newest answered append
	lastContact                 time.Time
	lastSend                    time.Time
	wallClock                   int64
	wallClockAt                 time.Time
	commitSent                  uint64 // the newest commit that it was told of
}

func (n *Node) appendEntry(kind byte, data []byte) uint64 {
	e := Entry{Index: n.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log = append(n.log, e)
	n.recordConfiguration(e)
	n.pending.Entries = append(n.pending.Entries, e)
	return e.Index
}

// Propose adds a command to the log; the index is that at which it will be
// applied, if the term stays the same.
func (n *Node) Propose(data []byte) (uint64, bool) {
	if n.role != leader || n.transferring {
		return 0, false
	}
	return n.appendEntry(EntryNormal, data), true
}

// SetEagerCommitPeers names the members that are told of each commit at once, and not with
// the next append: they act on what they have applied.
func (n *Node) SetEagerCommitPeers(ids map[string]bool) { n.eagerCommitPeers = ids }

// sendCommit tells a member of the commit; no answer is wanted.
func (n *Node) sendCommit(id string, peer *progress) {
	prevIndex := peer.next - 1
	logTerm, ok := n.termAt(prevIndex)
	if !ok {
		return
	}
	peer.commitSent = n.commitIndex
	n.send(Message{Kind: MsgAppend, To: id, Index: prevIndex, LogTerm: logTerm, Commit: n.commitIndex}, false)
}

// replicate sends what members lack.
func (n *Node) replicate() {
	if n.role != leader {
		return
	}
	for id, peer := range n.peers {
		if peer.probing {
			if n.now.Sub(peer.lastSend) >= n.config.HeartbeatInterval {
				n.sendAppend(id, peer, true)
			}
			continue
		}
		for !peer.probing && peer.next <= n.lastIndex() && peer.next-peer.match <= uint64(n.config.MaxInflightEntries) {
			n.sendAppend(id, peer, false)
		}
		if n.eagerCommitPeers[id] && peer.commitSent < n.commitIndex && peer.next > peer.commitSent+1 {
			n.sendCommit(id, peer)
		}
	}
}

// nextStamp numbers an append: nanoseconds of the steady clock since the start of
// this node, and no two alike. The time of day may jump, and a lease counted
// from it would then reach too far.
func (n *Node) nextStamp() int64 {
	n.lastStamp = max(n.lastStamp+1, int64(n.now.Sub(n.startedAt)))
	return n.lastStamp
}

// stampTime is the time at which an append was sent, or a moment before.
func (n *Node) stampTime(stamp int64) time.Time { return n.startedAt.Add(time.Duration(stamp)) }

// noEntryTerm is the term of no entry: an append that names it wants only a sign of
// life, and its refusal means nothing.
const noEntryTerm = ^uint64(0)

// sendHeartbeat asks for a sign of life, where there is nothing else to send.
func (n *Node) sendHeartbeat(id string, peer *progress) {
	peer.lastSend = n.now
	n.send(Message{Kind: MsgAppend, To: id, Index: n.commitIndex, LogTerm: noEntryTerm, SendStamp: n.nextStamp()}, false)
}

// sendSnapshot sends the state to a member that lacks entries which are no
// longer held.
func (n *Node) sendSnapshot(id string, peer *progress, heartbeat bool) {
	peer.probing = true
	// A snapshot is large, and one on its way is enough; while one that was
	// received waits to be taken, the caller has an older state still.
	if n.now.Sub(peer.snapshotSentAt) < time.Second || n.pending.Snapshot != nil {
		if heartbeat {
			n.sendHeartbeat(id, peer)
		}
		return
	}
	peer.snapshotSentAt, peer.lastSend = n.now, n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: n.snapshotSource(), SendStamp: n.nextStamp()}, false)
}

// sendAppend sends the next entries that a member lacks, or a heartbeat.
func (n *Node) sendAppend(id string, peer *progress, heartbeat bool) {
	if peer.faulty {
		if heartbeat {
			n.sendHeartbeat(id, peer)
		}
		return
	}
	prevIndex := peer.next - 1
	logTerm, ok := n.termAt(prevIndex)
	if !ok {
		n.sendSnapshot(id, peer, heartbeat)
		return
	}
	m := Message{Kind: MsgAppend, To: id, Index: prevIndex, LogTerm: logTerm, Commit: n.commitIndex, SendStamp: n.nextStamp()}
	size := 0
	for i := peer.next; i <= n.lastIndex() && size < n.config.MaxAppendBytes; i++ {
		// One only: while the place is searched, more would be thrown away.
		if peer.probing && i > peer.next {
			break
		}
		entry := n.log[i-n.base.Index-1]
		m.Entries = append(m.Entries, entry)
		size += len(entry.Data) + 16
	}
	if !peer.probing {
		peer.next += uint64(len(m.Entries))
	}
	peer.lastSend, peer.commitSent = n.now, n.commitIndex
	n.send(m, false)
}

// followLeader takes note of the leader; false if the message is of an older term.
func (n *Node) followLeader(m Message) bool {
	if m.Term < n.term {
		// A thawed leader must learn of the newer term. Without a stamp it
		// tells nothing of this member's log.
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true}, false)
		return false
	}
	if n.role != follower {
		if n.role == leader {
			panic("raft: two leaders in one term")
		}
		n.role = follower
	}
	n.leader = m.From
	n.electionTimerStart, n.lastLeaderContact = n.now, n.now
	n.resetElectionTimeout()
	return true
}

// respondToAppend tells the leader how far this log agrees with its own, or refuses.
func (n *Node) respondToAppend(m Message, index uint64, reject, afterSync bool) {
	if m.Kind == MsgAppend && m.SendStamp == 0 && len(m.Entries) == 0 {
		// It only told of a commit.
		return
	}
	response := Message{Kind: MsgAppendResponse, To: m.From, Index: index, Reject: reject, SendStamp: m.SendStamp, LogTerm: m.LogTerm, Commit: m.Index}
	if n.wallClock != nil {
		response.WallClock = n.wallClock()
	}
	n.send(response, afterSync)
}

// handleAppend takes entries, or a heartbeat, from the leader.
func (n *Node) handleAppend(m Message) {
	if !n.followLeader(m) {
		return
	}
	if m.Index < n.commitIndex && m.LogTerm != noEntryTerm {
		// What is committed can't differ.
		skip := n.commitIndex - m.Index
		if uint64(len(m.Entries)) <= skip {
			n.respondToAppend(m, n.commitIndex, false, n.syncedIndex < n.commitIndex)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = n.commitIndex
		m.LogTerm, _ = n.termAt(n.commitIndex)
	}
	term, ok := n.termAt(m.Index)
	if !ok || term != m.LogTerm {
		hint := n.lastIndex()
		if m.Index <= hint && m.Index > 0 {
			hint = m.Index - 1
		}
		if hint < n.commitIndex {
			hint = n.commitIndex
		}
		n.respondToAppend(m, hint, true, false)
		return
	}
	appended := false
	for i, e := range m.Entries {
		if term, ok := n.termAt(e.Index); ok {
			if term == e.Term {
				continue
			}
			n.truncateLog(e.Index)
		}
		for _, entry := range m.Entries[i:] {
			n.log = append(n.log, entry)
			n.recordConfiguration(entry)
			n.pending.Entries = append(n.pending.Entries, entry)
		}
		appended = true
		break
	}
	matched := m.Index + uint64(len(m.Entries))
	if m.Commit > n.commitIndex && matched > n.commitIndex {
		n.commitIndex = min(m.Commit, matched)
	}
	n.respondToAppend(m, matched, false, appended || n.syncedIndex < matched)
}

// truncateLog drops the log from an index on, where the leader's differs.
func (n *Node) truncateLog(index uint64) {
	if index <= n.commitIndex {
		panic("raft: a committed entry would change")
	}
	n.log = n.log[:index-n.base.Index-1]
	for len(n.configurations) > 1 && n.latestConfiguration().index >= index {
		n.configurations = n.configurations[:len(n.configurations)-1]
	}
	n.supersedeWrites(index)
	n.pending.Entries = slices.DeleteFunc(n.pending.Entries, func(o Entry) bool { return o.Index >= index })
}

// handleAppendResponse takes note of how far a member's log goes.
func (n *Node) handleAppendResponse(m Message) {
	peer := n.peers[m.From]
	if n.role != leader || m.Term != n.term || peer == nil {
		return
	}
	peer.lastContact = n.now
	if sentAt := n.stampTime(m.SendStamp); m.SendStamp != 0 && sentAt.After(peer.lastAckedSend) {
		peer.lastAckedSend = sentAt
	}
	if m.WallClock != 0 {
		peer.wallClock, peer.wallClockAt = m.WallClock, n.now
	}
	if peer.faulty {
		return
	}
	if m.Reject {
		n.handleAppendRejection(m, peer)
		return
	}
	if m.Index > peer.match {
		peer.match, peer.matchSetStamp = m.Index, n.lastStamp
	}
	if peer.probing || peer.next <= peer.match {
		peer.nextSetStamp = n.lastStamp
		peer.next = peer.match + 1
	}
	peer.probing = false
	n.maybeCommit()
	if n.transfer.transferee == m.From && !n.transfer.timeoutNowSent {
		n.sendTimeoutNow()
	}
}

// handleAppendRejection looks for the place from which a member's log differs. The answer
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
func (n *Node) handleAppendRejection(m Message, peer *progress) {
	probedIndex := m.Commit
	switch {
	case m.LogTerm == noEntryTerm || m.SendStamp <= peer.nextSetStamp:
		return
	case probedIndex <= peer.match:
		if probedIndex > 0 && m.SendStamp > peer.matchSetStamp {
			peer.faulty, peer.probing = true, true
		}
		return
	}
	peer.next = max(min(m.Index+1, probedIndex), peer.match+1)
	peer.probing = true
	peer.nextSetStamp = n.lastStamp
	// Not while a snapshot is on its way: each refusal would call forth the next.
	if _, ok := n.termAt(peer.next - 1); ok || n.now.Sub(peer.snapshotSentAt) >= time.Second {
		n.sendAppend(m.From, peer, false)
	}
}

// FaultyPeers names the members that refused entries which they had acknowledged to
// this leader. They count for nothing until they are replaced.
func (n *Node) FaultyPeers() []string {
	var ids []string
	for id, peer := range n.peers {
		if peer.faulty {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// maybeCommit commits what a majority, in mid-change of both sets, holds on disk.
// Only entries of this term are counted; those before them follow.
func (n *Node) maybeCommit() {
	if n.role != leader {
		return
	}
	quorumIndex := n.latestConfiguration().quorumValue(func(id string) uint64 {
		if id == n.id {
			return n.syncedIndex
		}
		if peer := n.peers[id]; peer != nil && !peer.faulty {
			return peer.match
		}
		return 0
	})
	if term, ok := n.termAt(quorumIndex); ok && quorumIndex > n.commitIndex && term == n.term {
		n.commitIndex = quorumIndex
	}
	n.advanceConfChange()
}

package raft

import (
	"slices"
	"sort"
	"time"
)

const (
	// snapshotResendInterval is the least time between two snapshots to one member.
	snapshotResendInterval = time.Second
	// entryOverheadBytes is added to an entry's data when an append is sized.
	entryOverheadBytes = 16
	// noEntryTerm is the term of no entry. An append that names it as LogTerm is a
	// bare heartbeat: it is always rejected, and the rejection counts as a response
	// but says nothing of the log.
	noEntryTerm = ^uint64(0)
)

// progress is what the leader knows of another member (thesis, section 3.5).
type progress struct {
	match, next uint64
	probing     bool // the index up to which the logs agree is not known, or a snapshot is on its way
	// The newest send stamps that had been used when next was last set by a
	// response, and when match last rose.
	nextSetStamp, matchSetStamp int64
	faulty                      bool // it lost entries that it had acknowledged, and is not counted
	snapshotSentAt              time.Time
	lastAckedSend               time.Time     // send time of the newest append that was answered
	roundTrip                   time.Duration // from the sending of that one to its answer
	lastContact                 time.Time
	lastSend                    time.Time
	wallClock                   int64 // ms since 1970, read at wallClockAt
	wallClockAt                 time.Time
	commitSent                  uint64 // the newest commit index sent to it
	largeAppends                largeAppendProgress
}

// Propose adds a command to the log. It returns the index at which the command
// will be applied, if the term stays the same. The error is ErrNotLeader or
// ErrTransferInProgress.
func (n *Node) Propose(data []byte) (uint64, error) {
	if err := n.checkLeads(); err != nil {
		return 0, err
	}
	return n.appendEntry(EntryNormal, data), nil
}

// checkLeads returns why this member takes no proposals, or nil.
func (n *Node) checkLeads() error {
	switch {
	case n.role != leader:
		return ErrNotLeader
	case n.transferring:
		return ErrTransferInProgress
	}
	return nil
}

// SetEagerCommitPeers names the members that a leader tells of each commit at once,
// and not with the next append: they act on what they have applied.
func (n *Node) SetEagerCommitPeers(ids map[string]bool) { n.eagerCommitPeers = ids }

// sendCommit sends a member the commit index. It needs no response, and therefore
// has no send stamp.
func (n *Node) sendCommit(id string, peer *progress) {
	prevIndex := peer.next - 1
	logTerm, ok := n.TermAt(prevIndex)
	if !ok {
		return
	}
	peer.commitSent = n.commitIndex
	n.send(Message{Kind: MsgAppend, To: id, Index: prevIndex, LogTerm: logTerm, Commit: n.commitIndex}, false)
}

// replicate sends each member the entries that it lacks, as far as the limit on
// those in flight allows.
func (n *Node) replicate() {
	if n.role != leader {
		return
	}
	for id, peer := range n.peers {
		if peer.probing {
			if n.now.Sub(peer.lastSend) >= n.config.HeartbeatInterval {
				n.sendDueAppend(id, peer)
			}
			continue
		}
		for !peer.probing && peer.next <= n.LastIndex() && peer.next-peer.match <= uint64(n.config.MaxInflightEntries) {
			next := n.nextBatch(peer)
			if n.mustWaitForLargeAppends(peer, next.size) {
				break
			}
			n.sendAppend(id, peer, next)
		}
		if n.eagerCommitPeers[id] && peer.commitSent < n.commitIndex && peer.next > peer.commitSent+1 {
			n.sendCommit(id, peer)
		}
	}
}

// nextStamp returns the send stamp of an append: nanoseconds of the monotonic clock
// since the start of this node, and no two alike. The time of day may jump, and a
// lease counted from it would then reach too far.
func (n *Node) nextStamp() int64 {
	n.lastStamp = max(n.lastStamp+1, int64(n.now.Sub(n.startedAt)))
	return n.lastStamp
}

// stampTime returns the time at which the append with a stamp was sent, or a moment
// before it.
func (n *Node) stampTime(stamp int64) time.Time { return n.startedAt.Add(time.Duration(stamp)) }

// sendHeartbeat sends a bare heartbeat, where no entries can be sent; see noEntryTerm.
func (n *Node) sendHeartbeat(id string, peer *progress) {
	peer.lastSend = n.now
	n.send(Message{Kind: MsgAppend, To: id, Index: n.commitIndex, LogTerm: noEntryTerm, SendStamp: n.nextStamp()}, false)
}

// sendSnapshot sends the state to a member that lacks compacted entries; false while an
// earlier snapshot may be on its way.
func (n *Node) sendSnapshot(id string, peer *progress) bool {
	peer.probing = true
	// A snapshot is large, and one on its way is enough. While a received one
	// waits in pending, the owner has an older state still.
	if n.now.Sub(peer.snapshotSentAt) < snapshotResendInterval || n.pending.Snapshot != nil {
		return false
	}
	peer.snapshotSentAt, peer.lastSend = n.now, n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: n.snapshotSource(), SendStamp: n.nextStamp()}, false)
	return true
}

// batch is a run of entries for one append, those from a member's next one on.
type batch struct {
	count int
	size  int // bytes, with the overhead of each
}

// nextBatch measures the next entries that a member lacks, as many as go into one append: one
// while match is unknown, since more would likely be rejected.
func (n *Node) nextBatch(peer *progress) batch {
	if peer.next <= n.base.Index || peer.next > n.LastIndex() {
		return batch{}
	}
	lacking := n.log[peer.next-n.base.Index-1:]
	if peer.probing {
		lacking = lacking[:1]
	}
	next := batch{}
	for next.count < len(lacking) && next.size < n.config.MaxAppendBytes {
		next.size += len(lacking[next.count].Data) + entryOverheadBytes
		next.count++
	}
	return next
}

// sendDueAppend sends a member what also is its heartbeat: the next entries, unless they have
// to wait for large ones that are on their way to others.
func (n *Node) sendDueAppend(id string, peer *progress) {
	next := n.nextBatch(peer)
	if !peer.probing && n.mustWaitForLargeAppends(peer, next.size) {
		next = batch{}
	}
	if !n.sendAppend(id, peer, next) {
		n.sendHeartbeat(id, peer)
	}
}

// sendAppend sends entries that a member lacks; without any, the append is a heartbeat. A
// member that lacks compacted entries is sent the state instead. False if nothing can be sent
// to the member at the moment.
func (n *Node) sendAppend(id string, peer *progress, next batch) bool {
	if peer.faulty {
		return false
	}
	prevIndex := peer.next - 1
	logTerm, ok := n.TermAt(prevIndex)
	if !ok {
		return n.sendSnapshot(id, peer)
	}
	m := Message{
		Kind: MsgAppend, To: id, Index: prevIndex, LogTerm: logTerm, Commit: n.commitIndex, SendStamp: n.nextStamp(),
	}
	if next.count > 0 {
		first := peer.next - n.base.Index - 1
		m.Entries = slices.Clone(n.log[first : first+uint64(next.count)])
	}
	if !peer.probing {
		peer.next += uint64(next.count)
	}
	n.noteLargeAppendSent(peer, m.SendStamp, prevIndex+uint64(next.count), next.size)
	peer.lastSend, peer.commitSent = n.now, n.commitIndex
	n.send(m, false)
	return true
}

// handleAppendResponse records how far a member's log agrees with this one.
func (n *Node) handleAppendResponse(m Message) {
	peer := n.peers[m.From]
	if n.role != leader || m.Term != n.term || peer == nil {
		return
	}
	peer.lastContact = n.now
	if sentAt := n.stampTime(m.SendStamp); m.SendStamp != 0 && sentAt.After(peer.lastAckedSend) {
		peer.lastAckedSend, peer.roundTrip = sentAt, n.now.Sub(sentAt)
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
	n.noteLargeAppendAcked(peer, m.SendStamp)
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

// handleAppendRejection searches for the place from which a member's log differs.
// The response echoes the append that it rejects: its stamp, its index (in Commit)
// and its term. Responses of a lost connection may come late; one to an append from
// before the present place was chosen says nothing.
//
// A rejection at or below match breaks a promise, if the append was sent after
// match had been acknowledged: the member has lost entries that it said were on
// its disk (the disk was wiped, or an old copy of it put in place, under the same
// ID). Its response can't have overtaken the acknowledgement, however late either
// came. From then on this leader counts the member neither for commits nor for the
// lease, and sends it no entries: if it were counted again, two majorities could
// have in common only a member that forgot. What was committed with its help is
// held by one disk less than it seems, which nothing can undo; what is committed
// from here on rests on the others alone. A later leader, which was promised
// nothing, can't tell and takes the member as it finds it; so the voter is to be
// replaced (see FaultyPeers).
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
	// Nothing is sent while a snapshot is on its way, since each rejection would
	// lead to the next.
	if _, ok := n.TermAt(peer.next - 1); ok || n.now.Sub(peer.snapshotSentAt) >= snapshotResendInterval {
		n.sendAppend(m.From, peer, n.nextBatch(peer))
	}
}

// FaultyPeers returns the IDs, sorted, of the members that lost entries which they
// had acknowledged to this leader. They are not counted and are to be replaced.
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

// maybeCommit commits what a quorum holds on disk. Only entries of this term are
// counted; those before them follow (thesis, section 3.6.2). It then takes a
// configuration change that was committed to its next step.
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
	if term, ok := n.TermAt(quorumIndex); ok && quorumIndex > n.commitIndex && term == n.term {
		n.commitIndex = quorumIndex
	}
	n.advanceConfChange()
}

package raft

import (
	"slices"
	"sort"
	"time"
)

const (
	// snapshotResendInterval is the minimum time between two snapshots sent to the same member.
	snapshotResendInterval = time.Second
	// entryOverheadBytes is added to the size of an entry's data when the size of an append is computed.
	entryOverheadBytes = 16
	// noEntryTerm is a term that no entry has. An append with this LogTerm is a bare
	// heartbeat: it is always rejected, and the rejection counts as a response but says
	// nothing about the log.
	noEntryTerm = ^uint64(0)
)

// progress is the leader's view of another member (thesis, section 3.5).
type progress struct {
	match, next uint64
	probing     bool // the index up to which the logs match is unknown, or a snapshot is in flight
	// Values of lastStamp when a response last set next, and when match last increased.
	nextSetStamp, matchSetStamp int64
	faulty                      bool // lost entries that it had acknowledged; excluded from quorums
	snapshotSentAt              time.Time
	lastAckedSend               time.Time     // send time of the latest append that was responded to
	roundTrip                   time.Duration // from the sending of that append to its response
	lastContact                 time.Time
	lastSend                    time.Time
	wallClock                   int64 // ms since 1970, read at wallClockAt
	wallClockAt                 time.Time
	commitSent                  uint64 // last commit index sent to the member
	largeAppends                largeAppendProgress
}

// Propose appends a command to the log. It returns the index at which the command will
// be applied, provided that the term doesn't change before. The error is ErrNotLeader or
// ErrTransferInProgress.
func (n *Node) Propose(data []byte) (uint64, error) {
	if err := n.checkActiveLeader(); err != nil {
		return 0, err
	}
	return n.appendEntry(EntryNormal, data), nil
}

// checkActiveLeader returns an error if this member is unable to accept proposals.
func (n *Node) checkActiveLeader() error {
	switch {
	case n.role != leader:
		return ErrNotLeader
	case n.transferring:
		return ErrTransferInProgress
	}
	return nil
}

// SetEagerCommitPeers sets the members to which a leader sends each new commit index
// immediately instead of with the next append, because they act on the entries that they
// have applied.
func (n *Node) SetEagerCommitPeers(ids map[string]bool) { n.eagerCommitPeers = ids }

// sendCommit sends the commit index to a member. The message needs no response, so it
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

// replicate sends each member the entries that it lacks, as far as the limits on entries
// and on large appends in flight allow.
func (n *Node) replicate() {
	if n.role != leader {
		return
	}
	for id, peer := range n.peers {
		if peer.probing {
			if n.now.Sub(peer.lastSend) >= n.config.HeartbeatInterval {
				n.sendAppendOrHeartbeat(id, peer)
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

// nextStamp returns a unique send stamp for an append: nanoseconds of the monotonic clock
// since the start of this node. It doesn't use the wall clock: if that jumped, a lease
// computed from it might be valid for too long.
func (n *Node) nextStamp() int64 {
	n.lastStamp = max(n.lastStamp+1, int64(n.now.Sub(n.startedAt)))
	return n.lastStamp
}

// stampTime returns the time at which the append with the given stamp was queued, which is
// when it was sent or shortly before.
func (n *Node) stampTime(stamp int64) time.Time { return n.startedAt.Add(time.Duration(stamp)) }

// sendHeartbeat sends a bare heartbeat to a member that can't be sent entries at present;
// see noEntryTerm.
func (n *Node) sendHeartbeat(id string, peer *progress) {
	peer.lastSend = n.now
	n.send(Message{Kind: MsgAppend, To: id, Index: n.commitIndex, LogTerm: noEntryTerm, SendStamp: n.nextStamp()}, false)
}

// sendSnapshot sends a snapshot to a member that lacks compacted entries. It returns
// false if none is sent, for example because an earlier one may still be in flight.
func (n *Node) sendSnapshot(id string, peer *progress) bool {
	peer.probing = true
	// Snapshots are large, so only one is in flight to a member at a time. While a
	// received snapshot is pending, the owner still has an older state.
	if n.now.Sub(peer.snapshotSentAt) < snapshotResendInterval || n.pending.Snapshot != nil {
		return false
	}
	peer.snapshotSentAt, peer.lastSend = n.now, n.now
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: n.snapshotSource(), SendStamp: n.nextStamp()}, false)
	return true
}

// batch describes the entries of one append, starting at a member's next index.
type batch struct {
	count int
	size  int // in bytes, including entryOverheadBytes per entry
}

// nextBatch returns the next entries that a member lacks, as many as fit into one append. While the
// member is being probed, it is a single entry, since more would likely be rejected.
func (n *Node) nextBatch(peer *progress) batch {
	if peer.next <= n.base.Index || peer.next > n.LastIndex() {
		return batch{}
	}
	missing := n.log[peer.next-n.base.Index-1:]
	if peer.probing {
		missing = missing[:1]
	}
	next := batch{}
	for next.count < len(missing) && next.size < n.config.MaxAppendBytes {
		next.size += len(missing[next.count].Data) + entryOverheadBytes
		next.count++
	}
	return next
}

// sendAppendOrHeartbeat sends a member the append that also serves as its heartbeat. It contains the next
// entries, unless they have to wait for large appends in flight to other members. If no append can be
// sent, the member is sent a bare heartbeat.
func (n *Node) sendAppendOrHeartbeat(id string, peer *progress) {
	next := n.nextBatch(peer)
	if !peer.probing && n.mustWaitForLargeAppends(peer, next.size) {
		next = batch{}
	}
	if !n.sendAppend(id, peer, next) {
		n.sendHeartbeat(id, peer)
	}
}

// sendAppend sends an append with the given entries to a member; without entries it is a heartbeat.
// A member that lacks compacted entries is sent a snapshot instead. It returns false if nothing can
// be sent to the member at present.
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
	n.recordLargeAppendSent(peer, m.SendStamp, prevIndex+uint64(next.count), next.size)
	peer.lastSend, peer.commitSent = n.now, n.commitIndex
	n.send(m, false)
	return true
}

// handleAppendResponse records a member's contact, and how far its log matches this one.
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
	n.recordLargeAppendAcked(peer, m.SendStamp)
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

// handleAppendRejection searches for the index from which a member's log differs. The
// response echoes the stamp, the index (in Commit) and the log term of the append that it
// rejects. Responses of a lost connection may arrive late, so a rejection of an append
// sent before next was last set is ignored.
//
// A rejection at or below match of an append that was sent after match had been
// acknowledged shows that the member has lost entries that it had acknowledged as on disk:
// its disk was wiped or replaced by an old copy, under the same ID. The order in which
// the responses arrive doesn't matter, since the append was sent after the
// acknowledgement. From then on this leader counts the member neither for commits nor for
// the lease, and sends it no entries: if it were counted again, the only member common to
// two majorities could be one that lost entries. Entries that were committed with its
// acknowledgement are on one disk fewer than assumed, which can't be undone; later commits
// depend on the other members only. A later leader received no acknowledgement and can't
// detect the loss, so it accepts the member as it is. The voter must therefore be replaced
// (see FaultyPeers).
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
	// Nothing is sent while a snapshot is in flight, since each rejection would lead to the
	// next append.
	if _, ok := n.TermAt(peer.next - 1); ok || n.now.Sub(peer.snapshotSentAt) >= snapshotResendInterval {
		n.sendAppend(m.From, peer, n.nextBatch(peer))
	}
}

// FaultyPeers returns the sorted IDs of the members that lost entries after acknowledging
// them to this leader. They are excluded from quorums and must be replaced.
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

// maybeCommit advances the commit index to the last entry that a quorum holds on disk. Only
// entries of the current term are committed by counting; earlier ones are committed with
// them (thesis, section 3.6.2). It then advances a configuration change whose entry is
// committed.
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

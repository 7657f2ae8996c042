package raft

// followLeader records the sender of a message as the leader. If the message is of an
// older term, it rejects the message and returns false.
func (n *Node) followLeader(m Message) bool {
	if m.Term < n.term {
		// A leader that was paused must learn of the newer term. The response has no
		// send stamp, so the leader draws no conclusions about this member's log.
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Reject: true}, false)
		return false
	}
	if n.role != follower {
		if n.role == leader {
			panic("raft: received a message of another leader in the same term")
		}
		n.role = follower
	}
	n.leader = m.From
	n.electionTimerStart, n.lastLeaderContact = n.now, n.now
	n.resetElectionTimeout()
	return true
}

// respondToAppend sends the leader the index up to which this log matches its own or,
// with reject, the index up to which they may match.
func (n *Node) respondToAppend(m Message, index uint64, reject, afterSync bool) {
	if m.Kind == MsgAppend && m.SendStamp == 0 && len(m.Entries) == 0 {
		// A message with only a commit index needs no response; see sendCommit.
		return
	}
	response := Message{
		Kind: MsgAppendResponse, To: m.From, Index: index, Reject: reject,
		SendStamp: m.SendStamp, LogTerm: m.LogTerm, Commit: m.Index,
	}
	if n.wallClock != nil {
		response.WallClock = n.wallClock()
	}
	n.send(response, afterSync)
}

// handleAppend handles entries, a heartbeat, or a commit index from the leader.
func (n *Node) handleAppend(m Message) {
	if !n.followLeader(m) {
		return
	}
	if m.Index < n.commitIndex && m.LogTerm != noEntryTerm {
		// Committed entries are identical in both logs, so they are skipped.
		skip := n.commitIndex - m.Index
		if uint64(len(m.Entries)) <= skip {
			n.respondToAppend(m, n.commitIndex, false, n.syncedIndex < n.commitIndex)
			return
		}
		m.Entries = m.Entries[skip:]
		m.Index = n.commitIndex
		m.LogTerm, _ = n.TermAt(n.commitIndex)
	}
	if term, ok := n.TermAt(m.Index); !ok || term != m.LogTerm {
		n.respondToAppend(m, n.rejectionHint(m.Index), true, false)
		return
	}
	appended := n.mergeEntries(m.Entries)
	matched := m.Index + uint64(len(m.Entries))
	if m.Commit > n.commitIndex && matched > n.commitIndex {
		n.commitIndex = min(m.Commit, matched)
	}
	n.respondToAppend(m, matched, false, appended || n.syncedIndex < matched)
}

// rejectionHint returns the index up to which the logs may match, given that they
// differ at index or that this log ends before it.
func (n *Node) rejectionHint(index uint64) uint64 {
	hint := n.LastIndex()
	if index <= hint && index > 0 {
		hint = index - 1
	}
	return max(hint, n.commitIndex)
}

// mergeEntries appends the leader's entries that are missing from the log, after
// truncating the log at the first conflicting entry. It reports whether any entry was
// appended.
func (n *Node) mergeEntries(entries []Entry) bool {
	for i, entry := range entries {
		if term, ok := n.TermAt(entry.Index); ok {
			if term == entry.Term {
				continue
			}
			n.truncateLog(entry.Index)
		}
		for _, missing := range entries[i:] {
			n.appendToLog(missing)
		}
		return true
	}
	return false
}

package raft

// SetSnapshotSource sets the function that a leader calls for a snapshot to send to a
// member that lacks compacted entries. It must return the state at AppliedIndex.
func (n *Node) SetSnapshotSource(source func() *Snapshot) { n.snapshotSource = source }

func withoutData(s Snapshot) Snapshot {
	return Snapshot{Index: s.Index, Term: s.Term, Voters: s.Voters, OutgoingVoters: s.OutgoingVoters}
}

// handleSnapshot handles a snapshot from the leader. It replaces the state and the log in
// one step, and is acknowledged once it is synced. A log that already holds the
// snapshot's last entry is kept.
func (n *Node) handleSnapshot(m Message) {
	if !n.followLeader(m) || m.Snapshot == nil {
		return
	}
	received := m.Snapshot
	if received.Index <= n.commitIndex {
		n.respondToAppend(m, n.commitIndex, false, true)
		return
	}
	if term, ok := n.TermAt(received.Index); ok && term == received.Term {
		// The log holds all entries that the snapshot covers, and possibly acknowledged
		// entries after them. It is kept, and only the commit index advances.
		n.commitIndex = received.Index
		n.respondToAppend(m, received.Index, false, true)
		return
	}
	n.supersedeWrites(1)
	n.base = withoutData(*received)
	n.log, n.logBytes = nil, 0
	n.configurations = []configuration{configurationOf(*received)}
	// syncedIndex is unchanged: the snapshot isn't on disk before its write is reported
	// as synced.
	n.commitIndex, n.appliedIndex = received.Index, received.Index
	n.pending.Entries = nil
	n.pending.Snapshot = received
	n.respondToAppend(m, received.Index, false, true)
}

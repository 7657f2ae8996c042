package raft

// SetSnapshotSource sets the function that a leader calls for the snapshot of a
// member that lacks compacted entries. It returns the state at AppliedIndex.
func (n *Node) SetSnapshotSource(source func() *Snapshot) { n.snapshotSource = source }

func withoutData(s Snapshot) Snapshot {
	return Snapshot{Index: s.Index, Term: s.Term, Voters: s.Voters, OutgoingVoters: s.OutgoingVoters}
}

// handleSnapshot takes a snapshot from the leader. It replaces state and log in
// one step, and is acknowledged once it is synced. A log that already holds the
// snapshot's last entry is kept as it is.
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
		// The log holds all that the snapshot stands for, and perhaps entries
		// above it that were acknowledged: it stays, and is only committed.
		n.commitIndex = received.Index
		n.respondToAppend(m, received.Index, false, true)
		return
	}
	n.supersedeWrites(1)
	n.base = withoutData(*received)
	n.log = nil
	n.configurations = []configuration{configurationOf(*received)}
	// syncedIndex stays: nothing of the snapshot is on disk before its write is
	// reported as synced.
	n.commitIndex, n.appliedIndex = received.Index, received.Index
	n.pending.Entries = nil
	n.pending.Snapshot = received
	n.respondToAppend(m, received.Index, false, true)
}

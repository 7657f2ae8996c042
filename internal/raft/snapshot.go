package raft

// SetSnapshotSource gives the source of snapshots for members that lag.
func (n *Node) SetSnapshotSource(source func() *Snapshot) { n.snapshotSource = source }

// handleSnapshot takes a snapshot from the leader. It replaces state and log in one
// step, and is acknowledged once it is synced; a log that holds its last entry
// already is kept as it is.
func (n *Node) handleSnapshot(m Message) {
	if !n.followLeader(m) || m.Snapshot == nil {
		return
	}
	if m.Snapshot.Index <= n.commitIndex {
		n.respondToAppend(m, n.commitIndex, false, true)
		return
	}
	if t, ok := n.termAt(m.Snapshot.Index); ok && t == m.Snapshot.Term {
		// The log holds all that the snapshot stands for, and perhaps entries
		// above it that were acknowledged: it stays, and is only committed.
		n.commitIndex = m.Snapshot.Index
		n.respondToAppend(m, m.Snapshot.Index, false, true)
		return
	}
	n.supersedeWrites(1)
	n.base = Snapshot{Index: m.Snapshot.Index, Term: m.Snapshot.Term, Voters: m.Snapshot.Voters, OutgoingVoters: m.Snapshot.OutgoingVoters}
	n.log = nil
	n.configurations = []configuration{{m.Snapshot.Index, m.Snapshot.Voters, m.Snapshot.OutgoingVoters}}
	// Not synced: nothing of it is on disk before the mark of its write is back.
	n.commitIndex, n.appliedIndex = m.Snapshot.Index, m.Snapshot.Index
	n.pending.Entries = nil
	n.pending.Snapshot = m.Snapshot
	n.respondToAppend(m, m.Snapshot.Index, false, true)
}

// Compact forgets entries up to index, which a snapshot on disk holds.
func (n *Node) Compact(index uint64) {
	if index <= n.base.Index || index > n.appliedIndex {
		return
	}
	term, _ := n.termAt(index)
	base := n.configurations[0]
	remaining := n.configurations
	for len(remaining) > 0 && remaining[0].index <= index {
		base = remaining[0]
		remaining = remaining[1:]
	}
	n.log = append([]Entry(nil), n.log[index-n.base.Index:]...)
	n.base = Snapshot{Index: index, Term: term, Voters: base.voters, OutgoingVoters: base.outgoing}
	n.configurations = append([]configuration{base}, remaining...)
}

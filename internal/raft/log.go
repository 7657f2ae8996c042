package raft

import "slices"

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.base.Index + uint64(len(n.log)) }

// LogBytes returns the size of the data of all entries that the log holds, in bytes.
func (n *Node) LogBytes() int { return n.logBytes }

// entriesBytes returns the size of the data of entries, in bytes.
func entriesBytes(entries []Entry) int {
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Data)
	}
	return bytes
}

// IndexBeforeLast returns the lowest index after which the entries of the log hold at most maxBytes.
func (n *Node) IndexBeforeLast(maxBytes int) uint64 {
	bytes, first := 0, len(n.log)
	for first > 0 && bytes+len(n.log[first-1].Data) <= maxBytes {
		first--
		bytes += len(n.log[first].Data)
	}
	return n.base.Index + uint64(first)
}

// TermAt returns the term of the entry at index, which may also be the last entry of
// the snapshot that the log follows. It returns false if the entry is compacted or
// doesn't exist.
func (n *Node) TermAt(index uint64) (uint64, bool) {
	if index == n.base.Index {
		return n.base.Term, true
	}
	if index < n.base.Index || index > n.LastIndex() {
		return 0, false
	}
	return n.log[index-n.base.Index-1].Term, true
}

// appendEntry appends an entry of this leader's term to the log and returns its index.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.LastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.appendToLog(entry)
	return entry.Index
}

// appendToLog appends an entry to the log and to the pending writes.
func (n *Node) appendToLog(entry Entry) {
	n.log = append(n.log, entry)
	n.logBytes += len(entry.Data)
	n.recordConfiguration(entry)
	n.pending.Entries = append(n.pending.Entries, entry)
}

// truncateLog removes the entries from index on, which conflict with the leader's log.
func (n *Node) truncateLog(index uint64) {
	if index <= n.commitIndex {
		panic("raft: log truncation would remove a committed entry")
	}
	n.logBytes -= entriesBytes(n.log[index-n.base.Index-1:])
	n.log = n.log[:index-n.base.Index-1]
	for len(n.configurations) > 1 && n.latestConfiguration().index >= index {
		n.configurations = n.configurations[:len(n.configurations)-1]
	}
	n.supersedeWrites(index)
	n.pending.Entries = slices.DeleteFunc(n.pending.Entries, func(entry Entry) bool { return entry.Index >= index })
}

// supersedeWrites records that the entries from index on are replaced. Writes that
// Ready returned earlier and that aren't synced yet then don't prove that the disk will
// hold these entries: the same entry may be appended again while an earlier unsynced
// write is still going to remove it.
func (n *Node) supersedeWrites(index uint64) {
	n.syncedIndex = min(n.syncedIndex, index-1)
	if n.lastSyncedWrite >= n.supersededWrite || index < n.supersededFrom {
		n.supersededFrom = index
	}
	n.supersededWrite = n.lastIssuedWrite
}

// NextCommittedEntries returns the committed entries to be applied next, at most
// Config.MaxCommittedEntries. Each entry is returned once. It returns none while a
// received snapshot is still to be returned by Ready: the entries apply to the state of
// that snapshot, and the owner has an older state.
func (n *Node) NextCommittedEntries() []Entry {
	if n.pending.Snapshot != nil || n.appliedIndex >= n.commitIndex {
		return nil
	}
	last := n.commitIndex
	if limit := n.config.MaxCommittedEntries; limit > 0 {
		last = min(last, n.appliedIndex+uint64(limit))
	}
	entries := n.log[n.appliedIndex-n.base.Index : last-n.base.Index]
	n.appliedIndex = last
	return entries
}

// RestoreCommit restores the commit index of a newly started node from the latest
// Ready.CommitIndex on its disk, so that it can apply these entries before it knows a
// leader. This is safe since committed entries stay committed, and the disk held them
// when the index was written.
func (n *Node) RestoreCommit(index uint64) {
	n.commitIndex = max(n.commitIndex, min(index, n.LastIndex()))
}

// Compact removes the entries up to index, which a snapshot on disk must include. It
// does nothing if they are already compacted or not applied yet.
func (n *Node) Compact(index uint64) {
	if index <= n.base.Index || index > n.appliedIndex {
		return
	}
	term, _ := n.TermAt(index)
	base := n.configurations[0]
	remaining := n.configurations
	for len(remaining) > 0 && remaining[0].index <= index {
		base = remaining[0]
		remaining = remaining[1:]
	}
	n.logBytes -= entriesBytes(n.log[:index-n.base.Index])
	n.log = append([]Entry(nil), n.log[index-n.base.Index:]...)
	n.base = Snapshot{Index: index, Term: term, Voters: base.voters, OutgoingVoters: base.outgoing}
	n.configurations = append([]configuration{base}, remaining...)
}

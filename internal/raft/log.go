package raft

import "slices"

// LastIndex returns the index of the newest entry of the log.
func (n *Node) LastIndex() uint64 { return n.base.Index + uint64(len(n.log)) }

// TermAt returns the term of an entry of the log or of the snapshot before it;
// false if the entry is compacted or not there.
func (n *Node) TermAt(index uint64) (uint64, bool) {
	if index == n.base.Index {
		return n.base.Term, true
	}
	if index < n.base.Index || index > n.LastIndex() {
		return 0, false
	}
	return n.log[index-n.base.Index-1].Term, true
}

// appendEntry adds an entry of this leader's term to the log.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: n.LastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.appendToLog(entry)
	return entry.Index
}

// appendToLog adds the next entry to the log and to what is to be written.
func (n *Node) appendToLog(entry Entry) {
	n.log = append(n.log, entry)
	n.recordConfiguration(entry)
	n.pending.Entries = append(n.pending.Entries, entry)
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
	n.pending.Entries = slices.DeleteFunc(n.pending.Entries, func(entry Entry) bool { return entry.Index >= index })
}

// supersedeWrites notes that the entries from an index on are replaced. Writes
// that Ready returned before and that are not synced yet prove nothing of what will
// be there: the same entry may even come back while an older write is still to
// remove it.
func (n *Node) supersedeWrites(index uint64) {
	n.syncedIndex = min(n.syncedIndex, index-1)
	if n.syncedWrites >= n.supersededWrite || index < n.supersededFrom {
		n.supersededFrom = index
	}
	n.supersededWrite = n.issuedWrites
}

// NextCommittedEntries returns the committed entries that are to be applied, each
// of them once, and at most Config.MaxCommittedEntries. There are none while Ready still has to return a received snapshot:
// they apply to the state of that snapshot, and the owner has an older one.
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

// RestoreCommit tells a node that was just started that entries up to an index were
// committed before it stopped: the newest Ready.CommitIndex on its disk. It can then
// apply them before it knows a leader. What was committed stays so, and the disk held
// these entries when the index was written.
func (n *Node) RestoreCommit(index uint64) {
	n.commitIndex = max(n.commitIndex, min(index, n.LastIndex()))
}

// Compact drops the entries up to an index, which a snapshot on disk includes.
// It does nothing if they are dropped already or not applied yet.
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
	n.log = append([]Entry(nil), n.log[index-n.base.Index:]...)
	n.base = Snapshot{Index: index, Term: term, Voters: base.voters, OutgoingVoters: base.outgoing}
	n.configurations = append([]configuration{base}, remaining...)
}

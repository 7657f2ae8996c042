package raft

// SetPoint gives the source of snapshots for members that lag.
func (n *Node) SetPoint(f func() *Point) { n.pointNow = f }

// onPoint takes a snapshot from the leader. It replaces state and log in one
// step, and is acknowledged once it is synced; a log that holds its last entry
// already is kept as it is.
func (n *Node) onPoint(m Msg) {
	if !n.follow(m) || m.Point == nil {
		return
	}
	if m.Point.Index <= n.commit {
		n.answer(m, n.commit, false, true)
		return
	}
	if t, ok := n.termAt(m.Point.Index); ok && t == m.Point.Term {
		// The log holds all that the snapshot stands for, and perhaps entries
		// above it that were acknowledged: it stays, and is only committed.
		n.commit = m.Point.Index
		n.answer(m, m.Point.Index, false, true)
		return
	}
	n.cut(1)
	n.base = Point{Index: m.Point.Index, Term: m.Point.Term, Conf: m.Point.Conf, Old: m.Point.Old}
	n.log = nil
	n.configurations = []configuration{{m.Point.Index, m.Point.Conf, m.Point.Old}}
	// Not synced: nothing of it is on disk before the mark of its write is back.
	n.commit, n.applied = m.Point.Index, m.Point.Index
	n.out.Entries = nil
	n.out.Point = m.Point
	n.answer(m, m.Point.Index, false, true)
}

// Drop forgets entries up to index, which a snapshot on disk holds.
func (n *Node) Drop(index uint64) {
	if index <= n.base.Index || index > n.applied {
		return
	}
	t, _ := n.termAt(index)
	conf := n.configurations[0]
	rest := n.configurations
	for len(rest) > 0 && rest[0].index <= index {
		conf = rest[0]
		rest = rest[1:]
	}
	n.log = append([]Entry(nil), n.log[index-n.base.Index:]...)
	n.base = Point{Index: index, Term: t, Conf: conf.voters, Old: conf.old}
	n.configurations = append([]configuration{conf}, rest...)
}

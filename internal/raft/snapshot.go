package raft

// SetPoint gives the source of checkpoints for members that lag.
func (n *Node) SetPoint(f func() *Point) { n.pointNow = f }

func (n *Node) onPoint(m Msg) {
	if !n.follow(m) || m.Point == nil {
		return
	}
	if m.Point.Index <= n.commit {
		n.answer(m, n.commit, false, true)
		return
	}
	n.base = Point{Index: m.Point.Index, Term: m.Point.Term, Conf: m.Point.Conf}
	n.log = nil
	n.configurations = []configuration{{m.Point.Index, m.Point.Conf}}
	n.commit, n.applied, n.synced = m.Point.Index, m.Point.Index, m.Point.Index
	n.out.Entries = nil
	n.out.Point = m.Point
	n.answer(m, m.Point.Index, false, true)
}

// Drop forgets entries up to index, which a checkpoint holds.
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
	n.base = Point{Index: index, Term: t, Conf: conf.voters}
	n.configurations = append([]configuration{{conf.index, conf.voters}}, rest...)
}

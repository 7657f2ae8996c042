package raft

import (
	"slices"
	"time"
)

// What the model test knows of configurations. A configuration is one set of
// voters, or two while it is joint; a quorum is a majority of each.

func disksOf(vs []Voter) []string {
	var out []string
	for _, v := range vs {
		out = append(out, v.Disk)
	}
	return out
}

// setsOf leaves out the voters before a change where there is none.
func setsOf(voters, old []Voter) [][]string {
	sets := [][]string{disksOf(voters)}
	if len(old) > 0 {
		sets = append(sets, disksOf(old))
	}
	return sets
}

// voterSets are the sets of which a member needs a majority each.
func voterSets(n *Node) [][]string { return setsOf(n.VoterSets()) }

// confSets are those of an entry of the log.
func confSets(data []byte) ([][]string, error) {
	voters, old, err := DecodeConf(data)
	return setsOf(voters, old), err
}

// allVoters are all that vote in one of the sets.
func allVoters(n *Node) []string {
	var out []string
	for _, set := range voterSets(n) {
		for _, id := range set {
			if !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// quorum tells whether those for whom has is true are a majority of each set.
func quorum(sets [][]string, has func(id string) bool) bool {
	for _, set := range sets {
		n := 0
		for _, id := range set {
			if has(id) {
				n++
			}
		}
		if n*2 <= len(set) && len(set) > 0 {
			return false
		}
	}
	return true
}

// meet tells whether each quorum of one shares a member with each of the other.
func meet(a, b [][]string) bool {
	var ids []string
	for _, set := range append(append([][]string{}, a...), b...) {
		for _, id := range set {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	for mask := 0; mask < 1<<len(ids); mask++ {
		in := func(id string) bool { return mask>>slices.Index(ids, id)&1 == 1 }
		if quorum(a, in) && quorum(b, func(id string) bool { return !in(id) }) {
			return false
		}
	}
	return true
}

// changed tells whether the voters are as wanted, for good.
func (w *world) changed(m *member, c *change) bool {
	return !m.node.Changing() && (c.in == "" || m.node.Voter(c.in)) && (c.out == "" || !m.node.Voter(c.out))
}

// proposeChange asks for the voters as wanted.
func (w *world) proposeChange(n *Node, c *change) bool {
	vs := slices.DeleteFunc(slices.Clone(n.Voters()), func(v Voter) bool { return v.Disk == c.out })
	if c.in != "" && !n.Voter(c.in) {
		vs = append(vs, voter(c.in))
	}
	return n.ProposeConf(vs)
}

// operate does what the core's leader does for its operators: bring a
// candidate up to date, then change the voters.
func (w *world) operate(m *member) {
	if !m.node.Ready() || !m.node.Lease(m.clock(w.now)) || w.now-m.asked < w.profile.timing.Beat {
		return
	}
	m.asked = w.now
	w.lostFirst(m)
	c := w.change
	if c == nil {
		return
	}
	if w.changed(m, c) {
		w.note("changed", m.id, m.node.ConfIndex(), 0)
		w.counts["changes"]++
		w.change = nil
		w.retire(w.byID[c.out])
		return
	}
	if c.in != "" && !m.node.Voter(c.in) {
		m.node.Learn(voter(c.in))
		if !m.node.Caught(c.in) {
			return
		}
	}
	if vs := m.node.Voters(); c.in == "" && len(vs) == 1 && vs[0].Disk == c.out {
		w.change = nil // nobody would be left
		return
	}
	w.checks.observe(m)
	if w.proposeChange(m.node, c) {
		c.begun = true
		w.note("change", m.id, m.node.ConfIndex(), 0)
	}
}

// lostFirst has a voter without a disk replaced before any other leaves.
func (w *world) lostFirst(m *member) {
	if c := w.change; c != nil && c.out != "" && w.byID[c.out].lost {
		return
	}
	for _, id := range allVoters(m.node) {
		if !w.byID[id].lost {
			continue
		}
		if w.change == nil {
			w.change = &change{}
		}
		w.change.out = id
		if w.change.in == "" {
			w.change.in = w.newcomer().id
		}
		return
	}
}

// retire ends a member that was voted out after a while, or lets it run on as
// one who may come back.
func (w *world) retire(o *member) {
	if o == nil || o.lost {
		return
	}
	if o.idle = w.chance(0.3); o.idle {
		return
	}
	w.after(w.gap(2*time.Second), func() {
		if o.idle || w.change != nil && w.change.in == o.id {
			return // wanted again
		}
		w.crash(o, false)
		o.retired = true
	})
}

// abandon ends a change whose candidate no leader has proposed yet.
func (w *world) abandon(*member) {
	c := w.change
	if c == nil || c.begun || c.in == "" || c.out != "" && w.byID[c.out].lost {
		return
	}
	w.change = nil
	w.byID[c.in].idle = true
	for _, m := range w.up() {
		m.node.Forget(c.in)
	}
}

// candidate is who is to become a voter: a new member, or an idle one.
func (w *world) candidate() *member {
	for _, m := range w.up() {
		if m.idle && !m.lost && w.chance(0.5) {
			m.idle = false
			return m
		}
	}
	return w.newcomer()
}

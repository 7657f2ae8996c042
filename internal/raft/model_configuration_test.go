package raft

import (
	"slices"
	"time"
)

// What the model test knows of configurations. A configuration is one set of
// voters, or two while it is joint; a quorum is a majority of each.

func memberIDs(vs []Member) []string {
	var out []string
	for _, v := range vs {
		out = append(out, v.ID)
	}
	return out
}

// voterIDSets leaves out the voters before a change where there is none.
func voterIDSets(voters, old []Member) [][]string {
	sets := [][]string{memberIDs(voters)}
	if len(old) > 0 {
		sets = append(sets, memberIDs(old))
	}
	return sets
}

// currentVoterSets are the sets of which a member needs a majority each.
func currentVoterSets(n *Node) [][]string { return voterIDSets(n.VoterSets()) }

// confChangeVoterSets are those of an entry of the log.
func confChangeVoterSets(data []byte) ([][]string, error) {
	voters, old, err := DecodeConfChange(data)
	return voterIDSets(voters, old), err
}

// allVoters are all that vote in one of the sets.
func allVoters(n *Node) []string {
	var out []string
	for _, set := range currentVoterSets(n) {
		for _, id := range set {
			if !slices.Contains(out, id) {
				out = append(out, id)
			}
		}
	}
	return out
}

// hasQuorum tells whether those for whom has is true are a majority of each set.
func hasQuorum(sets [][]string, has func(id string) bool) bool {
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

// quorumsIntersect tells whether each quorum of one shares a member with each of the other.
func quorumsIntersect(a, b [][]string) bool {
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
		if hasQuorum(a, in) && hasQuorum(b, func(id string) bool { return !in(id) }) {
			return false
		}
	}
	return true
}

// changeCompleted tells whether the voters are as wanted, for good.
func (w *modelWorld) changeCompleted(m *modelMember, change *voterChange) bool {
	return !m.node.ConfChangePending() && (change.incoming == "" || m.node.IsVoter(change.incoming)) && (change.outgoing == "" || !m.node.IsVoter(change.outgoing))
}

// proposeChange asks for the voters as wanted.
func (w *modelWorld) proposeChange(n *Node, change *voterChange) bool {
	voters := slices.DeleteFunc(slices.Clone(n.Voters()), func(v Member) bool { return v.ID == change.outgoing })
	if change.incoming != "" && !n.IsVoter(change.incoming) {
		voters = append(voters, modelVoter(change.incoming))
	}
	return n.ProposeConfChange(voters)
}

// operateMembership does what the core's leader does for its operators: bring a
// candidate up to date, then change the voters.
func (w *modelWorld) operateMembership(m *modelMember) {
	if !m.node.LeaderReady() || !m.node.HasLease(m.clock(w.now)) || w.now-m.lastOperatedAt < w.profile.config.HeartbeatInterval {
		return
	}
	m.lastOperatedAt = w.now
	w.replaceLostVoterFirst(m)
	change := w.change
	if change == nil {
		return
	}
	if w.changeCompleted(m, change) {
		w.note("changed", m.id, m.node.ConfIndex(), 0)
		w.counts["changes"]++
		w.change = nil
		w.retire(w.byID[change.outgoing])
		return
	}
	if change.incoming != "" && !m.node.IsVoter(change.incoming) {
		m.node.AddLearner(modelVoter(change.incoming))
		if !m.node.CaughtUp(change.incoming) {
			return
		}
	}
	if vs := m.node.Voters(); change.incoming == "" && len(vs) == 1 && vs[0].ID == change.outgoing {
		w.change = nil // nobody would be left
		return
	}
	w.checks.observe(m)
	if w.proposeChange(m.node, change) {
		change.proposed = true
		w.note("change", m.id, m.node.ConfIndex(), 0)
	}
}

// replaceLostVoterFirst has a voter without a disk replaced before any other leaves.
func (w *modelWorld) replaceLostVoterFirst(m *modelMember) {
	if c := w.change; c != nil && c.outgoing != "" && w.byID[c.outgoing].lost {
		return
	}
	for _, id := range allVoters(m.node) {
		if !w.byID[id].lost {
			continue
		}
		if w.change == nil {
			w.change = &voterChange{}
		}
		w.change.outgoing = id
		if w.change.incoming == "" {
			w.change.incoming = w.addAndStartMember().id
		}
		return
	}
}

// retire ends a member that was voted out after a while, or lets it run on as
// one who may come back.
func (w *modelWorld) retire(o *modelMember) {
	if o == nil || o.lost {
		return
	}
	if o.idle = w.chance(0.3); o.idle {
		return
	}
	w.schedule(w.randomDelay(2*time.Second), func() {
		if o.idle || w.change != nil && w.change.incoming == o.id {
			return // wanted again
		}
		w.crash(o, false)
		o.retired = true
	})
}

// abandonChange ends a change whose candidate no leader has proposed yet.
func (w *modelWorld) abandonChange(*modelMember) {
	change := w.change
	if change == nil || change.proposed || change.incoming == "" || change.outgoing != "" && w.byID[change.outgoing].lost {
		return
	}
	w.change = nil
	w.byID[change.incoming].idle = true
	for _, m := range w.runningMembers() {
		m.node.RemoveLearner(change.incoming)
	}
}

// pickLearner is who is to become a voter: a new member, or an idle one.
func (w *modelWorld) pickLearner() *modelMember {
	for _, m := range w.runningMembers() {
		if m.idle && !m.lost && w.chance(0.5) {
			m.idle = false
			return m
		}
	}
	return w.addAndStartMember()
}

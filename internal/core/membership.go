package core

import (
	"slices"
	"sort"
	"strings"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// tracker is what only a leader knows of the candidates for a voter's place.
type tracker struct {
	candidates map[string]raft.Member
	faulty     string // the voters last logged as faulty
}

// candidatesByDisk are all candidates that asked this leader for a place.
func (c *Core) candidatesByDisk() map[string]raft.Member {
	if c.tracker.candidates == nil {
		c.tracker.candidates = map[string]raft.Member{}
	}
	return c.tracker.candidates
}

// candidates are the daemons that ask for a voter's place, in order of their
// disks; who fell silent is forgotten, and announces itself if it is back.
func (c *Core) candidates() []raft.Member {
	var found []raft.Member
	for disk, voter := range c.candidatesByDisk() {
		switch {
		case c.node.IsVoter(disk):
			delete(c.tracker.candidates, disk)
		case c.node.SilentFor(disk) > tune.CandidateSilent:
			delete(c.tracker.candidates, disk)
			c.node.RemoveLearner(disk)
		default:
			c.node.AddLearner(voter)
			found = append(found, voter)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// ready tells whether a candidate can take a place at once.
func (c *Core) ready(voter raft.Member) bool {
	return c.node.CaughtUp(voter.ID) && c.node.SilentFor(voter.ID) <= tune.CandidateHeard
}

// swap puts a caught-up candidate in the place of a voter that is gone, in one
// change: the voter goes out as the candidate comes in, and a majority of both
// sets agrees, so that there is never one voter less.
func (c *Core) swap(now time.Time) {
	c.tellFaulty()
	if c.node.ConfChangePending() {
		return
	}
	voters := c.node.Voters()
	for _, voter := range c.candidates() {
		if !c.ready(voter) {
			continue
		}
		if len(voters) < c.found.MinVoters {
			_ = c.log.Log("level", "info", "event", "core.add", "node", voter.Node, "disk", voter.ID)
			c.node.ProposeConfChange(append(slices.Clone(voters), voter))
			return
		}
		i, why := c.replaceable(voters, voter, now)
		if why == "" {
			continue
		}
		old := voters[i]
		_ = c.log.Log("level", "info", "event", "core.replace", "node", old.Node, "disk", old.ID, "why", why, "by", voter.Node, "newDisk", voter.ID)
		// The old voter is still to be told of the change, if it lives.
		c.addrs[old.ID] = old.Addr
		next := slices.Clone(voters)
		next[i] = voter
		c.node.ProposeConfChange(next)
		return
	}
}

// replaceable finds the voter whose place a candidate may take, and why: an
// earlier disk of the same node before all others, then one that broke its
// promises, one that said that it leaves, or the one that has been silent for
// longest. A voter that is merely frozen keeps its place for a time.
func (c *Core) replaceable(voters []raft.Member, by raft.Member, now time.Time) (int, string) {
	faulty := c.node.FaultyPeers()
	for _, rule := range []struct {
		why  string
		goes func(other raft.Member) bool
	}{
		{"its node came back with another disk", func(other raft.Member) bool { return other.Node == by.Node && other.ID != c.self.ID }},
		{"it lost what it had acknowledged", func(other raft.Member) bool { return slices.Contains(faulty, other.ID) }},
		{"it leaves", func(other raft.Member) bool { return c.leaves(other.ID, now) }},
	} {
		if i := slices.IndexFunc(voters, rule.goes); i >= 0 {
			return i, rule.why
		}
	}
	longest := -1
	for i, other := range voters {
		if other.ID != c.self.ID && c.node.SilentFor(other.ID) > tune.SilentVoter && (longest < 0 || c.node.SilentFor(other.ID) > c.node.SilentFor(voters[longest].ID)) {
			longest = i
		}
	}
	if longest < 0 {
		return 0, ""
	}
	return longest, "it is silent"
}

// leaves tells whether a voter said that it ends.
func (c *Core) leaves(disk string, now time.Time) bool {
	if disk == c.self.ID {
		return len(c.leaving) > 0
	}
	return now.Before(c.appointments.leavingUntil[disk])
}

// needed tells why the others can't do without a voter's disk yet; empty if
// they can. For as long as that is so, a daemon that leaves waits, if it may.
func (c *Core) needed(disk string) string {
	switch {
	case c.node.ConfChangePending():
		return "a change of the voters is under way"
	case !c.node.IsVoter(disk):
		return ""
	}
	for _, voter := range c.candidates() {
		if c.node.SilentFor(voter.ID) <= tune.CandidateHeard {
			return "a candidate is about to take a place"
		}
	}
	for _, voter := range c.node.Voters() {
		if voter.ID == disk || voter.ID == c.self.ID {
			continue
		}
		if c.node.SilentFor(voter.ID) > tune.DutySilent || !c.node.CaughtUp(voter.ID) {
			return "another voter is silent or lags"
		}
	}
	return ""
}

// tellFaulty logs voters that lost what they had acknowledged, once each.
func (c *Core) tellFaulty() {
	faulty := strings.Join(c.node.FaultyPeers(), " ")
	if faulty != c.tracker.faulty && faulty != "" {
		_ = c.log.Log("level", "error", "event", "core.faulty", "disks", faulty,
			"why", "entries that these disks had acknowledged are not on them; they count no more until they are replaced")
	}
	c.tracker.faulty = faulty
}

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
	candidates map[string]raft.Voter
	faulty     string // the voters last logged as faulty
}

// candidatesByDisk are all candidates that asked this leader for a place.
func (c *Core) candidatesByDisk() map[string]raft.Voter {
	if c.tracker.candidates == nil {
		c.tracker.candidates = map[string]raft.Voter{}
	}
	return c.tracker.candidates
}

// candidates are the daemons that ask for a voter's place, in order of their
// disks; who fell silent is forgotten, and announces itself if it is back.
func (c *Core) candidates() []raft.Voter {
	var found []raft.Voter
	for disk, voter := range c.candidatesByDisk() {
		switch {
		case c.node.Voter(disk):
			delete(c.tracker.candidates, disk)
		case c.node.Silent(disk) > tune.CandidateSilent:
			delete(c.tracker.candidates, disk)
			c.node.Forget(disk)
		default:
			c.node.Learn(voter)
			found = append(found, voter)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Disk < found[j].Disk })
	return found
}

// ready tells whether a candidate can take a place at once.
func (c *Core) ready(voter raft.Voter) bool {
	return c.node.Caught(voter.Disk) && c.node.Silent(voter.Disk) <= tune.CandidateHeard
}

// swap puts a caught-up candidate in the place of a voter that is gone, in one
// change: the voter goes out as the candidate comes in, and a majority of both
// sets agrees, so that there is never one voter less.
func (c *Core) swap(now time.Time) {
	c.tellFaulty()
	if c.node.Changing() {
		return
	}
	voters := c.node.Voters()
	for _, voter := range c.candidates() {
		if !c.ready(voter) {
			continue
		}
		if len(voters) < c.found.Least {
			_ = c.log.Log("level", "info", "event", "core.add", "node", voter.Node, "disk", voter.Disk)
			c.node.ProposeConf(append(slices.Clone(voters), voter))
			return
		}
		i, why := c.replaceable(voters, voter, now)
		if why == "" {
			continue
		}
		old := voters[i]
		_ = c.log.Log("level", "info", "event", "core.replace", "node", old.Node, "disk", old.Disk, "why", why, "by", voter.Node, "newDisk", voter.Disk)
		// The old voter is still to be told of the change, if it lives.
		c.addrs[old.Disk] = old.Addr
		next := slices.Clone(voters)
		next[i] = voter
		c.node.ProposeConf(next)
		return
	}
}

// replaceable finds the voter whose place a candidate may take, and why: an
// earlier disk of the same node before all others, then one that broke its
// promises, one that said that it leaves, or the one that has been silent for
// longest. A voter that is merely frozen keeps its place for a time.
func (c *Core) replaceable(voters []raft.Voter, by raft.Voter, now time.Time) (int, string) {
	faulty := c.node.Faulty()
	for _, rule := range []struct {
		why  string
		goes func(other raft.Voter) bool
	}{
		{"its node came back with another disk", func(other raft.Voter) bool { return other.Node == by.Node && other.Disk != c.self.Disk }},
		{"it lost what it had acknowledged", func(other raft.Voter) bool { return slices.Contains(faulty, other.Disk) }},
		{"it leaves", func(other raft.Voter) bool { return c.leaves(other.Disk, now) }},
	} {
		if i := slices.IndexFunc(voters, rule.goes); i >= 0 {
			return i, rule.why
		}
	}
	longest := -1
	for i, other := range voters {
		if other.Disk != c.self.Disk && c.node.Silent(other.Disk) > tune.SilentVoter && (longest < 0 || c.node.Silent(other.Disk) > c.node.Silent(voters[longest].Disk)) {
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
	if disk == c.self.Disk {
		return len(c.leaving) > 0
	}
	return now.Before(c.appointments.leavingUntil[disk])
}

// needed tells why the others can't do without a voter's disk yet; empty if
// they can. For as long as that is so, a daemon that leaves waits, if it may.
func (c *Core) needed(disk string) string {
	switch {
	case c.node.Changing():
		return "a change of the voters is under way"
	case !c.node.Voter(disk):
		return ""
	}
	for _, voter := range c.candidates() {
		if c.node.Silent(voter.Disk) <= tune.CandidateHeard {
			return "a candidate is about to take a place"
		}
	}
	for _, voter := range c.node.Voters() {
		if voter.Disk == disk || voter.Disk == c.self.Disk {
			continue
		}
		if c.node.Silent(voter.Disk) > tune.DutySilent || !c.node.Caught(voter.Disk) {
			return "another voter is silent or lags"
		}
	}
	return ""
}

// tellFaulty logs voters that lost what they had acknowledged, once each.
func (c *Core) tellFaulty() {
	faulty := strings.Join(c.node.Faulty(), " ")
	if faulty != c.tracker.faulty && faulty != "" {
		_ = c.log.Log("level", "error", "event", "core.faulty", "disks", faulty,
			"why", "entries that these disks had acknowledged are not on them; they count no more until they are replaced")
	}
	c.tracker.faulty = faulty
}

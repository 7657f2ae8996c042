package raft

import (
	"slices"
	"sort"
	"time"
)

// configuration is who votes from an entry of the log on. While it is joint,
// old holds the voters before the change: an election, a commit and a lease
// then need a majority of each, so that at no moment two majorities could pass
// each other by.
type configuration struct {
	index       uint64
	voters, old []Voter
}

func (c *configuration) joint() bool { return len(c.old) > 0 }

// all are those who vote: the voters, then those who are on their way out.
func (c *configuration) all() []Voter {
	if !c.joint() {
		return c.voters
	}
	all := slices.Clone(c.voters)
	for _, v := range c.old {
		if !holds(c.voters, v.Disk) {
			all = append(all, v)
		}
	}
	return all
}

// majorities tells whether each set of voters has a majority of such disks.
func (c *configuration) majorities(has func(disk string) bool) bool {
	most := func(voters []Voter) bool {
		count := 0
		for _, v := range voters {
			if has(v.Disk) {
				count++
			}
		}
		return 2*count > len(voters)
	}
	return most(c.voters) && (!c.joint() || most(c.old))
}

// reached is the highest value that a majority of each set has reached.
func (c *configuration) reached(value func(disk string) uint64) uint64 {
	least := func(voters []Voter) uint64 {
		values := make([]uint64, len(voters))
		for i, v := range voters {
			values[i] = value(v.Disk)
		}
		sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
		return values[len(values)/2]
	}
	if !c.joint() {
		return least(c.voters)
	}
	return min(least(c.voters), least(c.old))
}

func holds(voters []Voter, disk string) bool {
	return slices.ContainsFunc(voters, func(v Voter) bool { return v.Disk == disk })
}

// current is the newest configuration in the log, committed or not.
func (n *Node) current() *configuration { return &n.configurations[len(n.configurations)-1] }

func (n *Node) noteConfiguration(e Entry) {
	if e.Kind != EntryConf {
		return
	}
	voters, old, err := DecodeConf(e.Data)
	if err != nil {
		panic("raft: conf entry unreadable: " + err.Error())
	}
	n.configurations = append(n.configurations, configuration{e.Index, voters, old})
}

// Voters are all who vote by the newest configuration in the log; in mid-change
// also those who are on their way out.
func (n *Node) Voters() []Voter { return n.current().all() }

// VoterSets are the voters of the newest configuration and, in mid-change,
// those before it; a majority of each is needed.
func (n *Node) VoterSets() (voters, old []Voter) { return n.current().voters, n.current().old }

// ConfIndex is the entry of the newest configuration.
func (n *Node) ConfIndex() uint64 { return n.current().index }

// Changing tells whether a change of the voters is under way.
func (n *Node) Changing() bool { return n.current().joint() || n.ConfIndex() > n.commit }

// Voter tells whether a disk votes.
func (n *Node) Voter(disk string) bool {
	return holds(n.current().voters, disk) || holds(n.current().old, disk)
}

// mayLead tells whether this member runs for leader: a voter, or one that was
// voted out by an entry which is not committed for all it knows. Its log may be
// the longest, and its vote refused to all others by that; it must then lead
// once more (without counting itself) to end the change.
func (n *Node) mayLead() bool {
	if n.Voter(n.me) {
		return true
	}
	before := len(n.configurations) - 2
	return before >= 0 && n.ConfIndex() > n.commit && holds(n.configurations[before].all(), n.me)
}

// trackPeers keeps the progress of those whom the leader sends to: voters,
// candidates, and who was just voted out, until that is committed.
func (n *Node) trackPeers() {
	want := map[string]bool{}
	for _, v := range n.Voters() {
		want[v.Disk] = true
	}
	for d := range n.learners {
		want[d] = true
	}
	if n.Changing() && len(n.configurations) > 1 {
		for _, v := range n.configurations[len(n.configurations)-2].all() {
			want[v.Disk] = true
		}
	}
	delete(want, n.me)
	for d := range want {
		if n.peers[d] == nil {
			n.peers[d] = &progress{next: n.last() + 1, probing: true, since: n.stamped, heard: n.now}
		}
	}
	for d, p := range n.peers {
		if !want[d] {
			// Who was voted out may rest once it knows that this is committed.
			n.sendCommit(d, p)
			delete(n.peers, d)
		}
	}
}

// ProposeConf starts a change to a new set of voters, in one step however many
// change: first an entry under which both sets count, then, by itself once that
// is committed, one with the new set alone. Refused while a change is under way.
func (n *Node) ProposeConf(voters []Voter) bool {
	if n.role != leader || n.leaving || n.Changing() || n.commit < n.noop || len(voters) == 0 || slices.Equal(voters, n.Voters()) {
		return false
	}
	n.appendEntry(EntryConf, encodeVoters(voters, n.current().voters))
	for _, v := range voters {
		delete(n.learners, v.Disk)
	}
	n.trackPeers()
	return true
}

// carryChange takes the next step of a change, also one that an earlier leader
// began: the final entry once the joint one is committed, and, once that is, a
// leader that is no longer a voter hands over.
func (n *Node) carryChange() {
	c := n.current()
	if c.index > n.commit || n.commit < n.noop {
		return
	}
	switch {
	case n.leaving:
	case c.joint():
		n.appendEntry(EntryConf, encodeVoters(c.voters, nil))
		n.trackPeers()
	case !n.Voter(n.me):
		if !n.Transfer() {
			n.newTerm(n.term, "")
		}
	case len(n.peers) > len(c.voters)-1+len(n.learners):
		n.trackPeers()
	}
}

// Learn starts to bring a candidate up to date.
func (n *Node) Learn(v Voter) {
	if n.role != leader || n.Voter(v.Disk) {
		return
	}
	n.learners[v.Disk] = v
	n.trackPeers()
}

// Forget ends that.
func (n *Node) Forget(disk string) {
	delete(n.learners, disk)
	if n.role == leader {
		n.trackPeers()
	}
}

// nextRound starts a round of heartbeats, if it is time for one.
func (n *Node) nextRound() bool {
	if n.now.Sub(n.roundAt) < n.timing.Beat {
		return false
	}
	n.roundAt = n.now
	n.roundBefore, n.roundCommit = n.roundCommit, n.commit
	return true
}

// Caught tells whether a member holds all that was committed when the last
// whole round of heartbeats began. Under load the newest entries are always
// under way, so that more can't be asked for; a member that lags by more than a
// round never counts, however few entries that are.
func (n *Node) Caught(disk string) bool {
	p := n.peers[disk]
	return p != nil && !p.probing && !p.faulty && p.match >= n.roundBefore
}

// Silent is how long a member has not been heard.
func (n *Node) Silent(disk string) time.Duration {
	if p := n.peers[disk]; p != nil {
		return n.now.Sub(p.heard)
	}
	return 0
}

// configurationAt is the configuration in force at an entry.
func (n *Node) configurationAt(index uint64) configuration {
	found := n.configurations[0]
	for _, c := range n.configurations {
		if c.index <= index {
			found = c
		}
	}
	return found
}

// ConfAt are the voters at an applied entry; a snapshot holds them.
func (n *Node) ConfAt(index uint64) []Voter { return n.configurationAt(index).voters }

// OldConfAt are the voters before a change that was under way at an applied
// entry, else nothing; a snapshot holds them too.
func (n *Node) OldConfAt(index uint64) []Voter { return n.configurationAt(index).old }

package raft

import (
	"slices"
	"sort"
)

// configuration is the set of voters in force from the log entry at index on (thesis,
// section 4.3). While it is joint, outgoing holds the voters from before the change.
// An election, a commit and a lease then need a majority of each set, so that any two
// quorums have a member in common at all times.
type configuration struct {
	index            uint64
	voters, outgoing []Member
}

func configurationOf(s Snapshot) configuration {
	return configuration{index: s.Index, voters: s.Voters, outgoing: s.OutgoingVoters}
}

func (c *configuration) isJoint() bool { return len(c.outgoing) > 0 }

// allVoters returns the voters, followed by the outgoing voters that are not among them.
func (c *configuration) allVoters() []Member {
	if !c.isJoint() {
		return c.voters
	}
	all := slices.Clone(c.voters)
	for _, member := range c.outgoing {
		if !containsMember(c.voters, member.ID) {
			all = append(all, member)
		}
	}
	return all
}

// hasQuorum reports whether granted holds for a majority of each set of voters.
func (c *configuration) hasQuorum(granted func(id string) bool) bool {
	majority := func(voters []Member) bool {
		count := 0
		for _, member := range voters {
			if granted(member.ID) {
				count++
			}
		}
		return 2*count > len(voters)
	}
	return majority(c.voters) && (!c.isJoint() || majority(c.outgoing))
}

// quorumValue returns the highest value that a majority of each set of voters has reached.
func (c *configuration) quorumValue(value func(id string) uint64) uint64 {
	majorityValue := func(voters []Member) uint64 {
		values := make([]uint64, len(voters))
		for i, member := range voters {
			values[i] = value(member.ID)
		}
		sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
		return values[len(values)/2]
	}
	if !c.isJoint() {
		return majorityValue(c.voters)
	}
	return min(majorityValue(c.voters), majorityValue(c.outgoing))
}

func containsMember(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == id })
}

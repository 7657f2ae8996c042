package bootstrap

import (
	"slices"
	"strings"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
)

const (
	// AnnounceInterval is the interval between announcements of a server that does not belong to a cluster
	// yet.
	AnnounceInterval = 250 * time.Millisecond
	// stablePeriod is how long the set of candidates must be unchanged before they form a cluster.
	stablePeriod = 1200 * time.Millisecond
	// candidateTTL is how long after its last announcement a candidate expires.
	candidateTTL = 2400 * time.Millisecond
	// AnnounceRounds is the number of announcement rounds after the first start in which the members
	// of the new cluster announce it to the seeds. They last longer than a candidate's rotation through all seeds.
	AnnounceRounds = 80
	// restartDelay is how long a restarted seed collects announcements before it may propose voters. Voters
	// announce their cluster to the seeds every 10 s.
	restartDelay = 15 * time.Second
)

// Coordinator collects the candidates for the first cluster on a seed. It is a pure
// state machine that maps announcements to proposals. It is not safe for concurrent use.
type Coordinator struct {
	// MinVoters is the minimum number of candidates required for a proposal.
	MinVoters int
	// Restarted reports that this seed may have lost a proposal in a restart. It then proposes voters only
	// once restartDelay has passed since the first announcement, since the members of an
	// existing cluster announce it more often than that.
	Restarted bool

	firstContactAt time.Time
	announcements  map[string]receivedAnnouncement // the newest of each candidate, by the identity of its disk
	unchangedSince time.Time                       // when a candidate was last added or changed
	proposed       []raft.Member                   // replaced by the set that a candidate is bound to
}

// receivedAnnouncement is an announcement and the time at which it was received.
type receivedAnnouncement struct {
	rpc.BootstrapAnnouncement
	receivedAt time.Time
}

// HandleAnnouncement records an announcement and returns the current proposal. Without a
// proposal, the result has no voters.
func (c *Coordinator) HandleAnnouncement(announcement rpc.BootstrapAnnouncement, now time.Time) rpc.BootstrapProposal {
	if announcement.Voter.ID == "" {
		// A candidate without an identity has no disk on which it could record that it is
		// bound to a set, so it must not be counted.
		return rpc.BootstrapProposal{}
	}
	c.record(announcement, now)
	if c.firstContactAt.IsZero() {
		c.firstContactAt = now
	}
	mayPropose := !c.Restarted || now.Sub(c.firstContactAt) >= restartDelay
	if c.proposed == nil && mayPropose && now.Sub(c.unchangedSince) >= stablePeriod {
		c.proposed = c.propose(now)
	}
	if c.proposed == nil {
		return rpc.BootstrapProposal{}
	}
	proposal := rpc.BootstrapProposal{Voters: c.proposed, Start: true}
	for _, voter := range c.proposed {
		if !slices.Equal(c.announcements[voter.ID].BoundVoters, c.proposed) {
			proposal.Start = false
		}
	}
	return proposal
}

// record stores an announcement and updates the state that depends on it.
func (c *Coordinator) record(announcement rpc.BootstrapAnnouncement, now time.Time) {
	if c.announcements == nil {
		c.announcements = map[string]receivedAnnouncement{}
	}
	for disk, other := range c.announcements {
		sameNode := announcement.Voter.Node != "" && other.Voter.Node == announcement.Voter.Node
		if sameNode && disk != announcement.Voter.ID && len(other.BoundVoters) == 0 {
			// The machine was restarted with another disk before the cluster was
			// formed. It must not be counted twice.
			delete(c.announcements, disk)
		}
	}
	old, ok := c.announcements[announcement.Voter.ID]
	c.announcements[announcement.Voter.ID] = receivedAnnouncement{announcement, now}
	if !ok || old.Voter != announcement.Voter {
		c.unchangedSince = now
	}
	if len(announcement.BoundVoters) > 0 {
		// A candidate binds only once, so its set is the only one with which it can ever
		// form a cluster. Members of a formed cluster report it as well, since this seed
		// may have lost its state, or may not be the seed that proposed the set.
		c.proposed = announcement.BoundVoters
	}
}

// propose returns the voters of the first cluster: an odd number of the candidates that announced
// themselves recently, if there are enough of them. At least one must be running for the first time, which
// is the case only when the whole system starts for the first time. Machines that were wiped
// or newly added must not form a second cluster beside one that they cannot reach.
func (c *Coordinator) propose(now time.Time) []raft.Member {
	var voters []raft.Member
	firstStart := false
	for _, announcement := range c.announcements {
		switch age := now.Sub(announcement.receivedAt); {
		case age >= candidateTTL:
		case age >= stablePeriod:
			// The candidate may have failed, and a cluster that included it would wait for it, or
			// only some of its announcements were lost. Wait until it announces itself or expires.
			return nil
		default:
			voters = append(voters, announcement.Voter)
			firstStart = firstStart || !announcement.NotFirstStart
		}
	}
	if !firstStart || len(voters) < c.MinVoters {
		return nil
	}
	slices.SortFunc(voters, func(a, b raft.Member) int { return strings.Compare(a.ID, b.ID) })
	return oddVoters(voters)
}

// oddVoters drops the last of an even number of candidates, which then joins the
// cluster as a learner. An even set tolerates no more failures than the next smaller odd one,
// and when it is partitioned into two halves neither side has a majority.
func oddVoters(voters []raft.Member) []raft.Member {
	if len(voters)%2 == 0 {
		return voters[:len(voters)-1]
	}
	return voters
}

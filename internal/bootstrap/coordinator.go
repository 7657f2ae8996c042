package bootstrap

import (
	"slices"
	"strings"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
)

const (
	// AnnounceInterval is the time between two announcements of a server that belongs to no cluster
	// yet.
	AnnounceInterval = 250 * time.Millisecond
	// stablePeriod is how long the set of candidates must stay the same before they form a cluster.
	stablePeriod = 1200 * time.Millisecond
	// candidateTTL is how long ago a candidate may have been heard to belong to the first cluster.
	candidateTTL = 2400 * time.Millisecond
	// AnnounceRounds is the number of announcement rounds after the first start in which the members
	// of the new cluster announce it to the seeds; together they outlast the turn through all seeds.
	AnnounceRounds = 80
	// restartDelay is how long a restarted seed only listens; voters announce their cluster to the
	// seeds each 10 s.
	restartDelay = 15 * time.Second
)

// Coordinator gathers the candidates for the first cluster on a seed. It is a pure
// state machine: announcements in, proposals out. It isn't safe for concurrent use.
type Coordinator struct {
	// MinVoters is the least number of candidates that are proposed.
	MinVoters int
	// Restarted tells that this seed may have forgotten a proposal. It makes one only
	// restartDelay after the first announcement: members of a cluster that
	// exists announce it more often than that.
	Restarted bool

	firstContactAt time.Time
	announcements  map[string]receivedAnnouncement // the newest of each, by the identity of its disk
	unchangedSince time.Time                       // when a candidate last came or changed
	proposed       []raft.Member                   // a set that a candidate is bound to replaces it
}

// receivedAnnouncement is an announcement and when it came.
type receivedAnnouncement struct {
	rpc.BootstrapAnnouncement
	receivedAt time.Time
}

// HandleAnnouncement notes an announcement and gives the proposal for it, which
// names no voters while there is none.
func (c *Coordinator) HandleAnnouncement(announcement rpc.BootstrapAnnouncement, now time.Time) rpc.BootstrapProposal {
	if announcement.Voter.ID == "" {
		// A candidate without an identity has no disk on which it could bind itself
		// to a set, so it must not count.
		return rpc.BootstrapProposal{}
	}
	c.record(announcement, now)
	if c.firstContactAt.IsZero() {
		c.firstContactAt = now
	}
	remembers := !c.Restarted || now.Sub(c.firstContactAt) >= restartDelay
	if c.proposed == nil && remembers && now.Sub(c.unchangedSince) >= stablePeriod {
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

// record notes an announcement.
func (c *Coordinator) record(announcement rpc.BootstrapAnnouncement, now time.Time) {
	if c.announcements == nil {
		c.announcements = map[string]receivedAnnouncement{}
	}
	for disk, other := range c.announcements {
		sameNode := announcement.Voter.Node != "" && other.Voter.Node == announcement.Voter.Node
		if sameNode && disk != announcement.Voter.ID && len(other.BoundVoters) == 0 {
			// The machine came back with another disk before the cluster was
			// formed: it must not count twice.
			delete(c.announcements, disk)
		}
	}
	old, ok := c.announcements[announcement.Voter.ID]
	c.announcements[announcement.Voter.ID] = receivedAnnouncement{announcement, now}
	if !ok || old.Voter != announcement.Voter {
		c.unchangedSince = now
	}
	if len(announcement.BoundVoters) > 0 {
		// A candidate binds once, so its set is the only one in which it can ever
		// form a cluster; and a member of a formed cluster says so, since this seed
		// may have forgotten, or be another than the one that proposed.
		c.proposed = announcement.BoundVoters
	}
}

// propose returns the first cluster's voters: an odd number of the candidates that were
// heard lately, if they are enough. One of them must be running for the first time: that is so
// only when the whole system starts for the first time; machines that were emptied
// or came new must not form a second cluster beside one that they don't reach.
func (c *Coordinator) propose(now time.Time) []raft.Member {
	var voters []raft.Member
	firstStart := false
	for _, entry := range c.announcements {
		switch silence := now.Sub(entry.receivedAt); {
		case silence >= candidateTTL:
		case silence >= stablePeriod:
			// It may be lost, and a cluster that named it would wait for it; or only
			// some of its announcements are. Wait until that is known.
			return nil
		default:
			voters = append(voters, entry.Voter)
			firstStart = firstStart || !entry.NotFirstStart
		}
	}
	if !firstStart || len(voters) < c.MinVoters {
		return nil
	}
	slices.SortFunc(voters, func(a, b raft.Member) int { return strings.Compare(a.ID, b.ID) })
	return oddVoters(voters)
}

// oddVoters leaves out the last of an even number of candidates, which joins the
// cluster as a learner. An even set bears no more losses than the odd one below it,
// and cut into two halves it has no majority on either side.
func oddVoters(voters []raft.Member) []raft.Member {
	if len(voters)%2 == 0 {
		return voters[:len(voters)-1]
	}
	return voters
}

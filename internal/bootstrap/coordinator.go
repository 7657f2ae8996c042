package bootstrap

import (
	"slices"
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/tuning"
)

// SeedSelector chooses the seed to which a candidate for the first core announces
// itself. All candidates turn to the same one, the lowest of the seeds: two
// seeds that gather at the same time could each propose a set, and found a core
// of its own or block each other. Another seed is turned to only after the
// present one was silent for tuning.BootstrapSeedTimeout.
type SeedSelector struct {
	respondedAt time.Time // the last answer, or when the present seed was turned to
	rotations   int
}

// Select is the seed to announce to now; empty if there is none.
func (s *SeedSelector) Select(seeds []string, now time.Time) string {
	if len(seeds) == 0 {
		return ""
	}
	if s.respondedAt.IsZero() {
		s.respondedAt = now
	}
	if now.Sub(s.respondedAt) >= tuning.BootstrapSeedTimeout {
		s.respondedAt = now
		s.rotations++
	}
	sorted := slices.Clone(seeds)
	slices.Sort(sorted)
	return sorted[s.rotations%len(sorted)]
}

// OnResponse notes that the present seed answered.
func (s *SeedSelector) OnResponse(now time.Time) { s.respondedAt = now }

// Coordinator gathers the first core on a seed. It is a pure state machine:
// announcements in, proposals out.
type Coordinator struct {
	MinVoters      int
	announcements  map[string]receivedAnnouncement
	unchangedSince time.Time
	proposed       []raft.Member
}

// receivedAnnouncement is an announcement and when it came.
type receivedAnnouncement struct {
	rpc.BootstrapAnnouncement
	receivedAt time.Time
}

// propose gives the first core's voters: all that were heard lately, if they
// are enough. One of them must be running for the first time: that is so only
// when the whole system starts for the first time; machines that were emptied or
// came new must not found a second core beside one that they don't reach.
func (c *Coordinator) propose(now time.Time) []raft.Member {
	var voters []raft.Member
	firstStart := false
	for _, entry := range c.announcements {
		switch silence := now.Sub(entry.receivedAt); {
		case silence >= tuning.BootstrapCandidateTTL:
		case silence >= tuning.BootstrapStablePeriod:
			// It may be lost, and a core that named it would wait for it; or only
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
	sort.Slice(voters, func(a, b int) bool { return voters[a].ID < voters[b].ID })
	return voters
}

// sameVoters tells whether two lists hold the same voters in the same order.
func sameVoters(a, b []raft.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// HandleAnnouncement notes an announcement and answers it.
func (c *Coordinator) HandleAnnouncement(announcement rpc.BootstrapAnnouncement, now time.Time) rpc.BootstrapProposal {
	if c.announcements == nil {
		c.announcements = map[string]receivedAnnouncement{}
	}
	if announcement.Voter.ID == "" {
		// Nothing that is bound to or counted may rest on a disk without an
		// identity.
		return rpc.BootstrapProposal{}
	}
	for disk, other := range c.announcements {
		if announcement.Voter.Node != "" && other.Voter.Node == announcement.Voter.Node && disk != announcement.Voter.ID && len(other.BoundVoters) == 0 {
			// The machine came back with another disk before the core was
			// founded: it must not count twice.
			delete(c.announcements, disk)
		}
	}
	old, ok := c.announcements[announcement.Voter.ID]
	c.announcements[announcement.Voter.ID] = receivedAnnouncement{announcement, now}
	if !ok || old.Voter != announcement.Voter {
		c.unchangedSince = now
	}
	if len(announcement.BoundVoters) > 0 {
		// A candidate binds once, so its set is the only one in which it can
		// ever found a core; and a member of a founded core says so, since this
		// seed may have forgotten, or be another than the one that proposed.
		c.proposed = announcement.BoundVoters
	}
	if c.proposed == nil && now.Sub(c.unchangedSince) >= tuning.BootstrapStablePeriod {
		c.proposed = c.propose(now)
	}
	if c.proposed == nil {
		return rpc.BootstrapProposal{}
	}
	proposal := rpc.BootstrapProposal{Voters: c.proposed, Start: true}
	for _, voter := range c.proposed {
		if !sameVoters(c.announcements[voter.ID].BoundVoters, c.proposed) {
			proposal.Start = false
		}
	}
	return proposal
}

package member

import (
	"slices"
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// Announcer chooses the seed to which a candidate for the first core announces
// itself. All candidates turn to the same one, the lowest of the seeds: two
// seeds that gather at the same time could each propose a set, and found a core
// of its own or block each other. Another seed is turned to only after the
// present one was silent for tune.FoundPatience.
type Announcer struct {
	heardAt time.Time // the last answer, or when the present seed was turned to
	turns   int
}

// Place is the seed to announce to now; empty if there is none.
func (a *Announcer) Place(seeds []string, now time.Time) string {
	if len(seeds) == 0 {
		return ""
	}
	if a.heardAt.IsZero() {
		a.heardAt = now
	}
	if now.Sub(a.heardAt) >= tune.FoundPatience {
		a.heardAt = now
		a.turns++
	}
	order := slices.Clone(seeds)
	slices.Sort(order)
	return order[a.turns%len(order)]
}

// Answered notes that the present seed answered.
func (a *Announcer) Answered(now time.Time) { a.heardAt = now }

// Founder gathers the first core on a seed. It is a pure state machine:
// announcements in, proposals out.
type Founder struct {
	Least          int
	announcements  map[string]announced
	unchangedSince time.Time
	proposed       []raft.Member
}

// announced is an announcement and when it came.
type announced struct {
	Found
	at time.Time
}

// propose gives the first core's voters: all that were heard lately, if they
// are enough. One of them must be running for the first time: that is so only
// when the whole system starts for the first time; machines that were emptied or
// came new must not found a second core beside one that they don't reach.
func (f *Founder) propose(now time.Time) []raft.Member {
	var set []raft.Member
	first := false
	for _, entry := range f.announcements {
		switch silent := now.Sub(entry.at); {
		case silent >= tune.FoundFresh:
		case silent >= tune.Gather:
			// It may be lost, and a core that named it would wait for it; or only
			// some of its announcements are. Wait until that is known.
			return nil
		default:
			set = append(set, entry.Me)
			first = first || !entry.Late
		}
	}
	if !first || len(set) < f.Least {
		return nil
	}
	sort.Slice(set, func(a, b int) bool { return set[a].ID < set[b].ID })
	return set
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

// Take notes an announcement and answers it.
func (f *Founder) Take(announcement Found, now time.Time) Proposal {
	if f.announcements == nil {
		f.announcements = map[string]announced{}
	}
	if announcement.Me.ID == "" {
		// Nothing that is bound to or counted may rest on a disk without an
		// identity.
		return Proposal{}
	}
	for disk, other := range f.announcements {
		if announcement.Me.Node != "" && other.Me.Node == announcement.Me.Node && disk != announcement.Me.ID && len(other.Bound) == 0 {
			// The machine came back with another disk before the core was
			// founded: it must not count twice.
			delete(f.announcements, disk)
		}
	}
	old, ok := f.announcements[announcement.Me.ID]
	f.announcements[announcement.Me.ID] = announced{announcement, now}
	if !ok || old.Me != announcement.Me {
		f.unchangedSince = now
	}
	if len(announcement.Bound) > 0 {
		// A candidate binds once, so its set is the only one in which it can
		// ever found a core; and a member of a founded core says so, since this
		// seed may have forgotten, or be another than the one that proposed.
		f.proposed = announcement.Bound
	}
	if f.proposed == nil && now.Sub(f.unchangedSince) >= tune.Gather {
		f.proposed = f.propose(now)
	}
	if f.proposed == nil {
		return Proposal{}
	}
	proposal := Proposal{Set: f.proposed, Go: true}
	for _, voter := range f.proposed {
		if !sameVoters(f.announcements[voter.ID].Bound, f.proposed) {
			proposal.Go = false
		}
	}
	return proposal
}

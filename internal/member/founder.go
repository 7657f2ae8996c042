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
	heard time.Time // the last answer, or when the present seed was turned to
	turns int
}

// Place is the seed to announce to now; empty if there is none.
func (a *Announcer) Place(seeds []string, now time.Time) string {
	if len(seeds) == 0 {
		return ""
	}
	if a.heard.IsZero() {
		a.heard = now
	}
	if now.Sub(a.heard) >= tune.FoundPatience {
		a.heard = now
		a.turns++
	}
	order := slices.Clone(seeds)
	slices.Sort(order)
	return order[a.turns%len(order)]
}

// Answered notes that the present seed answered.
func (a *Announcer) Answered(now time.Time) { a.heard = now }

// Founder gathers the first core on a seed. Pure: announcements in, proposals
// out.
type Founder struct {
	Least int
	seen  map[string]announced
	still time.Time
	set   []raft.Voter
}

// announced is an announcement and when it came.
type announced struct {
	Found
	at time.Time
}

// propose gives the first core's voters: all that were heard lately, if they
// are enough. Why one of them in its first life: that is so only when the whole
// system starts for the first time; machines that were emptied or came new must
// not found a second core beside one that they don't reach.
func (f *Founder) propose(now time.Time) []raft.Voter {
	var set []raft.Voter
	first := false
	for _, s := range f.seen {
		switch silent := now.Sub(s.at); {
		case silent >= tune.FoundFresh:
		case silent >= tune.Gather:
			// Why not yet: it may be lost, and a core that named it would wait
			// for it; or only some of its announcements are.
			return nil
		default:
			set = append(set, s.Me)
			first = first || !s.Late
		}
	}
	if !first || len(set) < f.Least {
		return nil
	}
	sort.Slice(set, func(a, b int) bool { return set[a].Disk < set[b].Disk })
	return set
}

func same(a, b []raft.Voter) bool {
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
func (f *Founder) Take(m Found, now time.Time) Proposal {
	if f.seen == nil {
		f.seen = map[string]announced{}
	}
	if m.Me.Disk == "" {
		// Nothing that is bound to or counted may rest on a disk without an
		// identity.
		return Proposal{}
	}
	for disk, other := range f.seen {
		if m.Me.Node != "" && other.Me.Node == m.Me.Node && disk != m.Me.Disk && len(other.Bound) == 0 {
			// The machine came back with another disk before the core was
			// founded: it must not count twice.
			delete(f.seen, disk)
		}
	}
	old, ok := f.seen[m.Me.Disk]
	f.seen[m.Me.Disk] = announced{m, now}
	if !ok || old.Me != m.Me {
		f.still = now
	}
	if len(m.Bound) > 0 {
		// Why adopted: a candidate binds once, so its set is the only one
		// in which it can ever found; and a member of a founded core says so,
		// since this seed may have forgotten, or be another than the one that
		// proposed.
		f.set = m.Bound
	}
	if f.set == nil && now.Sub(f.still) >= tune.Gather {
		f.set = f.propose(now)
	}
	if f.set == nil {
		return Proposal{}
	}
	p := Proposal{Set: f.set, Go: true}
	for _, v := range f.set {
		if !same(f.seen[v.Disk].Bound, f.set) {
			p.Go = false
		}
	}
	return p
}

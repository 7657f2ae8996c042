package member

import (
	"sort"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/tune"
)

// Founder gathers the first core on a seed. Pure: announcements in, proposals
// out.
type Founder struct {
	Least int
	seen  map[string]Found
	still time.Time
	set   []raft.Voter
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
		f.seen = map[string]Found{}
	}
	old, ok := f.seen[m.Me.Disk]
	f.seen[m.Me.Disk] = m
	if !ok || old.Me != m.Me {
		f.still = now
	}
	if len(m.Bound) > 0 {
		// Why adopted: a candidate binds once, so its set is the only one
		// in which it can ever found.
		f.set = m.Bound
	}
	if f.set == nil && len(f.seen) >= f.Least && now.Sub(f.still) >= tune.Gather {
		for _, s := range f.seen {
			f.set = append(f.set, s.Me)
		}
		sort.Slice(f.set, func(a, b int) bool { return f.set[a].Disk < f.set[b].Disk })
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

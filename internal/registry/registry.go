// Package registry holds the list of runners that the platform keeps, and what has
// changed in it, so that daemons are told changes only.
//
// A Table is kept by the one daemon that reads the platform's list; a View is any other
// daemon's copy. Both are pure: they read no clock and no network.
package registry

import (
	"slices"
	"strings"
)

// Runner is one runner as the platform lists it.
type Runner struct {
	_        struct{} `cbor:",toarray"`
	ID       string   // of this life of the runner
	Service  string
	Address  string // HOST:PORT
	Zone     string
	Slots    int   // requests that it works on at once
	Draining bool  // it is about to leave and takes nothing new
	ColdMs   int64 // for how long it was still slow when it was first listed
	Health   Health
}

// sameState tells whether nothing that matters has changed. How long a runner is still
// slow is told once.
func (r Runner) sameState(other Runner) bool {
	r.ColdMs = other.ColdMs
	return r == other
}

// SameState tells whether nothing that matters differs between two lists in one order.
func SameState(a, b []Runner) bool { return slices.EqualFunc(a, b, Runner.sameState) }

// Delta is what changed in a table after a version.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	Epoch   string   // of the table; versions of another epoch mean nothing
	From    uint64   // the version that it follows, unless it is whole
	Version uint64
	Whole   bool // Runners are all that there are
	Runners []Runner
	Removed []string // IDs
}

// sameButHealth tells whether nothing has changed but what requests tell.
func (r Runner) sameButHealth(other Runner) bool {
	r.Health = other.Health
	return r.sameState(other)
}

// row is a runner and the version in which it last changed, also apart from its health.
type row struct {
	runner    Runner
	changedAt uint64
	stateAt   uint64
}

// changedFor is the version in which the runner changed in a way that matters to daemons of
// a zone: the health of runners of other zones doesn't, since they are hardly used.
func (r row) changedFor(zone string) uint64 {
	if r.runner.Zone == zone {
		return r.changedAt
	}
	return r.stateAt
}

// Table is the list as it was last read, with versions.
type Table struct {
	epoch   string
	version uint64
	rows    map[string]row
	removed map[string]uint64 // the version of the removal, by ID
	// forgotten is the version up to which removals are no longer known.
	forgotten uint64
}

// maxRemovals is how many removals are remembered. A daemon that lacks more is told the
// whole list.
const maxRemovals = 256

// NewTable makes an empty table. No two tables have the same epoch.
func NewTable(epoch string) *Table {
	return &Table{epoch: epoch, rows: map[string]row{}, removed: map[string]uint64{}}
}

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }

// IsAt tells whether a position is the table's present one.
func (t *Table) IsAt(epoch string, version uint64) bool {
	return epoch == t.epoch && version == t.version
}

// Runners lists the runners by their IDs.
func (t *Table) Runners() []Runner {
	runners := make([]Runner, 0, len(t.rows))
	for _, row := range t.rows {
		runners = append(runners, row.runner)
	}
	sortByID(runners)
	return runners
}

// KeepHealth writes into a list the health that daemons were told of last.
func (t *Table) KeepHealth(list []Runner) {
	for i := range list {
		list[i].Health = t.rows[list[i].ID].runner.Health
	}
}

// Update takes over a list that was read to its end. It tells whether anything changed.
func (t *Table) Update(list []Runner) bool {
	next := t.version + 1
	listed := map[string]bool{}
	changed := false
	for _, runner := range list {
		listed[runner.ID] = true
		known, ok := t.rows[runner.ID]
		if ok && known.runner.sameState(runner) {
			continue
		}
		stateAt := next
		if ok && known.runner.sameButHealth(runner) {
			stateAt = known.stateAt
		}
		t.rows[runner.ID] = row{runner, next, stateAt}
		delete(t.removed, runner.ID)
		changed = true
	}
	for id := range t.rows {
		if !listed[id] {
			delete(t.rows, id)
			t.removed[id] = next
			changed = true
		}
	}
	if changed || t.version == 0 {
		t.version = next
	}
	if len(t.removed) > maxRemovals {
		t.removed, t.forgotten = map[string]uint64{}, t.version
	}
	return changed
}

// Since gives what changed for daemons of a zone after a version of an epoch, whole if that
// isn't known here.
func (t *Table) Since(epoch string, version uint64, zone string) Delta {
	delta := Delta{Epoch: t.epoch, From: version, Version: t.version, Whole: epoch != t.epoch || version > t.version || version < t.forgotten}
	for _, r := range t.rows {
		if delta.Whole || r.changedFor(zone) > version {
			delta.Runners = append(delta.Runners, r.runner)
		}
	}
	if !delta.Whole {
		for id, at := range t.removed {
			if at > version {
				delta.Removed = append(delta.Removed, id)
			}
		}
	}
	sortByID(delta.Runners)
	return delta
}

// View is a daemon's copy of a table.
type View struct {
	epoch   string
	version uint64
	runners map[string]Runner
}

// NewView makes an empty copy.
func NewView() *View { return &View{runners: map[string]Runner{}} }

// Position is the epoch and the version that the copy is of.
func (v *View) Position() (epoch string, version uint64) { return v.epoch, v.version }

// Apply takes over a delta; one of an older version changes nothing. It tells whether
// the copy is another one now.
func (v *View) Apply(delta Delta) bool {
	if delta.Epoch == v.epoch && delta.Version <= v.version {
		return false
	}
	if !delta.Whole && (delta.Epoch != v.epoch || delta.From > v.version) {
		return false // it was made for another copy
	}
	if delta.Whole {
		v.runners = map[string]Runner{}
	}
	for _, runner := range delta.Runners {
		v.runners[runner.ID] = runner
	}
	for _, id := range delta.Removed {
		delete(v.runners, id)
	}
	v.epoch, v.version = delta.Epoch, delta.Version
	return true
}

// Runners lists the runners by their IDs.
func (v *View) Runners() []Runner {
	runners := make([]Runner, 0, len(v.runners))
	for _, runner := range v.runners {
		runners = append(runners, runner)
	}
	sortByID(runners)
	return runners
}

func sortByID(runners []Runner) {
	slices.SortFunc(runners, func(a, b Runner) int { return strings.Compare(a.ID, b.ID) })
}

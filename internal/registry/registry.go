// Package registry holds the list of runners that the platform keeps, and what has
// changed in it, so that daemons are told changes only.
//
// A Table is kept by the one daemon that reads the platform's list; a View is any other
// daemon's copy. Both are pure: they read no clock and no network.
package registry

import (
	"fmt"
	"hash/fnv"
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

// sameState reports whether nothing that matters has changed. How long a runner is still
// slow is told once.
func (r Runner) sameState(other Runner) bool {
	r.ColdMs = other.ColdMs
	return r == other
}

// SameState reports whether nothing that matters differs between two lists in one order.
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
	// Healths are those of runners of which nothing else has changed.
	Healths []RunnerHealth
	// FromDigest is the digest of the list that it follows, where that is a copy of
	// another epoch; 0: it follows From.
	FromDigest uint64
}

// RunnerHealth is what daemons are told of a runner whose health alone has changed.
type RunnerHealth struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Health Health
}

// sameButHealth reports whether nothing has changed but what requests tell.
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
	// digests are those of the scopes: of each zone's runners, and of all.
	digests map[string]uint64
	// versions are the first ones that had a digest, by scope and digest.
	versions map[scopedDigest]uint64
}

// AllZones is the scope of a list of all runners. Any other scope is the name of a zone:
// daemons mostly need its runners alone.
const AllZones = ""

// scopedDigest is the digest of the list of a scope.
type scopedDigest struct {
	scope  string
	digest uint64
}

// maxRemovals is how many removals are remembered. A daemon that lacks more is told the
// whole list.
const maxRemovals = 256

// NewTable makes an empty table. No two tables have the same epoch.
func NewTable(epoch string) *Table {
	return &Table{epoch: epoch, rows: map[string]row{}, removed: map[string]uint64{}, digests: map[string]uint64{}, versions: map[scopedDigest]uint64{}}
}

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }

// IsAt reports whether a position is the present one of a scope.
func (t *Table) IsAt(epoch string, version uint64, scope string) bool {
	return epoch == t.epochOf(scope) && version == t.version
}

// epochOf is the epoch of the list of a scope: versions of two scopes can't be compared.
func (t *Table) epochOf(scope string) string { return t.epoch + "/" + scope }

// addDigest adds a runner to the digests of its scopes, or takes it off if sign is -1.
func (t *Table) addDigest(runner Runner, sign int64) {
	digest := uint64(sign) * runner.digest()
	t.digests[runner.Zone] += digest
	if runner.Zone != AllZones {
		t.digests[AllZones] += digest
	}
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

// KeepHealth writes into a list the health that daemons were told last.
func (t *Table) KeepHealth(list []Runner) {
	for i := range list {
		list[i].Health = t.rows[list[i].ID].runner.Health
	}
}

// Update takes over a list that was read to its end. It reports whether anything changed.
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
		if ok {
			t.addDigest(known.runner, -1)
		}
		t.addDigest(runner, 1)
		t.rows[runner.ID] = row{runner, next, stateAt}
		delete(t.removed, runner.ID)
		changed = true
	}
	for id, known := range t.rows {
		if !listed[id] {
			t.addDigest(known.runner, -1)
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
	t.rememberDigests()
	return changed
}

// maxDigests is how many digests of earlier versions are remembered.
const maxDigests = 256

// rememberDigests records the first version that has the present digest of a scope.
func (t *Table) rememberDigests() {
	if len(t.versions) >= maxDigests {
		clear(t.versions)
	}
	for scope, digest := range t.digests {
		if _, known := t.versions[scopedDigest{scope, digest}]; !known {
			t.versions[scopedDigest{scope, digest}] = t.version
		}
	}
}

// Position is what a daemon has of a list: a version of an epoch, and its digest.
type Position struct {
	Epoch   string
	Version uint64
	Digest  uint64
}

// Since returns what changed in the list of a scope for daemons of a zone after a position. A
// copy that another leader's table made is known by its digest, which says nothing of the
// runners' health: that is told as it changes. A position that isn't known here gets the
// whole list.
func (t *Table) Since(position Position, zone, scope string) Delta {
	version := position.Version
	delta := Delta{Epoch: t.epochOf(scope), From: version, Version: t.version}
	if position.Epoch != delta.Epoch {
		var known bool
		version, known = t.versions[scopedDigest{scope, position.Digest}]
		delta.From, delta.FromDigest = version, position.Digest
		delta.Whole = !known || position.Digest == 0
	}
	if delta.Whole = delta.Whole || version > t.version || version < t.forgotten; delta.Whole {
		delta.FromDigest = 0
	}
	for _, r := range t.rows {
		if scope != AllZones && r.runner.Zone != scope {
			continue
		}
		switch {
		case delta.Whole || r.stateAt > version:
			delta.Runners = append(delta.Runners, r.runner)
		case r.changedFor(zone) > version:
			delta.Healths = append(delta.Healths, RunnerHealth{ID: r.runner.ID, Health: r.runner.Health})
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
	slices.SortFunc(delta.Healths, func(a, b RunnerHealth) int { return strings.Compare(a.ID, b.ID) })
	return delta
}

// digest is a sum over what matters of a runner, but for its health; the sum of those of
// all runners is the digest of a list.
func (r Runner) digest() uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%q %q %q %q %d %t", r.ID, r.Service, r.Address, r.Zone, r.Slots, r.Draining) // it never fails
	return hash.Sum64()
}

// View is a daemon's copy of a table.
type View struct {
	epoch   string
	version uint64
	digest  uint64
	runners map[string]Runner
}

// NewView makes an empty copy.
func NewView() *View { return &View{runners: map[string]Runner{}} }

// Position is what the copy is of.
func (v *View) Position() Position { return Position{v.epoch, v.version, v.digest} }

// Apply takes over a delta; one of an older version changes nothing. It reports whether
// the copy is another one now.
func (v *View) Apply(delta Delta) bool {
	if delta.Epoch == v.epoch && delta.Version <= v.version {
		return false
	}
	if !delta.Whole && !delta.follows(v) {
		return false // it was made for another copy
	}
	if delta.Whole {
		v.runners, v.digest = map[string]Runner{}, 0
	}
	for _, runner := range delta.Runners {
		v.remove(runner.ID)
		v.runners[runner.ID] = runner
		v.digest += runner.digest()
	}
	for _, told := range delta.Healths {
		if runner, ok := v.runners[told.ID]; ok {
			runner.Health = told.Health
			v.runners[told.ID] = runner
		}
	}
	for _, id := range delta.Removed {
		v.remove(id)
	}
	v.epoch, v.version = delta.Epoch, delta.Version
	return true
}

// follows reports whether a delta that isn't whole can be applied to a copy.
func (d Delta) follows(v *View) bool {
	if d.FromDigest != 0 {
		return d.FromDigest == v.digest && d.Epoch != v.epoch
	}
	return d.Epoch == v.epoch && d.From <= v.version
}

// remove drops a runner, if it is there.
func (v *View) remove(id string) {
	if runner, ok := v.runners[id]; ok {
		v.digest -= runner.digest()
		delete(v.runners, id)
	}
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

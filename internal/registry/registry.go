// Package registry holds the list of runners and its recent changes, so that daemons are sent
// changes only.
//
// The one daemon that reads the platform's list keeps a Table; any other daemon has a copy of it,
// a View. Neither reads a clock or the network.
package registry

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// Runner is one runner, as the platform lists it.
type Runner struct {
	_        struct{} `cbor:",toarray"`
	ID       string   // of this incarnation of the runner
	Service  string
	Address  string // HOST:PORT
	Zone     string
	Slots    int   // requests that it serves concurrently
	Draining bool  // it is about to leave and gets no new requests
	WarmUpMs int64 // remaining warm-up time, in ms, when it was first listed
	Health   Health
}

// sameState reports whether two runners are equal but for WarmUpMs, which is sent only with the
// first listing.
func (r Runner) sameState(other Runner) bool {
	r.WarmUpMs = other.WarmUpMs
	return r == other
}

// SameState reports whether two lists, in the same order, are equal but for WarmUpMs.
func SameState(a, b []Runner) bool { return slices.EqualFunc(a, b, Runner.sameState) }

// Delta holds the changes of a table after a version.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	Epoch   string   // of the table; versions of different epochs can't be compared
	From    uint64   // the version that the changes apply to, unless Whole is set
	Version uint64
	Whole   bool // Runners is the full list
	Runners []Runner
	Removed []string // IDs
	// HealthUpdates holds the health of the runners of which nothing else has changed.
	HealthUpdates []RunnerHealth
	// FromDigest is the digest of the list that the changes apply to if that list is of another
	// epoch; 0 if they apply to version From.
	FromDigest uint64
}

// RunnerHealth is the update for a runner of which only the health has changed.
type RunnerHealth struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Health Health
}

// sameExceptHealth reports whether two runners are equal but for their health and WarmUpMs.
func (r Runner) sameExceptHealth(other Runner) bool {
	r.Health = other.Health
	return r.sameState(other)
}

// row is a runner with the versions in which it last changed.
type row struct {
	runner         Runner
	changedVersion uint64 // of the last change of any kind
	stateVersion   uint64 // of the last change other than of its health
}

// changedVersionFor returns the version of the runner's last change that daemons of a zone need.
// They don't need the health of runners in other zones, since they hardly use those.
func (r row) changedVersionFor(zone string) uint64 {
	if r.runner.Zone == zone {
		return r.changedVersion
	}
	return r.stateVersion
}

// Table is the versioned list of runners, as it was last read.
type Table struct {
	epoch   string
	version uint64
	rows    map[string]row
	removed map[string]uint64 // the version of the removal, by ID
	// removalsKnownFrom is the oldest version from which all later removals are known.
	removalsKnownFrom uint64
	// digestByScope holds the digest of the runners of each zone, and of all runners.
	digestByScope map[string]uint64
	// versionByDigest holds, by scope and digest, the earliest known version with that digest.
	versionByDigest map[scopedDigest]uint64
}

// AllZones is the scope of the list of all runners. Any other scope is the name of a zone: most
// daemons need the runners of their own zone only.
const AllZones = ""

// scopedDigest is the digest of the list of a scope.
type scopedDigest struct {
	scope  string
	digest uint64
}

// maxRetainedRemovals bounds the removals that are kept. A daemon that has missed more is sent the
// full list.
const maxRetainedRemovals = 256

// NewTable returns an empty table. Each table must have an epoch of its own.
func NewTable(epoch string) *Table {
	return &Table{
		epoch:           epoch,
		rows:            map[string]row{},
		removed:         map[string]uint64{},
		digestByScope:   map[string]uint64{},
		versionByDigest: map[scopedDigest]uint64{},
	}
}

// Version returns the current version, which grows with each change.
func (t *Table) Version() uint64 { return t.version }

// IsAt reports whether an epoch and a version are the current ones of a scope.
func (t *Table) IsAt(epoch string, version uint64, scope string) bool {
	return epoch == t.epochOf(scope) && version == t.version
}

// epochOf returns the epoch of the list of a scope. It differs between scopes, since versions of
// two scopes can't be compared.
func (t *Table) epochOf(scope string) string { return t.epoch + "/" + scope }

// addDigest adds a runner to the digests of its scopes, or subtracts it if sign is -1.
func (t *Table) addDigest(runner Runner, sign int64) {
	digest := uint64(sign) * runner.digest()
	t.digestByScope[runner.Zone] += digest
	if runner.Zone != AllZones {
		t.digestByScope[AllZones] += digest
	}
}

// Runners returns the runners, sorted by ID.
func (t *Table) Runners() []Runner {
	runners := make([]Runner, 0, len(t.rows))
	for _, row := range t.rows {
		runners = append(runners, row.runner)
	}
	sortByID(runners)
	return runners
}

// KeepHealth sets the health of the runners in a list to that in the table, which the daemons were
// sent last.
func (t *Table) KeepHealth(list []Runner) {
	for i := range list {
		list[i].Health = t.rows[list[i].ID].runner.Health
	}
}

// Update replaces the content of the table by a complete list, and reports whether anything changed.
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
		stateVersion := next
		if ok && known.runner.sameExceptHealth(runner) {
			stateVersion = known.stateVersion
		}
		if ok {
			t.addDigest(known.runner, -1)
		}
		t.addDigest(runner, 1)
		t.rows[runner.ID] = row{runner, next, stateVersion}
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
	if len(t.removed) > maxRetainedRemovals {
		t.removed, t.removalsKnownFrom = map[string]uint64{}, t.version
	}
	t.recordDigests()
	return changed
}

// maxRetainedDigests bounds the digests of earlier versions that are kept.
const maxRetainedDigests = 256

// recordDigests records the current version for each scope's digest, unless an earlier version had
// the same digest.
func (t *Table) recordDigests() {
	if len(t.versionByDigest) >= maxRetainedDigests {
		clear(t.versionByDigest)
	}
	for scope, digest := range t.digestByScope {
		if _, known := t.versionByDigest[scopedDigest{scope, digest}]; !known {
			t.versionByDigest[scopedDigest{scope, digest}] = t.version
		}
	}
}

// Position identifies a daemon's copy of a list: its epoch, its version and its digest.
type Position struct {
	Epoch   string
	Version uint64
	Digest  uint64
}

// Since returns the changes in the list of a scope after a position, for daemons of a zone. A copy
// of another leader's table is recognized by its digest. The digest doesn't cover the health of
// the runners, which is sent when it changes. An unknown position gets the full list.
func (t *Table) Since(position Position, zone, scope string) Delta {
	version := position.Version
	delta := Delta{Epoch: t.epochOf(scope), From: version, Version: t.version}
	if position.Epoch != delta.Epoch {
		var known bool
		version, known = t.versionByDigest[scopedDigest{scope, position.Digest}]
		delta.From, delta.FromDigest = version, position.Digest
		delta.Whole = !known || position.Digest == 0
	}
	if delta.Whole = delta.Whole || version > t.version || version < t.removalsKnownFrom; delta.Whole {
		delta.FromDigest = 0
	}
	for _, r := range t.rows {
		if scope != AllZones && r.runner.Zone != scope {
			continue
		}
		switch {
		case delta.Whole || r.stateVersion > version:
			delta.Runners = append(delta.Runners, r.runner)
		case r.changedVersionFor(zone) > version:
			delta.HealthUpdates = append(delta.HealthUpdates, RunnerHealth{ID: r.runner.ID, Health: r.runner.Health})
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
	slices.SortFunc(delta.HealthUpdates, func(a, b RunnerHealth) int { return strings.Compare(a.ID, b.ID) })
	return delta
}

// digest returns a hash of the runner's fields other than WarmUpMs and Health. The digest of a list
// is the sum of the digests of its runners.
func (r Runner) digest() uint64 {
	hash := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = fmt.Fprintf(hash, "%q %q %q %q %d %t", r.ID, r.Service, r.Address, r.Zone, r.Slots, r.Draining)
	return hash.Sum64()
}

// View is a daemon's copy of a table.
type View struct {
	epoch   string
	version uint64
	digest  uint64
	runners map[string]Runner
}

// NewView returns an empty copy.
func NewView() *View { return &View{runners: map[string]Runner{}} }

// Position returns the position of the copy.
func (v *View) Position() Position { return Position{v.epoch, v.version, v.digest} }

// Apply applies a delta and reports whether it did. A delta of an older version, or one made for
// another copy, is ignored.
func (v *View) Apply(delta Delta) bool {
	if delta.Epoch == v.epoch && delta.Version <= v.version {
		return false
	}
	if !delta.Whole && !delta.appliesTo(v) {
		return false // the delta was made for another copy
	}
	if delta.Whole {
		v.runners, v.digest = map[string]Runner{}, 0
	}
	for _, runner := range delta.Runners {
		v.remove(runner.ID)
		v.runners[runner.ID] = runner
		v.digest += runner.digest()
	}
	for _, changed := range delta.HealthUpdates {
		if runner, ok := v.runners[changed.ID]; ok {
			runner.Health = changed.Health
			v.runners[changed.ID] = runner
		}
	}
	for _, id := range delta.Removed {
		v.remove(id)
	}
	v.epoch, v.version = delta.Epoch, delta.Version
	return true
}

// appliesTo reports whether a partial delta can be applied to a copy.
func (d Delta) appliesTo(v *View) bool {
	if d.FromDigest != 0 {
		return d.FromDigest == v.digest && d.Epoch != v.epoch
	}
	return d.Epoch == v.epoch && d.From <= v.version
}

// remove removes a runner, if the copy has it.
func (v *View) remove(id string) {
	if runner, ok := v.runners[id]; ok {
		v.digest -= runner.digest()
		delete(v.runners, id)
	}
}

// Runners returns the runners, sorted by ID.
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

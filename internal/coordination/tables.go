package coordination

import (
	"errors"
	"maps"
)

// ErrFull is the refusal of a name, or of a put, for which there is no room. Nothing was done,
// and a copy of the same call that comes later may be carried out.
var ErrFull = errors.New("too many names are in use")

// Tables is everything that applications have put here. It is part of the replicated
// state and of its snapshots, under the names of the tags.
type Tables struct {
	// LastFence is the newest fence that was given out, of all locks together: a fence
	// rises also over the end of a lock's row.
	LastFence int64             `cbor:"Fence"`
	Locks     map[string]Lock   `cbor:"Locks"`
	Counters  map[string]int64  `cbor:"Counters"` // the newest number given, by name
	Groups    map[string]*Group `cbor:"Groups"`   // of keys, by their common prefix
	// HistoryMs is for how long puts are kept for watches, by the leader that took the
	// newest put.
	HistoryMs int64 `cbor:"History"`
}

// New returns empty tables.
func New() *Tables {
	return &Tables{Locks: map[string]Lock{}, Counters: map[string]int64{}, Groups: map[string]*Group{}}
}

// Clone copies the tables. What it shares with them is never changed in place.
func (t *Tables) Clone() *Tables {
	if t == nil {
		return nil
	}
	clone := *t
	clone.Locks, clone.Counters, clone.Groups = maps.Clone(t.Locks), maps.Clone(t.Counters), maps.Clone(t.Groups)
	for name, group := range clone.Groups {
		clone.Groups[name] = group.clone()
	}
	return &clone
}

// Restore makes tables that were decoded usable. It panics if they contradict themselves.
func (t *Tables) Restore() {
	if t.Locks == nil {
		t.Locks = map[string]Lock{}
	}
	if t.Counters == nil {
		t.Counters = map[string]int64{}
	}
	if t.Groups == nil {
		t.Groups = map[string]*Group{}
	}
	for name, group := range t.Groups {
		group.restore(name)
	}
}

// Forget drops what no caller can ask for any more at a time: locks whose hold is over,
// puts that are older than the history of watches, outcomes older than their memory.
func (t *Tables) Forget(clock int64) {
	for name, lock := range t.Locks {
		if lock.expired(clock) {
			delete(t.Locks, name)
		}
	}
	for _, group := range t.Groups {
		group.compact(clock, t.HistoryMs)
		group.forgetOutcomes(clock)
	}
}

// NextNumber returns a number above all that were given under the name before; the error is
// ErrFull.
func (t *Tables) NextNumber(name string) (int64, error) {
	if t.Counters[name] == 0 && lacksRoom(t.Counters) {
		return 0, ErrFull
	}
	t.Counters[name]++
	return t.Counters[name], nil
}

// lacksRoom reports whether a table has as many rows as it may.
func lacksRoom[K comparable, V any](rows map[K]V) bool {
	return len(rows) >= MaxRows
}

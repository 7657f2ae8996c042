package coordination

import (
	"errors"
	"maps"
)

// ErrFull is returned if a table has no space for another row. Nothing was changed, and a later copy
// of the same call may succeed.
var ErrFull = errors.New("too many names are in use")

// Tables holds the locks, counters and keys of all applications. It is part of the replicated state
// and of its snapshots, where its fields have the names given in the tags.
type Tables struct {
	// LastFence is the newest fence granted for any lock. It is common to all locks, so that the
	// fences of a lock keep rising after its row was dropped.
	LastFence int64             `cbor:"Fence"`
	Locks     map[string]Lock   `cbor:"Locks"`
	Counters  map[string]int64  `cbor:"Counters"` // newest number returned, by name
	Groups    map[string]*Group `cbor:"Groups"`   // groups of keys, by their common prefix
	// HistoryMs is how long puts are kept for watches, as set by the leader that received the newest
	// put.
	HistoryMs int64 `cbor:"History"`
}

// Bytes estimates the memory that keys, their history and the outcomes of puts occupy, in bytes. Nil
// tables are empty.
func (t *Tables) Bytes() int64 {
	if t == nil {
		return 0
	}
	bytes := int64(0)
	for _, group := range t.Groups {
		bytes += group.bytes
	}
	return bytes
}

// New returns empty tables.
func New() *Tables {
	return &Tables{Locks: map[string]Lock{}, Counters: map[string]int64{}, Groups: map[string]*Group{}}
}

// Clone returns a copy of the tables. Data shared with the copy is never modified in place.
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

// Restore makes decoded tables usable. It panics if they are inconsistent.
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

// Expire drops what no caller needs any more: expired locks, puts older than the history for
// watches, and outcomes of puts past their retention time.
func (t *Tables) Expire(clock int64) {
	for name, lock := range t.Locks {
		if lock.expired(clock) {
			delete(t.Locks, name)
		}
	}
	for _, group := range t.Groups {
		group.compact(clock, t.HistoryMs)
		group.expireOutcomes(clock)
	}
}

// NextNumber returns a number greater than all that it returned for the name before; the error is
// ErrFull.
func (t *Tables) NextNumber(name string) (int64, error) {
	if t.Counters[name] == 0 && isFull(t.Counters) {
		return 0, ErrFull
	}
	t.Counters[name]++
	return t.Counters[name], nil
}

// isFull reports whether a table has reached MaxRows.
func isFull[K comparable, V any](rows map[K]V) bool {
	return len(rows) >= MaxRows
}

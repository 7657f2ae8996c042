package coordination

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"tealpond/internal/timing"
)

const (
	// putMemory is for how long the outcome of a put is remembered by its value, so that a repeated or
	// delayed copy gets the same answer.
	putMemory = 2 * time.Minute
	// keyHistoryMargin is added to the history for which a watch may resume, for the way of an answer.
	keyHistoryMargin = 2 * time.Second
	// MaxRows bounds the locks, the counters, the keys and the remembered puts, each, for the memory
	// that they take.
	MaxRows = 100_000
)

// Group is the keys with a common prefix, which share one rising count of revisions: each
// put that succeeds gets the next one.
type Group struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	Keys     map[string]KeyValue
	// History is the puts of the revisions from Compacted + 1 to Revision, in order.
	History   []Event
	Compacted int64
	// Outcomes remembers what puts were answered, by putID.
	Outcomes map[string]PutOutcome
}

// KeyValue is what a key holds.
type KeyValue struct {
	_        struct{} `cbor:",toarray"`
	Value    string
	Revision int64
}

// Event is a put that succeeded.
type Event struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Value    string
	Revision int64
	At       int64 // the state's clock, in ms
}

// PutOutcome is what a put was answered.
type PutOutcome struct {
	_        struct{} `cbor:",toarray"`
	Revision int64    // that it got, or, if it was refused, that of the key
	Refused  bool
	At       int64 // the state's clock, in ms
}

// Put sets a key if the key is at a revision.
type Put struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value string
	// Expected is the revision that the key must have, 0 if it must not exist.
	Expected int64
	// HistoryMs is for how long the put is kept for watches.
	HistoryMs int64
}

// RevisionError is the refusal of a put whose key is at another revision.
type RevisionError struct {
	Revision int64 // of the key; 0: it doesn't exist
}

// Error names the revision.
func (e *RevisionError) Error() string { return fmt.Sprintf("the key is at revision %d", e.Revision) }

// GroupOf is the name of a key's group: all up to its first dot, which is included; a key
// without a dot is alone in its group.
func GroupOf(key string) string {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1]
	}
	return key
}

// Put sets a key and gives its new revision; the error is a *RevisionError, or ErrFull if the
// put was not decided before and there is no room for it. A put that comes
// again, with the same value, has no further effect and gets the answer of the first time:
// of two copies of one put only one is ever decided, whichever comes first. A refusal is
// remembered too, since the caller was told that the put will never happen, and a copy of
// it may come when it would succeed.
func (t *Tables) Put(put Put, clock int64) (revision int64, err error) {
	group, err := t.groupFor(GroupOf(put.Key))
	if err != nil {
		return 0, err
	}
	t.HistoryMs = put.HistoryMs
	id := putID(put.Key, put.Value)
	if outcome, ok := group.Outcomes[id]; ok {
		return outcome.result()
	}
	present := group.Keys[put.Key]
	if present.Revision > 0 && present.Value == put.Value {
		return present.Revision, nil // its outcome is forgotten, and still to be seen
	}
	if group.lacksRoomFor(put.Key, clock, put.HistoryMs) {
		return 0, ErrFull
	}
	outcome := PutOutcome{Revision: present.Revision, Refused: present.Revision != put.Expected, At: clock}
	if !outcome.Refused {
		outcome.Revision = group.add(put, clock)
		group.compact(clock, put.HistoryMs)
	}
	group.Outcomes[id] = outcome
	return outcome.result()
}

// groupFor returns a group, a new one if there is none of the name; the error is ErrFull.
func (t *Tables) groupFor(name string) (*Group, error) {
	if group := t.Groups[name]; group != nil {
		return group, nil
	}
	if lacksRoom(t.Groups) {
		return nil, ErrFull
	}
	group := newGroup()
	t.Groups[name] = group
	return group, nil
}

// lacksRoomFor reports whether one more put of a key does not fit into the group. What need
// not be kept any more makes room first.
func (g *Group) lacksRoomFor(key string, clock, historyMs int64) bool {
	if len(g.History) >= MaxRows {
		g.compact(clock, historyMs)
	}
	newKey := g.Keys[key].Revision == 0
	return newKey && lacksRoom(g.Keys) || lacksRoom(g.Outcomes) || len(g.History) >= MaxRows
}

// putID names a put by the key and the value, which callers choose to be unique. No key
// contains the byte between them.
func putID(key, value string) string { return key + "\x00" + value }

// result is the outcome as Put returns it.
func (o PutOutcome) result() (int64, error) {
	if o.Refused {
		return 0, &RevisionError{o.Revision}
	}
	return o.Revision, nil
}

// Read returns what a key holds; false if it doesn't exist. Tables that are nil hold nothing.
func (t *Tables) Read(key string) (KeyValue, bool) {
	if t == nil || t.Groups[GroupOf(key)] == nil {
		return KeyValue{}, false
	}
	value, ok := t.Groups[GroupOf(key)].Keys[key]
	return value, ok
}

func newGroup() *Group {
	return &Group{Keys: map[string]KeyValue{}, Outcomes: map[string]PutOutcome{}}
}

// add carries out a put.
func (g *Group) add(put Put, clock int64) int64 {
	g.Revision++
	g.Keys[put.Key] = KeyValue{Value: put.Value, Revision: g.Revision}
	g.History = append(g.History, Event{Name: put.Key, Value: put.Value, Revision: g.Revision, At: clock})
	return g.Revision
}

// compact drops the oldest puts of the history. A watch that was given a revision may
// resume from it for historyMs: the puts above it are no older, and the state's clock lags
// behind the true time if anything.
func (g *Group) compact(clock, historyMs int64) {
	kept := expiryOfHistory(historyMs)
	old := 0
	for old < len(g.History) && clock-g.History[old].At > kept {
		old++
	}
	if old == 0 {
		return
	}
	g.Compacted = g.History[old-1].Revision
	g.History = g.History[old:]
}

// expiryOfHistory is the age from which a put is no longer kept.
func expiryOfHistory(historyMs int64) int64 {
	return int64(float64(historyMs)*timing.LeaseClockDriftFactor) + keyHistoryMargin.Milliseconds()
}

// forgetOutcomes drops what is remembered of puts for long enough.
func (g *Group) forgetOutcomes(clock int64) {
	maps.DeleteFunc(g.Outcomes, func(_ string, outcome PutOutcome) bool {
		return clock-outcome.At > putMemory.Milliseconds()
	})
}

// clone copies the group. The history is shared: it is appended to, and cut at the front,
// but never changed in place.
func (g *Group) clone() *Group {
	clone := *g
	clone.Keys, clone.Outcomes = maps.Clone(g.Keys), maps.Clone(g.Outcomes)
	return &clone
}

// restore makes a group that was decoded usable, or panics.
func (g *Group) restore(name string) {
	if g == nil {
		panic("coordination: no group " + name)
	}
	if g.Keys == nil {
		g.Keys = map[string]KeyValue{}
	}
	if g.Outcomes == nil {
		g.Outcomes = map[string]PutOutcome{}
	}
	if g.Compacted+int64(len(g.History)) != g.Revision {
		panic("coordination: the history of group " + name + " has gaps")
	}
}

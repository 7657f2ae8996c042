package coordination

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"tealpond/internal/timing"
)

const (
	// putOutcomeRetention is how long the outcome of a put is kept, under its key and value, so that a
	// repeated or delayed copy gets the same answer.
	putOutcomeRetention = 2 * time.Minute
	// keyHistoryMargin is added to the history from which a watch may resume, for the time that an
	// answer needs to arrive.
	keyHistoryMargin = 2 * time.Second
	// MaxRows bounds the number of rows of each table, to limit memory: locks, counters, groups, and
	// per group the keys, the history and the outcomes of puts.
	MaxRows = 100_000
)

// Group holds the keys with a common prefix. They share one sequence of revisions: each successful
// put gets the next one.
type Group struct {
	_        struct{} `cbor:",toarray"`
	Revision int64
	Keys     map[string]KeyValue
	// History holds the puts with the revisions from Compacted + 1 to Revision, in order.
	History   []Event
	Compacted int64
	// Outcomes holds the outcomes of recent puts, by putID.
	Outcomes map[string]PutOutcome

	bytes int64 // estimated memory of the rows
}

// rowBytes is the memory of a row besides its texts, in bytes.
const rowBytes = 128

// Each text counts as often as it is held, also by the encoded snapshot: the value of a key in the row
// and twice more, in the history only by the snapshot, and in the ID of an outcome.
func keyBytes(name, value string) int64     { return rowBytes + 3*int64(len(name)+len(value)) }
func historyBytes(name, value string) int64 { return rowBytes + int64(len(name)+len(value)) }
func outcomeBytes(id string) int64          { return rowBytes + 2*int64(len(id)) }

// Bytes estimates the memory that the put occupies at most once it is applied, in bytes.
func (p *Put) Bytes() int64 {
	return keyBytes(p.Key, p.Value) + historyBytes(p.Key, p.Value) + outcomeBytes(putID(p.Key, p.Value))
}

// recount computes the estimated memory of the rows from the rows.
func (g *Group) recount() int64 {
	bytes := int64(0)
	for name, value := range g.Keys {
		bytes += keyBytes(name, value.Value)
	}
	for i := range g.History {
		bytes += historyBytes(g.History[i].Name, g.History[i].Value)
	}
	for id := range g.Outcomes {
		bytes += outcomeBytes(id)
	}
	return bytes
}

// KeyValue is the value of a key and the revision in which it was set.
type KeyValue struct {
	_        struct{} `cbor:",toarray"`
	Value    string
	Revision int64
}

// Event is a successful put.
type Event struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Value    string
	Revision int64
	At       int64 // the state clock, in ms
}

// PutOutcome is the outcome of a put, as returned to its caller.
type PutOutcome struct {
	_        struct{} `cbor:",toarray"`
	Revision int64    // of the put, or of the key if the put was refused
	Refused  bool
	At       int64 // the state clock, in ms
}

// Put sets a key if the key is at the expected revision.
type Put struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value string
	// Expected is the revision that the key must have; 0 if the key must not exist.
	Expected int64
	// HistoryMs is how long the put is kept for watches.
	HistoryMs int64
}

// RevisionError reports that a put was refused, since its key is not at the expected revision.
type RevisionError struct {
	Revision int64 // of the key; 0 if it doesn't exist
}

// Error returns a message that names the revision.
func (e *RevisionError) Error() string { return fmt.Sprintf("the key is at revision %d", e.Revision) }

// GroupOf returns the name of a key's group: the part up to and including the first dot. A key
// without a dot is the only one of its group.
func GroupOf(key string) string {
	if dot := strings.IndexByte(key, '.'); dot >= 0 {
		return key[:dot+1]
	}
	return key
}

// Put sets a key and returns its new revision. The error is a *RevisionError, or ErrFull if the put
// has no recorded outcome and does not fit.
//
// A repeated put with the same value has no further effect and gets the first answer: of two copies
// of a put, only the one that arrives first is decided. Refusals are recorded too: the caller
// received the promise that the put will never happen, and a copy of it may arrive when it would
// succeed.
func (t *Tables) Put(put Put, clock int64) (revision int64, err error) {
	group, err := t.getOrCreateGroup(GroupOf(put.Key))
	if err != nil {
		return 0, err
	}
	t.HistoryMs = put.HistoryMs
	id := putID(put.Key, put.Value)
	if outcome, ok := group.Outcomes[id]; ok {
		return outcome.result()
	}
	current := group.Keys[put.Key]
	if current.Revision > 0 && current.Value == put.Value {
		return current.Revision, nil // the outcome has expired, but the value is still there
	}
	if group.isFullFor(put.Key, clock, put.HistoryMs) {
		return 0, ErrFull
	}
	outcome := PutOutcome{Revision: current.Revision, Refused: current.Revision != put.Expected, At: clock}
	if !outcome.Refused {
		outcome.Revision = group.add(put, clock)
		group.compact(clock, put.HistoryMs)
	}
	group.Outcomes[id] = outcome
	group.bytes += outcomeBytes(id)
	return outcome.result()
}

// getOrCreateGroup returns the group with a name, which it creates if there is none; the error is
// ErrFull.
func (t *Tables) getOrCreateGroup(name string) (*Group, error) {
	if group := t.Groups[name]; group != nil {
		return group, nil
	}
	if isFull(t.Groups) {
		return nil, ErrFull
	}
	group := newGroup()
	t.Groups[name] = group
	return group, nil
}

// isFullFor reports whether one more put of a key does not fit into the group. It compacts a full
// history first.
func (g *Group) isFullFor(key string, clock, historyMs int64) bool {
	if len(g.History) >= MaxRows {
		g.compact(clock, historyMs)
	}
	newKey := g.Keys[key].Revision == 0
	return newKey && isFull(g.Keys) || isFull(g.Outcomes) || len(g.History) >= MaxRows
}

// putID identifies a put by its key and its value, which callers choose to be unique. Keys don't
// contain the separator byte.
func putID(key, value string) string { return key + "\x00" + value }

// result returns the outcome as the results of Put.
func (o PutOutcome) result() (int64, error) {
	if o.Refused {
		return 0, &RevisionError{o.Revision}
	}
	return o.Revision, nil
}

// Read returns the value of a key; false if it doesn't exist. Nil tables are empty.
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

// add applies a put and returns its revision.
func (g *Group) add(put Put, clock int64) int64 {
	g.Revision++
	if replaced, ok := g.Keys[put.Key]; ok {
		g.bytes -= keyBytes(put.Key, replaced.Value)
	}
	g.bytes += keyBytes(put.Key, put.Value) + historyBytes(put.Key, put.Value)
	g.Keys[put.Key] = KeyValue{Value: put.Value, Revision: g.Revision}
	g.History = append(g.History, Event{Name: put.Key, Value: put.Value, Revision: g.Revision, At: clock})
	return g.Revision
}

// compact drops the oldest puts of the history. A watch may resume from a revision for historyMs
// after it got it: the puts above that revision are older by maxOmittedAge at most, and the state
// clock may only lag behind the true time.
func (g *Group) compact(clock, historyMs int64) {
	retentionMs := historyRetentionMs(historyMs)
	expired := 0
	for expired < len(g.History) && clock-g.History[expired].At > retentionMs {
		g.bytes -= historyBytes(g.History[expired].Name, g.History[expired].Value)
		expired++
	}
	if expired == 0 {
		return
	}
	g.Compacted = g.History[expired-1].Revision
	g.History = g.History[expired:]
}

// historyRetentionMs returns the age, in ms, up to which a put is kept in the history.
func historyRetentionMs(historyMs int64) int64 {
	return int64(float64(historyMs)*timing.LeaseClockDriftFactor) + keyHistoryMargin.Milliseconds()
}

// expireOutcomes drops the outcomes older than putOutcomeRetention.
func (g *Group) expireOutcomes(clock int64) {
	maps.DeleteFunc(g.Outcomes, func(id string, outcome PutOutcome) bool {
		expired := clock-outcome.At > putOutcomeRetention.Milliseconds()
		if expired {
			g.bytes -= outcomeBytes(id)
		}
		return expired
	})
}

// clone returns a copy of the group. The history is shared: it is appended to and cut at the front,
// but its elements never change.
func (g *Group) clone() *Group {
	clone := *g
	clone.Keys, clone.Outcomes = maps.Clone(g.Keys), maps.Clone(g.Outcomes)
	return &clone
}

// restore makes a decoded group usable. It panics if the group is inconsistent.
func (g *Group) restore(name string) {
	if g == nil {
		panic("coordination: no data for group " + name)
	}
	if g.Keys == nil {
		g.Keys = map[string]KeyValue{}
	}
	if g.Outcomes == nil {
		g.Outcomes = map[string]PutOutcome{}
	}
	if g.Compacted+int64(len(g.History)) != g.Revision {
		panic("coordination: history of group " + name + " has gaps")
	}
	g.bytes = g.recount()
}

package coordination

import (
	"errors"
	"sort"
)

const (
	// maxWatchEvents is the number of events above which an answer to a watch may be cut off.
	maxWatchEvents = 500
	// maxOmittedAge is the maximum age of a put that an answer omits. A caller may resume from the
	// answer's revision for the whole history: a put that is older now would be dropped before that.
	maxOmittedAge = keyHistoryMargin / 2
)

// ErrCompacted is returned to a watch if some puts after its revision are no longer kept.
var ErrCompacted = errors.New("the history from that revision on is no longer kept")

// WatchResult is the answer to a watch: all puts of a group after the caller's revision, up to
// Revision.
type WatchResult struct {
	_        struct{} `cbor:",toarray"`
	Events   []Event
	Revision int64
}

// Revision returns the newest revision of a group; 0 if it has had no put. Nil tables are empty.
func (t *Tables) Revision(group string) int64 {
	if t == nil || t.Groups[group] == nil {
		return 0
	}
	return t.Groups[group].Revision
}

// Since returns the puts of a group after a revision, the oldest first: maxWatchEvents of them, and
// beyond that those older than maxOmittedAge. The clock is the state clock, in ms. The error is
// ErrCompacted.
func (t *Tables) Since(group string, after, clock int64) (WatchResult, error) {
	revision := t.Revision(group)
	if revision <= after {
		return WatchResult{Revision: max(revision, after)}, nil
	}
	g := t.Groups[group]
	if after < g.Compacted {
		return WatchResult{}, ErrCompacted
	}
	events := g.History[after-g.Compacted:]
	old := sort.Search(len(events), func(i int) bool { return clock-events[i].At <= maxOmittedAge.Milliseconds() })
	events = events[:min(len(events), max(old, maxWatchEvents))]
	return WatchResult{Events: events, Revision: events[len(events)-1].Revision}, nil
}

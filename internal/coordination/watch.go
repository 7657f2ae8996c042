package coordination

import (
	"errors"
)

// maxWatchEvents is the maximum number of events in one answer to a watch.
const maxWatchEvents = 500

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

// Since returns the puts of a group after a revision, at most the oldest maxWatchEvents of them;
// the error is ErrCompacted.
func (t *Tables) Since(group string, after int64) (WatchResult, error) {
	revision := t.Revision(group)
	if revision <= after {
		return WatchResult{Revision: max(revision, after)}, nil
	}
	g := t.Groups[group]
	if after < g.Compacted {
		return WatchResult{}, ErrCompacted
	}
	events := g.History[after-g.Compacted:]
	events = events[:min(len(events), maxWatchEvents)]
	return WatchResult{Events: events, Revision: events[len(events)-1].Revision}, nil
}

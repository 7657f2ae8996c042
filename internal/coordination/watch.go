package coordination

import (
	"errors"
)

// maxWatchEvents is the number of events in one answer of a watch.
const maxWatchEvents = 500

// ErrCompacted is the refusal of a watch whose later puts are no longer kept.
var ErrCompacted = errors.New("the history from that revision on is no longer kept")

// WatchResult is the answer to a watch: all puts of a group above the revision that the caller
// has, up to Revision.
type WatchResult struct {
	_        struct{} `cbor:",toarray"`
	Events   []Event
	Revision int64
}

// Revision is the newest revision of a group; 0 if nothing was ever put there. Tables that
// are nil hold nothing.
func (t *Tables) Revision(group string) int64 {
	if t == nil || t.Groups[group] == nil {
		return 0
	}
	return t.Groups[group].Revision
}

// Since returns the puts of a group after a revision, the oldest maxWatchEvents of
// them; the error is ErrCompacted.
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

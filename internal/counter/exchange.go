package counter

import (
	"maps"
	"time"
)

// Request carries the entries that the peer may lack, and the revision up to which the
// sender has the peer's set.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Process string   // ID of the sender
	Peer    string   // process whose revision Known is; empty in the first request
	Known   uint64   // revision of the peer's set up to which the sender has it
	Entries []Entry
}

// Response carries the entries of the peer that the sender of the request lacks.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Process  string   // ID of the peer
	Revision uint64   // revision of the peer's set up to which the sender now has it
	Entries  []Entry
}

// Exchange tracks the state of a process's exchanges with a peer, and decides whether
// more events are within a limit. Either side may restart at any time; what was
// acknowledged by an earlier process of the peer is discarded then. Requests without a
// response are dropped; the next request repeats their entries.
type Exchange struct {
	// ReplacesPeerSums must be set if the peer answers with sums (Set.AnswerSums). The sums
	// of an earlier process of the peer are then removed when a new process answers.
	ReplacesPeerSums bool

	set           *Set
	peer          string // process ID in the peer's last response
	peerRevision  uint64 // revision of the peer's set up to which this process has it
	ackedRevision uint64 // revision of the own set that the peer has acknowledged

	unacknowledged map[string]uint64 // events admitted and not yet acknowledged, by key

	// State of the last request.
	pendingRevision uint64            // revision of the own set
	pendingEvents   map[string]uint64 // the unacknowledged events that it reports, by key
}

// NewExchange returns an Exchange of a set with a peer that hasn't answered yet.
func NewExchange(set *Set) *Exchange { return &Exchange{set: set, unacknowledged: map[string]uint64{}} }

// Request returns the next request to the peer.
func (e *Exchange) Request(now time.Time) Request {
	e.pendingRevision, e.pendingEvents = e.set.Revision(), maps.Clone(e.unacknowledged)
	return Request{Process: e.set.process, Peer: e.peer, Known: e.peerRevision,
		Entries: e.set.Since(e.ackedRevision, e.peer, now)}
}

// HandleResponse merges the peer's response to the last request. If the peer is another
// process than before, the next request sends all entries again, since the last one was
// based on what the earlier process had acknowledged.
func (e *Exchange) HandleResponse(response Response, now time.Time) {
	e.set.Merge(response.Entries, response.Process, now)
	e.peerRevision = response.Revision
	if response.Process != e.peer {
		if e.ReplacesPeerSums {
			e.set.RemoveProcess(e.peer)
		}
		e.peer, e.ackedRevision = response.Process, 0
		return
	}
	e.ackedRevision = e.pendingRevision
	for key, acknowledged := range e.pendingEvents {
		if e.unacknowledged[key] -= acknowledged; e.unacknowledged[key] == 0 {
			delete(e.unacknowledged, key)
		}
	}
	e.pendingEvents = nil
}

// Unacknowledged returns the number of admitted events of a key that the peer hasn't acknowledged.
func (e *Exchange) Unacknowledged(key string) uint64 { return e.unacknowledged[key] }

// HasChanges reports whether the set has changes that the peer hasn't acknowledged.
func (e *Exchange) HasChanges() bool { return e.set.Revision() > e.ackedRevision }

// Admit counts an event of a key and returns true if it is within a limit on the events of
// all processes in the window: the sum of all known counts is below the limit, and this
// process has fewer than allowance admitted events that its peer hasn't acknowledged.
//
// With n processes that exchange with one peer, the sum never exceeds the limit by more
// than (n + 1) x allowance, whatever messages are lost, delayed or repeated. The peer
// lacks at most an allowance of events of each process. When the peer's sum reaches the
// limit, it exceeds it by at most the events of one message, an allowance. From then on
// each process admits events only until it has used up its allowance or has received that
// sum. A response sent before acknowledges only the events up to its request. So each
// process adds at most one more allowance. Counts last at least as long at other
// processes as at the one that counted them, so they never leave the window too early. A
// process that receives no responses stops at its allowance.
func (e *Exchange) Admit(key string, limit, allowance uint64, now time.Time) bool {
	if e.unacknowledged[key] >= allowance || e.set.Sum(key, now) >= limit {
		return false
	}
	e.unacknowledged[key]++
	e.set.Add(key, 1, now)
	return true
}

// Answer handles a request at the peer: it merges the entries and returns those that the
// sender lacks.
func (s *Set) Answer(request Request, now time.Time) Response {
	known := s.mergeRequest(request, now)
	return Response{Process: s.process, Revision: s.revision, Entries: s.Since(known, request.Process, now)}
}

// mergeRequest merges the entries of a request and returns the revision up to which the
// sender has this set; 0 if the request was based on another process's set.
func (s *Set) mergeRequest(request Request, now time.Time) uint64 {
	s.Merge(request.Entries, request.Process, now)
	if request.Peer != s.process {
		return 0
	}
	return request.Known
}

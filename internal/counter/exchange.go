package counter

import (
	"maps"
	"time"
)

// Request is one side of an exchange: what the sender has that the peer lacks, and up
// to where it knows the peer's set.
type Request struct {
	_       struct{} `cbor:",toarray"`
	Process string   // of the sender
	Peer    string   // the process that Known is about; empty at first
	Known   uint64   // the revision of the peer's set that the sender has
	Entries []Entry
}

// Response is the other side: what the peer has that the sender lacks.
type Response struct {
	_        struct{} `cbor:",toarray"`
	Process  string   // of the peer
	Revision uint64   // of its set; the sender has it whole up to there
	Entries  []Entry
}

// Exchange is one process's record of its exchanges with a peer, and decides by it
// whether more events are within a limit. Either side may be started again at any time:
// what is known of another process counts for nothing. Requests that bring no answer are
// forgotten; the next one repeats what they told.
type Exchange struct {
	// ForgetsPeers is set where the peer answers with sums (Set.AnswerSums): those of an
	// earlier process are forgotten when another answers.
	ForgetsPeers bool

	set   *Set
	peer  string // the peer's process, as it last answered
	known uint64 // the revision of the peer's set that is had
	sent  uint64 // the own revision that the peer has acknowledged

	ahead map[string]uint64 // admitted and not yet acknowledged, by key

	// Of the request that is under way.
	sending      uint64            // the own revision
	sendingAhead map[string]uint64 // what of ahead it tells
}

// NewExchange begins the exchanges of a set with a peer that isn't known yet.
func NewExchange(set *Set) *Exchange { return &Exchange{set: set, ahead: map[string]uint64{}} }

// Request makes the next request to the peer.
func (e *Exchange) Request(now time.Time) Request {
	e.sending, e.sendingAhead = e.set.Revision(), maps.Clone(e.ahead)
	return Request{Process: e.set.process, Peer: e.peer, Known: e.known, Entries: e.set.Since(e.sent, e.peer, now)}
}

// HandleResponse merges the peer's answer to the last request. If the peer is another
// process than before, all is told again, since the request was made for the earlier one.
func (e *Exchange) HandleResponse(response Response, now time.Time) {
	e.set.Merge(response.Entries, response.Process, now)
	e.known = response.Revision
	if response.Process != e.peer {
		if e.ForgetsPeers {
			e.set.Forget(e.peer)
		}
		e.peer, e.sent = response.Process, 0
		return
	}
	e.sent = e.sending
	for key, told := range e.sendingAhead {
		if e.ahead[key] -= told; e.ahead[key] == 0 {
			delete(e.ahead, key)
		}
	}
	e.sendingAhead = nil
}

// Ahead is how many events of a key were admitted that the peer hasn't acknowledged.
func (e *Exchange) Ahead(key string) uint64 { return e.ahead[key] }

// HasChanges reports whether there is something that the peer hasn't acknowledged.
func (e *Exchange) HasChanges() bool { return e.set.Revision() > e.sent }

// Admit counts an event of a key if it is within a limit that holds over the window for
// all processes together: the sum of all that is known is below the limit, and this
// process has admitted fewer than allowance events that its peer hasn't acknowledged.
//
// With n processes that exchange with one peer, the sum never passes the limit by more
// than (n + 1) x allowance, whatever is lost, late or repeated. What the peer doesn't
// know of a process is at most its allowance. Let the peer's sum reach the limit: it is
// passed by at most one message's worth, an allowance. From then on each process admits
// events only until it has used up its allowance or hears of that sum, and an answer
// that was given before counts from when its request was sent; so each adds at most one
// allowance more. Counts last longer at others than at their own process, never
// shorter, so the window takes nothing away too early. A process that hears nothing
// stops at its allowance.
func (e *Exchange) Admit(key string, limit, allowance uint64, now time.Time) bool {
	if e.ahead[key] >= allowance || e.set.Sum(key, now) >= limit {
		return false
	}
	e.ahead[key]++
	e.set.Add(key, 1, now)
	return true
}

// Answer is the peer's side: it merges a request and says what the sender lacks.
func (s *Set) Answer(request Request, now time.Time) Response {
	known := s.take(request, now)
	return Response{Process: s.process, Revision: s.revision, Entries: s.Since(known, request.Process, now)}
}

// take merges a request, and gives the revision up to which its sender knows this set.
func (s *Set) take(request Request, now time.Time) uint64 {
	s.Merge(request.Entries, request.Process, now)
	if request.Peer != s.process {
		return 0
	}
	return request.Known
}

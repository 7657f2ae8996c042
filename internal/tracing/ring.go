// Package tracing keeps, in each daemon, a bounded record of what happened to
// changes: a job, a task's run, a version of the configuration.
package tracing

import (
	"strings"
	"sync"
	"time"
)

// Event is one thing that happened to a change in one daemon.
type Event struct {
	_       struct{} `cbor:",toarray"`
	TimeNs  int64    // time of day, ns
	Subject string
	Action  string
	Value   int64
	Detail  string
}

// Ring holds the newest marks. Its memory is bounded and a mark costs a copy.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int
	full   bool
}

// NewRing builds a ring of n marks.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, capacity)} }

// Record notes a mark; a nil ring notes nothing.
func (r *Ring) Record(subject, action string, value int64, detail string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.events[r.next] = Event{TimeNs: time.Now().UnixNano(), Subject: subject, Action: action, Value: value, Detail: detail}
	if r.next++; r.next == len(r.events) {
		r.next, r.full = 0, true
	}
	r.mu.Unlock()
}

// History gives the marks of an id and of what is part of it (a job's tasks), the
// oldest first, and the time since which the ring is whole, 0 if always.
func (r *Ring) History(subject string) ([]Event, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	since := int64(0)
	first, count := 0, r.next
	if r.full {
		first, count = r.next, len(r.events)
		since = r.events[r.next].TimeNs
	}
	for i := range count {
		event := r.events[(first+i)%len(r.events)]
		if event.Subject == subject || strings.HasPrefix(event.Subject, subject+".") {
			events = append(events, event)
		}
	}
	return events, since
}

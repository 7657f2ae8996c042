// Package tracing keeps, in each daemon, a bounded record of what happened to a
// change: a job, a run of a task, or a version of the configuration. The records of
// all daemons together show the path of a change; nothing else depends on them.
package tracing

import (
	"strings"
	"sync"
	"time"
)

// Event is one thing that happened to a change in one daemon. It is sent as an array:
// fields must not be moved.
type Event struct {
	_       struct{} `cbor:",toarray"`
	TimeNs  int64    // time of day, ns since 1970
	Subject string   // ID of the job, name of the task, or version of the configuration
	Action  string
	Value   int64 // number of the run, status code or index; see where the action is recorded
	Detail  string
}

// Ring holds the newest events of a daemon in bounded memory. It is safe for
// concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int  // place of the next event
	full   bool // the next event replaces the oldest
}

// NewRing returns a ring that holds up to capacity events, at least 1.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, capacity)} }

// Record adds an event with the present time. On a nil ring it does nothing.
func (r *Ring) Record(subject, action string, value int64, detail string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = Event{TimeNs: time.Now().UnixNano(), Subject: subject, Action: action, Value: value, Detail: detail}
	if r.next++; r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// History returns the events of a subject and of its parts (the tasks of a job),
// oldest first. It also returns the time from which on the ring has forgotten
// nothing, in ns since 1970, or 0 if it never has.
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

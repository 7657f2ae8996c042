// Package tracing records, in each daemon, the most recent events of changes: of jobs,
// runs of tasks and versions of the configuration. The records of all daemons together
// show the path of a change through the cluster. They serve diagnosis only.
package tracing

import (
	"strings"
	"sync"
	"time"
)

// Event is one event of a change in one daemon. It is encoded as an array, so the order
// of the fields must not change.
type Event struct {
	_       struct{} `cbor:",toarray"`
	TimeNs  int64    // wall-clock time, ns since 1970
	Subject string   // ID of the job, name of the task, or version of the configuration
	Action  string
	Value   int64 // run number, status code or index, depending on the action
	Detail  string
}

// Ring is a ring buffer of the newest events of a daemon. It is safe for concurrent
// use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int  // index of the next event
	full   bool // the next event replaces the oldest
}

// NewRing returns a ring that holds up to capacity events; capacity must be at least 1.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, capacity)} }

// maxSubjectBytes is the length of the longest subject that is recorded, in bytes. Subjects come from
// clients before they are checked.
const maxSubjectBytes = 64

// Record adds an event with the current time, unless its subject is longer than maxSubjectBytes. It does
// nothing on a nil ring.
func (r *Ring) Record(subject, action string, value int64, detail string) {
	if r == nil || len(subject) > maxSubjectBytes {
		return
	}
	subject = strings.Clone(subject) // it may be a part of a long text, such as a request's path
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = Event{TimeNs: time.Now().UnixNano(), Subject: subject, Action: action, Value: value, Detail: detail}
	if r.next++; r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// History returns the events of a subject and of its parts (the tasks of a job),
// oldest first. It also returns the time since which the ring has all events, in ns
// since 1970, or 0 while the ring is not full.
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

// Package trace keeps, in each daemon, a bounded record of what happened to
// changes: a job, a task's run, a version of the configuration.
package trace

import (
	"strings"
	"sync"
	"time"
)

// Mark is one thing that happened to a change in one daemon.
type Mark struct {
	_    struct{} `cbor:",toarray"`
	At   int64    // time of day, ns
	ID   string
	What string
	N    int64
	Text string
}

// Ring holds the newest marks. Its memory is bounded and a mark costs a copy.
type Ring struct {
	mu    sync.Mutex
	marks []Mark
	next  int
	full  bool
}

// NewRing builds a ring of n marks.
func NewRing(n int) *Ring { return &Ring{marks: make([]Mark, n)} }

// Add notes a mark; a nil ring notes nothing.
func (r *Ring) Add(id, what string, n int64, text string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.marks[r.next] = Mark{At: time.Now().UnixNano(), ID: id, What: what, N: n, Text: text}
	if r.next++; r.next == len(r.marks) {
		r.next, r.full = 0, true
	}
	r.mu.Unlock()
}

// Of gives the marks of an id and of what is part of it (a job's tasks), the
// oldest first, and the time since which the ring is whole, 0 if always.
func (r *Ring) Of(id string) ([]Mark, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Mark
	since := int64(0)
	from, n := 0, r.next
	if r.full {
		from, n = r.next, len(r.marks)
		since = r.marks[r.next].At
	}
	for i := range n {
		m := r.marks[(from+i)%len(r.marks)]
		if m.ID == id || strings.HasPrefix(m.ID, id+".") {
			out = append(out, m)
		}
	}
	return out, since
}

package counter

import "time"

const (
	// DefaultWindow is the window over which a tenant's jobs are counted against its share, if the
	// settings specify none.
	DefaultWindow = 5 * time.Second
	// SlotWidth is the width of the time slots in which events are counted. An event counts for at
	// most this much longer than the window.
	SlotWidth = 500 * time.Millisecond
	// ExchangeInterval is the time between two exchanges of a daemon that has counted events.
	ExchangeInterval = 500 * time.Millisecond
	// UrgentExchangeInterval is the minimum time between two exchanges.
	UrgentExchangeInterval = 50 * time.Millisecond
)

// Entry is a process's count of a key in a time slot, as sent in messages.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Process string   // ID of the process that counted
	Key     string
	Slot    uint64 // slot number, from the start of the process
	AgeMs   int64  // age of the slot's start when the entry was sent; negative if it starts later
	Count   uint64
}

// slotID identifies a process's count of a key in a time slot.
type slotID struct {
	process string
	key     string
	slot    uint64
}

// slotCount is the count of one slot.
type slotCount struct {
	count     uint64
	startTime time.Time // start of the slot by this process's clock; never earlier than the true start
	changedAt uint64    // revision of the set at the last change
	source    string    // process from which the count was received
}

// Set holds the counts that a process has, its own and those of other processes. It isn't
// safe for concurrent use.
type Set struct {
	process  string
	window   time.Duration
	width    time.Duration // of a slot
	started  time.Time
	revision uint64
	slots    map[slotID]*slotCount
	byKey    map[string]map[slotID]*slotCount
}

// NewSet returns an empty set for a process, whose ID must be unique among all processes,
// past ones included. Counts are kept for a window, which slides by the width of a slot.
func NewSet(process string, window, width time.Duration, now time.Time) *Set {
	return &Set{
		process: process,
		window:  window,
		width:   width,
		started: now,
		slots:   map[slotID]*slotCount{},
		byKey:   map[string]map[slotID]*slotCount{},
	}
}

// Add counts n events of a key.
func (s *Set) Add(key string, n uint64, now time.Time) {
	number := uint64(now.Sub(s.started) / s.width)
	id := slotID{s.process, key, number}
	slot := s.slots[id]
	if slot == nil {
		slot = s.insert(id, s.started.Add(time.Duration(number)*s.width), s.process)
	}
	slot.count += n
	s.markChanged(slot)
}

// Sum returns the number of events of a key that all processes have counted within the
// window, as far as this set has their counts. A slot counts in full until all of it has
// left the window.
func (s *Set) Sum(key string, now time.Time) uint64 {
	sum := uint64(0)
	for _, slot := range s.byKey[key] {
		if !s.expired(slot, now) {
			sum += slot.count
		}
	}
	return sum
}

// Revision returns the revision of the set, which increases with each change.
func (s *Set) Revision() uint64 { return s.revision }

// Since returns the entries that changed after a revision, except those received from the
// peer.
func (s *Set) Since(revision uint64, peer string, now time.Time) []Entry {
	var entries []Entry
	for id, slot := range s.slots {
		if slot.changedAt > revision && slot.source != peer && !s.expired(slot, now) {
			entries = append(entries, Entry{
				Process: id.process, Key: id.key, Slot: id.slot,
				AgeMs: max(now.Sub(slot.startTime).Milliseconds(), 0), Count: slot.count,
			})
		}
	}
	return entries
}

// Merge merges the entries of a peer: the larger of two counts of a slot is kept. Entries
// of this process itself are ignored.
func (s *Set) Merge(entries []Entry, peer string, now time.Time) {
	for _, entry := range entries {
		if entry.Process == s.process {
			continue
		}
		id := slotID{entry.Process, entry.Key, entry.Slot}
		// Slots of sums may start up to one slot width in the future.
		age := max(time.Duration(entry.AgeMs)*time.Millisecond, -s.width)
		startTime := now.Add(-age)
		slot := s.slots[id]
		if slot == nil {
			if startTime.Add(s.width + s.window).Before(now) {
				continue // it has left the window
			}
			slot = s.insert(id, startTime, peer)
		}
		if entry.Count > slot.count {
			slot.count, slot.source = entry.Count, peer
			s.markChanged(slot)
		}
	}
}

// Expire removes the slots that have left the window.
func (s *Set) Expire(now time.Time) {
	for id, slot := range s.slots {
		if s.expired(slot, now) {
			s.remove(id)
		}
	}
}

func (s *Set) remove(id slotID) {
	delete(s.slots, id)
	delete(s.byKey[id.key], id)
	if len(s.byKey[id.key]) == 0 {
		delete(s.byKey, id.key)
	}
}

// Len returns the number of slots in the set.
func (s *Set) Len() int { return len(s.slots) }

func (s *Set) expired(slot *slotCount, now time.Time) bool {
	return !slot.startTime.Add(s.width + s.window).After(now)
}

func (s *Set) insert(id slotID, startTime time.Time, source string) *slotCount {
	slot := &slotCount{startTime: startTime, source: source}
	s.slots[id] = slot
	if s.byKey[id.key] == nil {
		s.byKey[id.key] = map[slotID]*slotCount{}
	}
	s.byKey[id.key][id] = slot
	return slot
}

func (s *Set) markChanged(slot *slotCount) {
	s.revision++
	slot.changedAt = s.revision
}

package counter

import "time"

const (
	// DefaultWindow is the window in which a tenant's jobs are held against its share, where the
	// settings name none.
	DefaultWindow = 5 * time.Second
	// SlotWidth is the width of the slots in which events are counted: a window is at most so much
	// longer than it should be.
	SlotWidth = 500 * time.Millisecond
	// ExchangeInterval is the time between two exchanges of a daemon that has counted something.
	ExchangeInterval = 500 * time.Millisecond
	// UrgentExchangeInterval is the least time between two exchanges.
	UrgentExchangeInterval = 50 * time.Millisecond
)

// Entry is one process's count of one key in one slot of time, as it is exchanged.
type Entry struct {
	_       struct{} `cbor:",toarray"`
	Process string   // that counted
	Key     string
	Slot    uint64 // number of the slot since the process started
	AgeMs   int64  // since the slot began, when the entry was sent; negative if it begins later
	Count   uint64
}

// slotID names a slot of a process's count of a key.
type slotID struct {
	process string
	key     string
	slot    uint64
}

// slotCount is what is known of one slot.
type slotCount struct {
	count     uint64
	beganAt   time.Time // by this process's clock; never earlier than it truly was
	changedAt uint64    // the revision of the set
	from      string    // the process that told it
}

// Set is all counts that a process knows, its own and those of others. It is used by
// one goroutine at a time.
type Set struct {
	process  string
	window   time.Duration
	width    time.Duration // of a slot
	started  time.Time
	revision uint64
	slots    map[slotID]*slotCount
	byKey    map[string]map[slotID]*slotCount
}

// NewSet makes a set for a process, known by an ID that no other process ever has.
// Counts are kept for a window, which slides by the width of a slot.
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
	s.touch(slot)
}

// Sum is how many events of a key all processes have counted within the last window,
// as far as is known here. A slot counts whole until all of it is past.
func (s *Set) Sum(key string, now time.Time) uint64 {
	sum := uint64(0)
	for _, slot := range s.byKey[key] {
		if !s.expired(slot, now) {
			sum += slot.count
		}
	}
	return sum
}

// Revision grows with each change of the set.
func (s *Set) Revision() uint64 { return s.revision }

// Since lists what has changed after a revision, without what the peer told itself.
func (s *Set) Since(revision uint64, peer string, now time.Time) []Entry {
	var entries []Entry
	for id, slot := range s.slots {
		if slot.changedAt > revision && slot.from != peer && !s.expired(slot, now) {
			entries = append(entries, Entry{
				Process: id.process, Key: id.key, Slot: id.slot,
				AgeMs: max(now.Sub(slot.beganAt).Milliseconds(), 0), Count: slot.count,
			})
		}
	}
	return entries
}

// Merge takes over what a peer knows: of two counts of a slot the larger one. What it
// says of this process itself is left out.
func (s *Set) Merge(entries []Entry, peer string, now time.Time) {
	for _, entry := range entries {
		if entry.Process == s.process {
			continue
		}
		id := slotID{entry.Process, entry.Key, entry.Slot}
		// Sums may stand in a slot that begins up to a width from now.
		age := max(time.Duration(entry.AgeMs)*time.Millisecond, -s.width)
		beganAt := now.Add(-age)
		slot := s.slots[id]
		if slot == nil {
			if beganAt.Add(s.width + s.window).Before(now) {
				continue // its window has passed
			}
			slot = s.insert(id, beganAt, peer)
		}
		if entry.Count > slot.count {
			slot.count, slot.from = entry.Count, peer
			s.touch(slot)
		}
	}
}

// Expire forgets the slots whose window has passed.
func (s *Set) Expire(now time.Time) {
	for id, slot := range s.slots {
		if s.expired(slot, now) {
			s.remove(id)
		}
	}
}

// remove drops a slot.
func (s *Set) remove(id slotID) {
	delete(s.slots, id)
	delete(s.byKey[id.key], id)
	if len(s.byKey[id.key]) == 0 {
		delete(s.byKey, id.key)
	}
}

// Len is the number of slots that are kept.
func (s *Set) Len() int { return len(s.slots) }

func (s *Set) expired(slot *slotCount, now time.Time) bool {
	return !slot.beganAt.Add(s.width + s.window).After(now)
}

func (s *Set) insert(id slotID, beganAt time.Time, from string) *slotCount {
	slot := &slotCount{beganAt: beganAt, from: from}
	s.slots[id] = slot
	if s.byKey[id.key] == nil {
		s.byKey[id.key] = map[slotID]*slotCount{}
	}
	s.byKey[id.key][id] = slot
	return slot
}

func (s *Set) touch(slot *slotCount) {
	s.revision++
	slot.changedAt = s.revision
}

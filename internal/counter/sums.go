package counter

import "time"

// sumKey identifies the sum of the counts of a key in one of this process's time slots.
type sumKey struct {
	key  string
	slot int64
}

// AnswerSums is like Answer, but sums up the counts of all processes except the sender, as
// if this process had counted them. With n daemons, a response then has one entry per key
// and slot instead of n. A slot of another process is added to the slot of this process in
// which it ends, so that its events count longer than necessary, never shorter. The sums
// sent to a peer only grow, so a lost or delayed response does no harm. The peer must
// remove the sums of an earlier process (Exchange.ReplacesPeerSums), since the sums of the
// next one start from zero.
func (s *Set) AnswerSums(request Request, now time.Time) Response {
	known := s.mergeRequest(request, now)
	type sum struct{ count, changedAt uint64 }
	sums := map[sumKey]sum{}
	for id, slot := range s.slots {
		if id.process == request.Process || s.expired(slot, now) {
			continue
		}
		// Round the start of the slot up to the slot boundaries of this process.
		number := int64((slot.startTime.Sub(s.started) + s.width - 1) / s.width)
		group := sumKey{id.key, number}
		total := sums[group]
		total.count += slot.count
		total.changedAt = max(total.changedAt, slot.changedAt)
		sums[group] = total
	}
	response := Response{Process: s.process, Revision: s.revision}
	for group, total := range sums {
		if total.changedAt <= known || group.slot < 0 {
			continue
		}
		startTime := s.started.Add(time.Duration(group.slot) * s.width)
		response.Entries = append(response.Entries, Entry{
			Process: s.process, Key: group.key, Slot: uint64(group.slot),
			AgeMs: now.Sub(startTime).Milliseconds(), Count: total.count,
		})
	}
	return response
}

// RemoveProcess removes all counts of a process.
func (s *Set) RemoveProcess(process string) {
	for id := range s.slots {
		if id.process == process {
			s.remove(id)
		}
	}
}

// FreeAt returns the time at which the sum of a key falls below a limit if no more events
// are counted.
func (s *Set) FreeAt(key string, limit uint64, now time.Time) time.Time {
	at := now
	for s.Sum(key, at) >= limit {
		next := time.Time{}
		for _, slot := range s.byKey[key] {
			end := slot.startTime.Add(s.width + s.window)
			if end.After(at) && (next.IsZero() || end.Before(next)) {
				next = end
			}
		}
		if next.IsZero() {
			break
		}
		at = next
	}
	return at
}

package counter

import "time"

// sumKey names what others have counted of a key in one slot of this process's time.
type sumKey struct {
	key  string
	slot int64
}

// AnswerSums is Answer with the counts of all processes but the sender summed up, as if
// this process had counted them: with n daemons each is told one entry a key and slot, not
// n. A slot of another process is added to that of this process's time in which it ends,
// so that it lasts longer than it must, never shorter. What one peer is told grows only, so
// a lost or late answer does no harm; a peer must forget the sums of an earlier process
// (Exchange.ForgetsPeers), since those of the next begin anew.
func (s *Set) AnswerSums(request Request, now time.Time) Response {
	known := s.take(request, now)
	type sum struct{ count, changedAt uint64 }
	sums := map[sumKey]sum{}
	for id, slot := range s.slots {
		if id.process == request.Process || s.expired(slot, now) {
			continue
		}
		// The slot's end, rounded up to the grid of this process.
		number := int64((slot.beganAt.Sub(s.started) + s.width - 1) / s.width)
		of := sumKey{id.key, number}
		total := sums[of]
		total.count += slot.count
		total.changedAt = max(total.changedAt, slot.changedAt)
		sums[of] = total
	}
	response := Response{Process: s.process, Revision: s.revision}
	for of, total := range sums {
		if total.changedAt <= known || of.slot < 0 {
			continue
		}
		beganAt := s.started.Add(time.Duration(of.slot) * s.width)
		response.Entries = append(response.Entries, Entry{
			Process: s.process, Key: of.key, Slot: uint64(of.slot),
			AgeMs: now.Sub(beganAt).Milliseconds(), Count: total.count,
		})
	}
	return response
}

// Forget drops all that is known of a process's counts.
func (s *Set) Forget(process string) {
	for id := range s.slots {
		if id.process == process {
			s.remove(id)
		}
	}
}

// FreeAt is when the sum of a key falls below a limit, if nothing more is counted.
func (s *Set) FreeAt(key string, limit uint64, now time.Time) time.Time {
	at := now
	for s.Sum(key, at) >= limit {
		next := time.Time{}
		for _, slot := range s.byKey[key] {
			end := slot.beganAt.Add(s.width + s.window)
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

package tally

import (
	"slices"
	"time"
)

// change is an add that waits to be acknowledged.
type change struct {
	position Position
	since    time.Time
	done     func(Result, Position)
}

// acknowledge completes the changes that are on enough disks.
func (r *Replica) acknowledge(now time.Time) {
	if len(r.pendingChanges) == 0 {
		return
	}
	waiting := r.pendingChanges[:0]
	var ready []change
	for _, change := range r.pendingChanges {
		if r.canAcknowledge(change, now) {
			ready = append(ready, change)
		} else {
			waiting = append(waiting, change)
		}
	}
	r.pendingChanges = waiting
	for _, change := range ready {
		change.done(ResultOK, change.position)
	}
}

// canAcknowledge reports whether a change may be acknowledged: it is on Copies disks. Responsive peers
// are waited for, however slow their disks. Unresponsive peers are skipped, but only where all
// members are known and too few others remain.
func (r *Replica) canAcknowledge(change change, now time.Time) bool {
	if !r.set.Has(change.position) {
		return false
	}
	copies, reachable, awaited := 1, 1, 0
	for _, peer := range r.peers {
		stored := peer.vector.numbers[change.position.Origin] >= change.position.Number
		if stored {
			copies++
		}
		if r.isUnresponsive(peer, change.since, now) {
			continue
		}
		reachable++
		if !stored {
			awaited++
		}
	}
	return copies >= r.config.Copies || r.membersKnown && reachable < r.config.Copies && awaited == 0
}

// isUnresponsive reports whether a peer seems to be unreachable or stopped. One that was never in
// contact is given PeerTimeout: this replica may have started a moment ago.
func (r *Replica) isUnresponsive(peer *peer, since, now time.Time) bool {
	if peer.lastContact.IsZero() {
		return now.Sub(peer.knownSince) > r.config.PeerTimeout
	}
	if now.Sub(peer.lastContact) > r.config.PeerTimeout {
		return true
	}
	return peer.lastContact.Before(since) && now.Sub(since) > r.config.AnswerTimeout
}

// DropChangesBefore drops the changes that were made before a time; they are not answered.
func (r *Replica) DropChangesBefore(before time.Time) {
	r.pendingChanges = slices.DeleteFunc(r.pendingChanges, func(c change) bool { return c.since.Before(before) })
}

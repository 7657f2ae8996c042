package server

import (
	"tealpond/internal/tuning"
)

// digestTracker is what this replica knows of its own digests and those of others.
type digestTracker struct {
	own        map[uint64]uint64
	agreed     map[uint64]uint64            // from the log, where the own one is not known yet
	reported   map[uint64]map[string]uint64 // by index and disk, while this one leads
	decided    map[uint64]bool              // indexes that are dealt with
	divergedAt uint64                       // the index at which this replica differs; 0: none
}

func newDigestTracker() digestTracker {
	return digestTracker{own: map[uint64]uint64{}, agreed: map[uint64]uint64{}, reported: map[uint64]map[string]uint64{}, decided: map[uint64]bool{}}
}

// discardOld drops digests that are too old to be compared.
func (d *digestTracker) discardOld(newest uint64) {
	old := func(i uint64) bool { return i+tuning.DigestsKept*tuning.DigestInterval < newest }
	for _, sums := range []map[uint64]uint64{d.own, d.agreed} {
		for i := range sums {
			if old(i) {
				delete(sums, i)
			}
		}
	}
	for i := range d.reported {
		if old(i) {
			delete(d.reported, i)
		}
	}
	for i := range d.decided {
		if old(i) {
			delete(d.decided, i)
		}
	}
}

// markDecided marks an index as decided.
func (d *digestTracker) markDecided(index uint64) {
	d.decided[index] = true
	delete(d.reported, index)
}

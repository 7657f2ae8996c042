package server

import (
	"tealpond/internal/raft"
)

// retainedDigests is the number of recent digests that reports and log entries may refer to.
const retainedDigests = 40

// digestTracker holds the state digests of this replica and of others, by log index, and compares
// them. It does no I/O.
type digestTracker struct {
	local      map[uint64]uint64
	agreed     map[uint64]uint64            // confirmed by the log, kept until the local one is known
	reported   map[uint64]map[string]uint64 // by index and member ID, while this replica is leader
	decided    map[uint64]bool              // indexes with a verdict other than digestsUndecided
	divergedAt uint64                       // the index at which this replica differs; 0 if none
}

func newDigestTracker() digestTracker {
	return digestTracker{
		local:    map[uint64]uint64{},
		agreed:   map[uint64]uint64{},
		reported: map[uint64]map[string]uint64{},
		decided:  map[uint64]bool{},
	}
}

// digestVerdict is the result of comparing the voters' digests at one index.
type digestVerdict int

const (
	digestsUndecided digestVerdict = iota // too few are known
	digestsConfirmed                      // a majority has the digest of this replica
	digestsDiverged                       // a majority has a different digest
	digestsDisagree                       // all are known and none has a majority
)

// digestCount is the result of counting the digests at one index.
type digestCount struct {
	verdict  digestVerdict
	majority uint64 // the majority's digest, if there is one
	distinct int    // number of different digests
}

// addLocal stores a digest of this replica and discards expired ones. It returns the agreed digest
// at the index if that is already known.
func (d *digestTracker) addLocal(index, digest uint64) (agreed uint64, known bool) {
	d.local[index] = digest
	d.discardExpired(index)
	agreed, known = d.agreed[index]
	delete(d.agreed, index)
	return agreed, known
}

// addReported stores a digest reported by a voter.
func (d *digestTracker) addReported(member string, index, digest uint64) {
	if d.reported[index] == nil {
		d.reported[index] = map[string]uint64{}
	}
	d.reported[index][member] = digest
}

// count counts the digests of the voters at an index; self is the ID of this replica. An index is
// not counted again once its verdict is other than digestsUndecided.
func (d *digestTracker) count(index uint64, self string, voters []raft.Member) digestCount {
	local, ok := d.local[index]
	if !ok || d.decided[index] {
		return digestCount{}
	}
	reported, votes := 0, map[uint64]int{}
	for _, voter := range voters {
		digest, ok := d.reported[index][voter.ID]
		if voter.ID == self {
			digest, ok = local, true
		}
		if ok {
			reported++
			votes[digest]++
		}
	}
	result := digestCount{distinct: len(votes)}
	for digest, count := range votes {
		if 2*count <= len(voters) {
			continue
		}
		result.majority, result.verdict = digest, digestsConfirmed
		if digest != local {
			result.verdict = digestsDiverged
		}
	}
	if result.verdict == digestsUndecided && reported == len(voters) {
		result.verdict = digestsDisagree
	}
	if result.verdict != digestsUndecided {
		d.decided[index] = true
		delete(d.reported, index)
	}
	return result
}

// compare compares the agreed digest with the local one. It returns true if this shows, for the
// first time, that this replica has diverged. An agreed digest without a local one is kept until
// the local one is known.
func (d *digestTracker) compare(index, agreed uint64) bool {
	local, ok := d.local[index]
	if !ok {
		// The local digest is not taken yet, or the index precedes the snapshot that this replica
		// started from.
		d.agreed[index] = agreed
		return false
	}
	if local == agreed || d.divergedAt != 0 {
		return false
	}
	d.divergedAt = index
	return true
}

// discardLocal discards the digests of this replica after its state was replaced.
func (d *digestTracker) discardLocal() { d.local = map[uint64]uint64{} }

// discardExpired discards digests that are too old to be compared.
func (d *digestTracker) discardExpired(newest uint64) {
	deleteExpired(d.local, newest)
	deleteExpired(d.agreed, newest)
	deleteExpired(d.reported, newest)
	deleteExpired(d.decided, newest)
}

// deleteExpired deletes the items of indexes that are too old to be compared.
func deleteExpired[T any](byIndex map[uint64]T, newest uint64) {
	for index := range byIndex {
		if index+retainedDigests*digestInterval < newest {
			delete(byIndex, index)
		}
	}
}

package server

import (
	"tealpond/internal/raft"
)

// digestsKept is the number of the latest digests that reports and entries of the log may refer
// to.
const digestsKept = 40

// digestTracker holds the digests of this replica and of others, by log index, and
// compares them. It is pure: it knows nothing of the network or the log.
type digestTracker struct {
	own        map[uint64]uint64
	agreed     map[uint64]uint64            // confirmed by the log, kept until the own one is known
	reported   map[uint64]map[string]uint64 // by index and member ID, while this replica leads
	decided    map[uint64]bool              // indexes with a verdict other than digestsUndecided
	divergedAt uint64                       // the index at which this replica differs; 0: none
}

func newDigestTracker() digestTracker {
	return digestTracker{
		own:      map[uint64]uint64{},
		agreed:   map[uint64]uint64{},
		reported: map[uint64]map[string]uint64{},
		decided:  map[uint64]bool{},
	}
}

// digestVerdict is what the digests of the voters at one index say together.
type digestVerdict int

const (
	digestsUndecided digestVerdict = iota // too few are known
	digestsConfirmed                      // a majority has the digest of this replica
	digestsDiverged                       // a majority has another one
	digestsDisagree                       // all are known, and none has a majority
)

// digestCount is the outcome of counting the digests at one index.
type digestCount struct {
	verdict  digestVerdict
	majority uint64 // the digest of the majority, if there is one
	distinct int    // how many different digests there are
}

// addOwn keeps a digest of this replica and drops those that are too old to be
// compared. It returns the agreed digest if that is known already.
func (d *digestTracker) addOwn(index, digest uint64) (agreed uint64, known bool) {
	d.own[index] = digest
	d.discardOld(index)
	agreed, known = d.agreed[index]
	delete(d.agreed, index)
	return agreed, known
}

// addReported keeps the digest that a voter reports.
func (d *digestTracker) addReported(member string, index, digest uint64) {
	if d.reported[index] == nil {
		d.reported[index] = map[string]uint64{}
	}
	d.reported[index][member] = digest
}

// count counts the digests of the voters at an index; self is the ID of this
// replica. An index with another verdict than digestsUndecided is not counted again.
func (d *digestTracker) count(index uint64, self string, voters []raft.Member) digestCount {
	own, ok := d.own[index]
	if !ok || d.decided[index] {
		return digestCount{}
	}
	reported, votes := 0, map[uint64]int{}
	for _, voter := range voters {
		digest, ok := d.reported[index][voter.ID]
		if voter.ID == self {
			digest, ok = own, true
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
		if digest != own {
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

// compare compares the agreed digest with the own one; true if this replica is
// found to have diverged by it, for the first time. An agreed digest without an own
// one is kept until that is known.
func (d *digestTracker) compare(index, agreed uint64) bool {
	own, ok := d.own[index]
	if !ok {
		// Not taken yet, or before the snapshot that this replica began with.
		d.agreed[index] = agreed
		return false
	}
	if own == agreed || d.divergedAt != 0 {
		return false
	}
	d.divergedAt = index
	return true
}

// discardOwn drops the digests of this replica, whose state was replaced.
func (d *digestTracker) discardOwn() { d.own = map[uint64]uint64{} }

// discardOld drops digests that are too old to be compared.
func (d *digestTracker) discardOld(newest uint64) {
	deleteOld(d.own, newest)
	deleteOld(d.agreed, newest)
	deleteOld(d.reported, newest)
	deleteOld(d.decided, newest)
}

// deleteOld drops what belongs to an index that is too old to be compared.
func deleteOld[T any](byIndex map[uint64]T, newest uint64) {
	for index := range byIndex {
		if index+digestsKept*digestInterval < newest {
			delete(byIndex, index)
		}
	}
}

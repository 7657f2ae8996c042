// Package tally holds numbers that applications add to, and that go on at each side of a
// partition: a state-based replicated set of adds, without a leader and without a log that
// all agree on.
//
// An add is known by its tally and its ID, and counts once wherever it comes in. Each replica
// numbers the adds that come in there from 1 on, under the origin of its file, and tells nobody of
// one before it is in that file; what a replica has is told by a vector, which gives for each
// origin the number up to which the replica has all adds on its disk. Merging is a union: in any
// order, with any repeats, the same adds give the same sums.
//
// An add is acknowledged once it is on as many disks as may be lost at once and one more, or,
// while the replicas that would be needed for that are silent, on those of all others.
//
// The package is pure: it reads no clock, no disk and no network. Package storage keeps the
// adds, package server carries the messages.
package tally

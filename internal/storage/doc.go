// Package storage keeps what a server must not lose, its identity, hard state, log
// and snapshot, in one bbolt file that a single goroutine writes, and the adds of
// tallies, which are in no log, in a file of their own (see Tallies).
//
// Layout of the first: the bucket "meta" holds the identity, the hard state, the founders and
// the header of the snapshot; the bucket "log" an entry for each index; the bucket
// "snapshots" a bucket of frames for each generation. Each record carries a
// checksum.
//
// Either file is checked page by page before bbolt opens it. The package never changes a file that
// it can't read: one that is provably corrupt is quarantined, and the daemon goes on under a new
// identity, or a new origin of tallies (see Open, OpenTallies); after any other fault the file is
// left as it is and the call may be repeated (see UnavailableError, VersionError).
package storage

// Package storage stores the durable state of a server. Its identity, Raft hard state, log
// and snapshot are in one bbolt file that a single goroutine writes. The adds of
// tallies, which are not in the Raft log, are in a separate file (see Tallies).
//
// Layout of the first file: the bucket "meta" holds the identity, the hard state, the founders and
// the header of the snapshot; the bucket "log" holds an entry for each index; the bucket
// "snapshots" holds a bucket of frames for each generation. Each record carries a
// checksum.
//
// Both files are verified page by page before bbolt opens them. The package never changes a file that
// it cannot read. A file that is provably corrupt is quarantined, and the daemon continues under a new
// identity, or a new origin of tallies (see Open, OpenTallies). After any other fault the file is
// left unchanged and the call may be retried (see UnavailableError, VersionError).
package storage

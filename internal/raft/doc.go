// Package raft implements the Raft consensus algorithm as a deterministic state
// machine, as described in Ongaro's thesis "Consensus: Bridging Theory and Practice"
// (2014): leader election with pre-vote, log replication, snapshots, membership
// changes through joint consensus, leadership transfer, and reads under a leader lease.
//
// A Node takes inputs (Tick, Step, Propose, WriteSynced) and returns, through
// Ready and NextCommittedEntries, what its owner must persist, send and apply.
// The package never reads a clock, starts a goroutine, or touches the disk or
// the network, so the same inputs always lead to the same outputs.
//
// It differs from etcd's raft package in three ways. The owner passes the current
// time with each input, instead of counting ticks. Messages that depend on a write
// are returned separately from those that may be sent immediately (see Ready). A
// member that lost entries after acknowledging them is detected and excluded from
// quorums (see FaultyPeers).
package raft

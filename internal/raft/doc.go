// Package raft implements the Raft consensus algorithm as a pure state machine,
// after Ongaro's thesis "Consensus: Bridging Theory and Practice" (2014): leader
// election with pre-vote, log replication, snapshots, membership changes through
// joint consensus, leadership transfer, and reads under a leader lease.
//
// A Node takes inputs (Tick, Step, Propose, WriteSynced) and returns, through
// Ready and NextCommittedEntries, what its owner must persist, send and apply.
// The package never reads a clock, starts a goroutine, or touches the disk or
// the network, so the same inputs always lead to the same outputs.
//
// It departs from etcd's raft package in three points. The owner passes the time
// with each input, instead of counting ticks. Messages that rest on a write are
// returned apart from those that may be sent at once (see Ready). And a member
// that lost entries which it had acknowledged is detected and no longer counted
// (see FaultyPeers).
package raft

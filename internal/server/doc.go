// Package server runs a replica of the cluster state: the Raft node, its storage and the state
// machine. The leader also maintains the cluster clock, runs the scheduler, grants worker leases
// and appoints an aggregator for each zone. Every replica sends assignments to the agents connected
// to it.
//
// A Replica is owned by one event loop (Replica.Run), which handles one event at a time and never
// blocks on the network or the disk: blocking operations run in goroutines and report back as
// events. The package changes the state only through commands in the log (see package state). It
// does not answer client calls itself; package api does.
package server

// Package server runs a replica of the cluster's state: the consensus node, its
// storage and the state machine. While the replica leads it also keeps the
// cluster's clock, runs the scheduler, grants the leases of the workers and
// appoints the aggregators of the zones; leader or not, it sends the agents that
// are connected to it their assignments.
//
// All of a Replica belongs to one event loop (Replica.Run), which takes one event
// at a time and never waits for the network or the disk: what may wait runs beside
// the loop and comes back as an event. The package changes the state only by
// commands in the log (see package state), and it never answers a client's call
// by itself: that is the work of package api.
package server

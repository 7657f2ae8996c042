// Package federation transfers deferrable jobs to a peer cluster before this cluster is
// overloaded, and accepts jobs of peers in the same way. It holds the messages between clusters
// and their signatures, the overload forecast, the settings file that enables federation, and the
// Offloader that runs on the leader.
//
// It keeps no state that must survive a restart: the replicated state of each cluster records
// every step, and each call is idempotent. It never decides whether a job may start; package state
// does. See docs/forecast.md.
package federation

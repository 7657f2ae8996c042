// Package federation hands deferrable jobs to a peer cluster before this one is
// crowded, and takes part in the peer's doing so: the messages between clusters and
// their signatures, the forecast of a crowd, the settings file that turns it on, and
// the Offloader that acts on the leader.
//
// It holds nothing that may not be lost: the replicated state of either cluster
// keeps every step, and each call can be repeated without harm. It never decides
// whether a job may start; package state does. See docs/forecast.md.
package federation

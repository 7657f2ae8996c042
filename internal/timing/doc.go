// Package timing holds the durations of leadership, leases, memberships and requests by which
// daemons of different roles depend on one another: a lease outlasts an election, a retry fits
// within a client's patience. Its test holds these relations. A constant that one package uses
// stands beside its use.
package timing

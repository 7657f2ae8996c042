// Package timing holds the durations of leadership, leases, memberships and requests on which
// daemons of different roles depend jointly: for example, a lease must outlast an election, and a
// retry must fit into a client's timeout. The test of the package checks such relations. A constant
// that only one package uses is declared in that package.
package timing

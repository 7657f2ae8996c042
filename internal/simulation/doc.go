// Package simulation runs whole daemons in one process, for tests. Stand-ins take
// the place of the network, of the runners, and of clients and operators; the
// daemons' own code is that of the real process. A History records what the
// stand-ins saw, and its checkers hold that against the operators' rules.
//
// Time is that of a testing/synctest bubble, so that minutes of a cluster's life
// take seconds. The package serves tests only; no daemon imports it.
package simulation

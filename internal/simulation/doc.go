// Package simulation runs whole daemons in one process, for tests. The network,
// the runners, the clients and the operators are simulated; the daemons run the
// same code as the real process. A History records what the simulated parties
// observed, and its checkers verify that record against the operators' rules.
//
// Time is that of a testing/synctest bubble, so that minutes of cluster time
// take seconds of real time. The package is for tests only; no daemon imports it.
package simulation

// Package agent runs beside one runner, on its machine: it takes the runner's
// heartbeats, registers the runner with the leader, carries out the leader's
// assignments and reports completions.
//
// One loop owns all that is known (Agent). The runner executes under a lease on
// its own clock: the leader grants it (lease.go), and polls of the runner extend
// it (polling.go). A poll's answer lists what runs and what has ended; reconcile.go
// compares it with what is known. runs.go brings each run on, and completions.go
// has ends committed before the runner may forget them.
//
// The agent decides on no work and stores nothing: after a restart it registers
// the runner under a new fence and reads the runner's lists. It never starts a
// run whose end it has reported, and never calls a run ended that could still
// begin.
package agent

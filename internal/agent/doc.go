// Package agent is the agent of one runner, on the same machine: it receives the
// runner's heartbeats, registers the runner with the leader as a worker, executes
// the leader's assignments and reports completions.
//
// One loop owns all state (Agent). The agent has a lease on its worker from the
// leader (lease.go). It gives the runner a shorter one, on the runner's clock, with
// each poll (polling.go); when that expires the runner kills its runs. A poll's
// answer lists what runs and what has ended, and reconcile.go compares it with the
// assignments. runs.go starts and stops runs, and completions.go reports the
// completions, which are acknowledged to the runner once they are committed.
//
// The agent places no work and stores nothing: after a restart it registers the
// runner under a new fence and reads the runner's lists. It never starts a run
// whose completion it has reported, and never reports a completion of a run that
// could still start.
package agent

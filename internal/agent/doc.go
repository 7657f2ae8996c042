// Package agent is the agent of one runner on the same machine: it receives the runner's
// heartbeats, registers the runner with the leader as a worker, executes the leader's assignments
// and reports completions.
//
// One event loop owns all state (Agent). The leader grants the agent a lease on its worker
// (lease.go). With each poll the agent grants the runner a shorter lease, on the runner's clock
// (polling.go); when that expires the runner kills its runs. The response to a poll lists the
// running and the completed runs, and reconcile.go compares the lists with the assignments. runs.go
// starts and stops runs, and completions.go reports the completions, which are acknowledged to the
// runner once they are committed.
//
// The agent makes no placement decisions and stores nothing on disk: after a restart it registers
// the runner under a new fence and reads the runner's lists. It never starts a run whose completion
// it has reported, and never reports a completion of a run that could still start.
package agent

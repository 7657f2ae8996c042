package simulation

import (
	"tealpond/internal/protocol"
	"tealpond/internal/standin"
)

// Runner is a simulated runner that records its events in a History.
type Runner struct{ *standin.Worker }

// NewRunner returns a runner in its first incarnation.
func NewRunner(history *History, node, service string, seed int64) *Runner {
	return &Runner{standin.NewWorker(standin.WorkerOptions{
		Node: node, Service: service, Zone: "z", Seed: seed,
		RunFails: history.runFails,
		Observe: func(event standin.WorkerEvent) {
			history.record(Event{Kind: EventKind(event.Kind), Node: event.Node, Incarnation: event.Incarnation, Task: event.Task, Run: event.Run,
				Outcome: event.Outcome, Completion: event.Completion, JobSpec: event.JobSpec, CPUInUse: event.CPUInUse,
				CPUCapacity: event.CPUCapacity, EnforcesCapacity: event.EnforcesCapacity})
		},
	})}
}

// update changes the runner's behavior from now on.
func (runner *Runner) update(change func()) { runner.Update(change) }

// heartbeat returns the runner's incarnation and its next heartbeat.
func (runner *Runner) heartbeat() (incarnation string, heartbeat protocol.Heartbeat) {
	return runner.Heartbeat()
}

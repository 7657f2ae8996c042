package simulation

import (
	"tealpond/internal/protocol"
	"tealpond/internal/standin"
)

// Runner is a stand-in for a runner, which tells a History what is called and run.
type Runner struct{ *standin.Worker }

// NewRunner makes a runner in its first incarnation.
func NewRunner(history *History, node, service string, seed int64) *Runner {
	return &Runner{standin.NewWorker(standin.WorkerOptions{
		Node: node, Service: service, Zone: "z", Seed: seed,
		FailsNow: history.failsNow,
		Observe: func(event standin.WorkerEvent) {
			history.record(Event{Kind: EventKind(event.Kind), Node: event.Node, Incarnation: event.Incarnation, Task: event.Task, Run: event.Run,
				Outcome: event.Outcome, Completion: event.Completion, JobSpec: event.JobSpec, CPUInUse: event.CPUInUse,
				CPUCapacity: event.CPUCapacity, EnforcesCapacity: event.EnforcesCapacity})
		},
	})}
}

// update changes how the runner behaves from now on.
func (runner *Runner) update(change func()) { runner.Update(change) }

// heartbeat is the runner's next heartbeat, and its incarnation.
func (runner *Runner) heartbeat() (incarnation string, heartbeat protocol.Heartbeat) {
	return runner.Heartbeat()
}

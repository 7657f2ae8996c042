package state

import (
	"slices"

	"tealpond/internal/protocol"
)

// Worker is the row of one registered incarnation of a runner. A restarted runner is
// registered as a new worker. Commands that make a worker ineligible increment Version,
// so that placements planned before them are refused.
type Worker struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Node           string
	Service        string
	Zone           string
	Labels         []string
	Capacity       protocol.Resources
	UsedMilliCPU   int64
	UsedMemoryMB   int64
	Fence          int64  // increases with each registration; see RegisterWorker
	AgentProcessID string // of the agent that registered it; see daemon.Environment.ProcessID
	Draining       bool
	LeavesAt       int64 // 0 if it stays
	Unhealthy      bool  // silent or stalled: gets no new work for now
	LeaseExpired   bool  // its leases have certainly expired, so nothing runs there
	Dead           bool  // its runner crashed or was replaced; the worker is never used again
	Version        uint64
	LastCompletion int64 // all completions up to this number are committed
	BackoffUntil   int64 // gets no new work before this time, after a refused start or a crash on its node
	position       indexPosition
	evacuated      bool // whether its zone is evacuated, from Store.Evacuations
}

// Rack returns the label of the worker's rack. The first of a worker's labels is its kind and
// the last is its rack.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// hasLabels reports whether the worker has all of the labels.
func (w *Worker) hasLabels(labels []string) bool {
	for _, label := range labels {
		if !w.HasLabel(label) {
			return false
		}
	}
	return true
}

// RemoteFrom reports whether the worker lacks the label of the rack near which a task's data
// is stored. No worker is remote from an empty label.
func (w *Worker) RemoteFrom(label string) bool { return label != "" && !w.HasLabel(label) }

// Schedulable reports whether new work may be placed on the worker.
func (w *Worker) Schedulable() bool {
	return !w.Draining && !w.Unhealthy && !w.LeaseExpired && !w.Dead && !w.evacuated
}

// Eligible reports whether the worker may run tasks of a step of the given service, regardless of its
// free resources.
func (w *Worker) Eligible(service string, spec *protocol.Step) bool {
	return w.Schedulable() && w.Service == service && w.hasLabels(spec.RequiredLabels)
}

// FreeMilliCPU returns the unused CPU, which is never negative.
func (w *Worker) FreeMilliCPU() int64 { return max(0, w.Capacity.CPUUnits-w.UsedMilliCPU) }

// FreeMemoryMB returns the unused memory, which is never negative.
func (w *Worker) FreeMemoryMB() int64 { return max(0, w.Capacity.MemoryMB-w.UsedMemoryMB) }

// startDraining marks the worker as draining and, unless leavesInMs is negative, records when
// it leaves. Draining is never undone and the time is never postponed, since a command that
// is applied later may carry older information.
func (w *Worker) startDraining(clock, leavesInMs int64) {
	w.Draining = true
	if at := clock + leavesInMs; leavesInMs >= 0 && (w.LeavesAt == 0 || at < w.LeavesAt) {
		w.LeavesAt = at
	}
}

// claimResources reserves CPU and memory of a worker. It returns false and changes nothing if
// the worker has less free: resources are not overcommitted.
func (s *Store) claimResources(worker *Worker, milliCPU, memoryMB int64) bool {
	if worker.UsedMilliCPU+milliCPU > worker.Capacity.CPUUnits || worker.UsedMemoryMB+memoryMB > worker.Capacity.MemoryMB {
		return false
	}
	worker.UsedMilliCPU += milliCPU
	worker.UsedMemoryMB += memoryMB
	s.reindexWorker(worker)
	s.recordUndo(func() {
		worker.UsedMilliCPU -= milliCPU
		worker.UsedMemoryMB -= memoryMB
		s.reindexWorker(worker)
	})
	return true
}

// retireWorker marks a worker as dead, ends its runs as crashed and removes its devices.
func (s *Store) retireWorker(worker *Worker) {
	worker.Dead = true
	worker.Version++
	s.reindexWorker(worker)
	s.endRunsOn(worker, ResultCrashed)
	for i := 0; i < worker.Capacity.GPUs; i++ {
		delete(s.Devices, gpuDeviceID(worker.ID, i))
	}
}

package state

import (
	"slices"

	"tealpond/internal/protocol"
)

// Worker is the row of one registered incarnation of a runner: a runner that
// crashed and was restarted is another worker. Commands that make a worker
// ineligible raise Version, so that placements planned before them are refused.
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
	Fence          int64  // rises with each registration; see RegisterWorker
	AgentProcessID string // of the agent that registered it; see daemon.Environment.ProcessID
	Draining       bool
	LeavesAt       int64 // 0 if it stays
	Unhealthy      bool  // silent or stalled: no new work for now
	LeaseExpired   bool  // its leases have surely expired, so nothing runs there
	Dead           bool  // its runner crashed or was replaced; it is never used again
	Version        uint64
	LastCompletion int64 // all completions up to this number are committed
	BackoffUntil   int64 // no new work before this time, after a refused start or a crash on its node
	position       indexPosition
	evacuated      bool // its zone is; from Store.Evacuations
}

// Rack is the label of the worker's rack. A worker's labels begin with its kind
// and end with its rack.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// RemoteFrom reports whether a worker is away from the rack near which a task's
// data lies; an empty label is near all.
func (w *Worker) RemoteFrom(label string) bool { return label != "" && !w.HasLabel(label) }

// Schedulable reports whether the worker may be given new work.
func (w *Worker) Schedulable() bool {
	return !w.Draining && !w.Unhealthy && !w.LeaseExpired && !w.Dead && !w.evacuated
}

// FreeMilliCPU is the CPU that isn't used; never below 0.
func (w *Worker) FreeMilliCPU() int64 { return max(0, w.Capacity.CPUUnits-w.UsedMilliCPU) }

// FreeMemoryMB is the memory that isn't used; never below 0.
func (w *Worker) FreeMemoryMB() int64 { return max(0, w.Capacity.MemoryMB-w.UsedMemoryMB) }

// leave notes that the worker drains and, unless leavesInMs is negative, when
// it leaves. Draining is never undone, and the time is never postponed: a command
// that is applied later may carry older information.
func (w *Worker) leave(clock, leavesInMs int64) {
	w.Draining = true
	if at := clock + leavesInMs; leavesInMs >= 0 && (w.LeavesAt == 0 || at < w.LeavesAt) {
		w.LeavesAt = at
	}
}

// claimResources takes CPU and memory of a worker; false, and nothing is
// changed, if it has less than that. Nothing is overcommitted.
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

// retireWorker marks a worker as dead, ends its runs and removes its devices.
func (s *Store) retireWorker(worker *Worker) {
	worker.Dead = true
	worker.Version++
	s.reindexWorker(worker)
	s.endRunsOn(worker, ResultCrashed)
	for i := 0; i < worker.Capacity.GPUs; i++ {
		delete(s.Devices, gpuDeviceID(worker.ID, i))
	}
}

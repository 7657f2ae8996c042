package state

import "tealpond/internal/protocol"

// Worker is the row of one life of a runner; eligibility writes and bookings
// meet on it through Ver.
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
	Fence          int64
	AgentProcess   string
	Draining       bool
	LeavesAt       int64 // on the store clock, 0 if it stays
	Unhealthy      bool
	LeaseExpired   bool // its holds have surely lapsed
	Dead           bool // this life is over for good
	Version        uint64
	LastCompletion int64 // all ends up to this number are committed
	BackoffUntil   int64 // turned a start away lately
	position       indexPosition
}

// Rack is the label of the worker's rack: its kind comes first, its rack last.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel tells whether the worker bears a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// RemoteFrom tells whether work whose data lies near a rack is away from it here.
func (w *Worker) RemoteFrom(label string) bool { return label != "" && !w.HasLabel(label) }

// Schedulable is the predicate of eligibility.
func (w *Worker) Schedulable() bool { return !w.Draining && !w.Unhealthy && !w.LeaseExpired && !w.Dead }

// leave notes that the worker drains and, from 0 on, in how many ms it leaves.
// A life that drains or signed off never stays after all, and leaves no later
// than was known before: what comes later may be older news.
func (w *Worker) leave(clock, leavesIn int64) {
	w.Draining = true
	if at := clock + leavesIn; leavesIn >= 0 && (w.LeavesAt == 0 || at < w.LeavesAt) {
		w.LeavesAt = at
	}
}

// FreeMilliCPU and FreeMemoryMB are max(0, allocatable - allocated).
func (w *Worker) FreeMilliCPU() int64 { return max(0, w.Capacity.CPUUnits-w.UsedMilliCPU) }
func (w *Worker) FreeMemoryMB() int64 { return max(0, w.Capacity.MemoryMB-w.UsedMemoryMB) }

// claimCapacity is the guarded counter: false changes nothing.
func (s *Store) claimCapacity(worker *Worker, milliCPU, memoryMB int64) bool {
	// Why a ratio of 1: rooms are not overcommitted until a bench shows gain.
	if worker.UsedMilliCPU+milliCPU > worker.Capacity.CPUUnits || worker.UsedMemoryMB+memoryMB > worker.Capacity.MemoryMB {
		return false
	}
	worker.UsedMilliCPU += milliCPU
	worker.UsedMemoryMB += memoryMB
	s.reindexWorker(worker)
	s.recordUndo(func() { worker.UsedMilliCPU -= milliCPU; worker.UsedMemoryMB -= memoryMB; s.reindexWorker(worker) })
	return true
}

package store

import "tealpond/internal/protocol"

// Worker is the row of one life of a runner; eligibility writes and bookings
// meet on it through Ver.
type Worker struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Node     string
	Service  string
	Zone     string
	Labels   []string
	Room     protocol.Resources
	UsedCPU  int64
	UsedMem  int64
	Fence    int64
	Life     string
	Draining bool
	LeavesAt int64 // on the store clock, 0 if it stays
	Sick     bool
	Lost     bool // its holds have surely lapsed
	Dead     bool // this life is over for good
	Ver      uint64
	Seen     int64 // all ends up to this number are committed
	ShunTill int64 // turned a start away lately
	spot     spot
}

// Rack is the label of the worker's rack: its kind comes first, its rack last.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// Has tells whether the worker bears a label.
func (w *Worker) Has(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// FarFrom tells whether work whose data lies near a rack is away from it here.
func (w *Worker) FarFrom(near string) bool { return near != "" && !w.Has(near) }

// Bookable is the predicate of eligibility.
func (w *Worker) Bookable() bool { return !w.Draining && !w.Sick && !w.Lost && !w.Dead }

// leave notes that the worker drains and, from 0 on, in how many ms it leaves.
// A life that drains or signed off never stays after all, and leaves no later
// than was known before: what comes later may be older news.
func (w *Worker) leave(clock, leavesIn int64) {
	w.Draining = true
	if at := clock + leavesIn; leavesIn >= 0 && (w.LeavesAt == 0 || at < w.LeavesAt) {
		w.LeavesAt = at
	}
}

// FreeCPU and FreeMem are max(0, allocatable - allocated).
func (w *Worker) FreeCPU() int64 { return max(0, w.Room.CPUUnits-w.UsedCPU) }
func (w *Worker) FreeMem() int64 { return max(0, w.Room.MemoryMB-w.UsedMem) }

// claim is the guarded counter: false changes nothing.
func (s *Store) claim(w *Worker, cpu, mem int64) bool {
	// Why a ratio of 1: rooms are not overcommitted until a bench shows gain.
	if w.UsedCPU+cpu > w.Room.CPUUnits || w.UsedMem+mem > w.Room.MemoryMB {
		return false
	}
	w.UsedCPU += cpu
	w.UsedMem += mem
	s.place(w)
	s.note(func() { w.UsedCPU -= cpu; w.UsedMem -= mem; s.place(w) })
	return true
}

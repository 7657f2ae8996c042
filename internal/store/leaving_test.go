package store

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestDrainingOutlastsLaterNewsOfHealth: news of sickness or of health was
// decided on before the draining was known, and comes after it.
func TestDrainingOutlastsLaterNewsOfHealth(t *testing.T) {
	for name, leave := range map[string]*Eligible{
		"draining":    {ID: "a", Draining: true, LeavesIn: 5000},
		"signing off": {ID: "a", Draining: true, LeavesIn: 5000, Gone: true},
	} {
		for _, sick := range []bool{true, false} {
			w := newWorld(t)
			a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
			w.run("eligible", leave)
			leavesAt := a.LeavesAt
			w.run("eligible", &Eligible{ID: "a", LeavesIn: -1, Sick: sick})
			if !a.Draining || a.LeavesAt != leavesAt || a.Bookable() || a.Sick != sick {
				t.Errorf("%s, then sick %v: draining %v, sick %v, leaves at %d, want %d", name, sick, a.Draining, a.Sick, a.LeavesAt, leavesAt)
			}
		}
	}
}

// TestStaleNewsPutsNoLeavingOff: the time until a worker leaves is counted from
// when a command is applied, and may have been read long before.
func TestStaleNewsPutsNoLeavingOff(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.run("eligible", &Eligible{ID: "a", Draining: true, LeavesIn: 5000})
	leavesAt := a.LeavesAt
	w.now += 3000
	w.run("eligible", &Eligible{ID: "a", Draining: true, LeavesIn: 5000, Sick: true})
	if a.LeavesAt != leavesAt {
		t.Errorf("it leaves at %d, as it said, and %d is noted", leavesAt, a.LeavesAt)
	}
	w.run("eligible", &Eligible{ID: "a", Draining: true, LeavesIn: 0, Gone: true})
	if a.LeavesAt != w.now {
		t.Errorf("it leaves now, at %d, and %d is noted", w.now, a.LeavesAt)
	}
}

// TestLeavingLifeTakenUpAgainStillLeaves: a side daemon that knows nothing of
// the sign-off takes the life up, on the word of a heartbeat that came late.
func TestLeavingLifeTakenUpAgainStillLeaves(t *testing.T) {
	w := newWorld(t)
	a := w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	w.job("j", protocol.Step{TaskCount: 1})
	w.run("eligible", &Eligible{ID: "a", Draining: true, LeavesIn: 2000, Gone: true})
	leavesAt := a.LeavesAt
	a = w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	if !a.Draining || a.LeavesAt != leavesAt {
		t.Errorf("draining %v, leaves at %d, want %d", a.Draining, a.LeavesAt, leavesAt)
	}
	if lost := w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver}); lost != 1 {
		t.Error("booked on a worker that signed off")
	}
}

// TestEvacuatedRunResumesFromItsCheckpoint: what was stopped since its worker
// leaves goes on elsewhere from the text that the stop brought.
func TestEvacuatedRunResumesFromItsCheckpoint(t *testing.T) {
	w := newWorld(t)
	room := protocol.Resources{CPUUnits: 100, MemoryMB: 100}
	a, b := w.worker("a", room), w.worker("b", room)
	w.job("j", protocol.Step{TaskCount: 1, CPUUnits: 10, Checkpoints: true})
	w.book("j", 0, false, Item{Worker: "a", Ver: a.Ver})
	w.run("eligible", &Eligible{ID: "a", Draining: true, LeavesIn: 2500, Gone: true})
	if on := w.s.On("a"); len(on) != 1 || on[0].Stopping {
		t.Fatalf("the sign-off itself ended or stopped the run: %d left", len(on))
	}
	w.run("halt", &Halt{Allocs: []uint64{w.s.On("a")[0].ID}, Why: "worker leaves"})
	w.run("ends", &Ends{Worker: "a", Fence: a.Fence, Ends: []protocol.Completion{{Sequence: 1, Task: "j.0.0.0", Run: 1, Result: "stopped", Checkpoint: "text"}}})
	w.book("j", 0, false, Item{Worker: "b", Ver: b.Ver})
	if on := w.s.On("b"); len(on) != 1 || on[0].Saved != "text" {
		t.Errorf("it goes on elsewhere as %+v", on)
	}
}

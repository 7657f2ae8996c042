package store

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestChainTellsReplicasApart: by an entry, by an outcome, by a count of rows;
// and it is the same where nothing differs.
func TestChainTellsReplicasApart(t *testing.T) {
	build := func() *world {
		w := newWorld(t)
		w.worker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		if w.s.Chain != 0 {
			t.Fatal("a chain before the log began one")
		}
		w.run("limits", &SetLimits{Limits: w.s.Limits})
		return w
	}
	for name, c := range map[string]struct {
		change func(w *world)
		sick   bool // the entry that follows is another
		same   bool
	}{
		"nothing":  {func(*world) {}, false, true},
		"entry":    {func(*world) {}, true, false},
		"clock":    {func(w *world) { w.now++ }, false, false},
		"outcome":  {func(w *world) { w.s.Workers["a"].Dead = true }, false, false},
		"counter":  {func(w *world) { w.s.LastSeq++ }, false, false},
		"number":   {func(w *world) { w.s.Last++ }, false, false},
		"a row":    {func(w *world) { w.s.Allocs[9] = &Alloc{} }, false, false},
		"position": {func(w *world) { w.s.Skip(w.s.Applied + 1) }, false, false},
	} {
		x, y := build(), build()
		c.change(y)
		x.run("eligible", &Eligible{ID: "a"})
		y.run("eligible", &Eligible{ID: "a", Sick: c.sick})
		if x.s.Chain == 0 || (x.s.Chain == y.s.Chain) != c.same {
			t.Errorf("%s: chains %x and %x", name, x.s.Chain, y.s.Chain)
		}
	}
}

// TestChainBeginsOnce: a later leader's limits do not begin it anew, or what
// differed before would be forgotten.
func TestChainBeginsOnce(t *testing.T) {
	w := newWorld(t)
	w.run("limits", &SetLimits{})
	from, chain := w.s.ChainFrom, w.s.Chain
	w.run("limits", &SetLimits{})
	if from == 0 || w.s.ChainFrom != from || w.s.Chain == chain {
		t.Errorf("begun at %d, then at %d", from, w.s.ChainFrom)
	}
}

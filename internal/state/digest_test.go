package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestDigestChainTellsReplicasApart shows that chains differ by an entry, by an
// outcome or by a number of rows, and are the same where nothing differs.
func TestDigestChainTellsReplicasApart(t *testing.T) {
	build := func() *fixture {
		f := newFixture(t)
		f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		if f.store.DigestChain != 0 {
			t.Fatal("a chain before the log began one")
		}
		f.apply(&SetLimits{Limits: f.store.Limits})
		return f
	}
	for name, c := range map[string]struct {
		change    func(f *fixture)
		unhealthy bool // the entry that follows is another
		same      bool
	}{
		"nothing":  {func(*fixture) {}, false, true},
		"entry":    {func(*fixture) {}, true, false},
		"clock":    {func(f *fixture) { f.now++ }, false, false},
		"outcome":  {func(f *fixture) { f.store.Workers["a"].Dead = true }, false, false},
		"counter":  {func(f *fixture) { f.store.LastJobSequence++ }, false, false},
		"number":   {func(f *fixture) { f.store.LastID++ }, false, false},
		"a row":    {func(f *fixture) { f.store.Allocations[9] = &Allocation{} }, false, false},
		"position": {func(f *fixture) { f.store.SkipEntry(f.store.AppliedIndex + 1) }, false, false},
	} {
		x, y := build(), build()
		c.change(y)
		x.apply(&SetEligibility{ID: "a"})
		y.apply(&SetEligibility{ID: "a", Unhealthy: c.unhealthy})
		if x.store.DigestChain == 0 || (x.store.DigestChain == y.store.DigestChain) != c.same {
			t.Errorf("%s: chains %x and %x", name, x.store.DigestChain, y.store.DigestChain)
		}
	}
}

// TestDigestChainBeginsOnce: the limits of a later leader don't begin the chain
// anew, or what differed before would be forgotten.
func TestDigestChainBeginsOnce(t *testing.T) {
	f := newFixture(t)
	f.apply(&SetLimits{})
	from, chain := f.store.DigestChainFrom, f.store.DigestChain
	f.apply(&SetLimits{})
	if from == 0 || f.store.DigestChainFrom != from || f.store.DigestChain == chain {
		t.Errorf("the chain began at %d, then at %d", from, f.store.DigestChainFrom)
	}
}

package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestDigestChainTellsReplicasApart: by an entry, by an outcome, by a count of rows;
// and it is the same where nothing differs.
func TestDigestChainTellsReplicasApart(t *testing.T) {
	build := func() *fixture {
		f := newFixture(t)
		f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		if f.store.DigestChain != 0 {
			t.Fatal("a chain before the log began one")
		}
		f.apply("limits", &SetLimits{Limits: f.store.Limits})
		return f
	}
	for name, c := range map[string]struct {
		change func(f *fixture)
		sick   bool // the entry that follows is another
		same   bool
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
		x.apply("eligible", &SetEligibility{ID: "a"})
		y.apply("eligible", &SetEligibility{ID: "a", Unhealthy: c.sick})
		if x.store.DigestChain == 0 || (x.store.DigestChain == y.store.DigestChain) != c.same {
			t.Errorf("%s: chains %x and %x", name, x.store.DigestChain, y.store.DigestChain)
		}
	}
}

// TestDigestChainBeginsOnce: a later leader's limits do not begin it anew, or what
// differed before would be forgotten.
func TestDigestChainBeginsOnce(t *testing.T) {
	f := newFixture(t)
	f.apply("limits", &SetLimits{})
	from, chain := f.store.DigestChainFrom, f.store.DigestChain
	f.apply("limits", &SetLimits{})
	if from == 0 || f.store.DigestChainFrom != from || f.store.DigestChain == chain {
		t.Errorf("begun at %d, then at %d", from, f.store.DigestChainFrom)
	}
}

package state

import (
	"testing"

	"tealpond/internal/protocol"
)

// TestDigestChainDetectsDivergence checks that the chains of two replicas differ if an
// entry, an outcome, a counter or a number of rows differs, and are equal otherwise.
func TestDigestChainDetectsDivergence(t *testing.T) {
	build := func() *fixture {
		f := newFixture(t)
		f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
		if f.store.DigestChain != 0 {
			t.Fatal("the chain has started before SetLimits was applied")
		}
		f.apply(&SetLimits{Limits: f.store.Limits})
		return f
	}
	for name, c := range map[string]struct {
		change    func(f *fixture)
		unhealthy bool // makes the following entry differ
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
		expected, changed := build(), build()
		c.change(changed)
		expected.apply(&SetEligibility{ID: "a"})
		changed.apply(&SetEligibility{ID: "a", Unhealthy: c.unhealthy})
		if expected.store.DigestChain == 0 || (expected.store.DigestChain == changed.store.DigestChain) != c.same {
			t.Errorf("%s: unexpected chains %x and %x", name, expected.store.DigestChain, changed.store.DigestChain)
		}
	}
}

// TestDigestChainStartsOnce checks that the limits of a later leader do not restart the
// chain: an earlier divergence would no longer be detected.
func TestDigestChainStartsOnce(t *testing.T) {
	f := newFixture(t)
	f.apply(&SetLimits{})
	from, chain := f.store.DigestChainFrom, f.store.DigestChain
	f.apply(&SetLimits{})
	if from == 0 || f.store.DigestChainFrom != from || f.store.DigestChain == chain {
		t.Errorf("the chain started at index %d, then at %d", from, f.store.DigestChainFrom)
	}
}

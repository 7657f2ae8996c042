package bootstrap

import (
	"testing"
	"time"
)

// TestSeedSelectorKeepsToOneSeed: the order in the settings doesn't matter, and
// another seed is chosen only after a long silence.
func TestSeedSelectorKeepsToOneSeed(t *testing.T) {
	now := time.Unix(1000, 0)
	var first, second SeedSelector
	for range 4 {
		if x, y := first.Select([]string{"s2", "s1", "s3"}, now), second.Select([]string{"s1", "s3", "s2"}, now); x != "s1" || y != "s1" {
			t.Fatalf("%s and %s", x, y)
		}
		now = now.Add(seedTimeout - 2*AnnounceInterval)
		second.OnResponse(now)
		if x := first.Select([]string{"s2", "s1"}, now); x != "s1" {
			t.Fatalf("silent for less than %v: %s", seedTimeout, x)
		}
		first.OnResponse(now)
	}
	now = now.Add(seedTimeout)
	if x := first.Select([]string{"s2", "s1"}, now); x != "s2" {
		t.Errorf("after the first was silent for %v: %s", seedTimeout, x)
	}
	second.OnResponse(now)
	if x := second.Select([]string{"s2", "s1"}, now); x != "s1" {
		t.Errorf("the first responds: %s", x)
	}
	if x := first.Select(nil, now); x != "" {
		t.Errorf("without seeds: %q", x)
	}
}

package bootstrap

import (
	"testing"
	"time"
)

// TestSeedSelectorKeepsRespondingSeed checks that the order of the seeds does not matter, and that
// another seed is selected only once seedTimeout has passed without a response.
func TestSeedSelectorKeepsRespondingSeed(t *testing.T) {
	now := time.Unix(1000, 0)
	var first, second SeedSelector
	for range 4 {
		if x, y := first.Select([]string{"s2", "s1", "s3"}, now), second.Select([]string{"s1", "s3", "s2"}, now); x != "s1" || y != "s1" {
			t.Fatalf("selected %s and %s, want s1", x, y)
		}
		now = now.Add(seedTimeout - 2*AnnounceInterval)
		second.OnResponse(now)
		if x := first.Select([]string{"s2", "s1"}, now); x != "s1" {
			t.Fatalf("no response for less than %v: selected %s", seedTimeout, x)
		}
		first.OnResponse(now)
	}
	now = now.Add(seedTimeout)
	if x := first.Select([]string{"s2", "s1"}, now); x != "s2" {
		t.Errorf("no response for %v: selected %s", seedTimeout, x)
	}
	second.OnResponse(now)
	if x := second.Select([]string{"s2", "s1"}, now); x != "s1" {
		t.Errorf("the first seed responds: selected %s", x)
	}
	if x := first.Select(nil, now); x != "" {
		t.Errorf("without seeds: selected %q", x)
	}
}

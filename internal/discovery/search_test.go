package discovery

import (
	"fmt"
	"testing"

	"tealpond/internal/tuning"
)

// TestSampleIsBoundedAndCoversAllAddresses: each look asks a bounded number of places, the
// likeliest among them, and a few looks in a row ask every one.
func TestSampleIsBoundedAndCoversAllAddresses(t *testing.T) {
	for n := range 12 {
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint("p", i))
		}
		seen := map[string]bool{}
		for round := range 6 {
			got := sample(all, round)
			if len(got) > tuning.DiscoveryFanout || n > 0 && got[0] != "p0" {
				t.Fatalf("%d places, round %d: %v", n, round, got)
			}
			for _, addr := range got {
				seen[addr] = true
			}
		}
		if len(seen) != n {
			t.Errorf("%d of %d places were asked", len(seen), n)
		}
	}
}

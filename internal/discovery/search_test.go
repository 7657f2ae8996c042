package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestSampleIsBoundedAndCoversAllAddresses checks that each sample is bounded and starts with the most
// likely address, and that consecutive samples cover all addresses.
func TestSampleIsBoundedAndCoversAllAddresses(t *testing.T) {
	for n := range 12 {
		var addresses []string
		for i := range n {
			addresses = append(addresses, fmt.Sprint("p", i))
		}
		seen := map[string]bool{}
		for round := range 6 {
			got := sample(addresses, round)
			if len(got) > searchFanout || n > 0 && got[0] != "p0" {
				t.Fatalf("%d addresses, round %d: %v", n, round, got)
			}
			for _, addr := range got {
				seen[addr] = true
			}
		}
		if len(seen) != n {
			t.Errorf("%d of %d addresses were sampled", len(seen), n)
		}
	}
}

// TestSearchPlanFollowsEarlierSearches checks that the standby is probed first and only once, and that
// searches after failed ones start later and finally wait longer for addresses that have not answered.
func TestSearchPlanFollowsEarlierSearches(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name             string
		prefers          bool
		standby          string
		failed           int
		inBackoff        bool
		want             string
		pause            time.Duration
		stragglerTimeout time.Duration
	}{
		{"first", true, "standby", 0, false, "standby", 0, shortStragglerTimeout},
		{"PreferAggregator is not set", false, "standby", 0, false, "", 0, shortStragglerTimeout},
		{"the standby is in backoff", true, "standby", 0, true, "", 0, shortStragglerTimeout},
		{"the standby is the lost peer", true, "lost", 0, false, "", 0, shortStragglerTimeout},
		{"after one failed search", true, "standby", 1, false, "", searchInterval, shortStragglerTimeout},
		{"after many failed searches", true, "standby", 9, false, "", 2 * searchInterval, failedSearchTTL},
	} {
		c := NewClient(Options{Seeds: []string{"seed"}, PreferAggregator: test.prefers})
		c.now, c.address, c.standby, c.failedSearches = now, "lost", test.standby, test.failed
		if test.inBackoff {
			c.backOff(test.standby)
		}
		plan := c.planSearch(7)
		if plan.id != 7 || plan.standby != test.want || plan.pause != test.pause || plan.stragglerTimeout != test.stragglerTimeout || len(plan.addresses) != 1 {
			t.Errorf("%s: plan %+v", test.name, plan)
		}
	}
}

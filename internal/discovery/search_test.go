package discovery

import (
	"fmt"
	"testing"
	"time"
)

// TestSampleIsBoundedAndCoversAllAddresses: each search asks a bounded number of
// addresses, the likeliest among them, and a few searches in a row ask every one.
func TestSampleIsBoundedAndCoversAllAddresses(t *testing.T) {
	for n := range 12 {
		var addresses []string
		for i := range n {
			addresses = append(addresses, fmt.Sprint("p", i))
		}
		seen := map[string]bool{}
		for round := range 6 {
			got := sample(addresses, round)
			if len(got) > fanout || n > 0 && got[0] != "p0" {
				t.Fatalf("%d addresses, round %d: %v", n, round, got)
			}
			for _, addr := range got {
				seen[addr] = true
			}
		}
		if len(seen) != n {
			t.Errorf("%d of %d addresses were asked", len(seen), n)
		}
	}
}

// TestSearchPlanFollowsEarlierSearches: the standby is tried first, once; searches
// after failed ones begin later, and wait longer for addresses without an answer.
func TestSearchPlanFollowsEarlierSearches(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		prefers  bool
		standby  string
		failed   int
		avoided  bool
		want     string
		pause    time.Duration
		patience time.Duration
	}{
		{"first", true, "standby", 0, false, "standby", 0, hangingDaemonWait},
		{"no aggregator is preferred", false, "standby", 0, false, "", 0, hangingDaemonWait},
		{"the standby failed lately", true, "standby", 0, true, "", 0, hangingDaemonWait},
		{"the standby was lost itself", true, "lost", 0, false, "", 0, hangingDaemonWait},
		{"after one that failed", true, "standby", 1, false, "", interval, hangingDaemonWait},
		{"after many", true, "standby", 9, false, "", 2 * interval, noLeaderFindingTTL},
	} {
		c := NewClient(Options{Seeds: []string{"seed"}, PreferAggregator: test.prefers})
		c.now, c.address, c.standby, c.failedSearches = now, "lost", test.standby, test.failed
		if test.avoided {
			c.backOff(test.standby)
		}
		plan := c.planSearch(7)
		if plan.id != 7 || plan.standby != test.want || plan.pause != test.pause || plan.patience != test.patience || len(plan.addresses) != 1 {
			t.Errorf("%s: %+v", test.name, plan)
		}
	}
}

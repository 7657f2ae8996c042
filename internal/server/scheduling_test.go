package server

import (
	"testing"
)

// TestMedianRuntimePercent: workers that report nothing don't count, and two are too
// few to be compared.
func TestMedianRuntimePercent(t *testing.T) {
	for _, test := range []struct {
		reported []int64
		median   float64
		ok       bool
	}{
		{nil, 0, false},
		{[]int64{90, 110}, 0, false},
		{[]int64{90, 110, 0}, 0, false},
		{[]int64{300, 90, 110}, 110, true},
		{[]int64{300, 0, 90, 110, 100}, 110, true},
	} {
		leases := map[string]*workerLease{}
		for i, percent := range test.reported {
			leases[string(rune('a'+i))] = &workerLease{runtimePercent: percent}
		}
		if median, ok := medianRuntimePercent(leases); median != test.median || ok != test.ok {
			t.Errorf("%v: %v, %v; want %v, %v", test.reported, median, ok, test.median, test.ok)
		}
	}
}

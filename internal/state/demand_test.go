package state

import "testing"

// TestDemandHistoryIsBounded checks that work of the same bucket is added up and that
// buckets that are too old are removed.
func TestDemandHistoryIsBounded(t *testing.T) {
	s := New(Limits{})
	s.recordDemand("a", 1, 5)
	s.recordDemand("a", 1, 7)
	s.recordDemand("b", 1, 3)
	if s.Demand["a"][1] != 12 || s.Demand["b"][1] != 3 {
		t.Errorf("demand history is %v, want a:1:12 and b:1:3", s.Demand)
	}
	for bucket := range int64(2 * demandBuckets) {
		s.recordDemand("a", bucket, 1)
	}
	if n := len(s.Demand["a"]); n != demandBuckets+1 {
		t.Errorf("%d buckets are kept, want demandBuckets+1", n)
	}
}

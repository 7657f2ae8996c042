package state

import "testing"

// TestRecordOfDemandIsBounded: work of a bucket adds up, and buckets that are too
// old are dropped.
func TestRecordOfDemandIsBounded(t *testing.T) {
	s := New(Limits{})
	s.recordDemand("a", 1, 5)
	s.recordDemand("a", 1, 7)
	s.recordDemand("b", 1, 3)
	if s.Demand["a"][1] != 12 || s.Demand["b"][1] != 3 {
		t.Errorf("recorded %v", s.Demand)
	}
	for bucket := range int64(2 * demandBuckets) {
		s.recordDemand("a", bucket, 1)
	}
	if n := len(s.Demand["a"]); n != demandBuckets+1 {
		t.Errorf("%d buckets are kept", n)
	}
}

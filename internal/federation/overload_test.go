package federation

import "testing"

// TestForecastLimitsOffersAndLoans checks that a cluster counts as overloaded only if the forecast
// says so, and that it lends only capacity that is forecast to stay free.
func TestForecastLimitsOffersAndLoans(t *testing.T) {
	// Buckets of one second, ten of them a day. Ten cores are overloaded from 8,000 core-ms of demand
	// in a bucket.
	settings := Settings{BucketS: 1, DayS: 10, MinDays: 2, HorizonBuckets: 2, OverloadShare: 0.8,
		LendShare: 0.3, LoanS: 3}
	const now = 40
	for _, test := range []struct {
		name       string
		days       int64 // of demand data
		demand     float64
		share      float64
		capacity   int64
		overloaded bool
		lendable   int64
	}{
		{"half loaded, LendShare bounds the loan", 4, 4000, 0.3, 10_000, false, 3000},
		{"half loaded, the forecast bounds the loan", 4, 4000, 0.5, 10_000, false, 3800},
		{"overload", 4, 9000, 0.3, 10_000, true, 0},
		{"too little data", 1, 9000, 0.3, 10_000, false, 0},
		{"no workers", 4, 9000, 0.3, 0, false, 0},
	} {
		work := PendingWork{WallMs: now * 1000, CapacityMilliCPU: test.capacity, Demand: map[int64]float64{}}
		for bucket := now - 10*test.days; bucket < now; bucket++ {
			work.Demand[bucket] = test.demand
		}
		settings.LendShare = test.share
		if overloaded, lendable := settings.ForecastsOverload(work),
			settings.LendableMilliCPU(work); overloaded != test.overloaded || lendable != test.lendable {
			t.Errorf("%s: overloaded %v, lendable %d", test.name, overloaded, lendable)
		}
	}
}

package federation

import "testing"

// TestForecastDecidesWhatIsOfferedAndLent: jobs leave a cluster only if a crowd is
// foreseen, and room is lent only as far as the forecast says that it stays free.
func TestForecastDecidesWhatIsOfferedAndLent(t *testing.T) {
	// Buckets of a second, of which ten make a day; 8,000 core-ms in one are a crowd
	// for ten cores.
	settings := Settings{BucketS: 1, DayS: 10, MinDays: 2, HorizonBuckets: 2, CrowdedShare: 0.8, LendShare: 0.3, LoanS: 3}
	const now = 40
	for _, test := range []struct {
		name     string
		days     int64 // of record
		demand   float64
		share    float64
		capacity int64
		crowded  bool
		lendable int64
	}{
		{"half full, the share bounds the loan", 4, 4000, 0.3, 10_000, false, 3000},
		{"half full, the forecast bounds the loan", 4, 4000, 0.5, 10_000, false, 3800},
		{"a crowd", 4, 9000, 0.3, 10_000, true, 0},
		{"too little record", 1, 9000, 0.3, 10_000, false, 0},
		{"no workers", 4, 9000, 0.3, 0, false, 0},
	} {
		work := PendingWork{WallMs: now * 1000, CapacityMilliCPU: test.capacity, Demand: map[int64]float64{}}
		for bucket := now - 10*test.days; bucket < now; bucket++ {
			work.Demand[bucket] = test.demand
		}
		settings.LendShare = test.share
		if crowded, lendable := settings.Crowded(work), settings.LendableMilliCPU(work); crowded != test.crowded || lendable != test.lendable {
			t.Errorf("%s: crowded %v, %d to lend", test.name, crowded, lendable)
		}
	}
}

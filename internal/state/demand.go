package state

// demandBuckets is how many buckets of five minutes of a route's record of demand
// are kept: those of eight days.
const demandBuckets = 8 * 24 * 60 / 5

// recordDemand adds work, in cores times ms, to the record of demand that forecasts
// are based on.
func (s *Store) recordDemand(route string, bucket int64, coreMs float64) {
	if s.Demand == nil {
		s.Demand = map[string]map[int64]float64{}
	}
	buckets := s.Demand[route]
	if buckets == nil {
		buckets = map[int64]float64{}
		s.Demand[route] = buckets
	}
	buckets[bucket] += coreMs
	for recorded := range buckets {
		if recorded < bucket-demandBuckets {
			delete(buckets, recorded)
		}
	}
}

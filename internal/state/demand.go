package state

// demandBuckets is the number of five-minute buckets that a route's demand history
// covers: eight days.
const demandBuckets = 8 * 24 * 60 / 5

// recordDemand adds submitted work, in cores times ms, to a bucket of the route's demand
// history, on which forecasts are based. It removes buckets that are too old.
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

package state

import "tealpond/internal/clusterconfig"

// PendingJobCount returns the number of open jobs of a route that have status StatusPending.
func (s *Store) PendingJobCount(route *clusterconfig.Route) int {
	key, count := s.routeKey(route), 0
	for _, job := range s.openJobs {
		if job.Route == key && job.Status() == StatusPending {
			count++
		}
	}
	return count
}

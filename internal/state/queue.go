package state

import (
	"maps"
	"slices"

	"tealpond/internal/clusterconfig"
)

// Clients address a queue by its host and path prefix. The name of its route is the operators' own: a
// configuration may give the queue a route of another name, and the name to another queue.

// routeKey returns the key under which a route, its jobs and its demand are kept: its queue. In formats
// before FormatQueues it is the route's name.
func (s *Store) routeKey(route *clusterconfig.Route) string {
	if s.Format < FormatQueues {
		return route.Name
	}
	return route.Queue()
}

// RouteName returns the name of the route of a job's queue, as the last configuration that has the queue
// calls it.
func (s *Store) RouteName(job *Job) string {
	if route := s.Routes[job.Route]; route != nil {
		return route.Name
	}
	return job.Route
}

// RouteNamed returns the route with a name, or nil if there is none. In formats before FormatQueues it may
// be one of an earlier configuration.
func (s *Store) RouteNamed(name string) *clusterconfig.Route {
	if s.Format < FormatQueues {
		return s.Routes[name]
	}
	for i := range s.Configuration.Routes {
		if route := &s.Configuration.Routes[i]; route.Name == name {
			return route
		}
	}
	return nil
}

// keyRoutesByQueue replaces the names of routes by their queues: in the table of routes, in the jobs that
// were accepted in an earlier format, and in the recorded demand. Of several routes of one queue
// that of the current configuration stays, else the last one by name.
func (s *Store) keyRoutesByQueue() {
	byName := s.Routes
	s.Routes = map[string]*clusterconfig.Route{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s.Routes[byName[name].Queue()] = byName[name]
	}
	for i := range s.Configuration.Routes {
		route := s.Configuration.Routes[i]
		s.Routes[route.Queue()] = &route
	}
	for _, job := range s.Jobs {
		if route := byName[job.Route]; route != nil {
			job.Route = route.Queue()
		}
	}
	s.keyDemandByQueue(byName)
}

// keyDemandByQueue replaces the names of routes in the recorded demand by their queues.
func (s *Store) keyDemandByQueue(byName map[string]*clusterconfig.Route) {
	if s.Demand == nil {
		return
	}
	demand := s.Demand
	s.Demand = map[string]map[int64]float64{}
	for _, name := range slices.Sorted(maps.Keys(demand)) {
		key := name
		if route := byName[name]; route != nil {
			key = route.Queue()
		}
		if s.Demand[key] == nil {
			s.Demand[key] = map[int64]float64{}
		}
		for bucket, coreMs := range demand[name] {
			s.Demand[key][bucket] += coreMs
		}
	}
}

package state

import (
	"maps"
	"time"
)

// goneWorkerRetention is how long the row of a worker is kept that is dead, or announced its end
// and left; late heartbeats are refused meanwhile.
const goneWorkerRetention = 10 * time.Minute

// ForgetUnused removes what nothing refers to any more: workers that are gone, rows of
// earlier configurations, and records of demand that are too old. It is a command beside
// CollectGarbage, which logs of earlier versions contain: what they do stays as it was.
type ForgetUnused struct {
	_ struct{} `cbor:",toarray"`
}

// Apply removes the rows. The outcome is always CodeOK.
func (c *ForgetUnused) Apply(s *Store) Outcome {
	s.forgetGoneWorkers()
	s.forgetOldDemand()
	s.forgetEarlierConfigurations()
	return Outcome{Code: CodeOK}
}

// forgetGoneWorkers removes the rows of workers that have been gone for
// goneWorkerRetention: each restart of a runner leaves one. After that time a
// late heartbeat can't bring the worker back, since its agent asks the runner which
// incarnation is the present one (RegisterWorker.ReplacesFence).
func (s *Store) forgetGoneWorkers() {
	for id := range s.GoneWorkers {
		if worker := s.Workers[id]; worker == nil || !worker.gone(s.Clock) {
			delete(s.GoneWorkers, id)
		}
	}
	for id, worker := range s.Workers {
		if !worker.gone(s.Clock) || len(s.allocationsByWorker[id]) > 0 {
			continue
		}
		since, noted := s.GoneWorkers[id]
		switch {
		case !noted:
			if s.GoneWorkers == nil {
				s.GoneWorkers = map[string]int64{}
			}
			s.GoneWorkers[id] = s.Clock
		case s.Clock-since >= goneWorkerRetention.Milliseconds():
			s.removeWorker(worker)
		}
	}
}

// gone reports whether the worker is never used again: its runner crashed or was
// replaced, or it announced when it leaves, that time is over, and nothing can run
// there any more.
func (w *Worker) gone(clock int64) bool {
	left := w.Draining && w.LeavesAt > 0 && w.LeavesAt <= clock && w.LeaseExpired
	return w.Dead || left
}

// removeWorker removes the row of a worker on which nothing runs, and its devices. The
// scheduling index doesn't have it, since a worker that is gone isn't schedulable.
func (s *Store) removeWorker(worker *Worker) {
	for i := range worker.Capacity.GPUs {
		delete(s.Devices, gpuDeviceID(worker.ID, i))
	}
	delete(s.Workers, worker.ID)
	delete(s.GoneWorkers, worker.ID)
}

// forgetEarlierConfigurations removes routes, services and quotas that the
// configuration in force doesn't name and that nothing refers to. Routes with a record
// of demand stay as long as that, for forecasts.
func (s *Store) forgetEarlierConfigurations() {
	routes, services, tenants := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range s.Configuration.Routes {
		routes[s.Configuration.Routes[i].Name] = true
	}
	for _, service := range s.Configuration.Services {
		services[service.Name] = true
	}
	for _, tenant := range s.Configuration.Tenants() {
		tenants[tenant.Name] = true
	}
	for route := range s.Demand {
		routes[route] = true
	}
	for _, job := range s.Jobs {
		routes[job.Route] = true
		services[job.Service] = true
		tenants[job.Tenant()] = true
	}
	for _, worker := range s.Workers {
		services[worker.Service] = true
	}
	keepOnly(s.Routes, routes)
	keepOnly(s.Services, services)
	keepOnly(s.Quotas, tenants)
}

// keepOnly removes the rows of a table whose names aren't in use.
func keepOnly[V any](table map[string]V, used map[string]bool) {
	maps.DeleteFunc(table, func(name string, _ V) bool { return !used[name] })
}

// forgetOldDemand removes the records of routes for which no work was submitted in
// the span that is kept.
func (s *Store) forgetOldDemand() {
	newest := int64(0)
	for _, buckets := range s.Demand {
		for bucket := range buckets {
			newest = max(newest, bucket)
		}
	}
	for route, buckets := range s.Demand {
		maps.DeleteFunc(buckets, func(bucket int64, _ float64) bool { return bucket < newest-demandBuckets })
		if len(buckets) == 0 {
			delete(s.Demand, route)
		}
	}
}

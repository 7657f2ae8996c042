package state

import (
	"maps"
	"time"
)

// goneWorkerRetention is how long the row of a worker is kept after the worker has died or has
// left as announced. Late heartbeats are refused by it during that time.
const goneWorkerRetention = 10 * time.Minute

// RemoveUnused removes rows that are no longer referenced: workers that are gone, rows of
// earlier configurations, and outdated demand history. It is separate from CollectGarbage
// because logs of earlier versions contain that command, whose effect must not change.
type RemoveUnused struct {
	_ struct{} `cbor:",toarray"`
}

// Apply removes the rows. The outcome is always CodeOK.
func (c *RemoveUnused) Apply(s *Store) Outcome {
	s.removeGoneWorkers()
	s.pruneDemandHistory()
	s.removeEarlierConfigurations()
	return Outcome{Code: CodeOK}
}

// removeGoneWorkers removes the rows of workers that have been gone for
// goneWorkerRetention. Each restart of a runner leaves such a row. Once the row is
// removed, a late heartbeat cannot bring the worker back, since its agent asks the
// runner for its current incarnation (RegisterWorker.ReplacesFence).
func (s *Store) removeGoneWorkers() {
	for id := range s.GoneWorkers {
		if worker := s.Workers[id]; worker == nil || !worker.gone(s.Clock) {
			delete(s.GoneWorkers, id)
		}
	}
	for id, worker := range s.Workers {
		if !worker.gone(s.Clock) || len(s.allocationsByWorker[id]) > 0 {
			continue
		}
		since, recorded := s.GoneWorkers[id]
		switch {
		case !recorded:
			if s.GoneWorkers == nil {
				s.GoneWorkers = map[string]int64{}
			}
			s.GoneWorkers[id] = s.Clock
		case s.Clock-since >= goneWorkerRetention.Milliseconds():
			s.removeWorker(worker)
		}
	}
}

// gone reports whether the worker is never used again: either its runner crashed or was
// replaced, or the worker announced when it would leave, that time has passed, and its
// lease has expired, so that nothing can run there any more.
func (w *Worker) gone(clock int64) bool {
	left := w.Draining && w.LeavesAt > 0 && w.LeavesAt <= clock && w.LeaseExpired
	return w.Dead || left
}

// removeWorker removes a worker without allocations, and its GPU devices. The scheduling
// index does not contain the worker, since a worker that is gone is not schedulable.
func (s *Store) removeWorker(worker *Worker) {
	for i := range worker.Capacity.GPUs {
		delete(s.Devices, gpuDeviceID(worker.ID, i))
	}
	delete(s.Workers, worker.ID)
	delete(s.GoneWorkers, worker.ID)
	delete(s.EligibilityReports, worker.ID)
}

// removeEarlierConfigurations removes routes, services and quotas that the current
// configuration does not contain and that nothing refers to. Routes are kept as long as
// their demand history, which forecasts use.
func (s *Store) removeEarlierConfigurations() {
	routes, services, tenants := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range s.Configuration.Routes {
		routes[s.routeKey(&s.Configuration.Routes[i])] = true
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
	removeUnused(s.Routes, routes)
	removeUnused(s.Services, services)
	removeUnused(s.Quotas, tenants)
}

// removeUnused removes the rows of a table whose names are not in use.
func removeUnused[V any](table map[string]V, used map[string]bool) {
	maps.DeleteFunc(table, func(name string, _ V) bool { return !used[name] })
}

// pruneDemandHistory removes the buckets of the demand history that are more than demandBuckets
// older than the newest bucket of any route, and routes that have no bucket left.
func (s *Store) pruneDemandHistory() {
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

package state

import (
	"slices"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// The jobs of a route with a traffic split are divided among the services of the split. A job that
// has started stays with its service as long as the route has that service, since its checkpoints and
// its data are there.

// applyRoute puts a route into force for an open job.
func (s *Store) applyRoute(job *Job, route *clusterconfig.Route) {
	job.applyRouteSettings(route)
	job.Service = s.serviceOnRoute(job, route)
	job.splitRoute = s.splitRouteOf(route)
}

// splitRouteOf returns the route if it divides jobs among services, else nil.
func (s *Store) splitRouteOf(route *clusterconfig.Route) *clusterconfig.Route {
	if s.Format < FormatSplitJobs || route == nil || len(route.Split) == 0 {
		return nil
	}
	return route
}

// serviceOnRoute returns the service that gets an open job when a route comes into force for it.
func (s *Store) serviceOnRoute(job *Job, route *clusterconfig.Route) string {
	switch {
	case s.Format < FormatSplitJobs:
		return route.TargetService
	case job.Started && slices.Contains(route.Services(), job.Service):
		return job.Service
	}
	return route.ServiceForJob(job.ID)
}

// ServiceForStep returns the service whose workers run the tasks of a step: the job's service or, if
// none of its workers can ever run them, the first service of the job's route whose workers can.
func (s *Store) ServiceForStep(job *Job, step int) string {
	if job.splitRoute == nil {
		return job.Service
	}
	return s.serviceForStep(job.Service, job.splitRoute, &job.Steps[step])
}

// ServiceForSubmission returns the service whose workers would run the first step of a job that is
// not submitted yet.
func (s *Store) ServiceForSubmission(route *clusterconfig.Route, id string, submitted *protocol.Job) string {
	if s.splitRouteOf(route) == nil || len(submitted.Steps) == 0 {
		return route.TargetService
	}
	return s.serviceForStep(route.ServiceForJob(id), route, &submitted.Steps[0])
}

// serviceForStep returns the preferred service of a split route if its workers can run a step, else the
// first other one whose workers can, else the preferred one.
func (s *Store) serviceForStep(preferred string, route *clusterconfig.Route, spec *protocol.Step) string {
	if s.canRun(preferred, spec) {
		return preferred
	}
	for _, service := range route.Services() {
		if service != preferred && s.canRun(service, spec) {
			return service
		}
	}
	return preferred
}

// canRun reports whether a service's schedulable workers could run a task of a step, or its whole
// gang, if they were free. It depends on the rows of the workers and not on their order.
func (s *Store) canRun(service string, spec *protocol.Step) bool {
	missing := 1
	if spec.Gang {
		missing = spec.TaskCount
	}
	s.EachWorkerByFreeCPU(service, 0, func(worker *Worker) bool {
		missing -= worker.tasksWhenFree(spec, missing)
		return missing > 0
	})
	return missing <= 0
}

// tasksWhenFree returns how many tasks of a step, at most limit, the worker could run at a time if
// it were free.
func (w *Worker) tasksWhenFree(spec *protocol.Step, limit int) int {
	if !w.hasLabels(spec.RequiredLabels) {
		return 0
	}
	if spec.MaxPerWorker > 0 {
		limit = min(limit, spec.MaxPerWorker)
	}
	for _, resource := range []struct{ capacity, needed int64 }{
		{w.Capacity.CPUUnits, spec.CPUUnits},
		{w.Capacity.MemoryMB, spec.MemoryMB},
		{int64(w.Capacity.GPUs), int64(spec.GPUs)},
	} {
		if resource.needed > 0 {
			limit = int(min(int64(limit), resource.capacity/resource.needed))
		}
	}
	return limit
}

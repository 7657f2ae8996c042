package scheduler

import (
	"sort"

	"tealpond/internal/state"
)

// fullScanMaxWorkers is the maximum number of workers of a service with which all of them are scored
// for each step.
const fullScanMaxWorkers = 96

// snapshot tracks the free capacity of workers while a plan is made. Workers are added
// when they are first examined, since all of them are examined only where a service has
// few.
type snapshot struct {
	store       *state.Store
	planner     *Planner // nil while a plan is applied, since replicas have no planner
	capacities  map[string]*workerCapacity
	byService   map[string][]*workerCapacity // see fullScan
	exhaustive  bool                         // scan all workers however many there are
	unplaceable map[string][]state.Resources // by service, task sizes that fit on no worker
}

// workerCapacity is the free capacity of one worker.
type workerCapacity struct {
	worker     *state.Worker
	excluded   bool // it gets no new tasks at the moment
	freeCPU    int64
	freeMemory int64
	freeGPUs   int
	colocated  map[string]int // number of tasks on the worker, by step name
}

func newSnapshot(store *state.Store, planner *Planner) *snapshot {
	return &snapshot{store: store, planner: planner, capacities: map[string]*workerCapacity{}, byService: map[string][]*workerCapacity{}, unplaceable: map[string][]state.Resources{}}
}

// newExhaustiveSnapshot returns a snapshot that scans all workers, in the order of their
// IDs, so that each replica computes the same result.
func newExhaustiveSnapshot(store *state.Store) *snapshot {
	snap := newSnapshot(store, nil)
	snap.exhaustive = true
	return snap
}

// capacityOf returns a worker's free capacity, which it reads from the state on first use.
func (s *snapshot) capacityOf(worker *state.Worker) *workerCapacity {
	if capacity := s.capacities[worker.ID]; capacity != nil {
		return capacity
	}
	capacity := &workerCapacity{worker: worker, freeCPU: worker.FreeMilliCPU(), freeMemory: worker.FreeMemoryMB()}
	capacity.excluded = !worker.Schedulable() || worker.BackoffUntil > s.store.Clock || s.planner != nil && s.planner.UnresponsiveWorkers[worker.ID]
	if worker.Capacity.GPUs > 0 {
		used := 0
		for _, allocation := range s.store.AllocationsOn(worker.ID) {
			used += len(allocation.GPUs)
		}
		capacity.freeGPUs = worker.Capacity.GPUs - used
	}
	s.capacities[worker.ID] = capacity
	return capacity
}

// fullScan returns all schedulable workers of a service in the order of their IDs, or false
// if there are more than fullScanMaxWorkers and the snapshot isn't exhaustive.
func (s *snapshot) fullScan(service string) ([]*workerCapacity, bool) {
	if _, n := s.store.SchedulableCapacity(service); n > fullScanMaxWorkers && !s.exhaustive {
		return nil, false
	}
	if s.byService[service] == nil {
		capacities := []*workerCapacity{}
		for _, worker := range s.store.Workers {
			if worker.Service == service && worker.Schedulable() {
				capacities = append(capacities, s.capacityOf(worker))
			}
		}
		sort.Slice(capacities, func(a, b int) bool { return capacities[a].worker.ID < capacities[b].worker.ID })
		s.byService[service] = capacities
	}
	return s.byService[service], true
}

// knownUnplaceable reports whether a step is known to fit on no worker, because a step of
// at most its size didn't fit earlier in this plan, and placements only reduce the free
// capacity.
func (s *snapshot) knownUnplaceable(request *placementRequest) bool {
	spec := request.spec()
	for _, size := range s.unplaceable[request.service] {
		if spec.CPUUnits >= size.MilliCPU && spec.MemoryMB >= size.MemoryMB {
			return true
		}
	}
	return false
}

// recordUnplaceable records the size of a step that fits on no worker, if only its size can
// be the reason. Steps that can meet their target are left out, since they skip slow
// workers.
func (s *snapshot) recordUnplaceable(request *placementRequest) {
	spec := request.spec()
	if len(spec.RequiredLabels) == 0 && spec.MaxPerWorker == 0 && spec.GPUs == 0 && !request.speculative && request.class > onTime {
		s.unplaceable[request.service] = append(s.unplaceable[request.service], state.Resources{MilliCPU: spec.CPUUnits, MemoryMB: spec.MemoryMB})
	}
}

// colocatedTasks returns the number of tasks of a step on a worker, including those placed
// by this plan.
func (s *snapshot) colocatedTasks(capacity *workerCapacity, request *placementRequest, stepName string) int {
	if capacity.colocated == nil {
		capacity.colocated = map[string]int{}
	}
	n, ok := capacity.colocated[stepName]
	if !ok {
		n = s.store.CountStepTasks(request.job.ID, request.instance.Number, request.step, capacity.worker.ID)
		capacity.colocated[stepName] = n
	}
	return n
}

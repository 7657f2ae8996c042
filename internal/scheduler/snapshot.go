package scheduler

import (
	"sort"

	"tealpond/internal/state"
)

// fullScanMaxWorkers is the number of workers of a service up to which all of them are scored for
// each step.
const fullScanMaxWorkers = 96

// snapshot is the room on the workers that a plan has left. Workers are added when
// the plan first looks at them, since it looks at all only where a service has few.
type snapshot struct {
	store       *state.Store
	planner     *Planner // nil while a plan is applied: replicas know no planner
	capacities  map[string]*workerCapacity
	byService   map[string][]*workerCapacity // see fullScan
	exhaustive  bool
	unplaceable map[string][]state.Resources // sizes that fit on no worker of a service
}

// workerCapacity is the room left on one worker.
type workerCapacity struct {
	worker     *state.Worker
	excluded   bool // it gets nothing new at the moment
	freeCPU    int64
	freeMemory int64
	freeGPUs   int
	colocated  map[string]int // tasks of a step there, by the step's name
}

func newSnapshot(store *state.Store, planner *Planner) *snapshot {
	return &snapshot{store: store, planner: planner, capacities: map[string]*workerCapacity{}, byService: map[string][]*workerCapacity{}, unplaceable: map[string][]state.Resources{}}
}

// newExhaustiveSnapshot makes a snapshot that looks at every worker, in the order of
// their IDs. It finds the same on each replica.
func newExhaustiveSnapshot(store *state.Store) *snapshot {
	snap := newSnapshot(store, nil)
	snap.exhaustive = true
	return snap
}

// capacityOf returns a worker's room, reading it from the state the first time.
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

// fullScan returns all workers of a service, by ID, or false if there are more than
// fullScanMaxWorkers and the snapshot isn't exhaustive.
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

// knownUnplaceable reports whether a step surely fits nowhere: one that is no larger
// did not, and planning only takes room.
func (s *snapshot) knownUnplaceable(request *placementRequest) bool {
	spec := request.spec()
	for _, size := range s.unplaceable[request.job.Service] {
		if spec.CPUUnits >= size.MilliCPU && spec.MemoryMB >= size.MemoryMB {
			return true
		}
	}
	return false
}

// recordUnplaceable notes the size of a step that fits nowhere, if that is for its
// size alone. Steps that can be on time don't count, since they pass over slow
// workers.
func (s *snapshot) recordUnplaceable(request *placementRequest) {
	spec := request.spec()
	if len(spec.RequiredLabels) == 0 && spec.MaxPerWorker == 0 && spec.GPUs == 0 && !request.speculative && request.class > onTime {
		s.unplaceable[request.job.Service] = append(s.unplaceable[request.job.Service], state.Resources{MilliCPU: spec.CPUUnits, MemoryMB: spec.MemoryMB})
	}
}

// colocatedTasks counts the tasks of a step on a worker, those placed by this plan
// included.
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

package scheduler

import (
	"math"
	"sort"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// snapshot is the room that a plan has left. It holds a slot for each worker that
// it looked at, and all of them only where a service has few.
type snapshot struct {
	store       *state.Store
	planner     *Planner
	capacities  map[string]*workerCapacity
	byService   map[string][]*workerCapacity // by service, where all are looked at
	exhaustive  bool
	unplaceable map[string][]state.Resources // sizes that fit on no worker of a service
}

type workerCapacity struct {
	worker              *state.Worker
	excluded            bool // takes nothing new at the moment
	freeCPU, freeMemory int64
	freeGPUs            int
	colocated           map[string]int
}

func newSnapshot(store *state.Store, planner *Planner) *snapshot {
	return &snapshot{store: store, planner: planner, capacities: map[string]*workerCapacity{}, byService: map[string][]*workerCapacity{}, unplaceable: map[string][]state.Resources{}}
}

// knownUnplaceable tells that a step fits nowhere: a smaller one did not, and a plan only
// takes room.
func (s *snapshot) knownUnplaceable(request *placementRequest) bool {
	spec := &request.job.Steps[request.step]
	for _, size := range s.unplaceable[request.job.Service] {
		if spec.CPUUnits >= size.MilliCPU && spec.MemoryMB >= size.MemoryMB {
			return true
		}
	}
	return false
}

// recordUnplaceable notes the size of a step that fits nowhere for its size alone.
func (s *snapshot) recordUnplaceable(request *placementRequest) {
	spec := &request.job.Steps[request.step]
	// Why not of the first class: it may pass over slow workers.
	if len(spec.RequiredLabels) == 0 && spec.MaxPerWorker == 0 && spec.GPUs == 0 && !request.speculative && request.deadlineClass > 0 {
		s.unplaceable[request.job.Service] = append(s.unplaceable[request.job.Service], state.Resources{MilliCPU: spec.CPUUnits, MemoryMB: spec.MemoryMB})
	}
}

// newExhaustiveSnapshot is a view that looks at every worker, in the order of their names:
// what it finds is the same on each copy of the state.
func newExhaustiveSnapshot(store *state.Store) *snapshot {
	snap := newSnapshot(store, nil)
	snap.exhaustive = true
	return snap
}

// capacityOf is a worker's, made when it is first looked at.
func (s *snapshot) capacityOf(worker *state.Worker) *workerCapacity {
	if capacity := s.capacities[worker.ID]; capacity != nil {
		return capacity
	}
	capacity := &workerCapacity{worker: worker, freeCPU: worker.FreeMilliCPU(), freeMemory: worker.FreeMemoryMB()}
	capacity.excluded = !worker.Schedulable() || worker.BackoffUntil > s.store.Clock || s.planner != nil && s.planner.SilentWorkers[worker.ID]
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

// fullScan gives all slots of a service if it has few workers, by name.
func (s *snapshot) fullScan(service string) ([]*workerCapacity, bool) {
	if _, n := s.store.SchedulableCapacity(service); n > tuning.FullScanMaxWorkers && !s.exhaustive {
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

// fits tells whether one task of a step fits there now.
func (s *snapshot) fits(capacity *workerCapacity, request *placementRequest, spec *protocol.Step, rack, stepName string) bool {
	switch {
	case capacity.excluded, capacity.freeCPU < spec.CPUUnits, capacity.freeMemory < spec.MemoryMB, capacity.freeGPUs < spec.GPUs, rack != "" && capacity.worker.Rack() != rack:
		return false
	case request.excludedWorkers[capacity.worker.ID], !s.store.Feasible(request.job, request.step, capacity.worker):
		return false
	case capacity.worker.LeavesAt > 0 && capacity.worker.LeavesAt < s.store.Clock+spec.EstimateMs:
		return false
	case spec.MaxPerWorker > 0 && s.colocatedTasks(capacity, *request, stepName) >= spec.MaxPerWorker:
		return false
	}
	return !s.tooSlow(capacity, *request)
}

// candidates are the slots that one task may go to: all that fit where a
// service has few workers; else those near its data and the fullest that fit.
func (s *snapshot) candidates(request *placementRequest, spec *protocol.Step, rack, stepName string) []*workerCapacity {
	if all, ok := s.fullScan(request.job.Service); ok {
		return all
	}
	var capacities []*workerCapacity
	add := func(worker *state.Worker) bool {
		if capacity := s.capacityOf(worker); s.fits(capacity, request, spec, rack, stepName) {
			capacities = append(capacities, capacity)
		}
		return len(capacities) < tuning.MaxCandidates
	}
	if rack != "" {
		for _, worker := range s.store.WorkersWithLabel(request.job.Service, rack) {
			add(worker)
		}
		return capacities
	}
	if spec.PreferredRack != "" {
		for _, worker := range s.store.WorkersWithLabel(request.job.Service, spec.PreferredRack) {
			add(worker)
		}
		if len(capacities) > 0 {
			// Why these alone: anywhere else it takes longer.
			return capacities
		}
	}
	if len(spec.RequiredLabels) > 0 {
		rarest := s.store.WorkersWithLabel(request.job.Service, spec.RequiredLabels[0])
		for _, label := range spec.RequiredLabels[1:] {
			if worker := s.store.WorkersWithLabel(request.job.Service, label); len(worker) < len(rarest) {
				rarest = worker
			}
		}
		for _, worker := range rarest {
			if !add(worker) {
				break
			}
		}
		return capacities
	}
	s.store.EachWorkerByFreeCPU(request.job.Service, spec.CPUUnits, add)
	return capacities
}

// placeStep places a step's tasks; a gang whole or not at all.
func (s *snapshot) placeStep(request placementRequest) state.Plan {
	spec := request.job.Steps[request.step]
	plan := state.Plan{Job: request.job.ID, Instance: request.instance.Number, Step: request.step, AllOrNothing: spec.Gang}
	if spec.Gang && spec.SameRack {
		if rackPlan, ok := s.placeOnOneRack(request, plan); ok {
			return rackPlan
		}
	}
	items, undo := s.placeTasks(request, "")
	if spec.Gang && len(items) < len(request.tasks) {
		undo()
		return state.Plan{}
	}
	plan.Placements = items
	return plan
}

// placeOnOneRack places all of a gang on one rack, if one has the room.
func (s *snapshot) placeOnOneRack(request placementRequest, plan state.Plan) (state.Plan, bool) {
	spec := &request.job.Steps[request.step]
	free, racks := map[string]int64{}, []string{}
	note := func(worker *state.Worker) {
		rack := worker.Rack()
		if _, ok := free[rack]; !ok {
			racks = append(racks, rack)
		}
		free[rack] += s.capacityOf(worker).freeCPU
	}
	if all, ok := s.fullScan(request.job.Service); ok {
		for _, capacity := range all {
			note(capacity.worker)
		}
	} else {
		s.store.EachWorkerByFreeCPU(request.job.Service, spec.CPUUnits, func(worker *state.Worker) bool { note(worker); return true })
	}
	sort.SliceStable(racks, func(a, b int) bool {
		// Why first where the data is: it works faster there.
		return racks[a] == spec.PreferredRack && racks[b] != spec.PreferredRack
	})
	for _, rack := range racks {
		if free[rack] < spec.CPUUnits*int64(len(request.tasks)) {
			continue
		}
		items, undo := s.placeTasks(request, rack)
		if len(items) == len(request.tasks) {
			plan.Placements = items
			return plan, true
		}
		undo()
	}
	return plan, false
}

// placeTasks places as many tasks as fit, on one rack if one is named. Tasks of a
// step are alike: the worker that is best for one stays the best, as it gets
// fuller, until no more fit there.
func (s *snapshot) placeTasks(request placementRequest, rack string) ([]state.Placement, func()) {
	spec := &request.job.Steps[request.step]
	var items []state.Placement
	var taken []*workerCapacity
	stepName := state.TaskName(request.job.ID, request.instance.Number, request.step, 0)
	var candidates []*workerCapacity
	best := (*workerCapacity)(nil)
	for _, item := range request.tasks {
		if best == nil || !s.fits(best, &request, spec, rack, stepName) {
			best = s.cheapest(candidates, &request, spec, rack, stepName)
			if best == nil {
				candidates = s.candidates(&request, spec, rack, stepName)
				best = s.cheapest(candidates, &request, spec, rack, stepName)
			}
		}
		if best == nil {
			if rack == "" && (len(items) == 0 || !spec.Gang) {
				s.recordUnplaceable(&request)
			}
			break
		}
		best.freeCPU -= spec.CPUUnits
		best.freeMemory -= spec.MemoryMB
		best.freeGPUs -= spec.GPUs
		if spec.MaxPerWorker > 0 {
			best.colocated[stepName]++
		}
		item.Worker, item.WorkerVersion = best.worker.ID, best.worker.Version
		items = append(items, item)
		taken = append(taken, best)
	}
	return items, func() {
		for _, capacity := range taken {
			capacity.freeCPU += spec.CPUUnits
			capacity.freeMemory += spec.MemoryMB
			capacity.freeGPUs += spec.GPUs
			if spec.MaxPerWorker > 0 {
				capacity.colocated[stepName]--
			}
		}
	}
}

func (s *snapshot) cheapest(candidates []*workerCapacity, request *placementRequest, spec *protocol.Step, rack, stepName string) *workerCapacity {
	best, lowest := (*workerCapacity)(nil), math.Inf(1)
	for _, capacity := range candidates {
		if !s.fits(capacity, request, spec, rack, stepName) {
			continue
		}
		if cost := s.cost(capacity, *request); cost < lowest {
			best, lowest = capacity, cost
		}
	}
	return best
}

func (s *snapshot) colocatedTasks(capacity *workerCapacity, request placementRequest, stepName string) int {
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

func (s *snapshot) slowdown(capacity *workerCapacity) float64 {
	if s.planner == nil {
		return 1
	}
	// Why coarse: estimates are rough, and small differences are noise.
	if factor := s.planner.Slowdown[capacity.worker.ID]; factor > 1.5 {
		return factor
	}
	return 1
}

// tooSlow passes over a slow worker for a task that can meet its aim
// elsewhere, a little later, but not there.
func (s *snapshot) tooSlow(capacity *workerCapacity, request placementRequest) bool {
	factor := s.slowdown(capacity)
	if factor < tuning.SlowWorkerFactor || s.planner == nil {
		return false
	}
	expected := float64(request.job.Steps[request.step].EstimateMs) * max(s.planner.EstimateRatio, 0.5)
	return request.speculative || request.deadlineClass == 0 && expected*factor > expected+float64(max(request.slack-request.job.RemainingCriticalPathMs(request.instance), 0))
}

// cost is the time a task is likely to take there, and how full it gets.
func (s *snapshot) cost(capacity *workerCapacity, request placementRequest) float64 {
	spec := request.job.Steps[request.step]
	slowdown := s.slowdown(capacity)
	if capacity.worker.RemoteFrom(spec.PreferredRack) {
		slowdown *= s.store.RemoteFactor()
	}
	cpu := float64(capacity.freeCPU-spec.CPUUnits) / float64(max(capacity.worker.Capacity.CPUUnits, 1))
	mem := float64(capacity.freeMemory-spec.MemoryMB) / float64(max(capacity.worker.Capacity.MemoryMB, 1))
	// Why fullest first: large holes are kept for large tasks.
	return slowdown*10 + (cpu+mem)/2
}

package scheduler

import (
	"sort"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// maxCandidates is the number of feasible workers scored above fullScanMaxWorkers.
const maxCandidates = 24

// taskQuery asks for a worker for one task. The tasks of a step are alike, so one
// query serves all of them.
type taskQuery struct {
	*placementRequest
	spec     *protocol.Step
	stepName string
	rack     string // the only one allowed, if not empty
}

// placeStep places as many tasks of a step as there is room for, and all or none of
// a gang.
func (s *snapshot) placeStep(request placementRequest) state.Plan {
	spec := request.spec()
	plan := state.Plan{Job: request.job.ID, Instance: request.instance.Number, Step: request.step, AllOrNothing: spec.Gang}
	if spec.Gang && spec.SameRack {
		if placements := s.placeOnOneRack(&request); placements != nil {
			plan.Placements = placements
			return plan
		}
	}
	placements, undo := s.placeTasks(&request, "")
	if spec.Gang && len(placements) < len(request.tasks) {
		undo()
		return state.Plan{}
	}
	plan.Placements = placements
	return plan
}

// placeOnOneRack places all tasks of a gang on one rack, or none.
func (s *snapshot) placeOnOneRack(request *placementRequest) []state.Placement {
	spec := request.spec()
	racks, freeCPU := s.racks(request)
	for _, rack := range racks {
		if freeCPU[rack] < spec.CPUUnits*int64(len(request.tasks)) {
			continue
		}
		placements, undo := s.placeTasks(request, rack)
		if len(placements) == len(request.tasks) {
			return placements
		}
		undo()
	}
	return nil
}

// racks returns the racks to try for a step, that of its data first since tasks run
// faster there, and the processor time free on each, in thousandths of a core.
func (s *snapshot) racks(request *placementRequest) (racks []string, freeCPU map[string]int64) {
	spec := request.spec()
	freeCPU, racks = map[string]int64{}, []string{}
	add := func(worker *state.Worker) bool {
		rack := worker.Rack()
		if _, ok := freeCPU[rack]; !ok {
			racks = append(racks, rack)
		}
		freeCPU[rack] += s.capacityOf(worker).freeCPU
		return true
	}
	if all, ok := s.fullScan(request.job.Service); ok {
		for _, capacity := range all {
			add(capacity.worker)
		}
	} else {
		s.store.EachWorkerByFreeCPU(request.job.Service, spec.CPUUnits, add)
	}
	sort.SliceStable(racks, func(a, b int) bool {
		return racks[a] == spec.PreferredRack && racks[b] != spec.PreferredRack
	})
	return racks, freeCPU
}

// placeTasks places as many tasks as fit, on one rack if one is named, and gives
// what takes the placements back. Tasks of a step are alike: the worker that is best
// for one stays the best, as it gets fuller, until no more fit there.
func (s *snapshot) placeTasks(request *placementRequest, rack string) ([]state.Placement, func()) {
	query := &taskQuery{placementRequest: request, spec: request.spec(), stepName: request.stepName(), rack: rack}
	var placements []state.Placement
	var taken, candidates []*workerCapacity
	var best *workerCapacity
	for _, placement := range request.tasks {
		if best == nil || !s.fits(best, query) {
			best = s.cheapest(candidates, query)
			if best == nil {
				candidates = s.candidates(query)
				best = s.cheapest(candidates, query)
			}
		}
		if best == nil {
			if rack == "" && (len(placements) == 0 || !query.spec.Gang) {
				s.recordUnplaceable(request)
			}
			break
		}
		best.take(query, 1)
		placement.Worker, placement.WorkerVersion = best.worker.ID, best.worker.Version
		placements = append(placements, placement)
		taken = append(taken, best)
	}
	return placements, func() {
		for _, capacity := range taken {
			capacity.take(query, -1)
		}
	}
}

// take takes the room of n tasks, or gives it back if n is negative.
func (c *workerCapacity) take(query *taskQuery, n int) {
	c.freeCPU -= int64(n) * query.spec.CPUUnits
	c.freeMemory -= int64(n) * query.spec.MemoryMB
	c.freeGPUs -= n * query.spec.GPUs
	if query.spec.MaxPerWorker > 0 {
		c.colocated[query.stepName] += n
	}
}

// candidates returns workers to choose from: all of them where a service has few;
// else those on the named rack; else those near the step's data that fit; else up to
// maxCandidates that fit, found by the rarest of the required labels or with
// the fullest first.
func (s *snapshot) candidates(query *taskQuery) []*workerCapacity {
	service, spec := query.job.Service, query.spec
	if all, ok := s.fullScan(service); ok {
		return all
	}
	var fitting []*workerCapacity
	add := func(worker *state.Worker) bool {
		if capacity := s.capacityOf(worker); s.fits(capacity, query) {
			fitting = append(fitting, capacity)
		}
		return len(fitting) < maxCandidates
	}
	if query.rack != "" {
		for _, worker := range s.store.WorkersWithLabel(service, query.rack) {
			add(worker)
		}
		return fitting
	}
	if spec.PreferredRack != "" {
		for _, worker := range s.store.WorkersWithLabel(service, spec.PreferredRack) {
			add(worker)
		}
		if len(fitting) > 0 {
			// Anywhere else the task takes longer.
			return fitting
		}
	}
	if len(spec.RequiredLabels) > 0 {
		for _, worker := range s.workersWithRarestLabel(service, spec.RequiredLabels) {
			if !add(worker) {
				break
			}
		}
		return fitting
	}
	s.store.EachWorkerByFreeCPU(service, spec.CPUUnits, add)
	return fitting
}

// workersWithRarestLabel returns the workers that have that one of the labels which
// the fewest workers have.
func (s *snapshot) workersWithRarestLabel(service string, labels []string) []*state.Worker {
	rarest := s.store.WorkersWithLabel(service, labels[0])
	for _, label := range labels[1:] {
		if workers := s.store.WorkersWithLabel(service, label); len(workers) < len(rarest) {
			rarest = workers
		}
	}
	return rarest
}

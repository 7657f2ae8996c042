package scheduler

import (
	"sort"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// maxCandidates is the maximum number of fitting workers that are scored for a task in a service with
// more than fullScanMaxWorkers workers.
const maxCandidates = 24

// taskQuery describes what a task requires of a worker. The tasks of a step are alike, so all of
// them share one query.
type taskQuery struct {
	*placementRequest
	spec     *protocol.Step
	stepName string
	rack     string // the only rack allowed; empty if any is
}

// placeStep places as many tasks of a step as fit. Of a gang it places all tasks or none.
func (s *snapshot) placeStep(request placementRequest) state.Plan {
	spec := request.spec()
	plan := state.Plan{Job: request.job.ID, Instance: request.instance.Number, Step: request.step, AllOrNothing: spec.Gang}
	if spec.Gang && spec.SameRack {
		if placements := s.placeOnOneRack(&request); placements != nil {
			plan.Placements = placements
			return plan
		}
	}
	placements, release := s.placeTasks(&request, "")
	if spec.Gang && len(placements) < len(request.tasks) {
		release()
		return state.Plan{}
	}
	plan.Placements = placements
	return plan
}

// placeOnOneRack places all tasks of a gang on one rack, or returns nil.
func (s *snapshot) placeOnOneRack(request *placementRequest) []state.Placement {
	spec := request.spec()
	racks, freeCPU := s.racks(request)
	for _, rack := range racks {
		if freeCPU[rack] < spec.CPUUnits*int64(len(request.tasks)) {
			continue
		}
		placements, release := s.placeTasks(request, rack)
		if len(placements) == len(request.tasks) {
			return placements
		}
		release()
	}
	return nil
}

// racks returns the racks to try for a step and the free CPU of each, in millicores. The
// rack that holds the step's data comes first, since tasks run faster there.
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
	if all, ok := s.fullScan(request.service); ok {
		for _, capacity := range all {
			add(capacity.worker)
		}
	} else {
		s.store.EachWorkerByFreeCPU(request.service, spec.CPUUnits, add)
	}
	sort.SliceStable(racks, func(a, b int) bool {
		return racks[a] == spec.PreferredRack && racks[b] != spec.PreferredRack
	})
	return racks, freeCPU
}

// placeTasks places as many tasks as fit, only on the given rack if it isn't empty. The returned
// function releases the placements. Tasks of a step are alike and fuller workers score better, so the
// worker with the lowest cost for one task is used until no more tasks fit on it.
func (s *snapshot) placeTasks(request *placementRequest, rack string) ([]state.Placement, func()) {
	query := &taskQuery{placementRequest: request, spec: request.spec(), stepName: request.stepName(), rack: rack}
	var placements []state.Placement
	var allocated, candidates []*workerCapacity
	var best *workerCapacity
	for _, placement := range request.tasks {
		if best == nil || !s.fits(best, query) {
			best = s.lowestCost(candidates, query)
			if best == nil {
				candidates = s.candidates(query)
				best = s.lowestCost(candidates, query)
			}
		}
		if best == nil {
			if rack == "" && (len(placements) == 0 || !query.spec.Gang) {
				s.recordUnplaceable(request)
			}
			break
		}
		best.allocate(query, 1)
		placement.Worker, placement.WorkerVersion = best.worker.ID, best.worker.Version
		placements = append(placements, placement)
		allocated = append(allocated, best)
	}
	return placements, func() {
		for _, capacity := range allocated {
			capacity.allocate(query, -1)
		}
	}
}

// allocate reserves the resources of n tasks, or releases them if n is negative.
func (c *workerCapacity) allocate(query *taskQuery, n int) {
	c.freeCPU -= int64(n) * query.spec.CPUUnits
	c.freeMemory -= int64(n) * query.spec.MemoryMB
	c.freeGPUs -= n * query.spec.GPUs
	if query.spec.MaxPerWorker > 0 {
		c.colocated[query.stepName] += n
	}
}

// candidates returns the workers to score: all workers of a service that has few. Otherwise it
// returns only workers that fit: all on the query's rack if it names one, else all on the rack of the
// step's data if there are any, else up to maxCandidates. These are searched among the workers with
// the rarest of the required labels or, without required labels, from the fullest worker on.
func (s *snapshot) candidates(query *taskQuery) []*workerCapacity {
	service, spec := query.service, query.spec
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
			// The task takes longer on any other rack.
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

// workersWithRarestLabel returns the workers with that label of labels which the fewest workers have.
func (s *snapshot) workersWithRarestLabel(service string, labels []string) []*state.Worker {
	rarest := s.store.WorkersWithLabel(service, labels[0])
	for _, label := range labels[1:] {
		if workers := s.store.WorkersWithLabel(service, label); len(workers) < len(rarest) {
			rarest = workers
		}
	}
	return rarest
}

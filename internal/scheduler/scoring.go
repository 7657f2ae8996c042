package scheduler

import (
	"math"
)

// slowWorkerFactor is the slowdown from which tasks that would miss their target on a worker pass
// it over.
const slowWorkerFactor = 2.0

// minNoticeableSlowdown is the slowdown up to which a worker counts as usual:
// estimates are rough, and small differences are noise.
const minNoticeableSlowdown = 1.5

// slowdownCost is the weight of a task's expected time against how full a worker
// gets, which is at most 1.
const slowdownCost = 10

// fits reports whether one task fits on a worker now.
func (s *snapshot) fits(capacity *workerCapacity, query *taskQuery) bool {
	worker, spec := capacity.worker, query.spec
	switch {
	case capacity.excluded, capacity.freeCPU < spec.CPUUnits, capacity.freeMemory < spec.MemoryMB, capacity.freeGPUs < spec.GPUs:
		return false
	case query.rack != "" && worker.Rack() != query.rack:
		return false
	case query.excludedWorkers[worker.ID], !s.store.Feasible(query.job, query.step, worker):
		return false
	case worker.LeavesAt > 0 && worker.LeavesAt < s.store.Clock+spec.EstimateMs:
		return false
	case spec.MaxPerWorker > 0 && s.colocatedTasks(capacity, query.placementRequest, query.stepName) >= spec.MaxPerWorker:
		return false
	}
	return !s.tooSlow(capacity, query)
}

// cheapest returns the candidate of the lowest cost on which a task fits, or nil.
func (s *snapshot) cheapest(candidates []*workerCapacity, query *taskQuery) *workerCapacity {
	var best *workerCapacity
	lowest := math.Inf(1)
	for _, capacity := range candidates {
		if !s.fits(capacity, query) {
			continue
		}
		if cost := s.cost(capacity, query); cost < lowest {
			best, lowest = capacity, cost
		}
	}
	return best
}

// cost weighs the time that a task is likely to take on a worker, and then how much
// room stays free there: the fullest worker comes first, so that large gaps are kept
// for large tasks.
func (s *snapshot) cost(capacity *workerCapacity, query *taskQuery) float64 {
	worker, spec := capacity.worker, query.spec
	slowdown := s.slowdown(capacity)
	if worker.RemoteFrom(spec.PreferredRack) {
		slowdown *= s.store.RemoteFactor()
	}
	cpu := float64(capacity.freeCPU-spec.CPUUnits) / float64(max(worker.Capacity.CPUUnits, 1))
	memory := float64(capacity.freeMemory-spec.MemoryMB) / float64(max(worker.Capacity.MemoryMB, 1))
	return slowdown*slowdownCost + (cpu+memory)/2
}

// slowdown is how many times as long as usual tasks take on a worker.
func (s *snapshot) slowdown(capacity *workerCapacity) float64 {
	if s.planner == nil {
		return 1
	}
	if factor := s.planner.Slowdown[capacity.worker.ID]; factor > minNoticeableSlowdown {
		return factor
	}
	return 1
}

// tooSlow reports whether a task should pass over a slow worker: it can meet its
// target elsewhere, a little later, but not there. Copies always pass it over.
func (s *snapshot) tooSlow(capacity *workerCapacity, query *taskQuery) bool {
	factor := s.slowdown(capacity)
	if factor < slowWorkerFactor || s.planner == nil {
		return false
	}
	if query.speculative {
		return true
	}
	expectedMs := float64(query.spec.EstimateMs) * max(s.planner.EstimateRatio, minEstimateRatio)
	spareMs := max(query.slackMs-query.job.RemainingCriticalPathMs(query.instance), 0)
	return query.class == onTime && expectedMs*factor > expectedMs+float64(spareMs)
}

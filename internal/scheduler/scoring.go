package scheduler

import (
	"math"
)

// slowWorkerFactor is the slowdown from which a worker is skipped for tasks that would miss their
// target on it.
const slowWorkerFactor = 2.0

// minNoticeableSlowdown is the slowdown up to which a worker is scored as normal, since
// estimates are rough and small differences are noise.
const minNoticeableSlowdown = 1.5

// slowdownCost is the weight of the expected slowdown of a task relative to the free
// fraction of the worker, which is at most 1.
const slowdownCost = 10

// fits reports whether one task may be placed on a worker now.
func (s *snapshot) fits(capacity *workerCapacity, query *taskQuery) bool {
	worker, spec := capacity.worker, query.spec
	switch {
	case capacity.excluded, capacity.freeCPU < spec.CPUUnits, capacity.freeMemory < spec.MemoryMB, capacity.freeGPUs < spec.GPUs:
		return false
	case query.rack != "" && worker.Rack() != query.rack:
		return false
	case query.excludedWorkers[worker.ID], !worker.Eligible(query.service, spec):
		return false
	case worker.LeavesAt > 0 && worker.LeavesAt < s.store.Clock+spec.EstimateMs:
		return false
	case spec.MaxPerWorker > 0 && s.colocatedTasks(capacity, query.placementRequest, query.stepName) >= spec.MaxPerWorker:
		return false
	}
	return !s.tooSlow(capacity, query)
}

// lowestCost returns the candidate with the lowest cost on which a task fits, or nil.
func (s *snapshot) lowestCost(candidates []*workerCapacity, query *taskQuery) *workerCapacity {
	var best *workerCapacity
	bestCost := math.Inf(1)
	for _, capacity := range candidates {
		if !s.fits(capacity, query) {
			continue
		}
		if cost := s.cost(capacity, query); cost < bestCost {
			best, bestCost = capacity, cost
		}
	}
	return best
}

// cost returns the cost of placing a task on a worker. It depends mainly on the expected
// duration there and then on the capacity that stays free: the fullest worker is
// preferred (best fit), so that large gaps are kept for large tasks.
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

// slowdown returns the ratio of task durations on a worker to the usual ones, or 1 if it
// isn't above minNoticeableSlowdown.
func (s *snapshot) slowdown(capacity *workerCapacity) float64 {
	if s.planner == nil {
		return 1
	}
	if factor := s.planner.Slowdown[capacity.worker.ID]; factor > minNoticeableSlowdown {
		return factor
	}
	return 1
}

// tooSlow reports whether a slow worker should be skipped for a task, because the task
// can meet its target on another worker but not on this one. Speculative copies always
// skip slow workers.
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

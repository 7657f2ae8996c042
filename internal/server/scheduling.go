package server

import (
	"sort"
	"time"

	"tealpond/internal/scheduler"
	"tealpond/internal/tuning"
)

// updatePlanner tells the scheduler which workers are silent or sick, and how
// fast the others are.
func (r *Replica) updatePlanner(now time.Time) {
	silent, speed := map[string]bool{}, map[string]float64{}
	var ratios []int64
	for id, lease := range r.leases {
		if now.Sub(lease.heardAt) > tuning.WorkerSilenceTimeout || lease.expiring {
			silent[id] = true
		}
		if lease.runtimeRatio > 0 {
			ratios = append(ratios, lease.runtimeRatio)
		}
	}
	if len(ratios) >= 3 {
		sort.Slice(ratios, func(a, b int) bool { return ratios[a] < ratios[b] })
		median := float64(max(ratios[len(ratios)/2], 1))
		r.planner.EstimateRatio = median / 100
		for id, lease := range r.leases {
			if lease.runtimeRatio > 0 {
				speed[id] = scheduler.DampSlowdown(float64(lease.runtimeRatio) / median)
			}
		}
	}
	unhealthy := map[string]bool{}
	for id := range r.leases {
		if pace, ok := r.planner.Pace(id, r.state.Clock); ok {
			speed[id] = pace
		}
	}
	for id := range r.leases {
		if worker := r.state.Workers[id]; worker != nil && (worker.Unhealthy || worker.LeaseExpired) {
			unhealthy[id] = true
		}
	}
	r.planner.SilentWorkers, r.planner.UnhealthyWorkers, r.planner.Slowdown = silent, unhealthy, speed
}

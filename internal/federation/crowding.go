package federation

import (
	"math"

	"tealpond/internal/forecast"
)

const (
	msPerSecond     = 1000
	milliCPUPerCore = 1000
)

// dayShape is how buckets of time form days.
func (s *Settings) dayShape() forecast.DayShape {
	return forecast.DayShape{BucketsPerDay: int64(s.DayS / s.BucketS), MinDays: s.MinDays}
}

// BucketOf is the bucket of a time of day in ms since 1970.
func (s *Settings) BucketOf(wallMs int64) int64 {
	return int64(float64(wallMs) / msPerSecond / s.BucketS)
}

// demandLimit is the demand of a bucket, in core-ms, from which it is crowded.
func (s *Settings) demandLimit(capacityMilliCPU int64) float64 {
	cores := float64(capacityMilliCPU) / milliCPUPerCore
	return s.CrowdedShare * cores * s.BucketS * msPerSecond
}

// Crowded reports whether the forecast for the next HorizonBuckets is above
// the limit.
func (s *Settings) Crowded(work PendingWork) bool {
	if work.CapacityMilliCPU == 0 {
		return false
	}
	lastComplete := s.BucketOf(work.WallMs) - 1
	limit := s.demandLimit(work.CapacityMilliCPU)
	_, _, ok := forecast.FirstCrowded(work.Demand, lastComplete, int64(s.HorizonBuckets)+1, limit, s.dayShape())
	return ok
}

// LendableMilliCPU is the room, in thousandths of a core, that may be lent; 0 if that
// is not known.
func (s *Settings) LendableMilliCPU(work PendingWork) int64 {
	// It must be free for the whole loan, or it would still be lent when this
	// cluster needs it itself.
	ahead := max(int64(s.HorizonBuckets), int64(math.Ceil(s.LoanS/s.BucketS))) + 1
	free, ok := forecast.FreeCapacity(work.Demand, s.BucketOf(work.WallMs)-1, ahead, s.demandLimit(work.CapacityMilliCPU), s.dayShape())
	if !ok {
		return 0
	}
	return min(int64(free/s.BucketS), int64(s.LendShare*float64(work.CapacityMilliCPU)))
}

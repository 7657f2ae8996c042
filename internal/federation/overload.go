package federation

import (
	"math"

	"tealpond/internal/forecast"
)

const (
	msPerSecond     = 1000
	milliCPUPerCore = 1000
)

// dayShape returns the number of buckets in a day, and the days of demand data that a forecast
// needs.
func (s *Settings) dayShape() forecast.DayShape {
	return forecast.DayShape{BucketsPerDay: int64(s.DayS / s.BucketS), MinDays: s.MinDays}
}

// BucketOf returns the time bucket of a wall-clock time, in ms since 1970.
func (s *Settings) BucketOf(wallMs int64) int64 {
	return int64(float64(wallMs) / msPerSecond / s.BucketS)
}

// overloadDemand returns the demand of a bucket, in core-ms, from which the cluster is overloaded.
func (s *Settings) overloadDemand(capacityMilliCPU int64) float64 {
	cores := float64(capacityMilliCPU) / milliCPUPerCore
	return s.OverloadShare * cores * s.BucketS * msPerSecond
}

// ForecastsOverload reports whether the cluster is forecast to be overloaded: whether the demand
// forecast for the current bucket or one of the next HorizonBuckets exceeds the overload limit by a
// margin (see package forecast).
func (s *Settings) ForecastsOverload(work PendingWork) bool {
	if work.CapacityMilliCPU == 0 {
		return false
	}
	lastComplete := s.BucketOf(work.WallMs) - 1
	limit := s.overloadDemand(work.CapacityMilliCPU)
	_, _, ok := forecast.FirstOverload(work.Demand, lastComplete, int64(s.HorizonBuckets)+1, limit, s.dayShape())
	return ok
}

// LendableMilliCPU returns the capacity that may be lent to a peer, in millicores; 0 if
// there is no forecast.
func (s *Settings) LendableMilliCPU(work PendingWork) int64 {
	// The capacity must be free for the whole duration of the loan. Otherwise it would still be lent
	// when this cluster needs it.
	buckets := max(int64(s.HorizonBuckets), int64(math.Ceil(s.LoanS/s.BucketS))) + 1
	freeDemand, ok := forecast.FreeCapacity(work.Demand, s.BucketOf(work.WallMs)-1, buckets,
		s.overloadDemand(work.CapacityMilliCPU), s.dayShape())
	if !ok {
		return 0
	}
	return min(int64(freeDemand/s.BucketS), int64(s.LendShare*float64(work.CapacityMilliCPU)))
}

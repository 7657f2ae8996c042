package scheduler

import (
	"sort"
	"time"

	"tealpond/internal/state"
)

const (
	// longTaskThreshold is the estimated duration from which a task counts as long: it leaves capacity
	// to higher-priority work and may be preempted.
	longTaskThreshold = 2 * time.Second
	// maxPreemptionLoss is the maximum run time without a checkpoint that a run may lose by preemption.
	maxPreemptionLoss = 1500 * time.Millisecond
	// expectedReleaseFraction is the fraction of the resources held by a priority's own runs that is
	// expected to become free by completions before a preempted run would release its resources.
	expectedReleaseFraction = 0.6
)

// victim is an allocation that may be preempted.
type victim struct {
	allocation *state.Allocation
	job        *state.Job
	lostMs     int64 // run time lost if it is preempted
}

// Preemptions returns the IDs of the allocations to stop to free capacity for
// higher-priority work that didn't fit in the last plan. It chooses those that lose
// the least work first, and none that lose more than maxPreemptionLoss.
func (p *Planner) Preemptions(store *state.Store) []uint64 {
	if len(p.unmetDemand) == 0 {
		return nil
	}
	var kinds []state.ServicePriority
	for kind := range p.unmetDemand {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].Priority < kinds[b].Priority })
	victims, stopping := p.victims(store)
	var preempted []uint64
	for _, kind := range kinds {
		need, held := p.unmetDemand[kind], p.heldResources[kind]
		// Some of this priority's own runs complete and release their resources
		// before a preempted run would.
		need.cpu -= expectedReleaseFraction * held.cpu
		need.memory -= expectedReleaseFraction * held.memory
		freed := stopping[kind.Service]
		for _, v := range victims {
			if freed.cpu >= need.cpu && freed.memory >= need.memory {
				break
			}
			if v.allocation.ServiceOfRun() != kind.Service || v.job.Priority <= kind.Priority {
				continue
			}
			preempted = append(preempted, v.allocation.ID)
			freed = freed.add(v.allocation.MilliCPU, v.allocation.MemoryMB, 1)
		}
	}
	return preempted
}

// victims returns the allocations that may be preempted, those that lose least
// first, and the resources that allocations already being stopped will release, by
// service.
func (p *Planner) victims(store *state.Store) ([]victim, map[string]resources) {
	var victims []victim
	stopping := map[string]resources{}
	for _, allocation := range store.Allocations {
		job := store.Jobs[allocation.Job]
		if job == nil {
			continue
		}
		if allocation.Stopping {
			stopping[allocation.ServiceOfRun()] = stopping[allocation.ServiceOfRun()].add(allocation.MilliCPU, allocation.MemoryMB, 1)
			continue
		}
		spec := &job.Steps[allocation.Step]
		lostMs := store.Clock - allocation.AllocatedAt
		if spec.Checkpoints {
			lostMs = min(lostMs, p.CheckpointIntervalMs)
		}
		if spec.EstimateMs < longTaskThreshold.Milliseconds() || spec.Gang || spec.LongRunning || lostMs > maxPreemptionLoss.Milliseconds() {
			continue
		}
		victims = append(victims, victim{allocation, job, lostMs})
	}
	sort.Slice(victims, func(a, b int) bool {
		if victims[a].lostMs != victims[b].lostMs {
			return victims[a].lostMs < victims[b].lostMs
		}
		return victims[a].allocation.ID < victims[b].allocation.ID
	})
	return victims, stopping
}

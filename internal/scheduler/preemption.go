package scheduler

import (
	"sort"
	"time"

	"tealpond/internal/state"
)

const (
	// longTaskThreshold is the estimate from which a task leaves room to more urgent ones.
	longTaskThreshold = 2 * time.Second
	// maxPreemptionLoss is the most unsaved work, as time, that a run may lose by being preempted.
	maxPreemptionLoss = 1500 * time.Millisecond
	// expectedReleaseFraction is the part of a priority's own room that becomes free by itself before
	// a preempted run would free its room.
	expectedReleaseFraction = 0.6
)

// victim is a run that may be preempted.
type victim struct {
	allocation *state.Allocation
	job        *state.Job
	lostMs     int64 // the work that it would lose
}

// Preemptions returns the IDs of the allocations to stop so that more urgent work,
// which found no room in the last plan, finds some: first those that lose least
// unsaved work, and none that lose more than maxPreemptionLoss.
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
		// The kind's own runs free a part of their room by themselves before a
		// preempted run would.
		need.cpu -= expectedReleaseFraction * held.cpu
		need.memory -= expectedReleaseFraction * held.memory
		freed := stopping[kind.Service]
		for _, v := range victims {
			if freed.cpu >= need.cpu && freed.memory >= need.memory {
				break
			}
			if v.job.Service != kind.Service || v.job.Priority <= kind.Priority {
				continue
			}
			preempted = append(preempted, v.allocation.ID)
			freed = freed.add(v.allocation.MilliCPU, v.allocation.MemoryMB, 1)
		}
	}
	return preempted
}

// victims returns the runs that may be preempted, those that lose least first, and
// what runs that are being stopped already will free, by service.
func (p *Planner) victims(store *state.Store) ([]victim, map[string]resources) {
	var victims []victim
	stopping := map[string]resources{}
	for _, allocation := range store.Allocations {
		job := store.Jobs[allocation.Job]
		if job == nil {
			continue
		}
		if allocation.Stopping {
			stopping[job.Service] = stopping[job.Service].add(allocation.MilliCPU, allocation.MemoryMB, 1)
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

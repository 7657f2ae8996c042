package scheduler

import (
	"sort"

	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// Preemptions are the runs to stop so that more urgent work, which waits already,
// finds room: those that lose least unsaved work, and none that lose much.
func (p *Planner) Preemptions(store *state.Store) []uint64 {
	if len(p.unmetDemand) == 0 {
		return nil
	}
	var kinds []state.ServicePriority
	for kind := range p.unmetDemand {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(a, b int) bool { return kinds[a].Priority < kinds[b].Priority })
	type victim struct {
		a    *state.Allocation
		j    *state.Job
		lost int64
	}
	var victims []victim
	freed := map[string]resources{}
	for _, a := range store.Allocations {
		job := store.Jobs[a.Job]
		if job == nil {
			continue
		}
		spec := job.Steps[a.Step]
		if a.Stopping {
			freed[job.Service] = freed[job.Service].add(a.MilliCPU, a.MemoryMB, 1)
			continue
		}
		lost := store.Clock - a.BookedAt
		if spec.Checkpoints {
			lost = min(lost, p.CheckpointIntervalMs)
		}
		if spec.EstimateMs < tuning.LongTaskThreshold.Milliseconds() || spec.Gang || spec.LongRunning || lost > tuning.MaxPreemptionLoss.Milliseconds() {
			continue
		}
		victims = append(victims, victim{a, job, lost})
	}
	sort.Slice(victims, func(a, b int) bool {
		if victims[a].lost != victims[b].lost {
			return victims[a].lost < victims[b].lost
		}
		return victims[a].a.ID < victims[b].a.ID
	})
	var out []uint64
	for _, kind := range kinds {
		need, held := p.unmetDemand[kind], p.heldResources[kind]
		// Why less: its own kind gives so much back before a stop would.
		need.cpu -= tuning.ExpectedReleaseFraction * held.cpu
		need.memory -= tuning.ExpectedReleaseFraction * held.memory
		gained := freed[kind.Service]
		for _, v := range victims {
			if gained.cpu >= need.cpu && gained.memory >= need.memory {
				break
			}
			if v.j.Service != kind.Service || v.j.Priority <= kind.Priority {
				continue
			}
			out = append(out, v.a.ID)
			gained = gained.add(v.a.MilliCPU, v.a.MemoryMB, 1)
		}
	}
	return out
}

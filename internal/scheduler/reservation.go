package scheduler

import (
	"math"

	"tealpond/internal/state"
	"tealpond/internal/tuning"
)

// resources is an amount of both kinds of room.
type resources struct{ cpu, memory float64 }

func (w resources) add(cpu, mem int64, n int) resources {
	return resources{w.cpu + float64(cpu)*float64(n), w.memory + float64(mem)*float64(n)}
}

// demandPeak is the highest demand of one priority, sinking as it ages.
type demandPeak struct {
	resources
	updatedAt int64
}

// demand is the room that each priority of a service holds, and with what
// waits for it.
func demand(store *state.Store, requests []placementRequest) (held, all map[state.ServicePriority]resources) {
	held, all = map[state.ServicePriority]resources{}, map[state.ServicePriority]resources{}
	for kind, usage := range store.UsedByServicePriority() {
		held[kind] = resources{float64(usage.MilliCPU), float64(usage.MemoryMB)}
		all[kind] = held[kind]
	}
	for _, request := range requests {
		spec := request.job.Steps[request.step]
		kind := state.ServicePriority{Service: request.job.Service, Priority: request.job.Priority}
		all[kind] = all[kind].add(spec.CPUUnits, spec.MemoryMB, len(request.tasks))
	}
	return held, all
}

// updatePeaks lets old peaks sink and raises them to the demand of now.
func (p *Planner) updatePeaks(now int64, all map[state.ServicePriority]resources) {
	if p.demandPeaks == nil {
		p.demandPeaks = map[state.ServicePriority]*demandPeak{}
	}
	for kind := range all {
		if p.demandPeaks[kind] == nil {
			p.demandPeaks[kind] = &demandPeak{updatedAt: now}
		}
	}
	for kind, peak := range p.demandPeaks {
		decay := math.Exp(-float64(now-peak.updatedAt) / float64(tuning.DemandPeakDecay.Milliseconds()))
		peak.updatedAt = now
		peak.cpu = max(peak.cpu*decay, all[kind].cpu)
		peak.memory = max(peak.memory*decay, all[kind].memory)
	}
}

// reservedForMoreUrgent is the room that a priority must leave to those before it.
func (p *Planner) reservedForMoreUrgent(service string, priority int) resources {
	sum := resources{}
	for kind, peak := range p.demandPeaks {
		if kind.Service == service && kind.Priority < priority {
			sum.cpu += peak.cpu
			sum.memory += peak.memory
		}
	}
	return sum
}

// longTaskLimit is the room that tasks of this kind may hold at most, if there is a
// bound. Long work that can wait leaves room for the urgent work foreseen.
func (p *Planner) longTaskLimit(store *state.Store, request placementRequest, held map[state.ServicePriority]resources) (resources, bool) {
	spec := request.job.Steps[request.step]
	if spec.EstimateMs < tuning.LongTaskThreshold.Milliseconds() {
		return resources{}, false
	}
	reserved := p.reservedForMoreUrgent(request.job.Service, request.job.Priority)
	if reserved.cpu == 0 {
		return resources{}, false
	}
	total, _ := store.SchedulableCapacity(request.job.Service)
	room := resources{float64(total.MilliCPU), float64(total.MemoryMB)}
	minFraction := tuning.MinLongTaskFraction
	if request.slack < request.job.CriticalPathMs() {
		// Why more: it misses its aim if it waits longer.
		minFraction = tuning.MinLateLongTaskFraction
	}
	limit := resources{max(room.cpu-reserved.cpu, room.cpu*minFraction), max(room.memory-reserved.memory, room.memory*minFraction)}
	// Why whatever is foreseen: a job must not wait beside room that is
	// mostly free (the rule LOST).
	var others resources
	for kind, usage := range held {
		if kind.Service == request.job.Service && kind.Priority != request.job.Priority {
			others.cpu += usage.cpu
			others.memory += usage.memory
		}
	}
	limit.cpu = max(limit.cpu, room.cpu*tuning.LongTaskFreeFraction-others.cpu)
	limit.memory = max(limit.memory, room.memory*tuning.LongTaskFreeFraction-others.memory)
	return limit, true
}

package scheduler

import (
	"math"
	"time"

	"tealpond/internal/state"
)

const (
	// demandPeakDecay is the time constant with which a peak of urgent demand is forgotten.
	demandPeakDecay = 15 * time.Second
	// maxIdleTime is how long a job of which nothing runs is held back for foreseen urgent work;
	// operators count it as lost after 3 s beside room for it.
	maxIdleTime = 1500 * time.Millisecond
	// minLongTaskFraction is the part of the capacity that long tasks may use whatever urgent demand
	// is foreseen, so that they never starve.
	minLongTaskFraction = 0.1
	// minLateLongTaskFraction is the part of the capacity that long tasks may use that would otherwise
	// miss their target.
	minLateLongTaskFraction = 0.25
	// longTaskFreeFraction is the part of the capacity up to which long tasks may always fill it; from
	// half on a waiting job counts as lost.
	longTaskFreeFraction = 0.6
)

// resources is an amount of processor time, in thousandths of a core, and of
// memory, in MB.
type resources struct{ cpu, memory float64 }

// add adds n tasks of one size.
func (r resources) add(milliCPU, memoryMB int64, n int) resources {
	return resources{r.cpu + float64(milliCPU)*float64(n), r.memory + float64(memoryMB)*float64(n)}
}

// demandPeak is the highest demand of one priority, decaying as it ages.
type demandPeak struct {
	resources
	updatedAt int64
}

// at is the peak as it has decayed by now.
func (p *demandPeak) at(now int64) resources {
	decay := math.Exp(-float64(now-p.updatedAt) / float64(demandPeakDecay.Milliseconds()))
	return resources{p.cpu * decay, p.memory * decay}
}

// raise lets the peak decay and raises it to a demand.
func (p *demandPeak) raise(demand resources, now int64) {
	decayed := p.at(now)
	p.updatedAt = now
	p.cpu, p.memory = max(decayed.cpu, demand.cpu), max(decayed.memory, demand.memory)
}

// currentDemand returns what each priority of a service holds, and that together
// with what waits, as far as the quotas of tenants allow it to run.
func currentDemand(store *state.Store, requests []placementRequest) (held, demand map[state.ServicePriority]resources) {
	held, demand = map[state.ServicePriority]resources{}, map[state.ServicePriority]resources{}
	for kind, usage := range store.UsedByServicePriority() {
		held[kind] = resources{float64(usage.MilliCPU), float64(usage.MemoryMB)}
		demand[kind] = held[kind]
	}
	quotas := newQuotaTally(store, nil)
	for i := range requests {
		request := &requests[i]
		if request.job.BeyondShare() {
			continue // no room is kept for it
		}
		spec, kind, n := request.spec(), request.servicePriority(), quotas.allowed(request)
		demand[kind] = demand[kind].add(spec.CPUUnits, spec.MemoryMB, n)
		quotas.add(request, n)
	}
	return held, demand
}

// updatePeaks lets the peaks decay and raises them to the current demand.
func (p *Planner) updatePeaks(now int64, demand map[state.ServicePriority]resources) {
	if p.demandPeaks == nil {
		p.demandPeaks = map[state.ServicePriority]*demandPeak{}
	}
	for kind := range demand {
		if p.demandPeaks[kind] == nil {
			p.demandPeaks[kind] = &demandPeak{updatedAt: now}
		}
	}
	for kind, peak := range p.demandPeaks {
		peak.raise(demand[kind], now)
	}
}

// reservedForMoreUrgent is what a priority must leave to more urgent ones of its
// service: the sum of their peaks.
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

// limitLongTasks drops the tasks of a long step that don't fit under its limit. It
// returns false if the step must wait as a whole.
func (p *Planner) limitLongTasks(store *state.Store, request *placementRequest, held map[state.ServicePriority]resources) bool {
	limit, ok := p.longTaskLimit(store, request, held)
	if !ok {
		return true
	}
	spec, used := request.spec(), held[request.servicePriority()]
	n := len(request.tasks)
	if spec.CPUUnits > 0 {
		n = min(n, int((limit.cpu-used.cpu)/float64(spec.CPUUnits)))
	}
	if spec.MemoryMB > 0 {
		n = min(n, int((limit.memory-used.memory)/float64(spec.MemoryMB)))
	}
	if idleTooLong(store, request) {
		if request.isGang() {
			return true
		}
		n = max(n, 1)
	}
	if used.cpu == 0 {
		n = max(n, 1)
	}
	if n <= 0 || n < len(request.tasks) && request.isGang() && used.cpu > 0 {
		return false
	}
	if n < len(request.tasks) && !request.isGang() {
		request.tasks = request.tasks[:n]
	}
	return true
}

// idleTooLong reports whether nothing of a job runs although its step has been ready for
// maxIdleTime. However much urgent demand is foreseen, such a job gets one task
// under way where there is room: by the operators' rules it must not stand still beside
// room for it, however full the service is.
func idleTooLong(store *state.Store, request *placementRequest) bool {
	stepState := &request.instance.Steps[request.step]
	if store.Clock-max(stepState.ReadyAt, stepState.LastAllocatedAt) < maxIdleTime.Milliseconds() {
		return false
	}
	for _, instance := range request.job.Instances {
		for i := range instance.Steps {
			for task := range instance.Steps[i].Tasks {
				if len(instance.Steps[i].Tasks[task].Allocations) > 0 {
					return false
				}
			}
		}
	}
	return true
}

// longTaskLimit is what the long tasks of a request's priority may hold together,
// or false if there is no limit: long tasks that can wait leave room for the urgent
// demand foreseen.
func (p *Planner) longTaskLimit(store *state.Store, request *placementRequest, held map[state.ServicePriority]resources) (resources, bool) {
	if !request.isLong() {
		return resources{}, false
	}
	kind := request.servicePriority()
	reserved := p.reservedForMoreUrgent(kind.Service, kind.Priority)
	if reserved.cpu == 0 {
		return resources{}, false
	}
	schedulable, _ := store.SchedulableCapacity(kind.Service)
	total := resources{float64(schedulable.MilliCPU), float64(schedulable.MemoryMB)}
	minFraction := minLongTaskFraction
	if request.slackMs < request.job.CriticalPathMs() {
		minFraction = minLateLongTaskFraction
	}
	limit := resources{max(total.cpu-reserved.cpu, total.cpu*minFraction), max(total.memory-reserved.memory, total.memory*minFraction)}
	// Whatever is foreseen, a job must not wait beside workers that are mostly
	// free: it would count as lost.
	var others resources
	for heldKind, usage := range held {
		if heldKind.Service == kind.Service && heldKind.Priority != kind.Priority {
			others.cpu += usage.cpu
			others.memory += usage.memory
		}
	}
	limit.cpu = max(limit.cpu, total.cpu*longTaskFreeFraction-others.cpu)
	limit.memory = max(limit.memory, total.memory*longTaskFreeFraction-others.memory)
	return limit, true
}

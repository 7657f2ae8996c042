package scheduler

import (
	"math"
	"time"

	"tealpond/internal/state"
)

const (
	// demandPeakDecay is the time constant of the exponential decay of a demand peak.
	demandPeakDecay = 15 * time.Second
	// maxStarvationTime is how long a job without a running task may be held back for predicted
	// higher-priority work. By the operators' rules it counts as lost if it waits for 3 s while there is
	// free capacity for it.
	maxStarvationTime = 1500 * time.Millisecond
	// minLongTaskFraction is the fraction of the capacity that long tasks may use whatever demand of
	// higher priority is predicted, so that they never starve.
	minLongTaskFraction = 0.1
	// minLateLongTaskFraction replaces minLongTaskFraction for long tasks of jobs that are about to miss
	// their target.
	minLateLongTaskFraction = 0.25
	// longTaskFreeFraction is the fraction of the capacity up to which long tasks may always fill it,
	// together with other work. A job that waits while half of the capacity is free counts as lost.
	longTaskFreeFraction = 0.6
)

// resources is an amount of CPU, in millicores, and of memory, in MB.
type resources struct{ cpu, memory float64 }

// add returns the sum with n tasks of the given size.
func (r resources) add(milliCPU, memoryMB int64, n int) resources {
	return resources{r.cpu + float64(milliCPU)*float64(n), r.memory + float64(memoryMB)*float64(n)}
}

// demandPeak is the highest recent demand of one priority, with an exponential decay.
type demandPeak struct {
	resources
	updatedAt int64 // ms of the state clock
}

// at returns the peak, decayed until now.
func (p *demandPeak) at(now int64) resources {
	decay := math.Exp(-float64(now-p.updatedAt) / float64(demandPeakDecay.Milliseconds()))
	return resources{p.cpu * decay, p.memory * decay}
}

// raise decays the peak until now and raises it to the demand if that is higher.
func (p *demandPeak) raise(demand resources, now int64) {
	decayed := p.at(now)
	p.updatedAt = now
	p.cpu, p.memory = max(decayed.cpu, demand.cpu), max(decayed.memory, demand.memory)
}

// currentDemand returns, for each priority of a service, the resources held by its
// runs, and these plus the requests of waiting tasks that the tenants' quotas allow.
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
			continue // no capacity is reserved for it
		}
		spec, kind, n := request.spec(), request.servicePriority(), quotas.allowed(request)
		demand[kind] = demand[kind].add(spec.CPUUnits, spec.MemoryMB, n)
		quotas.add(request, n)
	}
	return held, demand
}

// updatePeaks decays the demand peaks and raises them to the current demand.
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

// reservedForHigherPriorities returns the resources that a priority must leave to
// higher priorities of its service: the sum of their demand peaks.
func (p *Planner) reservedForHigherPriorities(service string, priority int) resources {
	sum := resources{}
	for kind, peak := range p.demandPeaks {
		if kind.Service == service && kind.Priority < priority {
			sum.cpu += peak.cpu
			sum.memory += peak.memory
		}
	}
	return sum
}

// limitLongTasks removes the tasks of a long step that exceed the limit for long
// tasks. At least one task is kept if the priority holds no CPU or the job is starved; a gang
// is then kept whole. It returns false if the whole step must wait.
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
	if isStarved(store, request) {
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

// isStarved reports whether no task of a job runs and its step has been ready, without a
// new allocation, for maxStarvationTime. Such a job gets at least one task, or its whole
// gang, placed if it fits, however much higher-priority demand is predicted: by the
// operators' rules a job must not wait while there is free capacity for it, however full
// the service is.
func isStarved(store *state.Store, request *placementRequest) bool {
	stepState := &request.instance.Steps[request.step]
	if store.Clock-max(stepState.ReadyAt, stepState.LastAllocatedAt) < maxStarvationTime.Milliseconds() {
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

// longTaskLimit returns the total resources that a long request's priority may hold,
// or false if there is no limit. Long tasks are limited to leave capacity for the
// predicted demand of higher priorities.
func (p *Planner) longTaskLimit(store *state.Store, request *placementRequest, held map[state.ServicePriority]resources) (resources, bool) {
	if !request.isLong() {
		return resources{}, false
	}
	kind := request.servicePriority()
	reserved := p.reservedForHigherPriorities(kind.Service, kind.Priority)
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
	// Whatever demand is predicted, a job must not wait while the workers are mostly
	// free, since it would count as lost.
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

package scheduler

import (
	"tealpond/internal/state"
)

// heavyTenantFraction is the part of its quota above which a tenant's work comes after that of
// tenants that use less, at the same priority and deadline class.
const heavyTenantFraction = 0.85

// quotaTally is what tenants hold of their quotas while a plan is made: what is in use
// and what the plan has placed so far.
type quotaTally struct {
	store   *state.Store
	planner *Planner // nil while a plan is applied: replicas know no planner
	use     map[string]state.TenantUse
}

func newQuotaTally(store *state.Store, planner *Planner) *quotaTally {
	return &quotaTally{store: store, planner: planner, use: map[string]state.TenantUse{}}
}

// useOf is what a tenant holds.
func (t *quotaTally) useOf(tenant string) state.TenantUse {
	if use, ok := t.use[tenant]; ok {
		return use
	}
	return t.store.TenantUse(tenant)
}

// allowed is how many of a request's tasks may be placed by the quota of its tenant;
// of a gang all or none.
func (t *quotaTally) allowed(request *placementRequest) int {
	wanted := len(request.tasks)
	quota, bounded := t.store.Quotas[request.job.Tenant()]
	if !bounded {
		return wanted
	}
	use := t.useOf(request.job.Tenant())
	n := quota.TasksWithin(use, request.spec(), wanted)
	if n > 0 && t.planner != nil && request.isLong() {
		n = t.allowedBesideUrgent(request, quota, use, n)
	}
	if n < wanted && request.isGang() {
		return 0
	}
	return n
}

// allowedBesideUrgent is how many of n long tasks leave room under their tenant's quota
// for the more urgent work that is foreseen of it. A job of which nothing runs isn't
// held back for long.
func (t *quotaTally) allowedBesideUrgent(request *placementRequest, quota state.Quota, use state.TenantUse, n int) int {
	reserved := t.planner.tenantReserve(t.store, request.job.Tenant(), request.job.Priority)
	quota.MilliCPU = reducedLimit(quota.MilliCPU, reserved.cpu)
	quota.MemoryMB = reducedLimit(quota.MemoryMB, reserved.memory)
	reduced := quota.TasksWithin(use, request.spec(), n)
	if reduced < n && idleTooLong(t.store, request) {
		if request.isGang() {
			return n
		}
		return max(reduced, 1)
	}
	return reduced
}

// reducedLimit is a limit less what is reserved, but never so low that a job waits
// while its tenant uses little; 0 stays no limit.
func reducedLimit(limit int64, reserved float64) int64 {
	return max(limit-int64(reserved), int64(float64(limit)*longTaskFreeFraction))
}

// add notes that n tasks of a request were placed.
func (t *quotaTally) add(request *placementRequest, n int) {
	if tenant := request.job.Tenant(); tenant != "" {
		t.use[tenant] = t.useOf(tenant).Plus(request.spec(), n)
	}
}

// limitToQuota drops the tasks of a request that don't fit under its tenant's quota. It
// returns false if none is left to place.
func (t *quotaTally) limitToQuota(request *placementRequest) bool {
	request.tasks = request.tasks[:t.allowed(request)]
	return len(request.tasks) > 0
}

// tenantReserve is what a priority must leave under its tenant's quota to more urgent
// work of the same tenant: how far that work's use is below its recent peak.
func (p *Planner) tenantReserve(store *state.Store, tenant string, priority int) resources {
	sum := resources{}
	for urgent, peak := range p.tenantPeaks[tenant] {
		if urgent < priority {
			use := store.TenantPriorityUse(state.TenantPriority{Tenant: tenant, Priority: urgent})
			foreseen := peak.at(store.Clock)
			sum.cpu += max(foreseen.cpu-float64(use.MilliCPU), 0)
			sum.memory += max(foreseen.memory-float64(use.MemoryMB), 0)
		}
	}
	return sum
}

// updateTenantPeaks raises the peaks of tenants to what their short tasks hold and
// wait for.
func (p *Planner) updateTenantPeaks(store *state.Store, requests []placementRequest) {
	demand := map[state.TenantPriority]resources{}
	quotas := newQuotaTally(store, nil)
	for i := range requests {
		request := &requests[i]
		if request.job.Tenant() == "" || request.isLong() || request.job.BeyondShare() {
			continue
		}
		kind := state.TenantPriority{Tenant: request.job.Tenant(), Priority: request.job.Priority}
		if _, known := demand[kind]; !known {
			use := store.TenantPriorityUse(kind)
			demand[kind] = resources{float64(use.MilliCPU), float64(use.MemoryMB)}
		}
		n, spec := quotas.allowed(request), request.spec()
		demand[kind] = demand[kind].add(spec.CPUUnits, spec.MemoryMB, n)
		quotas.add(request, n)
	}
	for kind, wanted := range demand {
		p.tenantPeak(kind, store.Clock).raise(wanted, store.Clock)
	}
}

// tenantPeak returns the peak of a tenant's priority, a new one if there is none.
func (p *Planner) tenantPeak(kind state.TenantPriority, now int64) *demandPeak {
	if p.tenantPeaks == nil {
		p.tenantPeaks = map[string]map[int]*demandPeak{}
	}
	if p.tenantPeaks[kind.Tenant] == nil {
		p.tenantPeaks[kind.Tenant] = map[int]*demandPeak{}
	}
	if p.tenantPeaks[kind.Tenant][kind.Priority] == nil {
		p.tenantPeaks[kind.Tenant][kind.Priority] = &demandPeak{updatedAt: now}
	}
	return p.tenantPeaks[kind.Tenant][kind.Priority]
}

// usesMuchOfQuota reports whether a tenant uses over heavyTenantFraction of one of
// its quota's resources.
func usesMuchOfQuota(store *state.Store, tenant string) bool {
	quota, bounded := store.Quotas[tenant]
	if !bounded {
		return false
	}
	use := store.TenantUse(tenant)
	heavy := func(limit, used int64) bool {
		return limit > 0 && float64(used) > heavyTenantFraction*float64(limit)
	}
	return heavy(quota.MilliCPU, use.MilliCPU) || heavy(quota.MemoryMB, use.MemoryMB) || heavy(int64(quota.GPUs), int64(use.GPUs))
}

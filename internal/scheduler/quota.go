package scheduler

import (
	"tealpond/internal/state"
)

// heavyTenantFraction is the fraction of its quota above which a tenant's work comes after that of
// tenants that use less, within the same priority and deadline class.
const heavyTenantFraction = 0.85

// quotaTally tracks the quota usage of tenants while a plan is made: the resources in use
// and those of the tasks placed so far.
type quotaTally struct {
	store   *state.Store
	planner *Planner // nil while a plan is applied, since replicas have no planner
	use     map[string]state.TenantUse
}

func newQuotaTally(store *state.Store, planner *Planner) *quotaTally {
	return &quotaTally{store: store, planner: planner, use: map[string]state.TenantUse{}}
}

// useOf returns a tenant's usage, including the tasks placed so far.
func (t *quotaTally) useOf(tenant string) state.TenantUse {
	if use, ok := t.use[tenant]; ok {
		return use
	}
	return t.store.TenantUse(tenant)
}

// allowed returns how many of a request's tasks may be placed under its tenant's quota; of
// a gang all or none.
func (t *quotaTally) allowed(request *placementRequest) int {
	wanted := len(request.tasks)
	quota, bounded := t.store.Quotas[request.job.Tenant()]
	if !bounded {
		return wanted
	}
	use := t.useOf(request.job.Tenant())
	n := quota.TasksWithin(use, request.spec(), wanted)
	if n > 0 && t.planner != nil && request.isLong() {
		n = t.allowedWithReserve(request, quota, use, n)
	}
	if n < wanted && request.isGang() {
		return 0
	}
	return n
}

// allowedWithReserve returns how many of n long tasks may be placed so that their tenant's
// quota still covers its predicted higher-priority work. A job without a running task isn't
// held back for longer than maxStarvationTime.
func (t *quotaTally) allowedWithReserve(request *placementRequest, quota state.Quota, use state.TenantUse, n int) int {
	reserved := t.planner.tenantReserve(t.store, request.job.Tenant(), request.job.Priority)
	quota.MilliCPU = reducedLimit(quota.MilliCPU, reserved.cpu)
	quota.MemoryMB = reducedLimit(quota.MemoryMB, reserved.memory)
	reduced := quota.TasksWithin(use, request.spec(), n)
	if reduced < n && isStarved(t.store, request) {
		if request.isGang() {
			return n
		}
		return max(reduced, 1)
	}
	return reduced
}

// reducedLimit returns a limit less the reserved amount, but at least longTaskFreeFraction
// of the limit, so that a job doesn't wait while its tenant uses little. A limit of 0, which
// means none, stays 0.
func reducedLimit(limit int64, reserved float64) int64 {
	return max(limit-int64(reserved), int64(float64(limit)*longTaskFreeFraction))
}

// add records that n tasks of a request were placed.
func (t *quotaTally) add(request *placementRequest, n int) {
	if tenant := request.job.Tenant(); tenant != "" {
		t.use[tenant] = t.useOf(tenant).Plus(request.spec(), n)
	}
}

// limitToQuota removes the tasks of a request that exceed its tenant's quota. It returns
// false if no task is left.
func (t *quotaTally) limitToQuota(request *placementRequest) bool {
	request.tasks = request.tasks[:t.allowed(request)]
	return len(request.tasks) > 0
}

// tenantReserve returns the part of a tenant's quota that a priority must leave to
// higher-priority work of the same tenant: the difference between the recent peak and the
// current use of that work.
func (p *Planner) tenantReserve(store *state.Store, tenant string, priority int) resources {
	sum := resources{}
	for urgent, peak := range p.tenantPeaks[tenant] {
		if urgent < priority {
			use := store.TenantPriorityUse(state.TenantPriority{Tenant: tenant, Priority: urgent})
			predicted := peak.at(store.Clock)
			sum.cpu += max(predicted.cpu-float64(use.MilliCPU), 0)
			sum.memory += max(predicted.memory-float64(use.MemoryMB), 0)
		}
	}
	return sum
}

// updateTenantPeaks raises the demand peaks of tenants to the resources that their running
// tasks use and their waiting short tasks request.
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

// tenantPeak returns the demand peak of a tenant's priority, creating it if necessary.
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

// isHeavyTenant reports whether a tenant uses more than heavyTenantFraction of its quota of
// any resource.
func isHeavyTenant(store *state.Store, tenant string) bool {
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

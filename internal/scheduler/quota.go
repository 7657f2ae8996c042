package scheduler

import "tealpond/internal/state"

// quotaTally is what tenants hold of their quotas while a plan is made: what is in use
// and what the plan has placed so far.
type quotaTally struct {
	store *state.Store
	use   map[string]state.TenantUse
}

func newQuotaTally(store *state.Store) *quotaTally {
	return &quotaTally{store: store, use: map[string]state.TenantUse{}}
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
	n := quota.TasksWithin(t.useOf(request.job.Tenant()), request.spec(), wanted)
	if n < wanted && request.isGang() {
		return 0
	}
	return n
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

package state

import (
	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// Quota limits the resources that a tenant's runs hold on all workers together. A value
// of 0 means that the resource is not limited.
type Quota struct {
	_        struct{} `cbor:",toarray"`
	MilliCPU int64
	MemoryMB int64
	GPUs     int
	// MilliShare is the number of the tenant's jobs that are served in 1000 s when the
	// cluster is full.
	MilliShare int64
}

// TenantUse is the amount of a tenant's quota that is in use. Each run counts from when
// its plan is applied until its end is reported. This includes speculative copies, and
// runs that are being stopped or that have not started yet.
type TenantUse struct {
	Runs     int
	MilliCPU int64
	MemoryMB int64
	GPUs     int
}

// Plus returns the use with n more runs of a step's tasks; n may be negative.
func (u TenantUse) Plus(spec *protocol.Step, n int) TenantUse {
	return TenantUse{
		Runs:     u.Runs + n,
		MilliCPU: u.MilliCPU + int64(n)*spec.CPUUnits,
		MemoryMB: u.MemoryMB + int64(n)*spec.MemoryMB,
		GPUs:     u.GPUs + n*spec.GPUs,
	}
}

// TasksWithin returns how many tasks of a step may be started in addition to the current
// use, at most wanted. A single task that exceeds the quota may still run alone.
func (q Quota) TasksWithin(use TenantUse, spec *protocol.Step, wanted int) int {
	n := wanted
	limit := func(bound, used, size int64) {
		if bound > 0 && size > 0 {
			n = min(n, int(max(bound-used, 0)/size))
		}
	}
	limit(q.MilliCPU, use.MilliCPU, spec.CPUUnits)
	limit(q.MemoryMB, use.MemoryMB, spec.MemoryMB)
	limit(int64(q.GPUs), int64(use.GPUs), int64(spec.GPUs))
	if use.Runs == 0 {
		n = max(n, min(wanted, 1))
	}
	return n
}

// milli is the number of thousandths in one.
const milli = 1000

// MilliShare returns the number of a tenant's jobs that are served in 1000 s when the
// cluster is full.
func MilliShare(tenant clusterconfig.Tenant) int64 { return int64(tenant.Share * milli) }

// updateQuotas sets the quotas of a configuration's tenants. Quotas of tenants that the
// configuration no longer contains are kept, since their jobs continue.
func (s *Store) updateQuotas(tenants []clusterconfig.Tenant) {
	for _, tenant := range tenants {
		if s.Quotas == nil {
			s.Quotas = map[string]Quota{}
		}
		s.Quotas[tenant.Name] = Quota{
			MilliCPU:   tenant.UpperLimit.CPUUnits,
			MemoryMB:   tenant.UpperLimit.MemoryMB,
			GPUs:       tenant.UpperLimit.GPUs,
			MilliShare: MilliShare(tenant),
		}
	}
}

// TenantPriority is a key for the total use of a tenant's runs of one priority.
type TenantPriority struct {
	Tenant   string
	Priority int
}

// TenantUse returns the resources that the runs of a tenant's jobs hold.
func (s *Store) TenantUse(tenant string) TenantUse { return s.index.tenantUse[tenant] }

// TenantPriorityUse returns the resources that the runs of a tenant's jobs of one
// priority hold.
func (s *Store) TenantPriorityUse(of TenantPriority) TenantUse { return s.index.tenantPriorityUse[of] }

// withinQuota reports whether the quota of the job's tenant allows one more task of a
// step to be started.
func (s *Store) withinQuota(job *Job, spec *protocol.Step) bool {
	quota, bounded := s.Quotas[job.Tenant()]
	return !bounded || quota.TasksWithin(s.TenantUse(job.Tenant()), spec, 1) == 1
}

// adjustTenantUse adds a run to its tenant's use, or subtracts it if sign is -1.
func (s *Store) adjustTenantUse(allocation *Allocation, sign int) {
	if allocation.tenant == "" {
		return
	}
	run := &protocol.Step{CPUUnits: allocation.MilliCPU, MemoryMB: allocation.MemoryMB, GPUs: len(allocation.GPUs)}
	adjustUse(s.index.tenantUse, allocation.tenant, run, sign)
	adjustUse(s.index.tenantPriorityUse, TenantPriority{allocation.tenant, allocation.servicePriority.Priority}, run, sign)
}

// adjustUse adds n runs to the entry of a key, and deletes the entry if it becomes zero.
func adjustUse[K comparable](uses map[K]TenantUse, key K, run *protocol.Step, n int) {
	if use := uses[key].Plus(run, n); use != (TenantUse{}) {
		uses[key] = use
	} else {
		delete(uses, key)
	}
}

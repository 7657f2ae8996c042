package state

import (
	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// Quota bounds what a tenant has running on all workers together. A bound of 0 means
// that there is none of that kind.
type Quota struct {
	_        struct{} `cbor:",toarray"`
	MilliCPU int64
	MemoryMB int64
	GPUs     int
	// MilliShare is the number of jobs that the tenant is served in 1000 s once
	// everything is full.
	MilliShare int64
}

// TenantUse is what a tenant holds of its quota. Each run counts from when its plan
// is applied until its end is known: also a copy, and one that is being stopped or
// that may still be started.
type TenantUse struct {
	Runs     int
	MilliCPU int64
	MemoryMB int64
	GPUs     int
}

// Plus is the use with n more runs of a step's tasks; n may be negative.
func (u TenantUse) Plus(spec *protocol.Step, n int) TenantUse {
	return TenantUse{
		Runs:     u.Runs + n,
		MilliCPU: u.MilliCPU + int64(n)*spec.CPUUnits,
		MemoryMB: u.MemoryMB + int64(n)*spec.MemoryMB,
		GPUs:     u.GPUs + n*spec.GPUs,
	}
}

// TasksWithin is how many tasks of a step may be started beside what is in use, wanted
// at most. A task that is wider than the quota itself may run alone.
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

// milli is the factor between a number and its thousandths.
const milli = 1000

// MilliShare is the number of jobs that a tenant is served in 1000 s once everything is
// full.
func MilliShare(tenant clusterconfig.Tenant) int64 { return int64(tenant.Share * milli) }

// adoptQuotas takes over the limits of a configuration's tenants. Those of tenants
// that it no longer names stay, since their jobs go on.
func (s *Store) adoptQuotas(tenants []clusterconfig.Tenant) {
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

// TenantPriority is a tenant and a priority, by which use is summed up.
type TenantPriority struct {
	Tenant   string
	Priority int
}

// TenantUse is what the runs of a tenant's jobs hold.
func (s *Store) TenantUse(tenant string) TenantUse { return s.index.tenantUse[tenant] }

// TenantPriorityUse is what the runs of a tenant's jobs of one priority hold.
func (s *Store) TenantPriorityUse(of TenantPriority) TenantUse { return s.index.tenantPriorityUse[of] }

// withinQuota reports whether one more task of a step may be started by the quota of its
// job's tenant.
func (s *Store) withinQuota(job *Job, spec *protocol.Step) bool {
	quota, bounded := s.Quotas[job.Tenant()]
	return !bounded || quota.TasksWithin(s.TenantUse(job.Tenant()), spec, 1) == 1
}

// adjustTenantUse adds a run to its tenant's use, or takes it off if sign is -1.
func (s *Store) adjustTenantUse(allocation *Allocation, sign int) {
	if allocation.tenant == "" {
		return
	}
	run := &protocol.Step{CPUUnits: allocation.MilliCPU, MemoryMB: allocation.MemoryMB, GPUs: len(allocation.GPUs)}
	adjustUse(s.index.tenantUse, allocation.tenant, run, sign)
	adjustUse(s.index.tenantPriorityUse, TenantPriority{allocation.tenant, allocation.servicePriority.Priority}, run, sign)
}

// adjustUse adds n runs to an entry of a map, and drops it when nothing is left.
func adjustUse[K comparable](uses map[K]TenantUse, of K, run *protocol.Step, n int) {
	if use := uses[of].Plus(run, n); use != (TenantUse{}) {
		uses[of] = use
	} else {
		delete(uses, of)
	}
}

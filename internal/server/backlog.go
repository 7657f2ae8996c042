package server

import (
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// maxBacklogPerCore is the work that may be queued for each core of capacity. Above it, all
	// submitted jobs are refused.
	maxBacklogPerCore = 60 * time.Second
	// floodRefusalPeriod is the time after the refusal of a tenant's job beyond its share during
	// which its jobs within the share are refused as well if they would miss their targets.
	floodRefusalPeriod = 3 * time.Second
	// minBacklogBeyondShare is the backlog for each core, or for each core of the tenant's quota, up
	// to which a job beyond its tenant's share is always accepted.
	minBacklogBeyondShare = 500 * time.Millisecond
)

// backlogWait returns how long a client must wait before it submits a job again; 0 if the job
// is accepted now. While the service has no capacity, each job is accepted. Otherwise a
// job is refused
//   - if the backlog exceeds maxBacklogPerCore;
//   - beyond its tenant's share, if it would miss its target behind the queued work of all
//     tenants, or behind its own tenant's queued work under that tenant's quota;
//   - within the share, for floodRefusalPeriod after such a refusal, if it would miss its target
//     under the quota: if accepted, it would only make the jobs behind it miss theirs too.
//
// A periodic job, or one without a target, is refused by the first rule only.
//
// So a flood of jobs of one tenant causes no refusals for other tenants, and leaves no queue
// behind.
func (r *Replica) backlogWait(call jobCall, request *rpc.JobRequest) time.Duration {
	capacity, _ := r.state.SchedulableCapacity(call.service)
	if capacity.MilliCPU == 0 {
		return 0
	}
	r.measureBacklog(time.Now())
	if wait := r.backlogOf(call, allPriorities, anyTenant).durationAt(capacity.MilliCPU) - maxBacklogPerCore; wait > 0 {
		return wait
	}
	quota := r.state.Quotas[call.tenant]
	maxMilliCPU := capacity.MilliCPU / maxStepCapacityDivisor
	if quota.MilliCPU > 0 {
		maxMilliCPU = min(maxMilliCPU, quota.MilliCPU)
	}
	target := time.Duration(state.TargetTurnaroundMs(call.route, &request.Job, maxMilliCPU)) * time.Millisecond
	if target == 0 || request.Job.PeriodicInstances > 0 {
		return 0
	}
	now := time.Now()
	if !request.BeyondShare && now.Sub(r.floodRefusedAt[call.tenant]) > floodRefusalPeriod {
		return 0
	}
	wait := time.Duration(0)
	if request.BeyondShare {
		wait = r.backlogOf(call, call.route.Priority, anyTenant).durationAt(capacity.MilliCPU)
	}
	if quota.MilliCPU > 0 {
		wait = max(wait, r.backlogOf(call, call.route.Priority, ownTenant).durationAt(quota.MilliCPU))
	}
	wait = max(wait-max(target, minBacklogBeyondShare), 0)
	if wait > 0 && request.BeyondShare {
		r.recordFlood(call.tenant, now)
	}
	return wait
}

// recordFlood records that a tenant submits more than its share and more than can be finished
// in time. It also removes expired records of other tenants.
func (r *Replica) recordFlood(tenant string, now time.Time) {
	if r.floodRefusedAt == nil {
		r.floodRefusedAt = map[string]time.Time{}
	}
	for other, at := range r.floodRefusedAt {
		if now.Sub(at) > floodRefusalPeriod {
			delete(r.floodRefusedAt, other)
		}
	}
	r.floodRefusedAt[tenant] = now
}

// maxStepCapacityDivisor divides the whole capacity into the largest part that one step counts
// as using at once: in the operators' targets, a larger step runs in several waves.
const maxStepCapacityDivisor = 4

// measureBacklog sums up the queued work at most once each timing.HeartbeatInterval, since it
// iterates over all open jobs.
func (r *Replica) measureBacklog(now time.Time) {
	if now.Sub(r.backlogAt) >= timing.HeartbeatInterval {
		r.backlog, r.backlogAt = r.state.Backlog(), now
	}
}

// addToBacklog adds a job that is proposed to the backlog, until that is measured again.
func (r *Replica) addToBacklog(call jobCall, job *protocol.Job) {
	if r.backlog != nil {
		key := state.BacklogKey{Service: call.service, Tenant: call.tenant, Priority: call.route.Priority}
		r.backlog[key] = int64(queuedWork(r.backlog[key]).plus(state.EstimatedWork(job)))
	}
}

// allPriorities is a bound that includes each priority.
const allPriorities = int(^uint(0) >> 1)

// tenantScope selects the tenants whose work counts.
type tenantScope bool

const (
	anyTenant tenantScope = false
	ownTenant tenantScope = true
)

// queuedWork is an amount of work, in millicores times ms.
type queuedWork int64

// maxQueuedWork bounds an amount of work so that two of them have a sum.
const maxQueuedWork = 1 << 61

// plus returns the sum of two amounts of work, of which no more than maxQueuedWork counts.
func (w queuedWork) plus(work int64) queuedWork {
	return min(w, maxQueuedWork) + queuedWork(min(work, maxQueuedWork))
}

// durationAt returns how long the work takes on the given capacity, at most protocol.MaxQuantity ms.
func (w queuedWork) durationAt(milliCPU int64) time.Duration {
	return time.Duration(min(int64(w)/milliCPU, protocol.MaxQuantity)) * time.Millisecond
}

// backlogOf returns the work that is queued for the workers of a call's service, at the given
// or a more urgent priority.
func (r *Replica) backlogOf(call jobCall, priority int, scope tenantScope) queuedWork {
	sum := queuedWork(0)
	for key, work := range r.backlog {
		if key.Service == call.service && key.Priority <= priority && (scope == anyTenant || key.Tenant == call.tenant) {
			sum = sum.plus(work)
		}
	}
	return sum
}

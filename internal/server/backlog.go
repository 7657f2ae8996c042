package server

import (
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
)

const (
	// maxBacklogPerCore is the work that may wait for each core of capacity; beyond it submitted jobs
	// are refused.
	maxBacklogPerCore = 60 * time.Second
	// floodMemory is for how long after a refusal beyond its share a tenant's jobs within the share
	// are refused as well where they would miss their targets.
	floodMemory = 3 * time.Second
	// minBacklogBeyondShare is the work for each core, or for each core of its tenant's quota, behind
	// which a job beyond its tenant's share is accepted in any case.
	minBacklogBeyondShare = 500 * time.Millisecond
)

// backlogWait is how long a job must wait before it may be submitted; 0 if it is accepted
// now. It is refused
//   - if far more work waits than the workers can finish in good time;
//   - beyond its tenant's share, if it would miss its target behind the work of all, or
//     behind its own tenant's work under that tenant's quota;
//   - within the share, for floodMemory after that, if it would miss its target under
//     the quota: accepted, it would only have the jobs behind it miss theirs too.
//
// So a flood of one tenant has none of the others refused, and leaves no queue behind.
func (r *Replica) backlogWait(call jobCall, request *rpc.JobRequest) time.Duration {
	capacity, _ := r.state.SchedulableCapacity(call.route.TargetService)
	if capacity.MilliCPU == 0 {
		return 0
	}
	r.measureBacklog(time.Now())
	if wait := r.backlogOf(call, allPriorities, anyTenant).over(capacity.MilliCPU) - maxBacklogPerCore; wait > 0 {
		return wait
	}
	quota := r.state.Quotas[call.tenant]
	most := capacity.MilliCPU / widestPart
	if quota.MilliCPU > 0 {
		most = min(most, quota.MilliCPU)
	}
	target := time.Duration(state.TargetTurnaroundMs(call.route, &request.Job, most)) * time.Millisecond
	if target == 0 || request.Job.PeriodicInstances > 0 {
		return 0
	}
	now := time.Now()
	if !request.BeyondShare && now.Sub(r.floodedAt[call.tenant]) > floodMemory {
		return 0
	}
	wait := time.Duration(0)
	if request.BeyondShare {
		wait = r.backlogOf(call, call.route.Priority, anyTenant).over(capacity.MilliCPU)
	}
	if quota.MilliCPU > 0 {
		wait = max(wait, r.backlogOf(call, call.route.Priority, ownTenant).over(quota.MilliCPU))
	}
	wait = max(wait-max(target, minBacklogBeyondShare), 0)
	if wait > 0 && request.BeyondShare {
		r.noteFlood(call.tenant, now)
	}
	return wait
}

// noteFlood notes that a tenant submits more than its share and more than can be done.
func (r *Replica) noteFlood(tenant string, now time.Time) {
	if r.floodedAt == nil {
		r.floodedAt = map[string]time.Time{}
	}
	for other, at := range r.floodedAt {
		if now.Sub(at) > floodMemory {
			delete(r.floodedAt, other)
		}
	}
	r.floodedAt[tenant] = now
}

// widestPart is the part of all room, one in so many, above which the operators count a
// step as run in waves.
const widestPart = 4

// measureBacklog sums up what waits, unless that was done a moment ago: it walks all open
// jobs.
func (r *Replica) measureBacklog(now time.Time) {
	if now.Sub(r.backlogAt) >= timing.HeartbeatInterval {
		r.backlog, r.backlogAt = r.state.Backlog(), now
	}
}

// addToBacklog counts a job that is put into the log, until the backlog is measured again.
func (r *Replica) addToBacklog(call jobCall, job *protocol.Job) {
	if r.backlog != nil {
		r.backlog[state.BacklogKey{Service: call.route.TargetService, Tenant: call.tenant, Priority: call.route.Priority}] += state.WorkOf(job)
	}
}

// allPriorities is above the number of any priority.
const allPriorities = int(^uint(0) >> 1)

// tenantScope says whose work counts.
type tenantScope bool

const (
	anyTenant tenantScope = false
	ownTenant tenantScope = true
)

// queuedWork is an amount of work, in thousandths of a core times ms.
type queuedWork int64

// over is how long so much processor time takes for the work.
func (w queuedWork) over(milliCPU int64) time.Duration {
	return time.Duration(int64(w)/milliCPU) * time.Millisecond
}

// backlogOf is the work that waits for the workers of a call's service, at a priority or
// more urgent.
func (r *Replica) backlogOf(call jobCall, priority int, scope tenantScope) queuedWork {
	sum := int64(0)
	for key, work := range r.backlog {
		if key.Service == call.route.TargetService && key.Priority <= priority && (scope == anyTenant || key.Tenant == call.tenant) {
			sum += work
		}
	}
	return queuedWork(sum)
}

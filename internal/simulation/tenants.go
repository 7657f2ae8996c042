package simulation

import (
	"fmt"
	"strings"
	"time"

	"tealpond/internal/protocol"
)

// The tenants of each configuration: one with a limit, and one without any.
const (
	boundTenant   = "bound"
	unboundTenant = "unbound"
	// boundTenantMilliCPU is the limit of boundTenant.
	boundTenantMilliCPU = 6000
	// unknownKey is no tenant's.
	unknownKey = "key-of-nobody"
)

// tenantList is the tenants of each configuration, as operators send them.
var tenantList = tenantsWithLimit(boundTenantMilliCPU)

// tenantsWithLimit is the tenants with another limit of boundTenant.
func tenantsWithLimit(milliCPU int) string {
	return fmt.Sprintf(`[{"name":%q,"apiKeys":[%q],"share":2,"upperLimit":{"cpuUnits":%d}},{"name":%q,"apiKeys":[%q,"spare"],"share":1000}]`,
		boundTenant, keyOf(boundTenant), milliCPU, unboundTenant, keyOf(unboundTenant))
}

// limitGrace is how long after a lower limit was acknowledged starts may still go by the
// limit before: quotaWindowS of the operators.
const limitGrace = 5 * time.Second

// boundLimit is the limit of boundTenant as it changes.
type boundLimit struct {
	inForce, next int64
	nextAt        time.Time // when next is in force; zero: there is none
}

// change records a new limit. A higher one is in force at once.
func (l *boundLimit) change(at time.Time, milliCPU int64) {
	if milliCPU >= l.inForce {
		l.inForce, l.nextAt = milliCPU, time.Time{}
		return
	}
	l.next, l.nextAt = milliCPU, at.Add(limitGrace)
}

// at returns the limit that a start at a time must keep to.
func (l *boundLimit) at(when time.Time) int64 {
	if !l.nextAt.IsZero() && when.After(l.nextAt) {
		return l.next
	}
	return l.inForce
}

// keyOf is the key of a tenant.
func keyOf(tenant string) string { return "key-of-" + tenant }

// tenantOf is the tenant that submits a job: the bound one submits one of eight.
func tenantOf(id string) string {
	if id != "" && (id[len(id)-1] == '7' || id[len(id)-1] == 'f') {
		return boundTenant
	}
	return unboundTenant
}

// authorization is the header that bears the key for calls about a job.
func authorization(key string) string { return protocol.AuthorizationScheme + " " + key }

// checkQuotas: a start never lifts what the bound tenant has running past its limit,
// unless it is the only run. Each cluster has a limit of its own; jobs that moved to
// another one are bounded there by the loan alone.
func checkQuotas(h *History) (violations []string) {
	running, inUse := map[string]map[runKey]int64{}, map[string]int64{}
	limit := boundLimit{inForce: boundTenantMilliCPU}
	for _, event := range h.Events {
		if event.Kind == EventLimitChanged {
			limit.change(event.At, event.CPUCapacity)
			continue
		}
		job, step, _ := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		if submitted == nil || tenantOf(job) != boundTenant || step >= len(submitted.MilliCPU) {
			continue
		}
		cluster, key := submitted.Cluster, runKey{event.Incarnation, event.Task, event.Run}
		switch event.Kind {
		case EventRunStarted:
			if !strings.HasPrefix(event.Node, cluster) {
				continue
			}
			if running[cluster] == nil {
				running[cluster] = map[runKey]int64{}
			}
			running[cluster][key] = submitted.MilliCPU[step]
			inUse[cluster] += submitted.MilliCPU[step]
			if most := limit.at(event.At); inUse[cluster] > most && len(running[cluster]) > 1 {
				violations = append(violations, fmt.Sprintf("%s run %d lifts its tenant to %d of %d", event.Task, event.Run, inUse[cluster], most))
			}
		case EventRunEnded:
			inUse[cluster] -= running[cluster][key]
			delete(running[cluster], key)
		}
	}
	return violations
}

// checkKeys: no job is accepted that was submitted with a key of no tenant, and none with
// a tenant's key is refused for it.
func checkKeys(h *History) (violations []string) {
	for id, job := range h.Jobs {
		if job.UnknownKey && job.Accepted {
			violations = append(violations, "job "+id+" is accepted with a key of no tenant")
		}
	}
	for _, call := range h.Calls {
		if !call.UnknownKey && (call.Code == 401 || call.Code == 403) {
			violations = append(violations, fmt.Sprintf("%s at %s is refused with %d though its key is a tenant's", call.Kind, call.Node, call.Code))
		}
	}
	return violations
}

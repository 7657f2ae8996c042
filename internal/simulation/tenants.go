package simulation

import (
	"fmt"
	"strings"
	"time"

	"tealpond/internal/protocol"
)

// The tenants of each configuration: one with a limit, and one without.
const (
	limitedTenant   = "bound"
	unlimitedTenant = "unbound"
	// limitedTenantMilliCPU is the limit of limitedTenant.
	limitedTenantMilliCPU = 6000
	// unknownKey is an API key that belongs to no tenant.
	unknownKey = "key-of-nobody"
)

// tenantList is the list of tenants that operators send in each configuration.
var tenantList = tenantsWithLimit(limitedTenantMilliCPU)

// tenantsWithLimit returns the list of tenants with a limit for limitedTenant.
func tenantsWithLimit(milliCPU int) string {
	return fmt.Sprintf(`[{"name":%q,"apiKeys":[%q],"share":2,"upperLimit":{"cpuUnits":%d}},{"name":%q,"apiKeys":[%q,"spare"],"share":1000}]`,
		limitedTenant, keyOf(limitedTenant), milliCPU, unlimitedTenant, keyOf(unlimitedTenant))
}

// limitGrace is how long starts may still use the previous limit after a lower one was
// acknowledged. It corresponds to the operators' quotaWindowS.
const limitGrace = 5 * time.Second

// tenantLimit is the limit of limitedTenant over time.
type tenantLimit struct {
	inForce, next int64
	nextAt        time.Time // when next takes effect; zero if there is none
}

// change records a new limit. A higher limit takes effect at once.
func (l *tenantLimit) change(at time.Time, milliCPU int64) {
	if milliCPU >= l.inForce {
		l.inForce, l.nextAt = milliCPU, time.Time{}
		return
	}
	l.next, l.nextAt = milliCPU, at.Add(limitGrace)
}

// at returns the limit that applies to a start at a time.
func (l *tenantLimit) at(when time.Time) int64 {
	if !l.nextAt.IsZero() && when.After(l.nextAt) {
		return l.next
	}
	return l.inForce
}

// keyOf returns the API key of a tenant.
func keyOf(tenant string) string { return "key-of-" + tenant }

// tenantOf returns the tenant that submits a job. limitedTenant submits one job of eight.
func tenantOf(id string) string {
	if id != "" && (id[len(id)-1] == '7' || id[len(id)-1] == 'f') {
		return limitedTenant
	}
	return unlimitedTenant
}

// authorization returns the header that carries the API key in calls about a job.
func authorization(key string) string { return protocol.AuthorizationScheme + " " + key }

// checkQuotas verifies that a start never raises the CPU usage of limitedTenant above its
// limit, unless it is the only run. Each cluster enforces its own limit. Jobs that moved to
// another cluster are limited there by the loan alone.
func checkQuotas(h *History) (violations []string) {
	running, inUse := map[string]map[runKey]int64{}, map[string]int64{}
	limit := tenantLimit{inForce: limitedTenantMilliCPU}
	for _, event := range h.Events {
		if event.Kind == EventLimitChanged {
			limit.change(event.At, event.CPUCapacity)
			continue
		}
		job, step, _ := splitTaskID(event.Task)
		submitted := h.Jobs[job]
		if submitted == nil || tenantOf(job) != limitedTenant || step >= len(submitted.MilliCPU) {
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
				violations = append(violations, fmt.Sprintf("%s run %d raises its tenant to %d of %d thousandths of a core", event.Task, event.Run, inUse[cluster], most))
			}
		case EventRunEnded:
			inUse[cluster] -= running[cluster][key]
			delete(running[cluster], key)
		}
	}
	return violations
}

// checkKeys verifies that no job is accepted with an unknown API key, and that no call with a
// tenant's key is refused because of the key.
func checkKeys(h *History) (violations []string) {
	for id, job := range h.Jobs {
		if job.UnknownKey && job.Accepted {
			violations = append(violations, "job "+id+" is accepted with an unknown API key")
		}
	}
	for _, call := range h.Calls {
		if !call.UnknownKey && (call.Code == 401 || call.Code == 403) {
			violations = append(violations, fmt.Sprintf("%s at %s is refused with %d though its API key belongs to a tenant", call.Kind, call.Node, call.Code))
		}
	}
	return violations
}

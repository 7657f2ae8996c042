package scheduler

import (
	"maps"

	"tealpond/internal/state"
)

// minStaleEntries is the number of stale entries that a map may hold however few live entries there
// are. It amortizes the cost of a pass over the map, which removes at least as many.
const minStaleEntries = 256

// pruneStale removes statistics of workers, routes and tenants that are no longer in the state, so
// that a leader's memory doesn't grow with each configuration change and worker restart in its term.
func (p *Planner) pruneStale(store *state.Store) {
	pruneUnknown(p.paces, store.Workers)
	pruneUnknown(p.routePaces, store.Routes)
	pruneUnknown(p.stragglerFactors, store.Routes)
	pruneUnknown(p.siblingFactors, store.Routes)
	pruneUnknown(p.tenantPeaks, store.Quotas)
}

// pruneUnknown removes the entries whose keys aren't in live, once they may make up half of the map.
func pruneUnknown[Key comparable, Statistic, Live any](statistics map[Key]Statistic, live map[Key]Live) {
	if len(statistics) <= 2*len(live)+minStaleEntries {
		return
	}
	maps.DeleteFunc(statistics, func(key Key, _ Statistic) bool {
		_, isLive := live[key]
		return !isLive
	})
}

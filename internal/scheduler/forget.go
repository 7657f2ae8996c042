package scheduler

import (
	"maps"

	"tealpond/internal/state"
)

// minForgottenRows is how many rows of what no longer exists a table may have, in any case: one
// pass over it drops as many.
const minForgottenRows = 256

// forgetUnused drops what was learnt of workers, routes and tenants that the state no longer has,
// so that a leader's memory doesn't grow with the configurations and restarts of its term.
func (p *Planner) forgetUnused(store *state.Store) {
	forgetUnknown(p.paces, store.Workers)
	forgetUnknown(p.routePaces, store.Routes)
	forgetUnknown(p.stragglerFactors, store.Routes)
	forgetUnknown(p.siblingFactors, store.Routes)
	forgetUnknown(p.tenantPeaks, store.Quotas)
}

// forgetUnknown drops the rows of a table whose keys are not known, once these may be half of it.
func forgetUnknown[Key comparable, Learnt, Known any](table map[Key]Learnt, known map[Key]Known) {
	if len(table) <= 2*len(known)+minForgottenRows {
		return
	}
	maps.DeleteFunc(table, func(key Key, _ Learnt) bool {
		_, isKnown := known[key]
		return !isKnown
	})
}

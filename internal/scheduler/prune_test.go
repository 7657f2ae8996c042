package scheduler

import (
	"fmt"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/state"
)

// TestStatisticsAreBounded guards against a leak: entries of removed workers, routes and tenants
// pile up over a month of configuration changes and restarts. Their number must stay within a small
// multiple of the live entries, and live entries must be kept.
func TestStatisticsAreBounded(t *testing.T) {
	store := state.New(state.Limits{})
	planner := &Planner{paces: map[string]paceEstimate{}, routePaces: map[string]routePace{}, stragglerFactors: map[string]float64{},
		siblingFactors: map[string]float64{}, tenantPeaks: map[string]map[int]*demandPeak{}}
	addStatistics := func(name string) {
		planner.paces[name], planner.routePaces[name] = paceEstimate{}, routePace{}
		planner.stragglerFactors[name], planner.siblingFactors[name] = 1, 1
		planner.tenantPeaks[name] = map[int]*demandPeak{}
	}
	store.Quotas = map[string]state.Quota{}
	for i := range 30 {
		name := fmt.Sprint("live-", i)
		store.Workers[name], store.Routes[name], store.Quotas[name] = &state.Worker{}, &clusterconfig.Route{}, state.Quota{}
		addStatistics(name)
	}
	for i := range 20_000 {
		addStatistics(fmt.Sprint("removed-", i))
		planner.pruneStale(store)
	}
	for name, entries := range map[string]int{
		"paces": len(planner.paces), "routes": len(planner.routePaces), "straggler factors": len(planner.stragglerFactors),
		"sibling factors": len(planner.siblingFactors), "tenants": len(planner.tenantPeaks),
	} {
		if entries > 2*30+minStaleEntries {
			t.Errorf("%s: %d entries, want at most twice the 30 live ones and minStaleEntries", name, entries)
		}
	}
	for i := range 30 {
		if _, kept := planner.routePaces[fmt.Sprint("live-", i)]; !kept {
			t.Errorf("statistics of live route %d were removed", i)
		}
	}
}

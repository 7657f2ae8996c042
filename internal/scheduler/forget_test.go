package scheduler

import (
	"fmt"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/state"
)

// TestWhatWasLearntIsBounded: a month of configurations and restarts leaves no more rows than a
// few times what there is, and what there is stays known.
func TestWhatWasLearntIsBounded(t *testing.T) {
	store := state.New(state.Limits{})
	planner := &Planner{paces: map[string]paceEstimate{}, routePaces: map[string]routePace{}, stragglerFactors: map[string]float64{},
		siblingFactors: map[string]float64{}, tenantPeaks: map[string]map[int]*demandPeak{}}
	learn := func(name string) {
		planner.paces[name], planner.routePaces[name] = paceEstimate{}, routePace{}
		planner.stragglerFactors[name], planner.siblingFactors[name] = 1, 1
		planner.tenantPeaks[name] = map[int]*demandPeak{}
	}
	store.Quotas = map[string]state.Quota{}
	for i := range 30 {
		name := fmt.Sprint("stays-", i)
		store.Workers[name], store.Routes[name], store.Quotas[name] = &state.Worker{}, &clusterconfig.Route{}, state.Quota{}
		learn(name)
	}
	for i := range 20_000 {
		learn(fmt.Sprint("gone-", i))
		planner.forgetUnused(store)
	}
	for name, rows := range map[string]int{
		"paces": len(planner.paces), "routes": len(planner.routePaces), "straggler factors": len(planner.stragglerFactors),
		"sibling factors": len(planner.siblingFactors), "tenants": len(planner.tenantPeaks),
	} {
		if rows > 2*30+minForgottenRows {
			t.Errorf("%s: %d rows", name, rows)
		}
	}
	for i := range 30 {
		if _, known := planner.routePaces[fmt.Sprint("stays-", i)]; !known {
			t.Errorf("route %d is forgotten", i)
		}
	}
}

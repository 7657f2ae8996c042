package server

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/federation"
	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// storeWithJobs returns a state with the routes "fed" and "local" of the services "s1" and "s2",
// a worker of 4000 millicores for each service, and the given jobs by ID. The job "elsewhere" is on
// the route "local", all others on "fed".
func storeWithJobs(t *testing.T, jobs map[string]protocol.Job) *state.Store {
	t.Helper()
	store := state.New(state.Limits{})
	apply := func(command state.Command) {
		t.Helper()
		if outcome := command.Apply(store); outcome.Code != state.CodeOK {
			t.Fatalf("%T: %+v", command, outcome)
		}
	}
	route := `{"name":"%s","hostName":"h.example","pathPrefix":"/%[1]s/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"%s","maxTries":4,"stretch":1.5}`
	apply(&state.ReplaceConfiguration{Raw: []byte(`{"configVersion":7,"routeList":[` + fmt.Sprintf(route, "fed", "s1") + `,` + fmt.Sprintf(route, "local", "s2") +
		`],"serviceList":[{"name":"s1"},{"name":"s2"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)})
	for _, service := range []string{"s1", "s2"} {
		apply(&state.RegisterWorker{ID: "w-" + service, Node: "n-" + service, Service: service, Capacity: protocol.Resources{CPUUnits: 4000, MemoryMB: 1000}})
	}
	for _, name := range slices.Sorted(maps.Keys(jobs)) {
		path := "/fed/" + name
		if name == "elsewhere" {
			path = "/local/" + name
		}
		apply(&state.SubmitJob{Host: "h.example", Path: path, ID: name, Job: jobs[name], DemandBucket: 3})
	}
	return store
}

// federatedRoutes are settings that federate the route "fed".
var federatedRoutes = &federation.Settings{Routes: []federation.Route{{LocalRoute: "fed", PeerRoute: "theirs"}}}

// plainJob is a job of one short task.
var plainJob = protocol.Job{Spec: "spec", Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 100, EstimateMs: 1000}}}

// TestFederationWorkOffersJobsNotStarted checks that only jobs of a federated route are offered
// that have not started, are neither periodic nor long-running, and did not come from another
// cluster.
func TestFederationWorkOffersJobsNotStarted(t *testing.T) {
	wide := protocol.Job{Steps: []protocol.Step{plainJob.Steps[0], {TaskCount: 4, CPUUnits: 200, EstimateMs: 1000}}}
	longRunning := protocol.Job{Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 100, LongRunning: true}}}
	periodic := protocol.Job{Steps: plainJob.Steps, PeriodicInstances: 2, FirstRunMs: 1 << 50, IntervalMs: 1000}
	store := storeWithJobs(t, map[string]protocol.Job{"wide": wide, "lasting": longRunning, "periodic": periodic, "begun": plainJob, "incoming": plainJob, "elsewhere": plainJob})
	store.Jobs["begun"].Started = true
	store.Jobs["incoming"].Transfer.Incoming = true
	want := []federation.Candidate{{JobID: "wide", Route: "fed", MilliCPU: 800}}
	if got := federationWork(store, federatedRoutes).Candidates; !reflect.DeepEqual(got, want) {
		t.Errorf("candidates %+v, want %+v", got, want)
	}
	if got := federationWork(store, &federation.Settings{}).Candidates; len(got) != 0 {
		t.Errorf("without federated routes: candidates %+v, want none", got)
	}
}

// TestFederationWorkListsOpenTransfers checks that the offloader gets the transfers in progress,
// with their jobs, and those whose job has ended here and is to be confirmed.
func TestFederationWorkListsOpenTransfers(t *testing.T) {
	store := storeWithJobs(t, map[string]protocol.Job{"here": plainJob, "offered": plainJob, "finished": plainJob})
	store.Jobs["offered"].Transfer = state.JobTransfer{Peer: "p", OfferID: 5, State: state.TransferOffered, CancelRequested: true}
	store.Jobs["finished"].Transfer = state.JobTransfer{Peer: "p", OfferID: 6, State: state.TransferAccepted}
	store.Jobs["finished"].EndedAt = 1
	work := federationWork(store, federatedRoutes)
	// The store still lists the job as open whose end this test has set directly.
	open := slices.DeleteFunc(work.OpenTransfers, func(transfer federation.OpenTransfer) bool { return transfer.JobID == "finished" && !transfer.Finished })
	want := []federation.OpenTransfer{
		{JobID: "offered", Peer: "p", OfferID: 5, State: state.TransferOffered, CancelRequested: true, Route: "theirs", Job: plainJob},
		{JobID: "finished", Peer: "p", OfferID: 6, State: state.TransferAccepted, Finished: true},
	}
	if !reflect.DeepEqual(open, want) {
		t.Errorf("open transfers %+v, want %+v", open, want)
	}
}

// TestFederationWorkCountsFederatedServices checks that demand and capacity are those of the
// services of the federated routes, or of all services if there are no such routes.
func TestFederationWorkCountsFederatedServices(t *testing.T) {
	store := storeWithJobs(t, map[string]protocol.Job{"a": plainJob, "elsewhere": plainJob})
	federated, all := federationWork(store, federatedRoutes), federationWork(store, &federation.Settings{})
	if federated.CapacityMilliCPU != 4000 || all.CapacityMilliCPU != 8000 {
		t.Errorf("capacity %d and %d millicores, want 4000 and 8000", federated.CapacityMilliCPU, all.CapacityMilliCPU)
	}
	if federated.Demand[3] <= 0 || all.Demand[3] != 2*federated.Demand[3] {
		t.Errorf("demand %v and %v, want that of all services to be twice the first", federated.Demand, all.Demand)
	}
	if service := serviceToLend(store); service != "s1" {
		t.Errorf("capacity of service %q is lent, want s1", service)
	}
}

// TestFederationWorkCountsAllServicesOfASplit guards against capacity of 0 for a federated route with
// a traffic split, as if its cluster were always crowded.
func TestFederationWorkCountsAllServicesOfASplit(t *testing.T) {
	store := storeWithJobs(t, map[string]protocol.Job{"a": plainJob})
	split := []clusterconfig.SplitPart{{TargetService: "s1", Share: 1}, {TargetService: "s2", Share: 2}}
	store.Routes["fed"].TargetService, store.Routes["fed"].Split = "", split
	if work := federationWork(store, federatedRoutes); work.CapacityMilliCPU != 8000 || work.Demand[3] <= 0 {
		t.Errorf("capacity %d millicores and demand %v, want 8000 and some", work.CapacityMilliCPU, work.Demand)
	}
}

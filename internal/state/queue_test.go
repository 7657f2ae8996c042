package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
)

// queueNames are the last parts of the path prefixes of three queues, each with a service of its own.
var queueNames = []string{"x", "y", "z"}

// configureQueues puts a configuration into force in which queues have routes of the given names and
// services. A queue without a name has no route.
func (f *fixture) configureQueues(names, services []string) {
	f.t.Helper()
	config := map[string]any{"configVersion": f.store.Configuration.Version + 1}
	var routes, serviceList []map[string]any
	for i, name := range names {
		if name != "" {
			routes = append(routes, map[string]any{"name": name, "hostName": "H", "pathPrefix": "/" + queueNames[i] + "/", "kind": "writing",
				"timeoutMs": 1000, "targetMs": 100, "priority": i, "targetService": services[i], "maxTries": 2, "stretch": 1.5})
		}
	}
	for i := range queueNames {
		serviceList = append(serviceList, map[string]any{"name": fmt.Sprint("s", i), "guards": true})
	}
	config["routeList"], config["serviceList"] = routes, serviceList
	raw, err := json.Marshal(config)
	if err != nil {
		f.t.Fatal(err)
	}
	if outcome := f.apply(&ReplaceConfiguration{BaseVersion: f.store.Configuration.Version, Raw: raw}); outcome.Code != CodeOK {
		f.t.Fatalf("configuration %s: %+v", raw, outcome)
	}
}

// submitToQueues submits a job to each queue, with the queue's name as its ID.
func (f *fixture) submitToQueues() {
	f.t.Helper()
	for _, queue := range queueNames {
		submit := &SubmitJob{Host: "h", Path: "/" + queue + "/" + queue, ID: queue, DemandBucket: 1,
			Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 1000, EstimateMs: 1}}}}
		if outcome := f.apply(submit); outcome.Code != CodeOK {
			f.t.Fatalf("job of queue %s: %+v", queue, outcome)
		}
	}
}

// requireServices requires that the job of each queue has the service and the priority that the route of
// its queue gives it, and is counted as the only waiting job of that route.
func (f *fixture) requireServices(when string, services []string) {
	f.t.Helper()
	for i, queue := range queueNames {
		if job := f.store.Jobs[queue]; job.Service != services[i] || job.Priority != i {
			f.t.Errorf("%s: job of queue %s has service %s and priority %d, want %s and %d", when, queue, job.Service, job.Priority, services[i], i)
		}
		route, _ := f.store.RouteTable().Find("h", "/"+queue+"/1")
		if route != nil && f.store.PendingJobCount(route) != 1 {
			f.t.Errorf("%s: %d jobs wait in queue %s, want 1", when, f.store.PendingJobCount(route), queue)
		}
	}
}

var homeServices = []string{"s0", "s1", "s2"}

// TestJobsStayInTheirQueueWhateverItsRouteIsCalled guards against accepted jobs that followed the name of
// their route to another queue, and ran on a service to which no configuration directs theirs. The
// queues get each permutation of their routes' names, and names that are new.
func TestJobsStayInTheirQueueWhateverItsRouteIsCalled(t *testing.T) {
	names := []string{"r1", "r2", "r3", "r4"}
	for order := range permutations(len(names)) {
		f := newEmptyFixture(t, Limits{})
		f.apply(&RaiseFormat{Version: FormatVersion})
		f.configureQueues(names[:3], homeServices)
		f.submitToQueues()
		f.configureQueues([]string{names[order[0]], names[order[1]], names[order[2]]}, homeServices)
		f.requireServices(fmt.Sprint("names in order ", order), homeServices)
		f.restored().requireServices(fmt.Sprint("restored, names in order ", order), homeServices)
	}
}

// TestJobsFollowTheRouteOfTheirQueue guards against accepted jobs that never ran again, since their queue
// got a route of another name and service. A queue that loses its route keeps its jobs' service, and
// takes the new one when it comes back.
func TestJobsFollowTheRouteOfTheirQueue(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(&RaiseFormat{Version: FormatVersion})
	f.configureQueues([]string{"r1", "r2", "r3"}, homeServices)
	f.submitToQueues()
	f.configureQueues([]string{"other", "r2", "r3"}, []string{"s2", "s1", "s2"})
	f.requireServices("another name and service", []string{"s2", "s1", "s2"})
	f.configureQueues([]string{"", "r1", ""}, []string{"", "s0", ""})
	f.requireServices("two queues without a route", []string{"s2", "s0", "s2"})
	f.apply(&RemoveUnused{})
	f.configureQueues([]string{"r2", "r1", "new"}, []string{"s1", "s0", "s0"})
	f.requireServices("back again", []string{"s1", "s0", "s0"})
	if name := f.store.RouteName(f.store.Jobs["z"]); name != "new" {
		t.Errorf("the route of queue z is shown as %q, want new", name)
	}
}

// TestJobsOfEarlierFormatsFindTheirQueue checks that jobs that were accepted by the name of their route keep
// their queue when the format is raised, and that names mean what they meant until then, so that replicas of
// earlier programs stay equal. The names change before, or between two configurations after it.
func TestJobsOfEarlierFormatsFindTheirQueue(t *testing.T) {
	for format := FormatUnmarked; format < FormatQueues; format++ {
		f := newEmptyFixture(t, Limits{})
		f.apply(&RaiseFormat{Version: format})
		f.configureQueues([]string{"r1", "r2", "r3"}, homeServices)
		f.submitToQueues()
		f.configureQueues([]string{"r1", "", "r3"}, homeServices) // the job of queue y has an earlier route
		f.requireServices("by name", homeServices)
		if f.store.Jobs["x"].Route != "r1" || f.store.Demand["r1"] == nil {
			t.Errorf("format %d: the job is kept under %q, want its route's name", format, f.store.Jobs["x"].Route)
		}
		f = f.restored()
		f.apply(&RaiseFormat{Version: FormatVersion})
		f.requireServices(fmt.Sprint("raised from ", format), homeServices)
		f.configureQueues([]string{"r3", "r1", "r2"}, homeServices)
		f.configureQueues([]string{"r2", "r3", "r1"}, homeServices)
		f.requireServices(fmt.Sprint("names changed after format ", format), homeServices)
		for _, queue := range queueNames {
			route := clusterconfig.Route{HostName: "h", PathPrefix: "/" + queue + "/"}
			if f.store.Demand[route.Queue()][1] != 1 {
				t.Errorf("format %d: demand is %v, want 1 core ms of queue %s", format, f.store.Demand, queue)
			}
		}
	}
}

// TestRoutesOfOneQueueBecomeOne checks that a queue that had several routes under different names in earlier
// configurations has the current one after the format was raised, and all its jobs with it.
func TestRoutesOfOneQueueBecomeOne(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.configureQueues([]string{"zz", "r2", "r3"}, homeServices)
	f.submitToQueues()
	f.configureQueues([]string{"aa", "r2", "r3"}, []string{"s1", "s1", "s2"})
	if service := f.store.Jobs["x"].Service; service != "s0" {
		t.Fatalf("before the format is raised the job has service %s, want that of its name", service)
	}
	f.apply(&RaiseFormat{Version: FormatVersion})
	f.requireServices("raised", []string{"s1", "s1", "s2"})
	if len(f.store.Routes) != len(queueNames) {
		t.Errorf("routes: %v, want one for each queue", f.store.Routes)
	}
}

// TestOffersNameACurrentRoute checks that a peer's offer, which names a route, is accepted into the queue that
// this route has now.
func TestOffersNameACurrentRoute(t *testing.T) {
	f := newEmptyFixture(t, Limits{})
	f.apply(&RaiseFormat{Version: FormatVersion})
	f.configureQueues([]string{"r1", "r2", "r3"}, homeServices)
	f.configureQueues([]string{"r2", "r3", ""}, homeServices)
	f.store.Loans = map[string]*Loan{"loan": {ID: "loan", Peer: "peer", To: 1 << 40}}
	for name, want := range map[string]string{"r2": "s0", "r3": "s1", "r1": ""} {
		accept := &AcceptJob{Peer: "peer", OfferID: 1, ID: "job-" + name, Route: name, Loan: "loan", Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 1}}}}
		outcome := f.apply(accept)
		job := f.store.Jobs["job-"+name]
		if (outcome.Code == CodeOK) != (want != "") || job != nil && job.Service != want {
			t.Errorf("offer for route %s: %+v, job %+v; want service %q", name, outcome, job, want)
		}
	}
}

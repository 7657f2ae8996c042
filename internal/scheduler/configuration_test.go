package scheduler

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sort"
	"testing"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// configurationDriver draws valid configurations, and changes of them, under accepted jobs.
type configurationDriver struct {
	*splitCluster
	random *rand.Rand
}

var (
	routeNames   = []string{"a", "b", "c"}
	tenantNames  = []string{"tenant-0", "tenant-1"}
	serviceNames = []string{"s", "t", "none"} // "none" has no workers
)

// drawRoute returns a route with each field drawn from what is valid.
func (d *configurationDriver) drawRoute(name string) clusterconfig.Route {
	oneOf := func(choices ...string) string { return choices[d.random.Intn(len(choices))] }
	route := clusterconfig.Route{
		Name: name, HostName: oneOf("h", "other"), PathPrefix: oneOf("/", "/p") + name + "/", Kind: oneOf("writing", "read_only", "upload", ""),
		TimeoutMs: 1 + d.random.Int63n(5000), TargetMs: d.random.Int63n(2000), Priority: d.random.Intn(4), MaxAttempts: d.random.Intn(4),
		Stretch: 3 * d.random.Float64(), Public: d.random.Intn(2) == 0, TargetService: oneOf(serviceNames...),
	}
	if d.random.Intn(2) == 0 {
		for range 1 + d.random.Intn(3) {
			route.Split = append(route.Split, clusterconfig.SplitPart{TargetService: oneOf(serviceNames...), Share: float64(d.random.Intn(3))})
		}
		route.Split[0].Share = d.random.Float64() + 1e-9
		route.TargetService = oneOf("", route.TargetService)
	}
	return route
}

// drawTenant returns a tenant whose quota may be less than one task needs.
func (d *configurationDriver) drawTenant(name string) clusterconfig.Tenant {
	return clusterconfig.Tenant{Name: name, APIKeys: []string{"key of " + name}, Share: 2 * d.random.Float64(), RatePerS: d.random.Float64(), Burst: d.random.Float64(),
		UpperLimit: clusterconfig.UpperLimit{CPUUnits: d.random.Int63n(3) * d.random.Int63n(4000), MemoryMB: d.random.Int63n(3) * d.random.Int63n(1000), GPUs: d.random.Intn(3)}}
}

// drawn returns the items that are drawn for some of the names, in a random order.
func drawn[T any](random *rand.Rand, names []string, draw func(string) T) []T {
	items := []T{}
	for _, i := range random.Perm(len(names)) {
		if random.Intn(4) > 0 {
			items = append(items, draw(names[i]))
		}
	}
	return items
}

// change sends a whole configuration or a partial change. It fails the test unless it is accepted.
func (d *configurationDriver) change() {
	d.tb.Helper()
	service := func(name string) clusterconfig.Service {
		return clusterconfig.Service{Name: name, EnforcesResources: d.random.Intn(2) == 0}
	}
	limits := clusterconfig.Limits{MaxHeaderBytes: d.random.Intn(1 << 16), MaxBodyBytes: d.random.Int63n(1 << 20), HeaderTimeoutMs: d.random.Int63n(5000), IdleTimeoutMs: d.random.Int63n(20000)}
	services := []clusterconfig.Service{service("t"), service("none"), service("s")}
	lists := map[string]any{"routeList": drawn(d.random, routeNames, d.drawRoute), "tenantList": drawn(d.random, tenantNames, d.drawTenant), "serviceList": services, "limits": limits}
	base, version := d.version, d.version+1+d.random.Int63n(3)
	var outcome state.Outcome
	if base > 0 && d.random.Intn(2) == 0 {
		remove := map[string][]string{"routeList": {routeNames[d.random.Intn(len(routeNames))]}, "tenantList": {tenantNames[d.random.Intn(len(tenantNames))]}}
		raw := d.encode(map[string]any{"configVersion": version, "upsert": lists, "remove": remove})
		outcome = d.apply(state.CommandChangeConfiguration, &state.ChangeConfiguration{BaseVersion: base, Raw: raw})
	} else {
		lists["configVersion"] = version
		outcome = d.apply(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{BaseVersion: base, Raw: d.encode(lists)})
	}
	if outcome.Code != state.CodeOK {
		d.tb.Fatalf("configuration %d: %+v", version, outcome)
	}
	d.version = version
}

func (d *configurationDriver) encode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		d.tb.Fatal(err)
	}
	return raw
}

// submitDrawn submits a job of a random kind to a random route, with a tenant's key or without one.
func (d *configurationDriver) submitDrawn(kinds []string) {
	configuration := &d.store.Configuration
	if len(configuration.Routes) == 0 {
		return
	}
	d.submitted++
	route := configuration.Routes[d.random.Intn(len(configuration.Routes))]
	submit := state.SubmitJob{Host: route.HostName, Path: route.PathPrefix, ID: fmt.Sprintf("%016x", d.submitted), Job: kindsOfJobs[kinds[d.random.Intn(len(kinds))]]}
	tenants := configuration.Tenants()
	if len(tenants) == 0 {
		d.apply(state.CommandSubmitJob, &submit)
		return
	}
	tenant := tenants[d.random.Intn(len(tenants))].Name
	d.apply(state.CommandSubmitTenantJob, &state.SubmitTenantJob{Submit: submit, Tenant: tenant, ConfigVersion: d.version, BeyondShare: d.random.Intn(3) == 0})
}

// round plans, restores the state from a snapshot at times, and then ends all runs.
func (d *configurationDriver) round() {
	d.tb.Helper()
	d.advance(100)
	d.planAndBind(&d.planner)
	if d.random.Intn(6) == 0 {
		restored, err := state.DecodeSnapshot(d.store.EncodeSnapshot(), d.store.Limits)
		if err != nil {
			d.tb.Fatal(err)
		}
		d.store = restored
	}
	for _, id := range sortedAllocations(d.store) {
		if allocation := d.store.Allocations[id]; allocation != nil {
			d.complete(allocation)
		}
	}
}

// tasksLeft returns the number of tasks of open jobs that are not done, but for those that last.
func (d *configurationDriver) tasksLeft() int {
	left := 0
	for _, job := range d.store.OpenJobs() {
		for _, instance := range job.Instances {
			for i := range instance.Steps {
				if !job.Steps[i].LongRunning {
					left += instance.Steps[i].TasksLeft
				}
			}
		}
	}
	return left
}

// mayWait reports whether a job may wait by the operators' rules, right after a plan: no worker of its
// route's services runs its tasks, or its tenant uses half of its quota, or what the tenant's other
// runs leave of the quota is less than a gang needs.
func (d *configurationDriver) mayWait(job *state.Job) bool {
	spec, services := &job.Steps[0], d.store.Routes[job.Route].Services()
	if quota, bounded := d.store.Quotas[job.Tenant()]; bounded {
		half := state.Quota{MilliCPU: (quota.MilliCPU + 1) / 2, MemoryMB: (quota.MemoryMB + 1) / 2}
		anything := &protocol.Step{CPUUnits: 1, MemoryMB: 1}
		use := d.store.TenantUse(job.Tenant())
		underHalf := use.Runs == 0 || half.TasksWithin(use, anything, 1) == 1
		if !underHalf || spec.Gang && quota.TasksWithin(use, spec, spec.TaskCount) < spec.TaskCount {
			return true
		}
	}
	onlyS := len(spec.RequiredLabels) > 0
	return !slices.Contains(services, "s") && (onlyS || !slices.Contains(services, "t"))
}

// TestValidChangesLoseNoAcceptedJob guards against accepted jobs that wait for ever, fail or are
// canceled, because a valid configuration changed any of its fields under them. All fields are drawn,
// in whole configurations and in partial changes.
func TestValidChangesLoseNoAcceptedJob(t *testing.T) {
	kinds := []string{}
	for kind := range kindsOfJobs {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	const seeds, changes, idleRounds = 40, 12, 30
	waited, ended := 0, 0
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			d := &configurationDriver{newSplitCluster(t), rand.New(rand.NewSource(seed))}
			if d.random.Intn(4) > 0 {
				d.raiseFormat()
			}
			for range changes {
				d.change()
				for range d.random.Intn(4) {
					d.submitDrawn(kinds)
				}
				for range d.random.Intn(3) {
					d.round()
				}
			}
			d.raiseFormat()
			for idle := 0; idle < idleRounds; idle++ {
				before := d.tasksLeft()
				if d.round(); d.tasksLeft() != before {
					idle = 0
				}
			}
			d.advance(100)
			d.planAndBind(&d.planner)
			for _, job := range d.store.Jobs {
				switch status := job.Status(); {
				case status == state.StatusDone, job.Steps[0].LongRunning && job.AllTasksRunning():
					ended++
				case (status == state.StatusPending || status == state.StatusRunning) && d.mayWait(job):
					waited++
				default:
					t.Errorf("job %s of service %q and tenant %q is %q after the last change, with all workers free: %+v", job.ID, job.Service, job.Tenant(), status, d.store.Routes[job.Route])
				}
			}
		})
	}
	if ended == 0 || waited == 0 {
		t.Errorf("%d jobs ended and %d may wait, want some of both", ended, waited)
	}
	t.Logf("%d jobs ended, %d may wait", ended, waited)
}

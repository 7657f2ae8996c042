package state

import (
	"fmt"
	"math/rand"
	"testing"

	"tealpond/internal/protocol"
)

// tenantConfiguration is a configuration with a route for tenants, a public route, and
// limits for tenant t.
const tenantConfiguration = `{"configVersion":%d,"routeList":[` +
	`{"name":"a","hostName":"h","pathPrefix":"/p/","timeoutMs":1000,"targetService":"s","maxTries":2},` +
	`{"name":"b","hostName":"h","pathPrefix":"/open/","timeoutMs":1000,"targetService":"s","maxTries":2,"public":true}],` +
	`"serviceList":[{"name":"s","guards":true}],` +
	`"tenantList":[{"name":"t","apiKeys":["key-t"],"upperLimit":{"cpuUnits":%d,"memMb":%d,"gpus":%d}},{"name":"u","apiKeys":["key-u"]}]}`

// tenantFixture is a fixture whose tenant t has a quota.
type tenantFixture struct {
	*fixture
	version int64
}

func newTenantFixture(t *testing.T, limit Quota) *tenantFixture {
	t.Helper()
	f := &tenantFixture{fixture: newFixture(t), version: 1}
	f.configure(limit)
	return f
}

// configure puts a configuration with another quota for tenant t into force.
func (f *tenantFixture) configure(limit Quota) {
	f.t.Helper()
	raw := fmt.Sprintf(tenantConfiguration, f.version+1, limit.MilliCPU, limit.MemoryMB, limit.GPUs)
	if outcome := f.apply(&ReplaceConfiguration{BaseVersion: f.version, Raw: []byte(raw)}); outcome.Code != CodeOK {
		f.t.Fatalf("the configuration was refused: %v", outcome)
	}
	f.version++
}

// submitAs submits a job of a tenant under the current configuration.
func (f *tenantFixture) submitAs(tenant, id string, steps ...protocol.Step) Outcome {
	f.t.Helper()
	return f.apply(&SubmitTenantJob{Tenant: tenant, ConfigVersion: f.version,
		Submit: SubmitJob{Host: "h", Path: "/p/" + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}})
}

// TestTasksWithinQuota checks that as many tasks may start as the scarcest resource allows,
// and that a task that exceeds the quota may run alone.
func TestTasksWithinQuota(t *testing.T) {
	spec := &protocol.Step{CPUUnits: 10, MemoryMB: 20, GPUs: 1}
	for name, c := range map[string]struct {
		quota Quota
		use   TenantUse
		want  int
	}{
		"no limit":                    {Quota{}, TenantUse{Runs: 3, MilliCPU: 1000}, 9},
		"CPU":                         {Quota{MilliCPU: 55}, TenantUse{Runs: 1, MilliCPU: 10}, 4},
		"memory":                      {Quota{MilliCPU: 1000, MemoryMB: 100}, TenantUse{Runs: 1, MemoryMB: 35}, 3},
		"GPUs":                        {Quota{GPUs: 3}, TenantUse{Runs: 1, GPUs: 1}, 2},
		"used up":                     {Quota{MilliCPU: 50}, TenantUse{Runs: 5, MilliCPU: 50}, 0},
		"above a lowered limit":       {Quota{MilliCPU: 50}, TenantUse{Runs: 9, MilliCPU: 90}, 0},
		"larger than the quota":       {Quota{MilliCPU: 5}, TenantUse{}, 1},
		"larger, with another run":    {Quota{MilliCPU: 5}, TenantUse{Runs: 1, MilliCPU: 1}, 0},
		"limit of an unused resource": {Quota{MilliCPU: 1000, GPUs: 1}, TenantUse{Runs: 1}, 1},
	} {
		if got := c.quota.TasksWithin(c.use, spec, 9); got != c.want {
			t.Errorf("%s: %d tasks, want %d", name, got, c.want)
		}
	}
}

// TestRunsCountAgainstTenantQuota checks that a run beyond the quota is refused even if its
// worker has free capacity, and that it is accepted after another run has ended.
func TestRunsCountAgainstTenantQuota(t *testing.T) {
	f := newTenantFixture(t, Quota{MilliCPU: 25})
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submitAs("t", "j", protocol.Step{TaskCount: 3, CPUUnits: 10})
	if refused := f.applyPlan("j", 0, false, placementOn(worker, 0), placementOn(worker, 1), placementOn(worker, 2)); refused != 1 {
		t.Fatalf("%d plans were refused, want 1", refused)
	}
	if use := f.store.TenantUse("t"); use != (TenantUse{Runs: 2, MilliCPU: 20}) {
		t.Fatalf("the tenant uses %+v, want 2 runs and 20 thousandths of a core", use)
	}
	f.submitAs("u", "k", protocol.Step{TaskCount: 1, CPUUnits: 10})
	if refused := f.applyPlan("k", 0, false, placementOn(worker, 0)); refused != 0 {
		t.Error("a plan of another tenant was refused")
	}
	f.reportCompletion("w", TaskName("j", 0, 0, 0), 1, ResultDone)
	if refused := f.applyPlan("j", 0, false, placementOn(worker, 2)); refused != 0 {
		t.Error("the plan was refused although another run has ended")
	}
	if use := f.restored().store.TenantUse("t"); use != f.store.TenantUse("t") {
		t.Errorf("use after a restore from a snapshot is %+v, want %+v", use, f.store.TenantUse("t"))
	}
}

// TestStoppingRunsCountAgainstQuota checks that a run that is being stopped counts until
// its end.
func TestStoppingRunsCountAgainstQuota(t *testing.T) {
	f := newTenantFixture(t, Quota{MilliCPU: 10})
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submitAs("t", "j", protocol.Step{TaskCount: 2, CPUUnits: 10})
	f.applyPlan("j", 0, false, placementOn(worker, 0))
	f.apply(&StopRuns{Allocations: []uint64{f.store.LastID}, Reason: "pushed out"})
	if refused := f.applyPlan("j", 0, false, placementOn(worker, 1)); refused != 1 {
		t.Error("a run beyond the quota was accepted while another is still stopping")
	}
}

// TestGangOverQuotaLeavesNoAllocations checks that a gang that exceeds the quota is refused
// as a whole and leaves neither use nor allocations behind.
func TestGangOverQuotaLeavesNoAllocations(t *testing.T) {
	f := newTenantFixture(t, Quota{MilliCPU: 25})
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submitAs("t", "j", protocol.Step{TaskCount: 3, CPUUnits: 10, Gang: true})
	if refused := f.applyPlan("j", 0, true, placementOn(worker, 0), placementOn(worker, 1), placementOn(worker, 2)); refused != 1 {
		t.Error("a gang that exceeds the quota was accepted")
	}
	if use := f.store.TenantUse("t"); use != (TenantUse{}) || len(f.store.Allocations) != 0 {
		t.Errorf("%+v is in use with %d allocations, want none", use, len(f.store.Allocations))
	}
}

// TestLoweredQuotaStopsNoRuns checks that runs continue under a lowered quota, that no run
// starts until enough have ended, and that a raised quota takes effect at once.
func TestLoweredQuotaStopsNoRuns(t *testing.T) {
	f := newTenantFixture(t, Quota{MilliCPU: 30})
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submitAs("t", "j", protocol.Step{TaskCount: 4, CPUUnits: 10})
	f.applyPlan("j", 0, false, placementOn(worker, 0), placementOn(worker, 1), placementOn(worker, 2))
	f.configure(Quota{MilliCPU: 10})
	f.reportCompletion("w", TaskName("j", 0, 0, 0), 1, ResultDone)
	if refused := f.applyPlan("j", 0, false, placementOn(worker, 3)); refused != 1 || len(f.store.Allocations) != 2 {
		t.Errorf("%d plans refused and %d allocations, want 1 refused and 2 allocations", refused, len(f.store.Allocations))
	}
	f.configure(Quota{MilliCPU: 30})
	if refused := f.applyPlan("j", 0, false, placementOn(worker, 3)); refused != 0 {
		t.Error("the plan was refused under the raised quota")
	}
}

// TestQuotaOfRemovedTenantStaysInForce checks that jobs of a tenant that the configuration
// no longer contains continue under its last quota.
func TestQuotaOfRemovedTenantStaysInForce(t *testing.T) {
	f := newTenantFixture(t, Quota{MilliCPU: 10})
	worker := f.addWorker("w", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
	f.submitAs("t", "j", protocol.Step{TaskCount: 2, CPUUnits: 10})
	f.version++
	f.apply(&ReplaceConfiguration{BaseVersion: f.version - 1, Raw: []byte(fmt.Sprintf(testConfiguration, f.version))})
	if refused := f.applyPlan("j", 0, false, placementOn(worker, 0), placementOn(worker, 1)); refused != 1 || len(f.store.Allocations) != 1 {
		t.Errorf("%d plans refused and %d allocations, want 1 of each", refused, len(f.store.Allocations))
	}
}

// TestRandomPlansRespectQuotas applies random plans, completions and quota changes. No run
// may be added beyond the quota, and the recorded use must match the runs.
func TestRandomPlansRespectQuotas(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		f := newTenantFixture(t, Quota{MilliCPU: 100, MemoryMB: 100})
		for w := range 3 {
			f.addWorker(fmt.Sprint("w", w), protocol.Resources{CPUUnits: 500, MemoryMB: 500, GPUs: 2})
		}
		var jobs []string
		for i := range 200 {
			before := f.store.TenantUse("t")
			switch random.Intn(6) {
			case 0:
				id := fmt.Sprint("j", i)
				jobs = append(jobs, id)
				f.submitAs([]string{"t", "u"}[random.Intn(2)], id, protocol.Step{TaskCount: 1 + random.Intn(6), CPUUnits: int64(random.Intn(60)),
					MemoryMB: int64(random.Intn(60)), GPUs: random.Intn(2), Gang: random.Intn(3) == 0, Speculative: random.Intn(3) == 0})
			case 1:
				f.configure(Quota{MilliCPU: int64(random.Intn(200)), MemoryMB: int64(random.Intn(200)), GPUs: random.Intn(3)})
				continue
			case 2:
				worker := fmt.Sprint("w", random.Intn(3))
				if on := f.store.AllocationsOn(worker); len(on) > 0 {
					f.reportCompletion(worker, on[0].TaskName(), on[0].Run, []string{ResultDone, ResultFailed, "stopped"}[random.Intn(3)])
				}
			default:
				if len(jobs) > 0 {
					f.applyRandomPlan(random, jobs[random.Intn(len(jobs))])
				}
			}
			checkInvariants(t, f.store)
			f.checkQuota(before)
		}
	}
}

// applyRandomPlan plans all tasks of the first step of a job on random workers.
func (f *tenantFixture) applyRandomPlan(random *rand.Rand, id string) {
	f.t.Helper()
	var placements []Placement
	for i := range f.store.Jobs[id].Steps[0].TaskCount {
		placements = append(placements, placementOn(f.store.Workers[fmt.Sprint("w", random.Intn(3))], i))
	}
	f.applyPlan(id, 0, f.store.Jobs[id].IsGang(0), placements...)
}

// checkQuota fails the test if the use has grown beyond the quota. A single run may exceed it.
func (f *tenantFixture) checkQuota(before TenantUse) {
	f.t.Helper()
	use, quota := f.store.TenantUse("t"), f.store.Quotas["t"]
	over := func(bound, used, old int64) bool { return bound > 0 && used > bound && used > old && use.Runs > 1 }
	if over(quota.MilliCPU, use.MilliCPU, before.MilliCPU) || over(quota.MemoryMB, use.MemoryMB, before.MemoryMB) ||
		over(int64(quota.GPUs), int64(use.GPUs), int64(before.GPUs)) {
		f.t.Fatalf("use %+v exceeds quota %+v; it was %+v before", use, quota, before)
	}
}

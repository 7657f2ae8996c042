package scheduler

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// configureTenants configures two tenants, t and u, with the same CPU limit.
func (c *testCluster) configureTenants(milliCPU int64) {
	c.tb.Helper()
	raw := fmt.Sprintf(`{"configVersion":2,"tenantList":[{"name":"t","apiKeys":["kt"],"upperLimit":{"cpuUnits":%d}},{"name":"u","apiKeys":["ku"],"upperLimit":{"cpuUnits":%d}}],`,
		milliCPU, milliCPU) + testConfiguration[len(`{"configVersion":1,`):]
	if outcome := c.apply(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{BaseVersion: 1, Raw: []byte(raw)}); outcome.Code != state.CodeOK {
		c.tb.Fatal(outcome.Text)
	}
}

// submitAs submits a job as a tenant and returns its ID.
func (c *testCluster) submitAs(tenant string, beyondShare bool, prefix string, steps ...protocol.Step) string {
	c.tb.Helper()
	c.submitted++
	id := fmt.Sprintf("%016x", c.submitted)
	command := &state.SubmitTenantJob{Tenant: tenant, ConfigVersion: c.store.Configuration.Version, BeyondShare: beyondShare,
		Submit: state.SubmitJob{Host: "h", Path: prefix + id, ID: id, Job: protocol.Job{Spec: "x", Steps: steps}}}
	if outcome := c.apply(state.CommandSubmitTenantJob, command); outcome.Code != state.CodeOK {
		c.tb.Fatal(outcome.Text)
	}
	return id
}

// TestPlansRespectQuotas checks that a plan places no more tasks of a tenant than its quota
// allows over all its jobs, and that other tenants aren't held back.
func TestPlansRespectQuotas(t *testing.T) {
	c := newTestCluster(t, 10)
	c.configureTenants(5000)
	p := &Planner{}
	step := protocol.Step{TaskCount: 4, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 300}
	first, second, other := c.submitAs("t", false, "/p/", step), c.submitAs("t", false, "/p/", step), c.submitAs("u", false, "/p/", step)
	gang := step
	gang.Gang = true
	waiting := c.submitAs("t", false, "/p/", gang)
	c.planAndBind(p)
	if n := c.runsOf(first) + c.runsOf(second); n != 5 {
		t.Errorf("%d tasks run, want 5 as the quota allows", n)
	}
	if c.runsOf(other) != 4 || c.runsOf(waiting) != 0 {
		t.Errorf("%d tasks of the other tenant and %d of the gang run, want 4 and 0", c.runsOf(other), c.runsOf(waiting))
	}
	c.complete(c.anyAllocationOf("t"))
	if c.planAndBind(p) != 1 {
		t.Error("not exactly one task placed after a run ended")
	}
}

// anyAllocationOf returns one allocation of a tenant, or nil.
func (c *testCluster) anyAllocationOf(tenant string) *state.Allocation {
	for _, allocation := range c.store.Allocations {
		if c.store.Jobs[allocation.Job].Tenant() == tenant {
			return allocation
		}
	}
	return nil
}

// TestJobsBeyondShareComeLast checks that jobs beyond their tenant's share come after all jobs
// within a share, whatever their priority, and that they preempt no runs.
func TestJobsBeyondShareComeLast(t *testing.T) {
	c := newTestCluster(t, 1)
	c.configureTenants(0)
	p := &Planner{}
	step := protocol.Step{TaskCount: 16, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 3000}
	beyond := c.submitAs("t", true, "/p/", step)
	within := c.submitAs("u", false, "/q/", step)
	c.planAndBind(p)
	if c.runsOf(within) != 16 || c.runsOf(beyond) != 0 {
		t.Errorf("%d tasks within the share and %d beyond it run, want 16 and 0", c.runsOf(within), c.runsOf(beyond))
	}
	c.advance(preemptionDelay.Milliseconds() + 1)
	c.planAndBind(p)
	if preempted := p.Preemptions(c.store); len(preempted) != 0 {
		t.Errorf("%d runs within their tenant's share are preempted for work beyond another tenant's share", len(preempted))
	}
}

// TestLongTasksLeaveQuotaToUrgentWork checks that long tasks leave as much of the quota free
// as the tenant's high-priority work used recently, and that they still run beside it.
func TestLongTasksLeaveQuotaToUrgentWork(t *testing.T) {
	c := newTestCluster(t, 10)
	c.configureTenants(20000)
	p := &Planner{}
	urgent := protocol.Step{TaskCount: 6, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 300}
	long := protocol.Step{TaskCount: 30, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 6000}
	first := c.submitAs("t", false, "/p/", urgent)
	c.planAndBind(p)
	for c.runsOf(first) > 0 {
		c.complete(c.anyAllocationOf("t"))
	}
	slow := c.submitAs("t", false, "/q/", long)
	c.planAndBind(p)
	if n := c.runsOf(slow); n < 14 || n > 15 {
		t.Errorf("%d long tasks run, want 14 or 15 of a quota of 20 with 6 urgent ones predicted", n)
	}
	second := c.submitAs("t", false, "/p/", urgent)
	c.planAndBind(p)
	if n := c.runsOf(second); n < 5 {
		t.Errorf("%d of 6 urgent tasks run under the quota, want at least 5", n)
	}
}

// TestHeavyTenantsComeLater checks the order of jobs that can meet their targets. Within a
// priority, those of a tenant that uses most of its quota come after others, even if they have
// waited longer; those of a tenant that uses little are ordered by deadline. Higher priorities
// come first.
func TestHeavyTenantsComeLater(t *testing.T) {
	for _, test := range []struct {
		name      string
		usedTasks int // of 10 that the quota allows
		prefix    string
		wantHeavy int // tasks of the tenant with that usage that run, of 4 that fit
		wantOther int // tasks of the other tenant that run
	}{
		{"low usage", 6, "/p/", 4, 0},
		{"high usage", 9, "/p/", 1, 3},
		{"high usage, other tenant has lower priority", 9, "/q/", 1, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestCluster(t, 1)
			c.configureTenants(10000)
			p := &Planner{}
			step := func(tasks int) protocol.Step {
				return protocol.Step{TaskCount: tasks, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 300}
			}
			c.submitAs("t", false, "/p/", step(test.usedTasks))
			c.planAndBind(p)
			c.submitAs("u", false, "/p/", step(12-test.usedTasks))
			c.planAndBind(p) // 12 of 16 cores are in use
			heavy := c.submitAs("t", false, "/p/", step(min(4, 10-test.usedTasks)))
			other := c.submitAs("u", false, test.prefix, step(3))
			c.planAndBind(p)
			if c.runsOf(heavy) != test.wantHeavy || c.runsOf(other) != test.wantOther {
				t.Errorf("%d tasks of tenant t and %d of tenant u run, want %d and %d",
					c.runsOf(heavy), c.runsOf(other), test.wantHeavy, test.wantOther)
			}
		})
	}
}

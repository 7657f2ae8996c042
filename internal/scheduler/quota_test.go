package scheduler

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// configureTenants gives the cluster two tenants with the same limit.
func (c *testCluster) configureTenants(milliCPU int64) {
	c.tb.Helper()
	raw := fmt.Sprintf(`{"configVersion":2,"tenantList":[{"name":"t","apiKeys":["kt"],"upperLimit":{"cpuUnits":%d}},{"name":"u","apiKeys":["ku"],"upperLimit":{"cpuUnits":%d}}],`,
		milliCPU, milliCPU) + testConfiguration[len(`{"configVersion":1,`):]
	if outcome := c.apply(state.CommandReplaceConfiguration, &state.ReplaceConfiguration{BaseVersion: 1, Raw: []byte(raw)}); outcome.Code != state.CodeOK {
		c.tb.Fatal(outcome.Text)
	}
}

// submitAs submits a job of a tenant and returns its ID.
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

// TestPlansKeepToQuotas: a plan has as many tasks of a tenant as its quota allows, over
// all its jobs, and other tenants go on.
func TestPlansKeepToQuotas(t *testing.T) {
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
		t.Errorf("%d tasks run under a quota of 5", n)
	}
	if c.runsOf(other) != 4 || c.runsOf(waiting) != 0 {
		t.Errorf("%d tasks of the other tenant run, %d of the gang, want 4 and 0", c.runsOf(other), c.runsOf(waiting))
	}
	c.complete(c.anyAllocationOf("t"))
	if c.planAndBind(p) != 1 {
		t.Error("nothing is placed when a run has ended")
	}
}

// anyAllocationOf returns a run of a tenant.
func (c *testCluster) anyAllocationOf(tenant string) *state.Allocation {
	for _, allocation := range c.store.Allocations {
		if c.store.Jobs[allocation.Job].Tenant() == tenant {
			return allocation
		}
	}
	return nil
}

// TestJobsBeyondTheShareComeLast: whatever their priority, behind those of tenants
// within theirs; they preempt nothing.
func TestJobsBeyondTheShareComeLast(t *testing.T) {
	c := newTestCluster(t, 1)
	c.configureTenants(0)
	p := &Planner{}
	step := protocol.Step{TaskCount: 16, CPUUnits: 1000, MemoryMB: 10, EstimateMs: 3000}
	beyond := c.submitAs("t", true, "/p/", step)
	within := c.submitAs("u", false, "/q/", step)
	c.planAndBind(p)
	if c.runsOf(within) != 16 || c.runsOf(beyond) != 0 {
		t.Errorf("%d tasks within the share run and %d beyond it", c.runsOf(within), c.runsOf(beyond))
	}
	c.advance(preemptionDelay.Milliseconds() + 1)
	c.planAndBind(p)
	if preempted := p.Preemptions(c.store); len(preempted) != 0 {
		t.Errorf("%d runs within their tenant's share make way for work beyond another's", len(preempted))
	}
}

// TestLongTasksLeaveQuotaToUrgentWork: as much as the tenant's urgent work held lately,
// but not so much that a job stands still.
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
		t.Errorf("%d long tasks run beside 6 that are foreseen, of a quota of 20", n)
	}
	second := c.submitAs("t", false, "/p/", urgent)
	c.planAndBind(p)
	if n := c.runsOf(second); n < 5 {
		t.Errorf("%d of 6 urgent tasks found room under the quota", n)
	}
}

// TestWorkOfHeavyTenantsComesLater: of jobs of one priority that can meet their targets,
// those of a tenant that uses most of its quota come after others, though they have waited
// longer; one that uses little comes by its deadline. Urgent work still goes first.
func TestWorkOfHeavyTenantsComesLater(t *testing.T) {
	for _, test := range []struct {
		name      string
		usedTasks int // of 10 that the quota allows
		prefix    string
		wantHeavy int // tasks of the tenant with the quota, of 4 for which there is room
		wantOther int
	}{
		{"little is in use", 6, "/p/", 4, 0},
		{"most is in use", 9, "/p/", 1, 3},
		{"most is in use, and the other's work is less urgent", 9, "/q/", 1, 3},
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
				t.Errorf("%d tasks of the tenant with the quota run and %d of the other, want %d and %d",
					c.runsOf(heavy), c.runsOf(other), test.wantHeavy, test.wantOther)
			}
		})
	}
}

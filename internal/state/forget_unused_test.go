package state

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/protocol"
)

// retentionMs is how long the row of a worker that is gone is kept.
var retentionMs = goneWorkerRetention.Milliseconds()

// TestGoneWorkersAreForgotten: the row of a worker that can't come back goes after the
// retention, one that may come back stays, and so does one whose run isn't over.
func TestGoneWorkersAreForgotten(t *testing.T) {
	capacity := protocol.Resources{CPUUnits: 100, MemoryMB: 100, GPUs: 2}
	restart := func(f *fixture) {
		f.apply(&RegisterWorker{ID: "b", Node: "n-a", Service: "s", Capacity: capacity, LeavesInMs: -1, ReplacesFence: f.store.Workers["a"].Fence})
	}
	expire := func(f *fixture) {
		f.apply(&ExpireLeases{Workers: []FencedWorker{{ID: "a", Fence: f.store.Workers["a"].Fence}}})
	}
	drain := func(f *fixture) {
		f.apply(&SetEligibility{ID: "a", Draining: true, LeavesInMs: 500})
	}
	for _, c := range []struct {
		name    string
		prepare func(f *fixture)
		afterMs int64
		kept    bool
	}{
		{"in use", func(*fixture) {}, 2 * retentionMs, true},
		{"replaced", restart, retentionMs, false},
		{"replaced just now", restart, retentionMs - 100, true},
		{"silent", expire, 2 * retentionMs, true},
		{"leaving", drain, 2 * retentionMs, true},
		{"left", func(f *fixture) { drain(f); expire(f) }, 2 * retentionMs, false},
		{"left and registered again", func(f *fixture) {
			drain(f)
			expire(f)
			f.now += 1000
			f.apply(&ForgetUnused{})
			f.addWorker("a", capacity)
		}, 2 * retentionMs, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.addWorker("a", capacity)
			c.prepare(f)
			f.now += 1000
			f.apply(&ForgetUnused{})
			f.now += c.afterMs
			f.apply(&ForgetUnused{})
			checkInvariants(t, f.store)
			if kept := f.store.Workers["a"] != nil; kept != c.kept {
				t.Errorf("kept: %v", kept)
			}
			if _, noted := f.store.GoneWorkers["a"]; !c.kept && noted {
				t.Error("it is still noted as gone")
			}
			for id, device := range f.store.Devices {
				if device.Class == ClassGPU && f.store.Workers[device.Worker] == nil {
					t.Errorf("device %s has no worker", id)
				}
			}
		})
	}
}

// TestForgottenWorkerIsRefusedByTheNewerFence: a registration of a worker that was
// forgotten, which an agent sent without knowledge of the newer one, changes nothing.
func TestForgottenWorkerIsRefusedByTheNewerFence(t *testing.T) {
	f := newFixture(t)
	first := f.addWorker("a", protocol.Resources{CPUUnits: 100})
	fence := first.Fence
	f.apply(&RegisterWorker{ID: "b", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: fence})
	for range 2 {
		f.now += retentionMs
		f.apply(&ForgetUnused{})
	}
	if f.store.Workers["a"] != nil {
		t.Fatal("the worker was not forgotten")
	}
	late := f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: fence})
	if late.Code != CodePreconditionFailed || f.store.Workers["b"].Dead {
		t.Errorf("the late registration was answered %v; the present worker is dead: %v", late, f.store.Workers["b"].Dead)
	}
}

// configurationOf is a configuration with one route, service and tenant of a name.
func configurationOf(version int64, name string) []byte {
	text := strings.NewReplacer(`"name":"a"`, `"name":"r-`+name+`"`, `"s"`, `"s-`+name+`"`, `"hostName"`, `"public":true,"hostName"`).
		Replace(fmt.Sprintf(testConfiguration, version))
	return []byte(strings.TrimSuffix(text, "}") + `,"tenantList":[{"name":"t-` + name + `","apiKeys":["k-` + name + `"],"upperLimit":{"cpuUnits":100}}]}`)
}

// TestEarlierConfigurationsAreForgotten: rows of earlier configurations go unless a job
// or a worker refers to them.
func TestEarlierConfigurationsAreForgotten(t *testing.T) {
	f := newFixture(t)
	replace := func(base, version int64, name string) {
		t.Helper()
		if o := f.apply(&ReplaceConfiguration{BaseVersion: base, Raw: configurationOf(version, name)}); o.Code != CodeOK {
			t.Fatal(o)
		}
	}
	replace(1, 2, "held")
	submit := SubmitTenantJob{
		Submit:        SubmitJob{Host: "h", Path: "/p/j", ID: "j", Job: protocol.Job{Steps: []protocol.Step{{TaskCount: 1}}}},
		Tenant:        "t-held",
		ConfigVersion: 2,
	}
	if o := f.apply(&submit); o.Code != CodeOK {
		t.Fatal(o)
	}
	replace(2, 3, "dropped")
	replace(3, 4, "present")
	f.apply(&ForgetUnused{})
	requireRows := func(name string, expected bool) {
		t.Helper()
		_, service := f.store.Services["s-"+name]
		_, quota := f.store.Quotas["t-"+name]
		if route := f.store.Routes["r-"+name] != nil; route != expected || service != expected || quota != expected {
			t.Errorf("%s: route %v, service %v, quota %v", name, route, service, quota)
		}
	}
	requireRows("held", true)
	requireRows("dropped", false)
	requireRows("present", true)
	f.apply(&CancelJob{ID: "j"})
	f.now += 2000
	f.apply(&CollectGarbage{})
	f.apply(&ForgetUnused{})
	requireRows("held", false)
	requireRows("present", true)
}

// TestStateOfAMonthIsNoLargerThanThatOfADay plays restarts of runners, jobs and changes
// of the configuration, in the proportions of the planned size, and compares the encoded
// state after the first part of the time with that after thirty times as long.
func TestStateOfAMonthIsNoLargerThanThatOfADay(t *testing.T) {
	const (
		nodes         = 40 // of 4,000
		restartsADay  = 11 // of 1,100
		jobsADay      = 160
		changesADay   = 110
		days          = 30
		dayMs         = 24 * 60 * 60 * 1000
		growthAllowed = 1.05
		roundsADay    = restartsADay
	)
	f := newFixture(t)
	incarnation := make([]int, nodes)
	workerID := func(node int) string { return fmt.Sprintf("w%d.%d", node, incarnation[node]) }
	register := func(node int, fence int64) {
		f.apply(&RegisterWorker{ID: workerID(node), Node: fmt.Sprint("n", node), Service: "s",
			Capacity: protocol.Resources{CPUUnits: 1000, MemoryMB: 1000, GPUs: 2}, LeavesInMs: -1, ReplacesFence: fence})
	}
	for node := range nodes {
		register(node, 0)
	}
	version, number := int64(1), 0
	size := func() int {
		f.store.ConfigurationHistory.Accepted = lastRecords(f.store.ConfigurationHistory.Accepted, 8)
		return len(f.store.EncodeSnapshot())
	}
	playDay := func() {
		for range roundsADay {
			node := (number * 7) % nodes
			fence := f.store.Workers[workerID(node)].Fence
			incarnation[node]++
			register(node, fence)
			for range changesADay / roundsADay {
				number++
				f.apply(&ReplaceConfiguration{BaseVersion: version, Raw: configurationOf(version+1, fmt.Sprint(number))})
				version++
			}
			for job := range jobsADay / roundsADay {
				id := fmt.Sprintf("j%d.%d", number, job)
				f.submit(id, protocol.Step{TaskCount: 2})
				f.apply(&CancelJob{ID: id})
			}
			for range 2 {
				f.now += dayMs / roundsADay / 2
				f.apply(&CollectGarbage{RebuildUsage: true})
				f.apply(&ForgetUnused{})
			}
		}
	}
	playDay()
	first := size()
	for range days - 1 {
		playDay()
	}
	last := size()
	checkInvariants(t, f.store)
	if len(f.store.Workers) > nodes+restartsADay || float64(last) > growthAllowed*float64(first) {
		t.Errorf("%d workers for %d nodes; the state has %d bytes after a day and %d after %d", len(f.store.Workers), nodes, first, last, days)
	}
}

// TestRollupsOfServicesWithoutWorkersGo: at the next time that the rollups are rebuilt.
func TestRollupsOfServicesWithoutWorkersGo(t *testing.T) {
	f := newFixture(t)
	for n := range 30 {
		id := fmt.Sprint("worker-", n)
		f.apply(&RegisterWorker{ID: id, Node: id, Service: fmt.Sprint("service-", n), Capacity: protocol.Resources{CPUUnits: 100, MemoryMB: 100}, LeavesInMs: -1})
		f.apply(&CollectGarbage{RebuildUsage: true})
		f.apply(&SetEligibility{ID: id, Draining: true, LeavesInMs: 1})
		f.now += 1000
		f.apply(&ExpireLeases{Workers: []FencedWorker{{ID: id, Fence: f.store.Workers[id].Fence}}})
		f.apply(&ForgetUnused{})
		f.now += retentionMs
		f.apply(&ForgetUnused{})
		f.apply(&CollectGarbage{RebuildUsage: true})
		if len(f.store.ServiceUsages) > 0 {
			t.Fatalf("after worker %d: %d rollups", n, len(f.store.ServiceUsages))
		}
	}
}

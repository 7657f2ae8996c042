package state

import (
	"fmt"
	"strings"
	"testing"

	"tealpond/internal/protocol"
)

// goneWorkerRetentionMs is goneWorkerRetention in milliseconds.
var goneWorkerRetentionMs = goneWorkerRetention.Milliseconds()

// TestGoneWorkersAreRemoved checks that the row of a worker that cannot come back is
// removed after the retention period, and that the row of a worker that may come back,
// or that has announced to leave but still holds its lease, is kept.
func TestGoneWorkersAreRemoved(t *testing.T) {
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
		{"in use", func(*fixture) {}, 2 * goneWorkerRetentionMs, true},
		{"replaced", restart, goneWorkerRetentionMs, false},
		{"replaced just now", restart, goneWorkerRetentionMs - 100, true},
		{"lease expired", expire, 2 * goneWorkerRetentionMs, true},
		{"leaving", drain, 2 * goneWorkerRetentionMs, true},
		{"left", func(f *fixture) { drain(f); expire(f) }, 2 * goneWorkerRetentionMs, false},
		{"left and registered again", func(f *fixture) {
			drain(f)
			expire(f)
			f.now += 1000
			f.apply(&RemoveUnused{})
			f.addWorker("a", capacity)
		}, 2 * goneWorkerRetentionMs, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.addWorker("a", capacity)
			c.prepare(f)
			f.now += 1000
			f.apply(&RemoveUnused{})
			f.now += c.afterMs
			f.apply(&RemoveUnused{})
			checkInvariants(t, f.store)
			if kept := f.store.Workers["a"] != nil; kept != c.kept {
				t.Errorf("row kept: %v, want the opposite", kept)
			}
			if _, recorded := f.store.GoneWorkers["a"]; !c.kept && recorded {
				t.Error("the removed worker is still recorded as gone")
			}
			for id, device := range f.store.Devices {
				if device.Class == ClassGPU && f.store.Workers[device.Worker] == nil {
					t.Errorf("device %s has no worker", id)
				}
			}
		})
	}
}

// TestRemovedWorkerCannotRegisterWithStaleFence checks that a late registration of a
// removed worker, sent by an agent that does not know of the newer incarnation, changes
// nothing.
func TestRemovedWorkerCannotRegisterWithStaleFence(t *testing.T) {
	f := newFixture(t)
	first := f.addWorker("a", protocol.Resources{CPUUnits: 100})
	fence := first.Fence
	f.apply(&RegisterWorker{ID: "b", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: fence})
	for range 2 {
		f.now += goneWorkerRetentionMs
		f.apply(&RemoveUnused{})
	}
	if f.store.Workers["a"] != nil {
		t.Fatal("the worker was not removed")
	}
	late := f.apply(&RegisterWorker{ID: "a", Node: "n-a", Service: "s", LeavesInMs: -1, ReplacesFence: fence})
	if late.Code != CodePreconditionFailed || f.store.Workers["b"].Dead {
		t.Errorf("late registration: outcome %v; the current worker is dead: %v", late, f.store.Workers["b"].Dead)
	}
}

// configurationOf returns a configuration with one route, one service and one tenant that
// are named after name.
func configurationOf(version int64, name string) []byte {
	text := strings.NewReplacer(`"name":"a"`, `"name":"r-`+name+`"`, `"s"`, `"s-`+name+`"`, `"hostName"`, `"public":true,"hostName"`).
		Replace(fmt.Sprintf(testConfiguration, version))
	return []byte(strings.TrimSuffix(text, "}") + `,"tenantList":[{"name":"t-` + name + `","apiKeys":["k-` + name + `"],"upperLimit":{"cpuUnits":100}}]}`)
}

// TestEarlierConfigurationsAreRemoved checks that rows of earlier configurations are
// removed unless a job refers to them.
func TestEarlierConfigurationsAreRemoved(t *testing.T) {
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
	f.apply(&RemoveUnused{})
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
	f.apply(&RemoveUnused{})
	requireRows("held", false)
	requireRows("present", true)
}

// TestStateSizeIsBounded guards against rows that are never removed. It runs restarts of
// runners, jobs and configuration updates in the proportions of the planned cluster size,
// and compares the size of the encoded state after one day with that after 30 days.
func TestStateSizeIsBounded(t *testing.T) {
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
	version, updates := int64(1), 0
	size := func() int {
		f.store.ConfigurationHistory.Accepted = lastRecords(f.store.ConfigurationHistory.Accepted, 8)
		return len(f.store.EncodeSnapshot())
	}
	playDay := func() {
		for range roundsADay {
			node := (updates * 7) % nodes
			fence := f.store.Workers[workerID(node)].Fence
			incarnation[node]++
			register(node, fence)
			for range changesADay / roundsADay {
				updates++
				f.apply(&ReplaceConfiguration{BaseVersion: version, Raw: configurationOf(version+1, fmt.Sprint(updates))})
				version++
			}
			for job := range jobsADay / roundsADay {
				id := fmt.Sprintf("j%d.%d", updates, job)
				f.submit(id, protocol.Step{TaskCount: 2})
				f.apply(&CancelJob{ID: id})
			}
			for range 2 {
				f.now += dayMs / roundsADay / 2
				f.apply(&CollectGarbage{RebuildUsage: true})
				f.apply(&RemoveUnused{})
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
		t.Errorf("%d workers for %d nodes; %d bytes of state after one day, %d after %d days", len(f.store.Workers), nodes, first, last, days)
	}
}

// TestUsageOfServicesWithoutWorkersIsRemoved checks that the usage row of a service without
// workers is removed when the usage is next rebuilt.
func TestUsageOfServicesWithoutWorkersIsRemoved(t *testing.T) {
	f := newFixture(t)
	for n := range 30 {
		id := fmt.Sprint("worker-", n)
		f.apply(&RegisterWorker{ID: id, Node: id, Service: fmt.Sprint("service-", n), Capacity: protocol.Resources{CPUUnits: 100, MemoryMB: 100}, LeavesInMs: -1})
		f.apply(&CollectGarbage{RebuildUsage: true})
		f.apply(&SetEligibility{ID: id, Draining: true, LeavesInMs: 1})
		f.now += 1000
		f.apply(&ExpireLeases{Workers: []FencedWorker{{ID: id, Fence: f.store.Workers[id].Fence}}})
		f.apply(&RemoveUnused{})
		f.now += goneWorkerRetentionMs
		f.apply(&RemoveUnused{})
		f.apply(&CollectGarbage{RebuildUsage: true})
		if len(f.store.ServiceUsages) > 0 {
			t.Fatalf("after the removal of worker %d: %d service usage rows, want none", n, len(f.store.ServiceUsages))
		}
	}
}

package state_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// recountTenantUse sums up the resources that tenants' runs hold from the tables alone.
// Store.TenantUse in contrast is updated by commands and rebuilt with the index.
func recountTenantUse(s *state.Store) map[string]state.TenantUse {
	uses := map[string]state.TenantUse{}
	for _, allocation := range s.Allocations {
		tenant := s.JobTenants[allocation.Job].Tenant
		if tenant == "" {
			continue
		}
		use := uses[tenant]
		use.Runs++
		use.MilliCPU += allocation.MilliCPU
		use.MemoryMB += allocation.MemoryMB
		use.GPUs += len(allocation.GPUs)
		uses[tenant] = use
	}
	return uses
}

// quotaFault checks the runs that a command has added against their tenant's quota, one by
// one in the order in which they were added. None may take more of a resource than is left,
// except for a run that exceeds the quota and runs alone. known holds the allocations from
// before the command.
func quotaFault(s *state.Store, tenant string, known map[uint64]bool) string {
	quota := s.Quotas[tenant]
	var use state.TenantUse
	var added []*state.Allocation
	for id, allocation := range s.Allocations {
		switch {
		case s.JobTenants[allocation.Job].Tenant != tenant:
		case known[id]:
			use = use.Plus(stepOf(allocation), 1)
		default:
			added = append(added, allocation)
		}
	}
	slices.SortFunc(added, func(a, b *state.Allocation) int { return cmp.Compare(a.ID, b.ID) })
	over := func(limit, used, size int64) bool { return limit > 0 && size > 0 && used+size > limit && use.Runs > 0 }
	for _, run := range added {
		if over(quota.MilliCPU, use.MilliCPU, run.MilliCPU) || over(quota.MemoryMB, use.MemoryMB, run.MemoryMB) ||
			over(int64(quota.GPUs), int64(use.GPUs), int64(len(run.GPUs))) {
			return fmt.Sprintf("run %+v was added to use %+v, the quota is %+v", run, use, quota)
		}
		use = use.Plus(stepOf(run), 1)
	}
	return ""
}

// stepOf returns a step whose tasks take the resources that a run holds.
func stepOf(run *state.Allocation) *protocol.Step {
	return &protocol.Step{CPUUnits: run.MilliCPU, MemoryMB: run.MemoryMB, GPUs: len(run.GPUs)}
}

// TestQuotasHoldUnderAllCommands applies random commands of all kinds one at a time,
// including expired leases, runners that crash and register again, transfers, cancellations,
// and configurations that drop a tenant or change its quota. Every 20 entries it reloads the
// state from a snapshot. After each command it recounts the use of each tenant and checks
// that no run was added beyond the quota.
func TestQuotasHoldUnderAllCommands(t *testing.T) {
	commands, additions, overHalf := map[string]int{}, 0, 0
	for seed := range int64(*replicaSeeds) {
		test := newReplicaTest(t, seed)
		replica := test.replicas[0]
		for entry := range 200 {
			test.generator.store = replica.store
			test.clock += int64(test.generator.Intn(40))
			test.wall += int64(test.generator.Intn(60) - 10)
			for _, single := range splitEntry(t, test.generator.entry(test.clock, test.wall, commands)) {
				before, limits := recountTenantUse(replica.store), maps.Clone(replica.store.Quotas)
				known := map[uint64]bool{}
				for id := range replica.store.Allocations {
					known[id] = true
				}
				replica.store.ApplyEntry(replica.store.AppliedIndex+1, single)
				after := recountTenantUse(replica.store)
				for i := range tenantCount {
					tenant := fmt.Sprint("tenant", i)
					if recorded := replica.store.TenantUse(tenant); recorded != after[tenant] {
						t.Fatalf("seed %d, entry %d: use of %s is %+v, its runs hold %+v", seed, entry, tenant, recorded, after[tenant])
					}
					quota, limited := replica.store.Quotas[tenant]
					if _, wasLimited := limits[tenant]; wasLimited && !limited && after[tenant].Runs > 0 {
						t.Fatalf("seed %d, entry %d: the quota of %s was removed while it has runs", seed, entry, tenant)
					}
					if fault := quotaFault(replica.store, tenant, known); fault != "" {
						t.Fatalf("seed %d, entry %d: %s: %s", seed, entry, tenant, fault)
					}
					if after[tenant].Runs > before[tenant].Runs {
						additions++
					}
					if quota.MilliCPU > 0 && after[tenant].MilliCPU > quota.MilliCPU/2 {
						overHalf++
					}
				}
			}
			if entry%20 == 19 {
				replica.reload(t, replica.store.EncodeSnapshot())
			}
		}
	}
	t.Logf("use of a tenant grew %d times, was above half of its CPU quota %d times", additions, overHalf)
	for _, name := range state.CommandNames() {
		if commands[name] == 0 {
			t.Errorf("command %s was never generated", name)
		}
	}
	if additions < 100 || overHalf < 100 {
		t.Error("use of a tenant grew, or was above half of its CPU quota, fewer than 100 times")
	}
}

// splitEntry returns one entry for each command of an entry.
func splitEntry(t *testing.T, entry []byte) [][]byte {
	t.Helper()
	var batch state.Batch
	if err := cbor.Unmarshal(entry, &batch); err != nil {
		t.Fatal(err)
	}
	var entries [][]byte
	for _, command := range batch.Commands {
		raw, err := cbor.Marshal(state.Batch{Clock: batch.Clock, WallClock: batch.WallClock, Commands: []state.EncodedCommand{command}})
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, raw)
	}
	return entries
}

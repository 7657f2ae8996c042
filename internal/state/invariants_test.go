package state

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
)

// checkInvariants fails the test if a state breaks an invariant.
func checkInvariants(t *testing.T, s *Store) {
	t.Helper()
	if fault := invariantFault(s); fault != "" {
		t.Fatal(fault)
	}
}

// invariantFault tells which invariant a state breaks, or nothing.
func invariantFault(s *Store) string {
	for _, check := range []func(*Store) string{taskRunsTwice, usedResourcesFault, reservationFault, schedulingIndexFault, serviceUsageFault} {
		if fault := check(s); fault != "" {
			return fault
		}
	}
	return ""
}

// taskRunsTwice finds a task, or a copy of one, that runs more than once.
func taskRunsTwice(s *Store) string {
	runs := map[string]int{}
	for _, a := range s.Allocations {
		runs[fmt.Sprint(a.TaskName(), "#", a.Copy)]++
	}
	for task, n := range runs {
		if n > 1 {
			return fmt.Sprintf("%s runs %d times", task, n)
		}
	}
	return ""
}

// usedResourcesFault compares what workers count as used with their allocations
// and their capacity.
func usedResourcesFault(s *Store) string {
	used := map[string]Resources{}
	for _, a := range s.Allocations {
		used[a.Worker] = used[a.Worker].plus(Resources{a.MilliCPU, a.MemoryMB})
	}
	for id, worker := range s.Workers {
		counted := Resources{worker.UsedMilliCPU, worker.UsedMemoryMB}
		if counted != used[id] || counted.MilliCPU > worker.Capacity.CPUUnits || counted.MemoryMB > worker.Capacity.MemoryMB {
			return fmt.Sprintf("%s counts %v of %v as used, its allocations hold %v", id, counted, worker.Capacity, used[id])
		}
	}
	return ""
}

// reservationFault finds a reservation of no allocation, or two that overlap.
func reservationFault(s *Store) string {
	for id, device := range s.Devices {
		for i, x := range device.Reservations {
			if s.Allocations[x.Allocation] == nil {
				return fmt.Sprintf("%s is reserved for nobody", id)
			}
			for _, y := range device.Reservations[i+1:] {
				if x.From < y.To && y.From < x.To {
					return fmt.Sprintf("%s: two reservations overlap", id)
				}
			}
		}
	}
	return ""
}

// serviceUsageFault compares the rollups, as commands updated them, with rebuilt ones.
func serviceUsageFault(s *Store) string {
	kept := map[string]ServiceUsage{}
	for service, serviceUsage := range s.ServiceUsages {
		kept[service] = *serviceUsage
	}
	s.RebuildUsage()
	for service, rebuilt := range s.ServiceUsages {
		if k := kept[service]; k.UsedMilliCPU != rebuilt.UsedMilliCPU || k.UsedMemoryMB != rebuilt.UsedMemoryMB || k.UsedGPUs != rebuilt.UsedGPUs {
			return fmt.Sprintf("rollup of %s is kept up as %+v, rebuilt as %+v", service, k, *rebuilt)
		}
	}
	return ""
}

// TestInvariantFaultCatchesPlantedBreaks shows that each part of the checker can
// fail.
func TestInvariantFaultCatchesPlantedBreaks(t *testing.T) {
	for name, plant := range map[string]func(*fixture){
		"counter": func(f *fixture) { f.store.Workers["a"].UsedMilliCPU = 5 },
		"overlap": func(f *fixture) {
			for _, d := range f.store.Devices {
				d.Reservations = append(d.Reservations, d.Reservations...)
			}
		},
		"orphan": func(f *fixture) { delete(f.store.Allocations, f.store.LastID) },
		"rollup": func(f *fixture) { f.store.serviceUsage("s").UsedMilliCPU++ },
		"twice": func(f *fixture) {
			a := *f.store.Allocations[f.store.LastID]
			a.ID++
			f.store.Allocations[a.ID] = &a
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			a := f.addWorker("a", protocol.Resources{CPUUnits: 100, MemoryMB: 100})
			f.submit("j", protocol.Step{TaskCount: 1, CPUUnits: 10})
			f.applyPlan("j", 0, false, placementOn(a, 0))
			checkInvariants(t, f.store)
			plant(f)
			if invariantFault(f.store) == "" {
				t.Error("the planted break was not caught")
			}
		})
	}
}

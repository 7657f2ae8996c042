package state

import (
	"fmt"
	"testing"

	"tealpond/internal/protocol"
)

// checkInvariants fails the test if the state violates an invariant.
func checkInvariants(t *testing.T, s *Store) {
	t.Helper()
	if fault := invariantFault(s); fault != "" {
		t.Fatal(fault)
	}
}

// invariantFault describes the first invariant that the state violates, or returns an empty
// string.
func invariantFault(s *Store) string {
	for _, check := range []func(*Store) string{duplicateFault, usedResourcesFault, reservationFault, schedulingIndexFault, serviceUsageFault} {
		if fault := check(s); fault != "" {
			return fault
		}
	}
	return ""
}

// duplicateFault finds a task, or a copy of one, that has more than one allocation.
func duplicateFault(s *Store) string {
	runs := map[string]int{}
	for _, a := range s.Allocations {
		runs[fmt.Sprint(a.TaskName(), "#", a.Copy)]++
	}
	for task, n := range runs {
		if n > 1 {
			return fmt.Sprintf("%s has %d allocations, want at most 1", task, n)
		}
	}
	return ""
}

// usedResourcesFault compares the used resources in the rows of workers with the sum of
// their allocations and with their capacity.
func usedResourcesFault(s *Store) string {
	used := map[string]Resources{}
	for _, a := range s.Allocations {
		used[a.Worker] = used[a.Worker].plus(Resources{a.MilliCPU, a.MemoryMB})
	}
	for id, worker := range s.Workers {
		counted := Resources{worker.UsedMilliCPU, worker.UsedMemoryMB}
		if counted != used[id] || counted.MilliCPU > worker.Capacity.CPUUnits || counted.MemoryMB > worker.Capacity.MemoryMB {
			return fmt.Sprintf("worker %s: used %v of %v, its allocations hold %v", id, counted, worker.Capacity, used[id])
		}
	}
	return ""
}

// reservationFault finds a reservation without an allocation, or two that overlap.
func reservationFault(s *Store) string {
	for id, device := range s.Devices {
		for i, x := range device.Reservations {
			if s.Allocations[x.Allocation] == nil {
				return fmt.Sprintf("device %s has a reservation without an allocation", id)
			}
			for _, y := range device.Reservations[i+1:] {
				if x.From < y.To && y.From < x.To {
					return fmt.Sprintf("device %s: two reservations overlap", id)
				}
			}
		}
	}
	return ""
}

// serviceUsageFault compares the usage of services, as commands have updated it, with
// usage rebuilt from the tables.
func serviceUsageFault(s *Store) string {
	recorded := map[string]ServiceUsage{}
	for service, serviceUsage := range s.ServiceUsages {
		recorded[service] = *serviceUsage
	}
	s.RebuildUsage()
	for service, rebuilt := range s.ServiceUsages {
		if old := recorded[service]; old.UsedMilliCPU != rebuilt.UsedMilliCPU || old.UsedMemoryMB != rebuilt.UsedMemoryMB || old.UsedGPUs != rebuilt.UsedGPUs {
			return fmt.Sprintf("usage of service %s is recorded as %+v, rebuilt as %+v", service, old, *rebuilt)
		}
	}
	return ""
}

// TestInvariantFaultDetectsViolations checks that invariantFault detects a violation of each
// kind.
func TestInvariantFaultDetectsViolations(t *testing.T) {
	for name, corrupt := range map[string]func(*fixture){
		"counter": func(f *fixture) { f.store.Workers["a"].UsedMilliCPU = 5 },
		"overlap": func(f *fixture) {
			for _, d := range f.store.Devices {
				d.Reservations = append(d.Reservations, d.Reservations...)
			}
		},
		"orphan": func(f *fixture) { delete(f.store.Allocations, f.store.LastID) },
		"usage":  func(f *fixture) { f.store.serviceUsage("s").UsedMilliCPU++ },
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
			corrupt(f)
			if invariantFault(f.store) == "" {
				t.Error("the violation was not detected")
			}
		})
	}
}

package state

import (
	"fmt"
	"maps"
	"testing"

	"tealpond/internal/protocol"
)

// schedulingIndexFault compares the index, as updated by commands, with one recomputed from
// the tables. It returns a description of the first difference, or an empty string.
func schedulingIndexFault(s *Store) string {
	for _, check := range []func(*Store) string{workerPositionFault, usageFault, tenantUseFault, capacityFault, placeableStepsFault, jobBytesFault} {
		if fault := check(s); fault != "" {
			return fault
		}
	}
	return ""
}

// workerPositionFault finds a worker with a wrong position in the index. A schedulable worker
// must be listed once in the class of its free CPU and once under each of its labels, any
// other worker nowhere.
func workerPositionFault(s *Store) string {
	for _, worker := range s.Workers {
		want := 0
		if worker.Schedulable() {
			want = 1
		}
		found, fault := countInClasses(s, worker)
		if fault != "" {
			return fault
		}
		if found != want {
			return fmt.Sprintf("%s is listed %d times in the free-CPU classes, want %d", worker.ID, found, want)
		}
		for _, label := range worker.Labels {
			if found := countWorker(s.WorkersWithLabel(worker.Service, label), worker); found != want {
				return fmt.Sprintf("%s is listed %d times under label %s, want %d", worker.ID, found, label, want)
			}
		}
	}
	return ""
}

// countInClasses counts the occurrences of a worker in the free-CPU classes. It reports a
// fault if the worker is in another class than that of its free CPU, or at another offset
// than its position says.
func countInClasses(s *Store, worker *Worker) (count int, fault string) {
	classes := s.index.byFreeCPU[worker.Service]
	if classes == nil {
		return 0, ""
	}
	for class := range classes {
		for i, other := range classes[class].workers {
			if other != worker {
				continue
			}
			count++
			if class != freeCPUClass(worker.FreeMilliCPU()) || worker.position.cpuOffset != i {
				return count, fmt.Sprintf("%s with %d free CPU is in class %d at offset %d", worker.ID, worker.FreeMilliCPU(), class, i)
			}
		}
	}
	return count, ""
}

func countWorker(workers []*Worker, worker *Worker) int {
	count := 0
	for _, other := range workers {
		if other == worker {
			count++
		}
	}
	return count
}

// usageFault compares the resource use by service and priority with a recount.
func usageFault(s *Store) string {
	recounted := map[ServicePriority]Resources{}
	for _, a := range s.Allocations {
		if job := s.Jobs[a.Job]; job != nil {
			key := ServicePriority{s.Workers[a.Worker].Service, job.Priority}
			recounted[key] = Resources{recounted[key].MilliCPU + a.MilliCPU, recounted[key].MemoryMB + a.MemoryMB}
		}
	}
	for key, used := range s.index.used {
		if recounted[key] != used {
			return fmt.Sprintf("%v uses %v, recounted %v", key, used, recounted[key])
		}
	}
	for key, used := range recounted {
		if s.index.used[key] != used {
			return fmt.Sprintf("%v uses %v, recounted %v", key, s.index.used[key], used)
		}
	}
	return ""
}

// jobBytesFault compares the estimated memory of the jobs with a recount.
func jobBytesFault(s *Store) string {
	recounted := 0.0
	for _, job := range s.Jobs {
		recounted += job.bytes()
	}
	if recounted != s.JobBytes() {
		return fmt.Sprintf("jobs occupy %v bytes, recounted %v", s.JobBytes(), recounted)
	}
	return ""
}

// tenantUseFault compares the resource use of tenants with a recount.
func tenantUseFault(s *Store) string {
	recounted, byPriority := map[string]TenantUse{}, map[TenantPriority]TenantUse{}
	for _, a := range s.Allocations {
		if job := s.Jobs[a.Job]; job != nil && job.Tenant() != "" {
			run, key := &protocol.Step{CPUUnits: a.MilliCPU, MemoryMB: a.MemoryMB, GPUs: len(a.GPUs)}, TenantPriority{job.Tenant(), job.Priority}
			recounted[job.Tenant()], byPriority[key] = recounted[job.Tenant()].Plus(run, 1), byPriority[key].Plus(run, 1)
		}
	}
	if !maps.Equal(recounted, s.index.tenantUse) || !maps.Equal(byPriority, s.index.tenantPriorityUse) {
		return fmt.Sprintf("tenants use %v, recounted %v", s.index.tenantUse, recounted)
	}
	return ""
}

// capacityFault compares the schedulable capacity and the number of workers of services with a
// recount.
func capacityFault(s *Store) string {
	capacity, workers := map[string]Resources{}, map[string]int{}
	for _, worker := range s.Workers {
		if worker.Schedulable() {
			c := capacity[worker.Service]
			capacity[worker.Service] = Resources{c.MilliCPU + worker.Capacity.CPUUnits, c.MemoryMB + worker.Capacity.MemoryMB}
			workers[worker.Service]++
		}
	}
	for service := range workers {
		if c, n := s.SchedulableCapacity(service); c != capacity[service] || n != workers[service] {
			return fmt.Sprintf("%s has capacity %v of %d workers, recounted %v of %d", service, c, n, capacity[service], workers[service])
		}
	}
	return ""
}

// placeableStepsFault finds a step that has tasks to place and is not listed, or one that is
// listed although its job has ended.
func placeableStepsFault(s *Store) string {
	for _, job := range s.openJobs {
		for _, instance := range job.Instances {
			for i := range instance.Steps {
				if !hasTasksToPlace(instance, &instance.Steps[i]) {
					continue
				}
				if _, ok := s.index.placeableSteps[StepRef{job.ID, instance.Number, i}]; !ok {
					return fmt.Sprintf("%s step %d has tasks to place and is not listed", job.ID, i)
				}
			}
		}
	}
	for ref := range s.index.placeableSteps {
		if s.openJobs[ref.Job] == nil {
			return fmt.Sprintf("%v is listed although its job has ended", ref)
		}
	}
	return ""
}

func hasTasksToPlace(instance *JobInstance, stepState *StepState) bool {
	waiting := false
	for i := range stepState.Tasks {
		waiting = waiting || !stepState.Tasks[i].Done && len(stepState.Tasks[i].Allocations) == 0
	}
	return waiting && stepState.Ready && !instance.Failed
}

// TestSchedulingIndexFaultDetectsCorruption checks that each part of schedulingIndexFault
// detects an index that does not match the tables.
func TestSchedulingIndexFaultDetectsCorruption(t *testing.T) {
	for name, corrupt := range map[string]func(s *Store){
		"class":          func(s *Store) { s.Workers["a"].UsedMilliCPU += 600 },
		"unschedulable":  func(s *Store) { s.Workers["a"].Unhealthy = true },
		"label":          func(s *Store) { s.index.byLabel["s"]["r1"].workers = nil },
		"usage":          func(s *Store) { s.index.used[ServicePriority{"s", 0}] = Resources{1, 1} },
		"tenant":         func(s *Store) { s.index.tenantUse["t"] = TenantUse{Runs: 1} },
		"capacity":       func(s *Store) { s.index.capacity["s"] = Resources{} },
		"missing step":   func(s *Store) { delete(s.index.placeableSteps, StepRef{"j", 0, 0}) },
		"step of no job": func(s *Store) { s.index.placeableSteps[StepRef{"x", 0, 0}] = struct{}{} },
		"offset":         func(s *Store) { s.Workers["a"].position.cpuOffset = 7 },
		"job memory":     func(s *Store) { s.jobBytes++ },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.addWorker("a", protocol.Resources{CPUUnits: 1000, MemoryMB: 1000})
			f.submit("j", protocol.Step{TaskCount: 2, CPUUnits: 10})
			if fault := schedulingIndexFault(f.store); fault != "" {
				t.Fatal(fault)
			}
			corrupt(f.store)
			if schedulingIndexFault(f.store) == "" {
				t.Error("corrupted index was not detected")
			}
		})
	}
}

// TestFreeCPUClassesAreOrdered checks that more free CPU is never in a lower class, that twice
// as much is in a higher class, and that no amount is out of range.
func TestFreeCPUClassesAreOrdered(t *testing.T) {
	last := 0
	for milliCPU := range int64(300_000) {
		class := freeCPUClass(milliCPU)
		if class < last {
			t.Fatalf("%d is in class %d, a smaller amount in class %d", milliCPU, class, last)
		}
		if milliCPU > 0 && freeCPUClass(2*milliCPU) <= class {
			t.Fatalf("%d is in class %d, and twice as much is not in a higher class", milliCPU, class)
		}
		last = class
	}
	for _, milliCPU := range []int64{-5, 0, 1 << 40, OpenEnd, 1<<63 - 1} {
		if class := freeCPUClass(milliCPU); class < 0 || class >= freeCPUClasses {
			t.Errorf("%d is in class %d, which is out of range", milliCPU, class)
		}
	}
}

package scheduler

import (
	"fmt"
	"math/rand"
	"testing"

	"tealpond/internal/protocol"
)

// TestAllFittingTasksArePlaced checks that no task waits while a worker has free capacity for it, with
// data locality, required labels, limits per worker and gangs. Above fullScanMaxWorkers the planner
// uses indexes instead of a full scan, which must not miss free capacity.
func TestAllFittingTasksArePlaced(t *testing.T) {
	for _, workers := range []int{30, fullScanMaxWorkers + 60} {
		c := newTestCluster(t, workers)
		p := &Planner{}
		random := rand.New(rand.NewSource(3))
		for i := range 600 {
			spec := randomStep(random)
			id := c.submit("/p/", spec)
			c.planAndBind(p)
			free, waiting := c.freeSlots(id, &spec), 0
			for _, task := range c.store.Jobs[id].Instances[0].Steps[0].Tasks {
				if len(task.Allocations) == 0 {
					waiting++
				}
			}
			if waiting > 0 && free >= waiting && !spec.Gang || spec.Gang && waiting > 0 && free >= spec.TaskCount {
				t.Fatalf("%d workers, job %d: %d of %d tasks wait although %d fit (%+v)",
					workers, i, waiting, spec.TaskCount, free, spec)
			}
			for len(c.store.Allocations) > workers*6 {
				c.complete(c.anyAllocation())
			}
		}
	}
}

// randomStep returns a step of random size, in some cases with a placement constraint.
func randomStep(random *rand.Rand) protocol.Step {
	spec := protocol.Step{TaskCount: 1 + random.Intn(30), CPUUnits: int64(100 + random.Intn(6000)), MemoryMB: int64(100 + random.Intn(9000)), EstimateMs: 300}
	switch random.Intn(6) {
	case 0:
		spec.PreferredRack = fmt.Sprint("r", random.Intn(4))
	case 1:
		spec.RequiredLabels = []string{fmt.Sprint("r", random.Intn(4))}
	case 2:
		spec.MaxPerWorker = 1 + random.Intn(2)
	case 3:
		spec.Gang, spec.SameRack = true, random.Intn(2) == 0
	}
	return spec
}

// freeSlots returns the number of tasks of a job's first step that fit into the free capacity of all
// workers.
func (c *testCluster) freeSlots(id string, spec *protocol.Step) int {
	free := 0
	for _, worker := range c.store.Workers {
		if !c.store.Feasible(c.store.Jobs[id], 0, worker) {
			continue
		}
		n := int(min(worker.FreeMilliCPU()/spec.CPUUnits, worker.FreeMemoryMB()/spec.MemoryMB))
		if spec.MaxPerWorker > 0 {
			n = min(n, spec.MaxPerWorker-c.store.CountStepTasks(id, 0, 0, worker.ID))
		}
		free += max(n, 0)
	}
	return free
}

// TestDataLocality checks that all tasks go to the rack of their data if they fit there.
func TestDataLocality(t *testing.T) {
	for _, workers := range []int{30, fullScanMaxWorkers + 60} {
		c := newTestCluster(t, workers)
		id := c.submit("/p/", protocol.Step{TaskCount: 20, CPUUnits: 1000, MemoryMB: 100, EstimateMs: 300, PreferredRack: "r2"})
		c.planAndBind(&Planner{})
		for _, a := range c.store.Allocations {
			if rack := c.store.Workers[a.Worker].Rack(); a.Job == id && rack != "r2" {
				t.Fatalf("%d workers: task placed on rack %s, want r2", workers, rack)
			}
		}
	}
}

package scheduler

import (
	"fmt"
	"math/rand"
	"testing"

	"tealpond/internal/protocol"
)

// TestAllThatFitsIsPlaced: above the number up to which each worker is looked
// at, the index must miss no room; near data, on labels, apart, as gangs.
func TestAllThatFitsIsPlaced(t *testing.T) {
	for _, workers := range []int{30, fullScanMaxWorkers + 60} {
		c := newTestCluster(t, workers)
		p := &Planner{}
		random := rand.New(rand.NewSource(3))
		for i := range 600 {
			spec := randomStep(random)
			id := c.submit("/p/", spec)
			c.planAndBind(p)
			free, waiting := c.roomFor(id, &spec), 0
			for _, task := range c.store.Jobs[id].Instances[0].Steps[0].Tasks {
				if len(task.Allocations) == 0 {
					waiting++
				}
			}
			if waiting > 0 && free >= waiting && !spec.Gang || spec.Gang && waiting > 0 && free >= spec.TaskCount {
				t.Fatalf("%d workers, job %d: %d of %d tasks wait beside room for %d (%+v)", workers, i, waiting, spec.TaskCount, free, spec)
			}
			for len(c.store.Allocations) > workers*6 {
				c.complete(c.anyAllocation())
			}
		}
	}
}

// randomStep makes a step of a random size, some with a constraint.
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

// roomFor counts the tasks of a job's first step that all workers have room for.
func (c *testCluster) roomFor(id string, spec *protocol.Step) int {
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

// TestNearDataFirst: with room at the data's rack, all tasks go there.
func TestNearDataFirst(t *testing.T) {
	for _, workers := range []int{30, fullScanMaxWorkers + 60} {
		c := newTestCluster(t, workers)
		id := c.submit("/p/", protocol.Step{TaskCount: 20, CPUUnits: 1000, MemoryMB: 100, EstimateMs: 300, PreferredRack: "r2"})
		c.planAndBind(&Planner{})
		for _, a := range c.store.Allocations {
			if r := c.store.Workers[a.Worker].Rack(); a.Job == id && r != "r2" {
				t.Fatalf("%d workers: a task went to %s", workers, r)
			}
		}
	}
}

package state

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tealpond/internal/protocol"
)

// randomDriver applies random commands to a state with driverWorkers workers.
type randomDriver struct {
	*fixture
	random *rand.Rand
	jobs   []string
}

const driverWorkerCount = 4

func newRandomDriver(t *testing.T, seed int64) *randomDriver {
	t.Helper()
	d := &randomDriver{fixture: newFixture(t), random: rand.New(rand.NewSource(seed))}
	for i := range driverWorkerCount {
		d.addWorker(fmt.Sprint("w", i), protocol.Resources{CPUUnits: 100, MemoryMB: 100, GPUs: i % 3})
	}
	return d
}

func (d *randomDriver) worker() *Worker {
	return d.store.Workers[fmt.Sprint("w", d.random.Intn(driverWorkerCount))]
}

// step applies at most one random command; a worker whose lease expires also registers again.
func (d *randomDriver) step(number int) {
	worker := d.worker()
	switch d.random.Intn(8) {
	case 0:
		d.submitJob(fmt.Sprint("j", number))
	case 1, 2, 3, 4:
		if len(d.jobs) > 0 {
			d.planStep(d.jobs[d.random.Intn(len(d.jobs))], d.random.Intn(2))
		}
	case 5:
		if on := d.store.AllocationsOn(worker.ID); len(on) > 0 {
			a := on[d.random.Intn(len(on))]
			d.reportCompletion(worker.ID, a.TaskName(), a.Run, []string{ResultDone, ResultFailed, "stopped", ResultLeaseExpired}[d.random.Intn(4)])
		}
	case 6:
		if d.random.Intn(4) == 0 {
			d.apply(&ExpireLeases{Workers: []FencedWorker{{ID: worker.ID, Fence: worker.Fence}}})
			d.addWorker(worker.ID, worker.Capacity)
		} else if len(d.jobs) > 0 && d.random.Intn(3) == 0 {
			d.apply(&CancelJob{ID: d.jobs[d.random.Intn(len(d.jobs))]})
		}
	case 7:
		d.apply(&SetEligibility{ID: worker.ID, Draining: d.random.Intn(2) == 0, LeavesInMs: -1})
	}
}

// submitJob submits a random job of two steps.
func (d *randomDriver) submitJob(id string) {
	r := d.random
	first := protocol.Step{
		TaskCount:    1 + r.Intn(3),
		CPUUnits:     int64(r.Intn(60)),
		MemoryMB:     int64(r.Intn(60)),
		GPUs:         r.Intn(2),
		Speculative:  r.Intn(3) == 0,
		MaxPerWorker: r.Intn(2),
	}
	second := protocol.Step{TaskCount: 2, CPUUnits: int64(r.Intn(60)), Gang: r.Intn(2) == 0, DependsOn: []int{0}}
	d.submit(id, first, second)
	d.jobs = append(d.jobs, id)
}

// planStep plans all tasks of a step, about half of them on an outdated worker version.
func (d *randomDriver) planStep(id string, step int) {
	job := d.store.Jobs[id]
	var placements []Placement
	for i := range job.Steps[step].TaskCount {
		worker := d.worker()
		placements = append(placements, Placement{
			TaskIndex:     i,
			Copy:          d.random.Intn(2),
			Worker:        worker.ID,
			WorkerVersion: worker.Version - uint64(d.random.Intn(2)),
		})
	}
	d.applyPlan(id, step, job.IsGang(step), placements...)
}

// TestRandomCommandsKeepInvariants checks the invariants after each of many random commands,
// and on a copy restored from a snapshot, which must equal the state.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	for seed := range int64(30) {
		d := newRandomDriver(t, seed)
		for i := range 400 {
			d.step(i)
			checkInvariants(t, d.store)
		}
		restored := d.restored().store
		checkInvariants(t, restored)
		if !bytes.Equal(canonicalState(restored), canonicalState(d.store)) {
			t.Fatal("the state restored from a snapshot differs")
		}
	}
}

// canonicalState encodes a state with sorted map keys, independently of the encoding under
// test.
func canonicalState(s *Store) []byte {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	raw, err := mode.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

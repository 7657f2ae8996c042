package trial

import (
	"fmt"
	"syscall"
	"time"

	"tealpond/internal/protocol"
)

// Names of locks and keys.
const (
	lockName   = "batch"
	secondLock = "review"
	keyName    = "board.move"
	keyGroup   = "board."
)

// IDs of jobs: 16 hex digits, chosen by the client.
const (
	firstJob  = "00000000000000a1"
	secondJob = "00000000000000a2"
)

// threeStepJob returns a job whose steps run one after the other; the second one is a gang.
func threeStepJob() protocol.Job {
	return protocol.Job{Spec: "ms=600 cpu=1000", Steps: []protocol.Step{
		{TaskCount: 6, CPUUnits: 1000, MemoryMB: 64, EstimateMs: 600},
		{TaskCount: 3, CPUUnits: 1000, MemoryMB: 64, EstimateMs: 600, Gang: true, DependsOn: []int{0}},
		{TaskCount: 4, CPUUnits: 1000, MemoryMB: 64, EstimateMs: 600, DependsOn: []int{1}},
	}}
}

// longRunningJob returns a job that runs for several seconds.
func longRunningJob() protocol.Job {
	return protocol.Job{Spec: "ms=1500 cpu=2000", Steps: []protocol.Step{
		{TaskCount: 12, CPUUnits: 2000, MemoryMB: 64, EstimateMs: 1500},
		{TaskCount: 6, CPUUnits: 2000, MemoryMB: 64, EstimateMs: 1500, DependsOn: []int{0}},
	}}
}

// stateDone is the state of a job whose tasks are all done.
const stateDone = "done"

// runJob submits a job and waits until it is done.
func (t *trial) runJob() error {
	job := threeStepJob()
	if err := t.await("a job to be accepted", readyTimeout, func() bool { return t.submit(firstJob, job) }); err != nil {
		return err
	}
	t.printf("submitted job %s: %d tasks, then a gang of %d tasks, then %d tasks", firstJob, job.Steps[0].TaskCount, job.Steps[1].TaskCount, job.Steps[2].TaskCount)
	return t.follow(firstJob)
}

// follow waits until a job is done and prints each new state.
func (t *trial) follow(id string) error {
	last := ""
	return t.await("job "+id+" to be done", jobTimeout, func() bool {
		state := t.jobState(id)
		if state != "" && state != last {
			t.printf("job %s is %s", id, state)
			last = state
		}
		return state == stateDone
	})
}

// handOverLock acquires a lock for one holder that never renews it, and checks that another holder gets
// the lock only after the lease has expired, with a higher fencing token.
func (t *trial) handOverLock() error {
	fence, err := t.acquire(lockName, "anna")
	if err != nil {
		return err
	}
	heldAt := time.Now()
	t.printf("anna acquired lock %q with fencing token %d", lockName, fence)
	other, err := t.acquire(lockName, "bert")
	if err != nil {
		return err
	}
	if other != 0 {
		return fmt.Errorf("bert acquired the lock with fencing token %d while anna held it", other)
	}
	t.printf("bert was refused the lock, as anna holds it; anna stops renewing it")
	newFence := int64(0)
	if err := t.await("the lock to be released after its lease expired", lockHold+releaseTimeout, func() bool {
		newFence, err = t.acquire(lockName, "bert")
		return err == nil && newFence != 0
	}); err != nil {
		return err
	}
	if newFence <= fence {
		return fmt.Errorf("bert's fencing token %d is not higher than anna's token %d", newFence, fence)
	}
	t.printf("bert acquired the lock %.1f s after anna, whose lease was %v, with fencing token %d", time.Since(heldAt).Seconds(), lockHold, newFence)
	return nil
}

// watchKey sets a key and reads the revision of its group by a watch.
func (t *trial) watchKey() error {
	if err := t.await("a key to be set", readyTimeout, func() bool { return t.put("e4") != 0 }); err != nil {
		return err
	}
	answer := t.watch(0)
	if answer == nil {
		return fmt.Errorf("watch of %s failed", keyGroup)
	}
	t.printf("set key %s; a watch of %s is at revision %d", keyName, keyGroup, answer.Revision)
	return nil
}

// loseLeader kills the leader's process while a job runs, a lock is held and a key is watched. It
// checks that the job finishes, that the lock keeps its holder and that the watch misses no put.
func (t *trial) loseLeader() error {
	if err := t.await("a job to be accepted", readyTimeout, func() bool { return t.submit(secondJob, longRunningJob()) }); err != nil {
		return err
	}
	initial := t.watch(0)
	fence, err := t.acquire(secondLock, "carl")
	if err != nil {
		return err
	}
	leader := t.leader()
	if initial == nil || fence == 0 || leader == "" {
		return fmt.Errorf("before the leader is killed: watch %v, fencing token %d, leader %q", initial, fence, leader)
	}
	t.killed = leader
	if err := t.cluster.Signal(leader, syscall.SIGKILL); err != nil {
		return err
	}
	killedAt := time.Now()
	t.printf("killed the leader, %s, while job %s is running and carl holds a lock", leader, secondJob)
	if err := t.await("carl's lock to be renewed", lockHold, func() bool { return t.renew(secondLock, "carl", fence) }); err != nil {
		return err
	}
	t.printf("new leader %s after %.1f s; carl still holds the lock with fencing token %d", t.leader(), time.Since(killedAt).Seconds(), fence)
	if err := t.await("the key to be set again", readyTimeout, func() bool { return t.put("e5") != 0 }); err != nil {
		return err
	}
	var update *protocol.WatchResponse
	if err := t.await("the watch to report the put", readyTimeout, func() bool {
		update = t.watch(initial.Revision)
		return update != nil && len(update.Events) > 0
	}); err != nil {
		return err
	}
	t.printf("the watch continued after revision %d: key %s has the value %s", initial.Revision, update.Events[0].Name, update.Events[0].Value)
	return t.follow(secondJob)
}

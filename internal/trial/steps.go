package trial

import (
	"fmt"
	"syscall"
	"time"

	"tealpond/internal/protocol"
)

// Names of what the trial uses.
const (
	lockName   = "batch"
	secondLock = "review"
	keyName    = "board.move"
	keyGroup   = "board."
)

// Jobs of the trial. Their IDs are of 16 hex digits, as clients choose them.
const (
	firstJob  = "00000000000000a1"
	secondJob = "00000000000000a2"
)

// threeSteps is a job whose second step is a gang and follows the first.
func threeSteps() protocol.Job {
	return protocol.Job{Spec: "ms=600 cpu=1000", Steps: []protocol.Step{
		{TaskCount: 6, CPUUnits: 1000, MemoryMB: 64, EstimateMs: 600},
		{TaskCount: 3, CPUUnits: 1000, MemoryMB: 64, EstimateMs: 600, Gang: true, DependsOn: []int{0}},
		{TaskCount: 4, CPUUnits: 1000, MemoryMB: 64, EstimateMs: 600, DependsOn: []int{1}},
	}}
}

// longer is a job that is under way for some seconds.
func longer() protocol.Job {
	return protocol.Job{Spec: "ms=1500 cpu=2000", Steps: []protocol.Step{
		{TaskCount: 12, CPUUnits: 2000, MemoryMB: 64, EstimateMs: 1500},
		{TaskCount: 6, CPUUnits: 2000, MemoryMB: 64, EstimateMs: 1500, DependsOn: []int{0}},
	}}
}

// stateDone is the state of a job all of whose tasks are done.
const stateDone = "done"

// runJob submits a job and follows it to its end.
func (t *trial) runJob() error {
	job := threeSteps()
	if err := t.await("a job is accepted", readyTime, func() bool { return t.submit(firstJob, job) }); err != nil {
		return err
	}
	t.say("submitted job %s: %d tasks, then a gang of %d, then %d tasks", firstJob, job.Steps[0].TaskCount, job.Steps[1].TaskCount, job.Steps[2].TaskCount)
	return t.follow(firstJob)
}

// follow waits for the end of a job and prints its states.
func (t *trial) follow(id string) error {
	last := ""
	return t.await("job "+id+" is done", jobTime, func() bool {
		state := t.jobState(id)
		if state != "" && state != last {
			t.say("job %s is %s", id, state)
			last = state
		}
		return state == stateDone
	})
}

// passLockOn has one caller hold a lock and die, and another one get it.
func (t *trial) passLockOn() error {
	fence, err := t.acquire(lockName, "anna")
	if err != nil {
		return err
	}
	heldAt := time.Now()
	t.say("anna holds the lock %q under fence %d", lockName, fence)
	other, err := t.acquire(lockName, "bert")
	if err != nil {
		return err
	}
	if other != 0 {
		return fmt.Errorf("bert got the lock too, under fence %d", other)
	}
	t.say("bert is told that another holds it; anna dies without a word")
	next := int64(0)
	if err := t.await("the lock of a dead holder is free", lockHold+freeTime, func() bool {
		next, err = t.acquire(lockName, "bert")
		return err == nil && next != 0
	}); err != nil {
		return err
	}
	if next <= fence {
		return fmt.Errorf("bert's fence %d is not above anna's, %d", next, fence)
	}
	t.say("bert holds it %.1f s after anna took it for %v, under fence %d", time.Since(heldAt).Seconds(), lockHold, next)
	return nil
}

// watchKey sets a key and sees the put in a watch.
func (t *trial) watchKey() error {
	if err := t.await("a key is set", readyTime, func() bool { return t.put("e4") != 0 }); err != nil {
		return err
	}
	answer := t.watch(0)
	if answer == nil {
		return fmt.Errorf("a watch of %s has no answer", keyGroup)
	}
	t.say("the key %s is set, a watch of %s is at revision %d", keyName, keyGroup, answer.Revision)
	return nil
}

// loseLeader kills the leader's process while a job runs, a lock is held and a key is
// watched: the job goes on, the lock stays with its holder, and the watch misses nothing.
func (t *trial) loseLeader() error {
	if err := t.await("a job is accepted", readyTime, func() bool { return t.submit(secondJob, longer()) }); err != nil {
		return err
	}
	present := t.watch(0)
	fence, err := t.acquire(secondLock, "carl")
	if err != nil {
		return err
	}
	leader := t.leader()
	if present == nil || fence == 0 || leader == "" {
		return fmt.Errorf("before the leader is lost: watch %v, fence %d, leader %q", present, fence, leader)
	}
	t.killed = leader
	if err := t.cluster.Signal(leader, syscall.SIGKILL); err != nil {
		return err
	}
	killedAt := time.Now()
	t.say("killed %s, the leader, while job %s runs and carl holds the lock", leader, secondJob)
	if err := t.await("carl renews the lock", lockHold, func() bool { return t.renew(secondLock, "carl", fence) }); err != nil {
		return err
	}
	t.say("%s leads %.1f s later; carl still holds the lock under fence %d", t.leader(), time.Since(killedAt).Seconds(), fence)
	if err := t.await("the key is set again", readyTime, func() bool { return t.put("e5") != 0 }); err != nil {
		return err
	}
	var update *protocol.WatchResponse
	if err := t.await("the watch tells of the put", readyTime, func() bool {
		update = t.watch(present.Revision)
		return update != nil && len(update.Events) > 0
	}); err != nil {
		return err
	}
	t.say("the watch goes on from revision %d: %s is %s", present.Revision, update.Events[0].Name, update.Events[0].Value)
	return t.follow(secondJob)
}

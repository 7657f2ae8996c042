package simulation

import (
	"context"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tealpond/internal/raft"
	"tealpond/internal/state"
	"tealpond/internal/storage"
	"tealpond/internal/timing"
)

// CorruptState changes a number in the stored state of a server that isn't running, as a
// memory error might.
func (c *Cluster) CorruptState(name string) {
	// The daemon that was killed may not have released the file lock yet.
	disk, recovered, err := storage.OpenWithRetry(context.Background(), filepath.Join(c.dir, name), func(error) {})
	if err != nil {
		c.T.Fatal(err)
	}
	store, err := state.DecodeSnapshot(recovered.Snapshot.Data, state.Limits{})
	if err == nil {
		err = store.BindSnapshotIndex(recovered.Snapshot.Index)
	}
	if err != nil {
		c.T.Fatal(err)
	}
	store.LastJobSequence += 1000000
	ctx, stop := context.WithCancel(context.Background())
	requests, done := make(chan storage.WriteRequest, 1), make(chan struct{})
	requests <- storage.WriteRequest{LocalSnapshot: &raft.Snapshot{Index: recovered.Snapshot.Index, Term: recovered.Snapshot.Term, Voters: recovered.Snapshot.Voters, Data: store.EncodeSnapshot()}}
	go func() {
		disk.Run(ctx, requests, func(_ []storage.WriteRequest, err error) {
			if err != nil {
				c.T.Errorf("write the corrupted state: %v", err)
			}
			stop()
		})
		close(done)
	}()
	<-done
}

// makeLeader makes a certain one of three servers the leader. While the leader shuts down, that
// server is the only one it can reach, and the third server is partitioned from both. So no other
// server can win the election: its votes are the leader's and its own.
func (c *Cluster) makeLeader(name string) {
	leader := c.Leader()
	for leader == "" {
		time.Sleep(50 * time.Millisecond)
		leader = c.Leader()
	}
	if leader == name {
		return
	}
	for _, other := range c.Servers() {
		if other == leader || other == name {
			continue
		}
		c.SetPartition(other, true, leader, name)
		// After this time the leader no longer counts the other server as reachable, and that
		// server's log has fallen behind.
		time.Sleep(2 * timing.ElectionTimeout)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.Terminate(leader)
		}()
		c.WaitUntil(name+" leads", 10*time.Second, func() bool { return c.leaderKnownTo(name) == name })
		c.SetPartition(other, false, leader, name)
		<-ended
		c.Start(leader)
	}
}

// TestDivergedReplicaReplacesItsState checks that a replica, follower or leader, whose state
// differs from that of the majority detects this, discards its identity, and votes again once it
// has received the state.
func TestDivergedReplicaReplacesItsState(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(map[bool]string{false: "follower", true: "leader"}[leads], func(t *testing.T) {
			var diverged, divergedLeading, rejoined atomic.Int32
			runWithFault(t, threeServers, func(c *Cluster) {
				observe := func(line string) {
					if strings.Contains(line, "event=replica.diverged") {
						diverged.Add(1)
						if strings.Contains(line, "leads=true") {
							divergedLeading.Add(1)
						}
					}
					if strings.Contains(line, "event=replica.rejoined") {
						rejoined.Add(1)
					}
				}
				c.onLog.Store(&observe)
				corrupted := ""
				for _, name := range c.Servers() {
					if name != c.Leader() {
						corrupted = name
					}
				}
				c.Kill(corrupted)
				c.CorruptState(corrupted)
				c.Start(corrupted)
				if leads {
					c.makeLeader(corrupted)
				}
			}, func(c *Cluster) {
				for i := 0; i < 200 && rejoined.Load() == 0; i++ {
					c.SubmitJob(jobID(1000+i), newJob(50, 100, 1))
				}
				c.WaitUntil("the diverged replica votes again with the state of the majority", 30*time.Second, func() bool { return rejoined.Load() > 0 })
				// By now it must vote again; otherwise the loss of another server leaves no majority.
				time.Sleep(6 * time.Second)
				c.Restart(2*time.Second, c.Leader())
			})
			if diverged.Load() != 1 || rejoined.Load() != 1 {
				t.Errorf("%d replicas detected a divergence, %d rejoined; want 1 of each", diverged.Load(), rejoined.Load())
			}
			if leads && divergedLeading.Load() != 1 {
				t.Error("the replica that diverged was not the leader")
			}
		})
	}
}

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
)

// CorruptState changes a number in the saved state of a core daemon that isn't
// running, as a fault in its memory might.
func (c *Cluster) CorruptState(name string) {
	// Awaited: the daemon that was killed may not have let go of it yet.
	d, held, _, err := storage.OpenWithRetry(context.Background(), filepath.Join(c.dir, name), func(error) {})
	if err != nil {
		c.T.Fatal(err)
	}
	s, err := state.DecodeSnapshot(held.Snapshot.Data, state.Limits{})
	if err == nil {
		err = s.BindSnapshotIndex(held.Snapshot.Index)
	}
	if err != nil {
		c.T.Fatal(err)
	}
	s.LastJobSequence += 1000000
	ctx, stop := context.WithCancel(context.Background())
	in, done := make(chan storage.WriteRequest, 1), make(chan struct{})
	in <- storage.WriteRequest{LocalSnapshot: &raft.Snapshot{Index: held.Snapshot.Index, Term: held.Snapshot.Term, Voters: held.Snapshot.Voters, Data: s.EncodeSnapshot()}}
	go func() {
		d.Run(ctx, in, func(_ []storage.WriteRequest, err error) {
			if err != nil {
				c.T.Errorf("the state was not corrupted: %v", err)
			}
			stop()
		})
		close(done)
	}()
	<-done
}

// TestDivergedReplicaReplacesItsState: a replica whose state differs from that of the majority
// notices, gives its identity up, and votes again once it has the state anew;
// the same for the one that leads.
func TestDivergedReplicaReplacesItsState(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(map[bool]string{false: "follower", true: "leader"}[leads], func(t *testing.T) {
			var differs, anew atomic.Int32
			runWithFault(t, threeServers, func(c *Cluster) {
				note := func(line string) {
					if strings.Contains(line, "event=replica.diverged") {
						differs.Add(1)
					}
					if strings.Contains(line, "event=replica.rejoined") {
						anew.Add(1)
					}
				}
				c.onLog.Store(&note)
				bad := ""
				for _, n := range c.nodeNames("edge")[:3] {
					if n != c.Leader() {
						bad = n
					}
				}
				c.Kill(bad)
				c.CorruptState(bad)
				c.Start(bad, 1)
				if leads {
					c.WaitUntil("the corrupted one leads", 20*time.Second, func() bool {
						l := c.Leader()
						if l != "" && l != bad {
							c.Terminate(l)
							c.Start(l, 1)
						}
						return l == bad || differs.Load() > 0
					})
				}
			}, func(c *Cluster) {
				for i := 0; i < 200 && anew.Load() == 0; i++ {
					c.SubmitJob(jobID(1000+i), newJob(50, 100, 1))
				}
				c.WaitUntil("it took its state anew", 30*time.Second, func() bool { return anew.Load() > 0 })
				// It must count again by now, or the loss of another ends all.
				time.Sleep(6 * time.Second)
				o := c.Leader()
				c.Kill(o)
				time.Sleep(2 * time.Second)
				c.Start(o, 1)
			})
			if differs.Load() != 1 || anew.Load() != 1 {
				t.Errorf("%d replicas found that they differ, %d began anew", differs.Load(), anew.Load())
			}
		})
	}
}

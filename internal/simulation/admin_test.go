package simulation

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/admin"
	"tealpond/internal/transport"
)

func (c *Cluster) adminContext() context.Context {
	return transport.WithNetwork(context.Background(), c.Network.Host(c.hostIP(252)))
}

func TestTraceFollowsAJobThroughAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		c.SubmitJob(jobID(0), newJob(300, 500, 2))
		c.WaitUntil("done", 5*time.Second, func() bool { return c.JobState("edge-4", jobID(0)) == "done" })
		time.Sleep(time.Second)
		// A diskless daemon is asked: it knows the core and, by it, all.
		p, err := admin.TraceChange(c.adminContext(), []string{c.NodeIP("edge-4") + ":7720"}, jobID(0))
		if err != nil {
			t.Fatal(err)
		}
		who := map[string]map[string]bool{}
		for _, s := range p.Steps {
			if who[s.Action] == nil {
				who[s.Action] = map[string]bool{}
			}
			who[s.Action][s.Node] = true
		}
		for what, n := range map[string]int{"taken": 1, "ordered": 1, "settled": 1, "answered": 1, "start ordered": 1, "start received": 1,
			"start answered": 1, "end listed": 1, "end acknowledged": 1, "end applied": 3, "over": 3} {
			if len(who[what]) < n {
				t.Errorf("%q was noted by %d daemons, want %d", what, len(who[what]), n)
			}
		}
		if len(p.Unreachable) > 0 {
			t.Errorf("silent: %v", p.Unreachable)
		}
		p, err = admin.TraceChange(c.adminContext(), []string{c.NodeIP("edge-1") + ":7720"}, "desired/1")
		if err != nil || len(p.Steps) < 4 {
			t.Errorf("desired/1: %d steps, %v", len(p.Steps), err)
		}
		p, err = admin.TraceChange(c.adminContext(), []string{c.NodeIP("edge-1") + ":7720"}, "ffffffffffffffff")
		if err != nil || len(p.Steps) != 0 {
			t.Errorf("an unknown id: %d steps, %v", len(p.Steps), err)
		}
		c.Kill("side-1")
		p, err = admin.TraceChange(c.adminContext(), []string{c.NodeIP("edge-1") + ":7720"}, jobID(0))
		if err != nil || len(p.Unreachable) != 1 || p.Unreachable[0] != "side-1" {
			t.Errorf("a lost daemon isn't named: %v, %v", p.Unreachable, err)
		}
		c.Start("side-1", 1)
		if _, err = admin.TraceChange(c.adminContext(), []string{"10.9.9.9:7720"}, jobID(0)); !errors.Is(err, admin.ErrUnreachable) {
			t.Errorf("nobody there: %v", err)
		}
	})
}

func TestTablesAreReadFromAFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		c.SubmitJob(jobID(0), newJob(10000, 500, 2))
		time.Sleep(2 * time.Second)
		f, err := admin.FetchState(c.adminContext(), []string{c.NodeIP("edge-1") + ":7720"})
		if err != nil || f.IsLeader {
			t.Fatalf("leads %v, %v", f.IsLeader, err)
		}
		n := map[string]int{}
		for _, x := range f.Tables {
			n[x.Name] = len(x.Rows)
		}
		if n["workers"] != 3 || n["jobs"] != 1 || n["allocs"] != 2 || n["bookings"] != 2 || n["inboxes"] != 1 {
			t.Errorf("rows: %v", n)
		}
	})
}

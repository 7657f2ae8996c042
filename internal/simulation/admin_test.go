package simulation

import (
	"context"
	"errors"
	"testing"
	"time"

	"tealpond/internal/admin"
	"tealpond/internal/transport"
)

// adminContext returns the context of a command-line tool on a separate host.
func (c *Cluster) adminContext() context.Context {
	return transport.WithNetwork(context.Background(), c.Network.Host(c.hostIP(adminHost)))
}

// trace collects the trace of a job or a configuration, starting at a node.
func (c *Cluster) trace(node, id string) (admin.ChangeTrace, error) {
	return admin.TraceChange(c.adminContext(), []string{c.nodeAddress(node, daemonPort)}, id)
}

func TestTraceFollowsAJobThroughAllDaemons(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		c.SubmitJob(jobID(0), newJob(300, 500, 2))
		c.waitJobDone(jobID(0), 5*time.Second)
		time.Sleep(time.Second)
		// The trace starts at a node without a disk, which knows the servers and through them all
		// nodes.
		trace, err := c.trace(disklessEdge, jobID(0))
		if err != nil {
			t.Fatal(err)
		}
		nodes := map[string]map[string]bool{} // by action
		for _, step := range trace.Steps {
			if nodes[step.Action] == nil {
				nodes[step.Action] = map[string]bool{}
			}
			nodes[step.Action][step.Node] = true
		}
		for action, want := range map[string]int{"taken": 1, "ordered": 1, "settled": 1, "answered": 1, "start ordered": 1, "start received": 1,
			"start answered": 1, "end listed": 1, "end acknowledged": 1, "end applied": 3, "over": 3} {
			if len(nodes[action]) < want {
				t.Errorf("action %q was traced on %d nodes, want at least %d", action, len(nodes[action]), want)
			}
		}
		if len(trace.Unreachable) > 0 {
			t.Errorf("unreachable nodes: %v, want none", trace.Unreachable)
		}
		trace, err = c.trace("edge-1", "desired/1")
		if err != nil || len(trace.Steps) < 4 {
			t.Errorf("trace of desired/1: %d steps, %v; want at least 4 steps", len(trace.Steps), err)
		}
		trace, err = c.trace("edge-1", "ffffffffffffffff")
		if err != nil || len(trace.Steps) != 0 {
			t.Errorf("trace of an unknown ID: %d steps, %v; want none", len(trace.Steps), err)
		}
		c.Kill("side-1")
		trace, err = c.trace("edge-1", jobID(0))
		if err != nil || len(trace.Unreachable) != 1 || trace.Unreachable[0] != "side-1" {
			t.Errorf("unreachable nodes: %v, %v; want side-1", trace.Unreachable, err)
		}
		c.Start("side-1")
		if _, err = admin.TraceChange(c.adminContext(), []string{address("10.9.9.9", daemonPort)}, jobID(0)); !errors.Is(err, admin.ErrUnreachable) {
			t.Errorf("trace through an unreachable node: %v, want ErrUnreachable", err)
		}
	})
}

func TestTablesAreReadFromAFollower(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		c.SubmitJob(jobID(0), newJob(10000, 500, 2))
		time.Sleep(2 * time.Second)
		cluster, err := admin.FetchState(c.adminContext(), []string{c.nodeAddress("edge-1", daemonPort)})
		if err != nil || cluster.IsLeader {
			t.Fatalf("read from the leader: %v, error %v; want a follower's tables", cluster.IsLeader, err)
		}
		rows := map[string]int{}
		for _, table := range cluster.Tables {
			rows[table.Name] = len(table.Rows)
		}
		for table, want := range map[string]int{"workers": 3, "jobs": 1, "allocs": 2, "bookings": 2, "inboxes": 1} {
			if rows[table] != want {
				t.Errorf("%d rows in table %s, want %d", rows[table], table, want)
			}
		}
	})
}

package simulation

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// Clusters that many tests use. With five servers, the leader and an aggregator may be
// lost at the same time.
var (
	threeServers = ClusterSpec{Servers: 3, Edges: 1, Agents: 3}
	fiveServers  = ClusterSpec{Servers: 5, Edges: 1, Agents: 6}
)

// disklessEdge is the node without a disk that serves clients in clusters of three servers.
const disklessEdge = "edge-4"

// newJob returns a job of one step. Each of its tasks runs for ms milliseconds and uses cpu
// thousandths of a core.
func newJob(ms, cpu, tasks int) protocol.Job {
	return newJobOf(ms, cpu, protocol.Step{TaskCount: tasks, CPUUnits: int64(cpu), MemoryMB: 10, EstimateMs: int64(ms)})
}

// newJobOf returns a job of several steps. Each of its tasks runs for ms milliseconds and uses
// cpu thousandths of a core.
func newJobOf(ms, cpu int, steps ...protocol.Step) protocol.Job {
	return protocol.Job{Spec: fmt.Sprintf("ms=%d cpu=%d", ms, cpu), Steps: steps}
}

func jobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// withCluster runs a test on a ready cluster, in its own synctest bubble.
func withCluster(t *testing.T, spec ClusterSpec, test func(t *testing.T, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, spec)
		defer c.Shutdown()
		c.WaitReady()
		test(t, c)
	})
}

// waitJobDone waits until disklessEdge reports that a job is done.
func (c *Cluster) waitJobDone(id string, timeout time.Duration) {
	c.T.Helper()
	c.WaitUntil("job "+id+" is done", timeout, func() bool { return c.JobState(disklessEdge, id) == jobDone })
}

// nodesExcept returns all nodes of a role, or all nodes, except some.
func (c *Cluster) nodesExcept(role string, except ...string) []string {
	return without(c.nodeNames(role), except...)
}

// without returns names except some.
func without(names []string, except ...string) []string {
	var rest []string
	for _, name := range names {
		if !slices.Contains(except, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// restartWiped kills a node, empties its disk and starts it again after downtime.
func (c *Cluster) restartWiped(downtime time.Duration, name string) {
	c.Kill(name)
	c.WipeDisk(name)
	time.Sleep(downtime)
	c.Start(name)
}

// partitionFor blocks both directions between a node and others for a duration.
func (c *Cluster) partitionFor(duration time.Duration, name string, others ...string) {
	c.SetPartition(name, true, others...)
	time.Sleep(duration)
	c.SetPartition(name, false, others...)
}

// changeRunners changes the named runners, or all if none is named, and reverts the change after
// a duration. It calls set with true to make the change, and with false to revert it.
func (c *Cluster) changeRunners(duration time.Duration, set func(r *Runner, on bool), names ...string) {
	if len(names) == 0 {
		names = c.nodeNames(agentRole)
	}
	for _, on := range []bool{true, false} {
		for _, name := range names {
			runner := c.Runners[name]
			runner.update(func() { set(runner, on) })
		}
		if on {
			time.Sleep(duration)
		}
	}
}

// applyRequestsLate is a change for changeRunners: runners apply a fraction of the requests late.
func applyRequestsLate(fraction float64) func(r *Runner, on bool) {
	return func(r *Runner, on bool) {
		r.DelayedFraction = 0
		if on {
			r.DelayedFraction = fraction
		}
	}
}

// requireNoViolations runs all checkers on the history.
func (c *Cluster) requireNoViolations() {
	c.T.Helper()
	for _, violation := range c.History.Violations() {
		c.T.Error(violation)
	}
}

// runWithFault runs jobs in a cluster, injects a fault while they are submitted, and then calls
// after, if it is not nil. All jobs must end, and all checkers must pass.
func runWithFault(t *testing.T, spec ClusterSpec, fault func(c *Cluster), after func(c *Cluster)) {
	t.Helper()
	withCluster(t, spec, func(t *testing.T, c *Cluster) {
		done := make(chan struct{})
		const jobs = 24
		go func() {
			defer close(done)
			for i := range jobs {
				job := newJobOf(300, 500, protocol.Step{TaskCount: 3, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300},
					protocol.Step{TaskCount: 2, CPUUnits: 500, MemoryMB: 10, EstimateMs: 300, DependsOn: []int{0}})
				if i%5 == 4 {
					job.Spec += " fail=1"
				}
				c.SubmitJob(jobID(i), job)
				time.Sleep(200 * time.Millisecond)
			}
		}()
		time.Sleep(2 * time.Second)
		fault(c)
		<-done
		if after != nil {
			after(c)
		}
		edges := c.nodeNames(edgeRole)
		last := edges[len(edges)-1]
		for i := range jobs {
			c.WaitUntil("job "+jobID(i)+" has ended", 60*time.Second, func() bool {
				state := c.JobState(last, jobID(i))
				return state == jobDone || state == jobCanceled || state == jobFailed
			})
			if state := c.JobState(last, jobID(i)); state == jobFailed {
				t.Errorf("job %s failed, want done or canceled", jobID(i))
			}
		}
		c.requireNoViolations()
	})
}

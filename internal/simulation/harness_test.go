package simulation

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// Clusters that many tests use. With five servers a leader and an aggregator may be
// lost together.
var (
	threeServers = ClusterSpec{Servers: 3, Edges: 1, Agents: 3}
	fiveServers  = ClusterSpec{Servers: 5, Edges: 1, Agents: 6}
)

// disklessEdge is the node of clusters with three servers that serves clients without a
// disk.
const disklessEdge = "edge-4"

// newJob makes a job of one step, with tasks that take so many ms and thousandths of a
// core each.
func newJob(ms, cpu, tasks int) protocol.Job {
	return newJobOf(ms, cpu, protocol.Step{TaskCount: tasks, CPUUnits: int64(cpu), MemoryMB: 10, EstimateMs: int64(ms)})
}

// newJobOf makes a job of steps, with tasks that take so many ms and thousandths of a
// core each.
func newJobOf(ms, cpu int, steps ...protocol.Step) protocol.Job {
	return protocol.Job{Spec: fmt.Sprintf("ms=%d cpu=%d", ms, cpu), Steps: steps}
}

func jobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// withCluster runs a test on a cluster that is ready, in a bubble of its own.
func withCluster(t *testing.T, spec ClusterSpec, test func(t *testing.T, c *Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, spec)
		defer c.Shutdown()
		c.WaitReady()
		test(t, c)
	})
}

// waitJobDone waits until disklessEdge tells that a job is done.
func (c *Cluster) waitJobDone(id string, timeout time.Duration) {
	c.T.Helper()
	c.WaitUntil("job "+id+" is done", timeout, func() bool { return c.JobState(disklessEdge, id) == jobDone })
}

// nodesExcept returns all nodes of a role but some.
func (c *Cluster) nodesExcept(role string, except ...string) []string {
	return without(c.nodeNames(role), except...)
}

// without returns the names but some.
func without(names []string, except ...string) []string {
	var rest []string
	for _, name := range names {
		if !slices.Contains(except, name) {
			rest = append(rest, name)
		}
	}
	return rest
}

// restartWiped kills a node, empties its disk and starts it again after a while.
func (c *Cluster) restartWiped(downtime time.Duration, name string) {
	c.Kill(name)
	c.WipeDisk(name)
	time.Sleep(downtime)
	c.Start(name)
}

// partitionFor blocks both ways between a node and some others for a while.
func (c *Cluster) partitionFor(duration time.Duration, name string, others ...string) {
	c.SetPartition(name, true, others...)
	time.Sleep(duration)
	c.SetPartition(name, false, others...)
}

// changeRunners changes runners, or all if none is named, and changes them back after a
// while. What the change is says set: on at first, then off.
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

// carryOutLate is a change of runners: they carry out a part of the requests late.
func carryOutLate(fraction float64) func(r *Runner, on bool) {
	return func(r *Runner, on bool) {
		r.LateFraction = 0
		if on {
			r.LateFraction = fraction
		}
	}
}

// requireNoViolations runs all checkers on what was seen.
func (c *Cluster) requireNoViolations() {
	c.T.Helper()
	for _, violation := range c.History.Violations() {
		c.T.Error(violation)
	}
}

// runWithFault runs jobs through a cluster with a fault in the middle, and then what is
// in after, if anything. All jobs must end, and all checkers must pass.
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
				t.Errorf("%s failed without a cause", jobID(i))
			}
		}
		c.requireNoViolations()
	})
}

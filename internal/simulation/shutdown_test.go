package simulation

import (
	"sync"
	"testing"
	"time"
)

// outage is the time between the termination of a daemon and its next start.
type outage struct{ stoppedAt, startedAt time.Time }

// terminateAndRestart terminates a daemon, starts it again after a downtime, and
// returns its outage.
func (c *Cluster) terminateAndRestart(downtime time.Duration, name string) outage {
	c.Terminate(name)
	down := outage{stoppedAt: time.Now()}
	time.Sleep(downtime)
	down.startedAt = time.Now()
	c.Start(name)
	return down
}

// TestConcurrentShutdownsAreSerialized: two of three servers get the signal to terminate
// at the same time. They are down one after the other, so that a majority is always
// running, and both terminate within 3 s.
func TestConcurrentShutdownsAreSerialized(t *testing.T) {
	const downtime = 500 * time.Millisecond
	for name, choose := range map[string]func(c *Cluster) [2]string{
		"two followers": func(c *Cluster) [2]string {
			followers := without(c.Servers(), c.Leader())
			return [2]string{followers[0], followers[1]}
		},
		"the leader and a follower": func(c *Cluster) [2]string {
			return [2]string{c.Leader(), without(c.Servers(), c.Leader())[0]}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFault(t, threeServers, func(c *Cluster) {
				askedAt := time.Now()
				var outages [2]outage
				var both sync.WaitGroup
				for i, server := range choose(c) {
					both.Go(func() { outages[i] = c.terminateAndRestart(downtime, server) })
				}
				both.Wait()
				first, second := outages[0], outages[1]
				if second.stoppedAt.Before(first.stoppedAt) {
					first, second = second, first
				}
				if second.stoppedAt.Before(first.startedAt) {
					t.Errorf("both servers were down: one from %v to %v, the other from %v", first.stoppedAt.Sub(askedAt), first.startedAt.Sub(askedAt), second.stoppedAt.Sub(askedAt))
				}
				if took := second.stoppedAt.Sub(askedAt); took > 3*time.Second {
					t.Errorf("termination took %v, want at most 3 s", took)
				}
			}, nil)
		})
	}
}

// TestRollingRestartWithTheLeaderLast: each server is terminated as soon as the
// previous one was started, the leader last. All jobs are done, and there is a leader
// within 2 s afterwards.
func TestRollingRestartWithTheLeaderLast(t *testing.T) {
	runWithFault(t, fiveServers, func(c *Cluster) {
		leader := c.Leader()
		for _, server := range append(without(c.Servers(), leader), leader) {
			c.terminateAndRestart(300*time.Millisecond, server)
		}
		c.WaitUntil("there is a leader", 2*time.Second, func() bool { return c.Leader() != "" })
	}, nil)
}

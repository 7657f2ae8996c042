package simulation

import (
	"sync"
	"testing"
	"time"
)

// endedTime is when a daemon was away, from its end to its next start.
type endedTime struct{ ended, started time.Time }

// terminateFor asks a daemon to end, starts it again a while after it has, and gives when
// it was away.
func (c *Cluster) terminateFor(downtime time.Duration, name string) endedTime {
	c.Terminate(name)
	away := endedTime{ended: time.Now()}
	time.Sleep(downtime)
	away.started = time.Now()
	c.Start(name)
	return away
}

// TestTwoThatEndAtOnceWaitForEachOther: of three servers two are asked to end at the same
// moment. They are away one after the other, so that a majority is there all the while,
// and each has ended within the time that it has.
func TestTwoThatEndAtOnceWaitForEachOther(t *testing.T) {
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
				var away [2]endedTime
				var both sync.WaitGroup
				for i, server := range choose(c) {
					both.Go(func() { away[i] = c.terminateFor(downtime, server) })
				}
				both.Wait()
				first, second := away[0], away[1]
				if second.ended.Before(first.ended) {
					first, second = second, first
				}
				if second.ended.Before(first.started) {
					t.Errorf("both are away: one from %v to %v, the other from %v", first.ended.Sub(askedAt), first.started.Sub(askedAt), second.ended.Sub(askedAt))
				}
				if took := second.ended.Sub(askedAt); took > 3*time.Second {
					t.Errorf("ending took %v", took)
				}
			}, nil)
		})
	}
}

// TestRollingRestartWithTheLeaderLast: each server is asked to end as soon as the one
// before it was started, the leader at last; all jobs are done, and configurations are
// accepted right after.
func TestRollingRestartWithTheLeaderLast(t *testing.T) {
	runWithFault(t, fiveServers, func(c *Cluster) {
		leader := c.Leader()
		for _, server := range append(without(c.Servers(), leader), leader) {
			c.terminateFor(300*time.Millisecond, server)
		}
		c.WaitUntil("there is a leader", 2*time.Second, func() bool { return c.Leader() != "" })
	}, nil)
}

package main

import (
	"fmt"
	"sync"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/standin"
)

const (
	// waitingAgents is the number of runners, of which one is lost: a share of 0.1.
	waitingAgents = 10
	waitingJobs   = 6
	// visibleAfter is visible_ms + 2 s.
	visibleAfter = 5 * time.Second
	waitingReads = 6
)

// playWaiting hands in jobs that only one runner may run, just after that runner is lost for good, and asks how
// many jobs wait.
func playWaiting(c *casePlay) (bool, error) {
	var mu sync.Mutex
	begun := map[string]bool{}
	f, err := c.startFleet(waitingAgents, func(event standin.WorkerEvent) {
		if event.Kind == standin.WorkerRunStarted {
			mu.Lock()
			defer mu.Unlock()
			begun[event.Task] = true
			c.printf("%s: began %s", event.Node, event.Task)
		}
	})
	if err != nil {
		return false, err
	}
	// One job shows that the runner is in use.
	job := protocol.Job{Spec: "ms=300", Steps: []protocol.Step{{TaskCount: 1, CPUUnits: 500, MemoryMB: 256, EstimateMs: 300, RequiredLabels: []string{labelOfOne}}}}
	if err := f.submit("5c0e7a21d94b36f0", job); err != nil {
		return false, err
	}
	if err := c.await("the first job", 20*time.Second, func() bool { return f.state("5c0e7a21d94b36f0") == "done" }); err != nil {
		return false, err
	}
	if c.trouble {
		f.crashes[0]()
		c.printf("the only runner of kind %q is lost for good", labelOfOne)
	}
	for i := range waitingJobs {
		if err := f.submit(fmt.Sprintf("5c0e7a21d94b36f%d", i+1), job); err != nil {
			return false, err
		}
	}
	c.pause(visibleAfter)
	broken := false
	for range waitingReads {
		notBegun := waitingJobs
		mu.Lock()
		for i := range waitingJobs {
			if begun[fmt.Sprintf("5c0e7a21d94b36f%d.0.0.0", i+1)] {
				notBegun--
			}
		}
		mu.Unlock()
		count, ok := f.waitingCount()
		c.printf("waitingCount %d (answered: %v), accepted over 5 s before and not begun: %d", count, ok, notBegun)
		broken = broken || ok && 2*count < notBegun
		c.pause(200 * time.Millisecond)
	}
	if c.trouble {
		return broken, nil
	}
	return broken, c.await("all jobs", 30*time.Second, func() bool {
		for i := range waitingJobs {
			if f.state(fmt.Sprintf("5c0e7a21d94b36f%d", i+1)) != "done" {
				return false
			}
		}
		return true
	})
}

package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// SignOff has a runner sign off, by calls to its agent until one is acknowledged. It
// returns the incarnation that leaves.
func (c *Cluster) SignOff(name string) string {
	c.T.Helper()
	incarnation, _ := c.Runners[name].heartbeat()
	c.WaitUntil("the sign-off of "+name+" is acknowledged", 3*time.Second, func() bool {
		code, _, _ := c.request(http.MethodPost, c.nodeURL(name, controlPort, "/-/Runners.SignOff/")+incarnation, "", "", nil)
		return code == http.StatusOK
	})
	return incarnation
}

// seen returns the events of a kind of an incarnation, after a moment.
func (h *History) seen(kind EventKind, incarnation string, after time.Time) (seen []Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range h.Events {
		if event.Kind == kind && event.Incarnation == incarnation && event.At.After(after) {
			seen = append(seen, event)
		}
	}
	return seen
}

// TestRunnerSignsOffWithoutDraining: it goes on serving for as long as one that drains,
// and its heartbeats say `ready` all the while. Runs that can end in that time are left
// to end, others are stopped before the runner leaves, and nothing is started there,
// also if its agent was restarted meanwhile.
func TestRunnerSignsOffWithoutDraining(t *testing.T) {
	for _, restart := range []bool{false, true} {
		for ms, outcome := range map[int]string{1000: runDone, 6000: runStopped} {
			t.Run(fmt.Sprintf("%s/agent restarted %v", outcome, restart), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testSignOff(t, ms, outcome, restart) })
			})
		}
	}
}

// testSignOff has a runner that is full of tasks of so many ms sign off and leave. Its
// runs must end with an outcome.
func testSignOff(t *testing.T, ms int, outcome string, restart bool) {
	t.Helper()
	c := NewCluster(t, threeServers)
	defer c.Shutdown()
	c.WaitReady()
	// The tasks fill all three runners.
	c.SubmitJob(jobID(0), newJob(ms, 2000, 12))
	time.Sleep(500 * time.Millisecond)
	signedOffAt := time.Now()
	incarnation := c.SignOff("side-1")
	c.SubmitJob(jobID(1), newJob(300, 1000, 6))
	if restart {
		c.Restart(200*time.Millisecond, "side-1")
	}
	time.Sleep(drainTime - time.Since(signedOffAt))
	ended := c.History.seen(EventRunEnded, incarnation, signedOffAt)
	if len(ended) != 4 {
		t.Errorf("%d runs ended before the runner left, want 4", len(ended))
	}
	for _, event := range ended {
		if after := event.At.Sub(signedOffAt); event.Outcome != outcome || outcome == runStopped && after < drainTime/2 {
			t.Errorf("%s ended %s %v after the sign-off, want %s", event.Task, event.Outcome, after, outcome)
		}
	}
	for _, event := range c.History.seen(EventRunStarted, incarnation, signedOffAt.Add(50*time.Millisecond)) {
		t.Errorf("%s starts on a runner that signed off", event.Task)
	}
	c.Runners["side-1"].Crash()
	for i := range 2 {
		c.waitJobDone(jobID(i), 30*time.Second)
	}
	c.requireNoViolations()
}

package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// SignOff sends the sign-off of a runner to its agent until it is acknowledged. It
// returns the incarnation that signed off.
func (c *Cluster) SignOff(name string) string {
	c.T.Helper()
	incarnation, _ := c.Runners[name].heartbeat()
	c.WaitUntil("the sign-off of "+name+" is acknowledged", 3*time.Second, func() bool {
		code, _, _ := c.request(http.MethodPost, c.nodeURL(name, controlPort, "/-/Runners.SignOff/")+incarnation, "", "", nil)
		return code == http.StatusOK
	})
	return incarnation
}

// eventsOf returns the events of one kind of an incarnation after a time.
func (h *History) eventsOf(kind EventKind, incarnation string, after time.Time) (events []Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range h.Events {
		if event.Kind == kind && event.Incarnation == incarnation && event.At.After(after) {
			events = append(events, event)
		}
	}
	return events
}

// TestRunnerSignsOffWithoutDraining: a runner that signs off serves as long as a
// draining one while its heartbeats still say `ready`. Runs that can end within that
// time are left to end, and others are stopped before the runner terminates. No run
// starts there after the sign-off, even if the agent was restarted in between.
func TestRunnerSignsOffWithoutDraining(t *testing.T) {
	for _, restart := range []bool{false, true} {
		for ms, outcome := range map[int]string{1000: runDone, 6000: runStopped} {
			t.Run(fmt.Sprintf("%s/agent restarted %v", outcome, restart), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testSignOff(t, ms, outcome, restart) })
			})
		}
	}
}

// testSignOff fills the runners with tasks of a duration in ms, has one of them sign
// off and terminate, and requires that its runs end with the given outcome.
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
	time.Sleep(drainDuration - time.Since(signedOffAt))
	ended := c.History.eventsOf(EventRunEnded, incarnation, signedOffAt)
	if len(ended) != 4 {
		t.Errorf("%d runs ended before the runner terminated, want 4", len(ended))
	}
	for _, event := range ended {
		if after := event.At.Sub(signedOffAt); event.Outcome != outcome || outcome == runStopped && after < drainDuration/2 {
			t.Errorf("%s ended with %s %v after the sign-off, want %s", event.Task, event.Outcome, after, outcome)
		}
	}
	for _, event := range c.History.eventsOf(EventRunStarted, incarnation, signedOffAt.Add(50*time.Millisecond)) {
		t.Errorf("%s started on a runner that had signed off", event.Task)
	}
	c.Runners["side-1"].Crash()
	for i := range 2 {
		c.waitJobDone(jobID(i), 30*time.Second)
	}
	c.requireNoViolations()
}

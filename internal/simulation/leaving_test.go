package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// drainTime is how long a runner serves on after its sign-off.
const drainTime = 2500 * time.Millisecond

// SignOff has a runner sign off, by calls to its own machine until one is
// acknowledged; it gives the life that leaves.
func (c *Cluster) SignOff(name string) string {
	c.T.Helper()
	life, _ := c.Runners[name].heartbeat()
	c.WaitUntil("the sign-off of "+name+" is acknowledged", 3*time.Second, func() bool {
		code, _, _ := c.request(http.MethodPost, "http://"+c.NodeIP(name)+":8166/-/Runners.SignOff/"+life, "", "", nil)
		return code == 200
	})
	return life
}

// seen gives the facts of a kind about a life, after a moment.
func (h *History) seen(kind, life string, after time.Time) (out []Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.Events {
		if f.Kind == kind && f.Incarnation == life && f.At.After(after) {
			out = append(out, f)
		}
	}
	return out
}

// TestRunnerSignsOffWithoutDraining: it serves on for as long as one that drains
// and says `ready` all the while. What can end in that time is left to end, what
// can't is stopped before the runner ends, and nothing is started there, also
// when its side daemon was started anew in between.
func TestRunnerSignsOffWithoutDraining(t *testing.T) {
	for _, bounce := range []bool{false, true} {
		for ms, how := range map[int]string{1000: "done", 6000: "stopped"} {
			t.Run(fmt.Sprintf("%s/started anew %v", how, bounce), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { signsOff(t, ms, how, bounce) })
			})
		}
	}
}

// signsOff has a runner that is full of tasks of so many ms sign off and end.
func signsOff(t *testing.T, ms int, how string, bounce bool) {
	t.Helper()
	c := NewCluster(t, threeServers)
	defer c.Shutdown()
	c.WaitReady()
	// They fill the room of all three runners.
	c.SubmitJob(jobID(0), newJob(ms, 2000, 12))
	time.Sleep(500 * time.Millisecond)
	signed := time.Now()
	life := c.SignOff("side-1")
	c.SubmitJob(jobID(1), newJob(300, 1000, 6))
	if bounce {
		c.Kill("side-1")
		time.Sleep(200 * time.Millisecond)
		c.Start("side-1", 1)
	}
	time.Sleep(drainTime - time.Since(signed))
	ends := c.History.seen("end", life, signed)
	if len(ends) != 4 {
		t.Errorf("%d runs ended before the runner did, want 4", len(ends))
	}
	for _, f := range ends {
		if after := f.At.Sub(signed); f.Outcome != how || how == "stopped" && after < drainTime/2 {
			t.Errorf("%s ended %s %v after the sign-off, want %s", f.Task, f.Outcome, after, how)
		}
	}
	for _, f := range c.History.seen("start", life, signed.Add(50*time.Millisecond)) {
		t.Errorf("%s is started on a runner that signed off", f.Task)
	}
	c.Runners["side-1"].Crash()
	for i := range 2 {
		c.WaitUntil("job "+jobID(i)+" is done", 30*time.Second, func() bool { return c.JobState("edge-4", jobID(i)) == "done" })
	}
	for _, b := range c.History.Violations() {
		t.Error(b)
	}
}

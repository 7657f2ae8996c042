package simulation

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// handInOnce sends a job to one daemon, once.
func (c *Cluster) handInOnce(at, inbox, id string, j protocol.Job) int {
	code, _ := c.clientRequest(at, CallSubmit, http.MethodPost, inbox+id, j)
	return code
}

// starts counts the starts of a job's tasks.
func (h *History) starts(id string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.Events {
		if job, _, _ := splitTaskID(f.Task); f.Kind == "start" && job == id {
			n++
		}
	}
	return n
}

// TestJobHandedInAgainIsOneJob: the same ID comes again at every daemon, at once
// and seconds after its 2xx: while it waits, runs, is done or called off, and
// under another leader. It is acknowledged each time and starts nothing anew.
func TestJobHandedInAgainIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		work := newJob(4000, 500, 2)
		again := func(when, id string) {
			t.Helper()
			for _, at := range c.nodeNames("edge") {
				if code := c.handInOnce(at, "/p/", id, work); code != 200 {
					t.Errorf("%s: sent again to %s, it gets %d", when, at, code)
				}
			}
		}
		if !c.SubmitJob(jobID(0), work) || !c.SubmitJob(jobID(1), work) {
			t.Fatal("the jobs were not taken")
		}
		again("at once", jobID(0))
		time.Sleep(2 * time.Second)
		again("running", jobID(0))
		if code := c.CancelJob("edge-4", jobID(1)); code != 200 {
			t.Fatalf("the cancel gets %d", code)
		}
		again("called off", jobID(1))
		c.WaitUntil("the job is done", 10*time.Second, func() bool { return c.JobState("edge-4", jobID(0)) == "done" })
		again("done", jobID(0))
		time.Sleep(5 * time.Second)
		again("done for seconds", jobID(0))
		again("called off for seconds", jobID(1))
		l := c.Leader()
		c.Kill(l)
		time.Sleep(3 * time.Second)
		c.Start(l, 1)
		time.Sleep(3 * time.Second)
		again("under another leader", jobID(0))
		time.Sleep(5 * time.Second)
		for i, want := range []string{"done", "called_off"} {
			if got := c.JobState("edge-4", jobID(i)); got != want {
				t.Errorf("job %d is %s, want %s", i, got, want)
			}
			if n := c.History.starts(jobID(i)); n != 2 {
				t.Errorf("job %d: %d starts of 2 tasks", i, n)
			}
		}
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
	})
}

// TestJobHandedInAgainWhileOthersAreTurnedAwayIsAcknowledged: more work waits
// than is let in, and a 429 would say that the job was not taken.
func TestJobHandedInAgainWhileOthersAreTurnedAwayIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		work := newJob(10000, 1000, 60)
		work.Steps[0].EstimateMs = 60000
		if !c.SubmitJob(jobID(0), work) {
			t.Fatal("the job was not taken")
		}
		time.Sleep(2 * time.Second)
		for _, at := range c.nodeNames("edge") {
			if code := c.handInOnce(at, "/p/", jobID(1), work); code != 429 {
				t.Errorf("a new job gets %d at %s", code, at)
			}
			if code := c.handInOnce(at, "/p/", jobID(0), work); code != 200 {
				t.Errorf("sent again to %s, it gets %d", at, code)
			}
		}
		if n := c.History.starts(jobID(1)); n != 0 {
			t.Errorf("%d starts of a job that was turned away", n)
		}
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
	})
}

// TestJobHandedInAgainAfterItsRouteWentIsAnsweredClearly: the queue doesn't
// exist any more, and the pages name 404 for that (a success there would be what
// only the older version allows). The job that was accepted runs to its end.
func TestJobHandedInAgainAfterItsRouteWentIsAnsweredClearly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		c.WaitUntil("the route is added", 5*time.Second, func() bool { return c.PutConfiguration("edge-1", 2, 1, routeJSON("gone")) == 200 })
		work := newJob(3000, 500, 2)
		if !c.SubmitJobUnder("/gone/", jobID(0), work) {
			t.Fatal("the job was not taken")
		}
		c.WaitUntil("the route is removed", 5*time.Second, func() bool { return c.PutConfiguration("edge-1", 3, 2, "") == 200 })
		time.Sleep(configurationBound)
		for _, at := range c.nodeNames("edge") {
			from := time.Now()
			if code := c.handInOnce(at, "/gone/", jobID(0), work); code != 404 || time.Since(from) > time.Second {
				t.Errorf("%s answers %d after %v", at, code, time.Since(from))
			}
		}
		time.Sleep(5 * time.Second)
		done := 0
		for _, side := range c.nodeNames("side") {
			for _, f := range c.History.seen("end", c.Runners[side].incarnation, time.Time{}) {
				if f.Outcome == "done" {
					done++
				}
			}
		}
		if n := c.History.starts(jobID(0)); n != 2 || done != 2 {
			t.Errorf("%d starts and %d ends of 2 tasks", n, done)
		}
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
	})
}

// TestCancelsAreAcknowledgedInCalm: whatever the job is at, and at whichever
// daemon, the first call brings 2xx or 410 well within the bound; so does the
// same cancel sent again.
func TestCancelsAreAcknowledgedInCalm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, threeServers)
		defer c.Shutdown()
		c.WaitReady()
		edges := c.nodeNames("edge")
		waits := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}
		n := 0
		for _, wait := range waits {
			for i := range edges {
				// Some run, some end before they are called off, and the last wait
				// for room.
				j := jobID(n)
				n++
				if !c.SubmitJob(j, newJob(1500, 3000, 3)) {
					t.Fatalf("job %d was not taken", n)
				}
				time.Sleep(wait)
				for try := range 2 {
					from := time.Now()
					code := c.CancelJob(edges[(i+try)%len(edges)], j)
					if took := time.Since(from); code != 200 && code != 410 || took > time.Second {
						t.Errorf("%v after hand-in, try %d: the cancel gets %d after %v", wait, try, code, took)
					}
				}
			}
		}
		time.Sleep(5 * time.Second)
		for i := range n {
			if got := c.JobState(edges[i%len(edges)], jobID(i)); got != "called_off" && got != "done" {
				t.Errorf("job %d is %s", i, got)
			}
		}
		for _, b := range c.History.Violations() {
			t.Error(b)
		}
		if got := c.JobState(edges[0], jobID(n)); got != "410" {
			t.Errorf("a job that was never handed in is %s", got)
		}
	})
}

package simulation

import (
	"net/http"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// submitOnce submits a job to one node, once, and gives the status code.
func (c *Cluster) submitOnce(node, pathPrefix, id string, job protocol.Job) int {
	code, _ := c.clientRequest(node, CallSubmit, http.MethodPost, pathPrefix+id, job)
	return code
}

// starts counts the starts of a job's tasks.
func (h *History) starts(id string) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range h.Events {
		if job, _, _ := splitTaskID(event.Task); event.Kind == EventRunStarted && job == id {
			n++
		}
	}
	return n
}

// TestJobSubmittedAgainIsOneJob: the same ID comes again at every node, at once and
// seconds after its 2xx: while the job waits, runs, is done or canceled, and under
// another leader. It is acknowledged each time and starts nothing anew.
func TestJobSubmittedAgainIsOneJob(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		work := newJob(4000, 500, 2)
		again := func(when, id string) {
			t.Helper()
			for _, node := range c.nodeNames(edgeRole) {
				if code := c.submitOnce(node, defaultPathPrefix, id, work); code != http.StatusOK {
					t.Errorf("%s: submitted again to %s, it gets %d", when, node, code)
				}
			}
		}
		if !c.SubmitJob(jobID(0), work) || !c.SubmitJob(jobID(1), work) {
			t.Fatal("the jobs were not accepted")
		}
		again("at once", jobID(0))
		time.Sleep(2 * time.Second)
		again("running", jobID(0))
		if code := c.CancelJob(disklessEdge, jobID(1)); code != http.StatusOK {
			t.Fatalf("the cancel gets %d", code)
		}
		again("canceled", jobID(1))
		c.waitJobDone(jobID(0), 10*time.Second)
		again("done", jobID(0))
		time.Sleep(5 * time.Second)
		again("done for seconds", jobID(0))
		again("canceled for seconds", jobID(1))
		leader := c.Leader()
		c.Kill(leader)
		time.Sleep(3 * time.Second)
		c.Start(leader)
		time.Sleep(3 * time.Second)
		again("under another leader", jobID(0))
		time.Sleep(5 * time.Second)
		for i, want := range []string{jobDone, jobCanceled} {
			if got := c.JobState(disklessEdge, jobID(i)); got != want {
				t.Errorf("job %d is %s, want %s", i, got, want)
			}
			if n := c.History.starts(jobID(i)); n != 2 {
				t.Errorf("job %d: %d starts of 2 tasks", i, n)
			}
		}
		c.requireNoViolations()
	})
}

// TestJobSubmittedAgainWhileOthersAreRefusedIsAcknowledged: so much work
// waits that new jobs are refused, and a 429 would say that this one was not accepted.
func TestJobSubmittedAgainWhileOthersAreRefusedIsAcknowledged(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		work := newJob(10000, 1000, 60)
		work.Steps[0].EstimateMs = 60000
		if !c.SubmitJob(jobID(0), work) {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(2 * time.Second)
		for _, node := range c.nodeNames(edgeRole) {
			if code := c.submitOnce(node, defaultPathPrefix, jobID(1), work); code != http.StatusTooManyRequests {
				t.Errorf("a new job gets %d at %s", code, node)
			}
			if code := c.submitOnce(node, defaultPathPrefix, jobID(0), work); code != http.StatusOK {
				t.Errorf("submitted again to %s, it gets %d", node, code)
			}
		}
		if n := c.History.starts(jobID(1)); n != 0 {
			t.Errorf("%d starts of a job that was refused", n)
		}
		c.requireNoViolations()
	})
}

// TestJobSubmittedAgainAfterItsRouteWentIsAnsweredClearly: the route doesn't exist any
// more, and the protocol demands 404 for that (only its older version allows a success).
// The job that was accepted runs to its end.
func TestJobSubmittedAgainAfterItsRouteWentIsAnsweredClearly(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		c.WaitUntil("the route is added", 5*time.Second, func() bool { return c.PutConfiguration("edge-1", 2, 1, routeJSON("gone")) == http.StatusOK })
		work := newJob(3000, 500, 2)
		if !c.SubmitJobUnder("/gone/", jobID(0), work) {
			t.Fatal("the job was not accepted")
		}
		c.WaitUntil("the route is removed", 5*time.Second, func() bool { return c.PutConfiguration("edge-1", 3, 2, "") == http.StatusOK })
		time.Sleep(configurationBound)
		for _, node := range c.nodeNames(edgeRole) {
			from := time.Now()
			if code := c.submitOnce(node, "/gone/", jobID(0), work); code != http.StatusNotFound || time.Since(from) > time.Second {
				t.Errorf("%s answers %d after %v", node, code, time.Since(from))
			}
		}
		time.Sleep(5 * time.Second)
		done := 0
		for _, name := range c.nodeNames(agentRole) {
			for _, event := range c.History.seen(EventRunEnded, c.Runners[name].Incarnation(), time.Time{}) {
				if event.Outcome == runDone {
					done++
				}
			}
		}
		if n := c.History.starts(jobID(0)); n != 2 || done != 2 {
			t.Errorf("%d starts and %d ends of 2 tasks", n, done)
		}
		c.requireNoViolations()
	})
}

// TestCancelsAreAcknowledgedInCalm: whatever the job does, and at whichever node, the
// first cancel brings 2xx or 410 well within the bound; so does the same one sent again.
func TestCancelsAreAcknowledgedInCalm(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		edges := c.nodeNames(edgeRole)
		waits := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}
		n := 0
		for _, wait := range waits {
			for i := range edges {
				// Some run, some end before they are canceled, and the last wait for room.
				id := jobID(n)
				n++
				if !c.SubmitJob(id, newJob(1500, 3000, 3)) {
					t.Fatalf("job %d was not accepted", n)
				}
				time.Sleep(wait)
				for attempt := range 2 {
					from := time.Now()
					code := c.CancelJob(edges[(i+attempt)%len(edges)], id)
					if took := time.Since(from); code != http.StatusOK && code != http.StatusGone || took > time.Second {
						t.Errorf("%v after submission, attempt %d: the cancel gets %d after %v", wait, attempt, code, took)
					}
				}
			}
		}
		time.Sleep(5 * time.Second)
		for i := range n {
			if got := c.JobState(edges[i%len(edges)], jobID(i)); got != jobCanceled && got != jobDone {
				t.Errorf("job %d is %s", i, got)
			}
		}
		c.requireNoViolations()
		if got := c.JobState(edges[0], jobID(n)); got != jobGone {
			t.Errorf("a job that was never submitted is %s", got)
		}
	})
}

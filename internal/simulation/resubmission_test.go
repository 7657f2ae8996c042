package simulation

import (
	"net/http"
	"testing"
	"time"

	"tealpond/internal/protocol"
)

// submitOnce submits a job once to one node and returns the status code.
func (c *Cluster) submitOnce(node, pathPrefix, id string, job protocol.Job) int {
	code, _ := c.clientRequest(node, CallSubmit, http.MethodPost, pathPrefix+id, job)
	return code
}

// starts returns the number of starts of a job's tasks.
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

// TestResubmittedJobRunsOnce submits the same job ID again to every node, immediately and
// seconds after the 2xx: while the job waits, runs, is done or canceled, and under
// another leader. Each submission is acknowledged and none starts the job again.
func TestResubmittedJobRunsOnce(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		job := newJob(4000, 500, 2)
		resubmit := func(when, id string) {
			t.Helper()
			for _, node := range c.nodeNames(edgeRole) {
				if code := c.submitOnce(node, defaultPathPrefix, id, job); code != http.StatusOK {
					t.Errorf("%s: resubmission to %s gets %d, want 200", when, node, code)
				}
			}
		}
		if !c.SubmitJob(jobID(0), job) || !c.SubmitJob(jobID(1), job) {
			t.Fatal("the jobs were not accepted")
		}
		resubmit("at once", jobID(0))
		time.Sleep(2 * time.Second)
		resubmit("running", jobID(0))
		if code := c.CancelJob(disklessEdge, jobID(1)); code != http.StatusOK {
			t.Fatalf("the cancel gets %d, want 200", code)
		}
		resubmit("canceled", jobID(1))
		c.waitJobDone(jobID(0), 10*time.Second)
		resubmit("done", jobID(0))
		time.Sleep(5 * time.Second)
		resubmit("done for seconds", jobID(0))
		resubmit("canceled for seconds", jobID(1))
		leader := c.Leader()
		c.Kill(leader)
		time.Sleep(3 * time.Second)
		c.Start(leader)
		time.Sleep(3 * time.Second)
		resubmit("under another leader", jobID(0))
		time.Sleep(5 * time.Second)
		for i, want := range []string{jobDone, jobCanceled} {
			if got := c.JobState(disklessEdge, jobID(i)); got != want {
				t.Errorf("job %d is %s, want %s", i, got, want)
			}
			if n := c.History.starts(jobID(i)); n != 2 {
				t.Errorf("job %d: %d starts, want 2", i, n)
			}
		}
		c.requireNoViolations()
	})
}

// TestResubmittedJobIsAcknowledgedWhileNewJobsAreRefused checks resubmission while so much
// work is queued that new jobs are refused. A 429 would wrongly mean that the job had not been
// accepted.
func TestResubmittedJobIsAcknowledgedWhileNewJobsAreRefused(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		job := newJob(10000, 1000, 60)
		job.Steps[0].EstimateMs = 60000
		if !c.SubmitJob(jobID(0), job) {
			t.Fatal("the job was not accepted")
		}
		time.Sleep(2 * time.Second)
		for _, node := range c.nodeNames(edgeRole) {
			if code := c.submitOnce(node, defaultPathPrefix, jobID(1), job); code != http.StatusTooManyRequests {
				t.Errorf("a new job gets %d at %s, want 429", code, node)
			}
			if code := c.submitOnce(node, defaultPathPrefix, jobID(0), job); code != http.StatusOK {
				t.Errorf("resubmission to %s gets %d, want 200", node, code)
			}
		}
		if n := c.History.starts(jobID(1)); n != 0 {
			t.Errorf("%d starts of a job that was refused", n)
		}
		c.requireNoViolations()
	})
}

// TestResubmittedJobOfARemovedRouteIsNotFound resubmits a job after its route was removed. The
// protocol requires 404 for that; only its older version allows a success. The accepted job
// still runs to completion.
func TestResubmittedJobOfARemovedRouteIsNotFound(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		c.WaitUntil("the route is added", 5*time.Second, func() bool { return c.PutConfiguration("edge-1", 2, 1, routeJSON("gone")) == http.StatusOK })
		job := newJob(3000, 500, 2)
		if !c.SubmitJobUnder("/gone/", jobID(0), job) {
			t.Fatal("the job was not accepted")
		}
		c.WaitUntil("the route is removed", 5*time.Second, func() bool { return c.PutConfiguration("edge-1", 3, 2, "") == http.StatusOK })
		time.Sleep(configurationBound)
		for _, node := range c.nodeNames(edgeRole) {
			from := time.Now()
			if code := c.submitOnce(node, "/gone/", jobID(0), job); code != http.StatusNotFound || time.Since(from) > time.Second {
				t.Errorf("%s answers %d after %v, want 404 within 1s", node, code, time.Since(from))
			}
		}
		time.Sleep(5 * time.Second)
		done := 0
		for _, name := range c.nodeNames(agentRole) {
			for _, event := range c.History.eventsOf(EventRunEnded, c.Runners[name].Incarnation(), time.Time{}) {
				if event.Outcome == runDone {
					done++
				}
			}
		}
		if n := c.History.starts(jobID(0)); n != 2 || done != 2 {
			t.Errorf("%d starts and %d successful ends, want 2 of each", n, done)
		}
		c.requireNoViolations()
	})
}

// TestCancelsAreAcknowledgedWithoutFaults checks that in any state of the job, and at any node,
// the first cancel gets 2xx or 410 well within the bound, and so does a repeated cancel.
func TestCancelsAreAcknowledgedWithoutFaults(t *testing.T) {
	withCluster(t, threeServers, func(t *testing.T, c *Cluster) {
		edges := c.nodeNames(edgeRole)
		waits := []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second}
		n := 0
		for _, wait := range waits {
			for i := range edges {
				// When they are canceled, some jobs run, some have ended, and the last ones
				// wait for free capacity.
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
				t.Errorf("job %d is %s, want canceled or done", i, got)
			}
		}
		c.requireNoViolations()
		if got := c.JobState(edges[0], jobID(n)); got != jobGone {
			t.Errorf("a job that was never submitted is %s, want 410", got)
		}
	})
}

package simulation

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// peakTest simulates short days with a demand peak, with both urgent and deferrable
// jobs.
type peakTest struct {
	transfers    bool // deferrable jobs may be transferred
	peakOnPeer   bool // the peer has the peak too
	skipLastPeak bool // the last day has no peak, contrary to the forecast
}

const (
	peakDays            = 4
	peakDay             = 40 * time.Second
	submitInterval      = 500 * time.Millisecond
	urgentLatencyTarget = 850 * time.Millisecond // an urgent job that takes longer is late
)

// peakResult holds the measurements of the last day of a peakTest.
type peakResult struct {
	median, p90        time.Duration // latencies of urgent jobs during the peak
	late, urgent       int           // late ones, and all urgent jobs during the peak
	done, transferred  int           // deferrable tasks, and those of them that ran in the peer cluster
	lost, duplicated   int           // deferrable tasks, and violations of the rule TWICE
	meanDeferrableTime time.Duration // mean time from the submission of a deferrable job to the end of its last run
}

// peakLoad submits the jobs of a peakTest.
type peakLoad struct {
	peakTest
	a, b         *Cluster
	jobs         int // submitted to a so far
	lastDeferred time.Time
	deferrable   []string             // IDs of the jobs of the last day
	submittedAt  map[string]time.Time // of the jobs in deferrable
	background   sync.WaitGroup

	mu              sync.Mutex // guards urgentLatencies
	urgentLatencies []time.Duration
}

// run simulates the days and returns the measurements of the last one.
func (p peakTest) run(t *testing.T) (result peakResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a, b := newFederatedPair(t, forecastSettings{crowdedAt: 0.5, bucketS: 2, dayS: peakDay.Seconds(), transfersEnabled: p.transfers})
		defer a.Shutdown()
		defer b.Shutdown()
		load := &peakLoad{peakTest: p, a: a, b: b, submittedAt: map[string]time.Time{}}
		for day := range peakDays {
			load.runDay(day == peakDays-1)
		}
		load.background.Wait()
		result.countUrgent(load.urgentLatencies)
		for _, job := range load.deferrable {
			a.WaitUntil(job+" is done", 90*time.Second, func() bool { return a.JobStateUnder(deferrablePathPrefix, "a-edge-2", job) == jobDone })
		}
		result.countDeferrable(a.completedOn(), load.deferrable)
		result.meanDeferrableTime = a.meanCompletionTime(load.submittedAt)
		for _, violation := range a.History.Violations() {
			if strings.HasPrefix(violation, "TWICE") {
				result.duplicated++
			}
			t.Error(violation)
		}
	})
	return result
}

// runDay submits the jobs of one day.
func (l *peakLoad) runDay(lastDay bool) {
	begin := time.Now()
	for time.Since(begin) < peakDay {
		at := time.Since(begin)
		inPeak := at > 14*time.Second && at < 24*time.Second && (!l.skipLastPeak || !lastDay)
		l.jobs++
		number := l.jobs
		l.background.Go(func() { l.submitUrgent(jobID(number), inPeak, lastDay) })
		if l.peakOnPeer && inPeak {
			l.b.SubmitJob(jobID(100000+number), newJob(400, 2000, 12))
		} else {
			l.b.SubmitJob(jobID(100000+number), newJob(200, 300, 1))
		}
		if at > 6*time.Second && at < 22*time.Second && time.Since(l.lastDeferred) >= time.Second {
			l.submitDeferrable(lastDay)
		}
		time.Sleep(submitInterval)
	}
}

// submitUrgent submits an urgent job and waits until it is done.
func (l *peakLoad) submitUrgent(id string, inPeak, lastDay bool) {
	tasks := 1
	if inPeak {
		tasks = 5
	}
	submittedAt := time.Now()
	l.a.SubmitJob(id, newJob(400, 1500, tasks))
	for l.a.JobState("a-edge-1", id) != jobDone && time.Since(submittedAt) < 30*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	if lastDay && inPeak {
		l.mu.Lock()
		l.urgentLatencies = append(l.urgentLatencies, time.Since(submittedAt))
		l.mu.Unlock()
	}
}

func (l *peakLoad) submitDeferrable(lastDay bool) {
	l.jobs++
	l.lastDeferred = time.Now()
	id := jobID(l.jobs)
	l.a.SubmitJobUnder(deferrablePathPrefix, id, newJob(3000, 2500, 2))
	if lastDay {
		l.deferrable = append(l.deferrable, id)
		l.submittedAt[id] = time.Now()
	}
}

// meanCompletionTime returns the mean time from the submission of a job to the end of
// its last successful run.
func (c *Cluster) meanCompletionTime(submittedAt map[string]time.Time) time.Duration {
	c.History.mu.Lock()
	defer c.History.mu.Unlock()
	lastEnd := map[string]time.Time{}
	for _, event := range c.History.Events {
		if job, _, _ := splitTaskID(event.Task); event.Kind == EventRunEnded && event.Outcome == runDone {
			lastEnd[job] = event.At
		}
	}
	sum := time.Duration(0)
	for job, at := range submittedAt {
		sum += lastEnd[job].Sub(at)
	}
	return sum / time.Duration(max(len(submittedAt), 1))
}

func (r *peakResult) countUrgent(latencies []time.Duration) {
	sort.Slice(latencies, func(x, y int) bool { return latencies[x] < latencies[y] })
	if len(latencies) == 0 {
		latencies = append(latencies, 0)
	}
	r.urgent, r.median, r.p90 = len(latencies), latencies[len(latencies)/2], latencies[len(latencies)*9/10]
	for _, duration := range latencies {
		if duration > urgentLatencyTarget {
			r.late++
		}
	}
}

func (r *peakResult) countDeferrable(nodes map[string]string, jobs []string) {
	for _, job := range jobs {
		for index := range 2 {
			switch node := nodes[fmt.Sprintf("%s.0.0.%d", job, index)]; {
			case node == "":
				r.lost++
			case strings.HasPrefix(node, "b-"):
				r.transferred++
				r.done++
			default:
				r.done++
			}
		}
	}
}

// TestPeakWithAndWithoutTransfers is the measurement of docs/forecast.md.
func TestPeakWithAndWithoutTransfers(t *testing.T) {
	off, on := peakTest{}.run(t), peakTest{transfers: true}.run(t)
	for _, x := range []struct {
		name   string
		result peakResult
	}{{"off", off}, {"on", on}} {
		t.Logf("transfers %s: urgent median %v, 90th percentile %v, late %d of %d; deferrable tasks done %d, transferred %d, run twice %d, lost %d, mean time %v",
			x.name, x.result.median, x.result.p90, x.result.late, x.result.urgent, x.result.done, x.result.transferred, x.result.duplicated, x.result.lost, x.result.meanDeferrableTime)
	}
	if on.transferred == 0 {
		t.Error("no task ran in the peer cluster")
	}
	if off.transferred != 0 || off.lost+on.lost+off.duplicated+on.duplicated > 0 {
		t.Error("tasks were transferred with transfers disabled, lost, or run twice")
	}
	// Priorities protect urgent jobs with and without transfers, so that transfers bring them no
	// gain, but may cost them a fifth at most. The gain is in the latency of deferrable jobs.
	if on.p90 > off.p90*6/5 {
		t.Errorf("90th percentile of urgent jobs: %v with transfers, %v without", on.p90, off.p90)
	}
	if on.meanDeferrableTime >= off.meanDeferrableTime {
		t.Errorf("mean time of deferrable jobs: %v with transfers, %v without", on.meanDeferrableTime, off.meanDeferrableTime)
	}
}

// TestPeakOnBothTransfersNothing: a peer that forecasts its own peak lends no capacity.
func TestPeakOnBothTransfersNothing(t *testing.T) {
	result := peakTest{transfers: true, peakOnPeer: true}.run(t)
	t.Logf("peak on both clusters: transferred %d, late %d of %d, lost %d, run twice %d", result.transferred, result.late, result.urgent, result.lost, result.duplicated)
	if result.lost > 0 || result.duplicated > 0 || result.transferred > 0 {
		t.Errorf("lost %d, run twice %d, transferred %d, want 0 of each", result.lost, result.duplicated, result.transferred)
	}
}

// TestPeakThatDoesNotCome: a wrong forecast may transfer jobs needlessly, but loses
// none and runs none twice.
func TestPeakThatDoesNotCome(t *testing.T) {
	result := peakTest{transfers: true, skipLastPeak: true}.run(t)
	t.Logf("forecast peak does not come: transferred %d, lost %d, run twice %d", result.transferred, result.lost, result.duplicated)
	if result.lost > 0 || result.duplicated > 0 {
		t.Errorf("lost %d, run twice %d, want 0 of each", result.lost, result.duplicated)
	}
}

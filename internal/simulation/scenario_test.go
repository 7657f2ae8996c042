package simulation

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/protocol"
)

// seedMultiplier multiplies the seeds of the tests that play several:
//
//	go test ./internal/sim -run TestStormyDay -sim.longer 10
var seedMultiplier = flag.Int("sim.longer", 1, "times as many seeds")

// testSeeds are the fixed seeds of a test, more with -sim.longer.
func testSeeds(n int) []int64 {
	var out []int64
	for i := range n * *seedMultiplier {
		out = append(out, int64(i+1))
	}
	return out
}

// Bounds of the tests' settings file (DEPLOY, the example).
const (
	contactBound       = 3 * time.Second
	configurationBound = 2 * time.Second
	catchUpBound       = 4 * time.Second
	ackBound           = 6 * time.Second
)

// scenario is a cluster's life under a light load of jobs and of operators.
type scenario struct {
	*Cluster
	random         *rand.Rand
	ctx            context.Context
	stop           context.CancelFunc
	background     sync.WaitGroup
	mu             sync.Mutex
	acceptedJobs   []string      // jobs that were accepted
	workload       protocol.Job  // handed in again and again
	submitInterval time.Duration // between two jobs
}

// runScenario builds a cluster, lets a scenario happen under load and holds what was
// seen against all rules: nothing acknowledged is lost.
func runScenario(t *testing.T, spec ClusterSpec, seed int64, play func(d *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := NewCluster(t, spec)
		defer c.Shutdown()
		c.WaitReady()
		ctx, stop := context.WithCancel(context.Background())
		d := &scenario{Cluster: c, random: rand.New(rand.NewSource(seed)), ctx: ctx, stop: stop, workload: newJob(400, 400, 2), submitInterval: 300 * time.Millisecond}
		defer d.background.Wait()
		defer stop()
		c.failOnDivergence()
		d.submitJobs(seed)
		play(d)
		if !t.Failed() {
			d.finish()
		}
		d.reportViolations()
	})
}

// failOnDivergence demands that no replica finds itself to differ from the majority.
func (c *Cluster) failOnDivergence() {
	see := func(line string) {
		if strings.Contains(line, "event=replica.") {
			c.T.Error(line)
		}
	}
	c.onLog.Store(&see)
}

var digits = regexp.MustCompile(`[0-9]+`)

// reportViolations shows what is broken, the first lines of it.
func (d *scenario) reportViolations() {
	broken := d.History.Violations()
	kinds := map[string]int{}
	for _, b := range broken {
		// Why by their words: hundreds of calls may fail alike.
		k := digits.ReplaceAllString(b, "#")
		if kinds[k]++; kinds[k] <= 2 {
			d.T.Error(b)
		}
	}
	if len(broken) > 0 {
		d.T.Errorf("%d breaks of %d kinds", len(broken), len(kinds))
	}
}

// submitJobs hands in jobs until the day closes.
func (d *scenario) submitJobs(seed int64) {
	rnd := rand.New(rand.NewSource(seed + 1000))
	d.background.Go(func() {
		for i := 0; d.ctx.Err() == nil; i++ {
			d.mu.Lock()
			work, pause := d.workload, d.submitInterval
			d.mu.Unlock()
			d.background.Go(func() {
				if d.SubmitJob(jobID(i), work) {
					d.recordAccepted(jobID(i))
				}
			})
			time.Sleep(pause/2 + time.Duration(rnd.Int63n(int64(pause))))
		}
	})
}

// recordAccepted notes a job that must be done in the end.
func (d *scenario) recordAccepted(id string) {
	d.mu.Lock()
	d.acceptedJobs = append(d.acceptedJobs, id)
	d.mu.Unlock()
}

// setWorkload sets what is handed in from now on, and how often.
func (d *scenario) setWorkload(work protocol.Job, pause time.Duration) {
	d.mu.Lock()
	d.workload, d.submitInterval = work, pause
	d.mu.Unlock()
}

// growLog has clients cancel jobs that nobody knows, about rate a second, so that
// the log grows by as many entries and snapshots are cut.
func (d *scenario) growLog(rate int, duration time.Duration) {
	const callers = 16
	for i := range callers {
		d.background.Go(func() {
			edges := d.nodeNames("edge")
			for k, end := i, time.Now().Add(duration); time.Now().Before(end) && d.ctx.Err() == nil; {
				if code, _ := d.clientRequest(edges[k%len(edges)], CallCancel, "DELETE", "/p/"+jobID(800000+i), ""); code != 410 {
					k++
				}
				time.Sleep(callers * time.Second / time.Duration(rate))
			}
		})
	}
}

// runOperator sends changes one after another until the day closes or done is shut;
// what it gives is shut once it has ended.
func (d *scenario) runOperator(seed int64, pause time.Duration, done <-chan struct{}) <-chan struct{} {
	o, ended := d.NewOperator(seed), make(chan struct{})
	d.background.Go(func() {
		defer close(ended)
		defer o.Close()
		for {
			select {
			case <-d.ctx.Done():
				return
			case <-done:
				return
			default:
			}
			o.MakeChange(10 * time.Second)
			time.Sleep(pause)
		}
	})
	return ended
}

// sendConcurrentChanges sends a change each gap for a while, whatever came of those before:
// up to eight are under way.
func (d *scenario) sendConcurrentChanges(seed int64, gap, duration time.Duration) {
	room := make(chan *Operator, 8)
	for i := range cap(room) {
		room <- d.NewOperator(seed*100 + int64(i))
	}
	d.background.Go(func() {
		for end := time.Now().Add(duration); time.Now().Before(end) && d.ctx.Err() == nil; time.Sleep(gap) {
			select {
			case o := <-room:
				d.background.Go(func() {
					o.Read(5 * time.Second)
					o.MakeChange(10 * time.Second)
					room <- o
				})
			default:
			}
		}
	})
}

// requireAcknowledgement demands that a change is acknowledged within the bound (ackMs, and what
// an election takes): a majority is left.
func (d *scenario) requireAcknowledgement(when string) {
	d.T.Helper()
	o := d.NewOperator(d.random.Int63())
	defer o.Close()
	for end := time.Now().Add(ackBound); time.Now().Before(end); {
		o.Read(time.Second)
		if _, code := o.MakeChange(2 * time.Second); code == 200 {
			return
		}
	}
	d.T.Errorf("%s: no change is acknowledged within %v", when, ackBound)
}

// finish ends the load and demands that all that was acknowledged is there.
func (d *scenario) finish() {
	d.T.Helper()
	d.stop()
	d.background.Wait()
	time.Sleep(contactBound)
	o := d.NewOperator(1)
	defer o.Close()
	o.ReadAll(10 * time.Second)
	at := d.nodeNames("edge")
	for i, j := range d.acceptedJobs {
		d.requireJobDone(j, at[i%len(at)])
	}
	if len(d.acceptedJobs) == 0 {
		d.T.Error("no job was accepted")
	}
}

// requireJobDone demands that a job ends as done; else it tells what was seen of it.
func (d *scenario) requireJobDone(job, at string) {
	d.T.Helper()
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state = d.JobState(at, job); state == "done" {
			return
		}
	}
	d.T.Errorf("job %s, accepted, is %s at %s for a minute", job, state, at)
	d.History.mu.Lock()
	defer d.History.mu.Unlock()
	for _, f := range d.History.Events {
		if j, _, _ := splitTaskID(f.Task); j == job {
			d.T.Logf("%s %s %s run %d on %s %s", f.At.Format("05.000"), f.Kind, f.Task, f.Run, f.Node, f.Outcome)
		}
	}
}

// requireNewestConfiguration demands that a daemon is ready and handles by the newest
// acknowledged configuration, within the bounds after a trouble's end. No other
// operator is at work.
func (d *scenario) requireNewestConfiguration(name string, from time.Time) {
	d.T.Helper()
	o := d.NewOperator(9)
	defer o.Close()
	o.Read(5 * time.Second)
	x, code := o.MakeChange(5 * time.Second)
	if code != 200 {
		d.T.Errorf("a change after the trouble: %d", code)
		return
	}
	left := max(contactBound+configurationBound-time.Since(from), configurationBound)
	d.WaitUntil(name+" reads the newest configuration", left, func() bool {
		q := o.ReadAt(name)
		return q.Code == 200 && q.Version == x.Version
	})
	d.WaitUntil(name+" knows the newest route", left, func() bool {
		code, _ := d.clientRequest(name, CallStatus, "GET", fmt.Sprintf("/v%d/", x.Version), "")
		return code == 200
	})
	d.WaitUntil(name+" is ready", left, func() bool { return d.IsReady(name) })
}

// exerciseNode has an operator and a client call one daemon in all ways, again and
// again, until done is shut.
func (d *scenario) exerciseNode(name string, o *Operator, done <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	repeat := func(f func(i int)) {
		all.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				f(i)
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	repeat(func(i int) {
		o.ReadAt(name)
		o.SendAt(name, d.NewChange(o.knownVersion))
	})
	repeat(func(i int) { d.clientRequest(name, CallStatus, "GET", "/p/"+jobID(0), "") })
	repeat(func(i int) { d.clientRequest(name, CallStatus, "GET", "/p/"+jobID(900000), "") })
	repeat(func(i int) { d.clientRequest(name, CallStatus, "GET", "/nowhere/"+jobID(0), "") })
	repeat(func(i int) { d.clientRequest(name, CallCancel, "DELETE", "/p/"+jobID(900001), "") })
	return &all
}

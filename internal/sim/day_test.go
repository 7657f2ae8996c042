package sim

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

// longer multiplies the seeds of the tests that play several:
//
//	go test ./internal/sim -run TestStormyDay -sim.longer 10
var longer = flag.Int("sim.longer", 1, "times as many seeds")

// seeds are the fixed seeds of a test, more with -sim.longer.
func seeds(n int) []int64 {
	var out []int64
	for i := range n * *longer {
		out = append(out, int64(i+1))
	}
	return out
}

// Bounds of the tests' settings file (DEPLOY, the example).
const (
	inTouch     = 3 * time.Second
	configApply = 2 * time.Second
	catchUp     = 4 * time.Second
	ackBound    = 6 * time.Second
)

// day is a cluster's life under a light load of jobs and of operators.
type day struct {
	*Cluster
	rnd    *rand.Rand
	ctx    context.Context
	stop   context.CancelFunc
	all    sync.WaitGroup
	mu     sync.Mutex
	handed []string      // jobs that were accepted
	work   protocol.Job  // handed in again and again
	pause  time.Duration // between two jobs
}

// playDay builds a cluster, lets a scenario happen under load and holds what was
// seen against all rules: nothing acknowledged is lost.
func playDay(t *testing.T, s Shape, seed int64, scene func(d *day)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := Build(t, s)
		defer c.End()
		c.Ready()
		ctx, stop := context.WithCancel(context.Background())
		d := &day{Cluster: c, rnd: rand.New(rand.NewSource(seed)), ctx: ctx, stop: stop, work: job(400, 400, 2), pause: 300 * time.Millisecond}
		defer d.all.Wait()
		defer stop()
		c.agree()
		d.load(seed)
		scene(d)
		if !t.Failed() {
			d.close()
		}
		d.report()
	})
}

// agree demands that no replica finds itself to differ from the majority.
func (c *Cluster) agree() {
	see := func(line string) {
		if strings.Contains(line, "event=replica.") {
			c.T.Error(line)
		}
	}
	c.onLog.Store(&see)
}

var figures = regexp.MustCompile(`[0-9]+`)

// report shows what is broken, the first lines of it.
func (d *day) report() {
	broken := d.Hist.Broken()
	kinds := map[string]int{}
	for _, b := range broken {
		// Why by their words: hundreds of calls may fail alike.
		k := figures.ReplaceAllString(b, "#")
		if kinds[k]++; kinds[k] <= 2 {
			d.T.Error(b)
		}
	}
	if len(broken) > 0 {
		d.T.Errorf("%d breaks of %d kinds", len(broken), len(kinds))
	}
}

// load hands in jobs until the day closes.
func (d *day) load(seed int64) {
	rnd := rand.New(rand.NewSource(seed + 1000))
	d.all.Go(func() {
		for i := 0; d.ctx.Err() == nil; i++ {
			d.mu.Lock()
			work, pause := d.work, d.pause
			d.mu.Unlock()
			d.all.Go(func() {
				if d.HandIn(id(i), work) {
					d.accepted(id(i))
				}
			})
			time.Sleep(pause/2 + time.Duration(rnd.Int63n(int64(pause))))
		}
	})
}

// accepted notes a job that must be done in the end.
func (d *day) accepted(id string) {
	d.mu.Lock()
	d.handed = append(d.handed, id)
	d.mu.Unlock()
}

// hands sets what is handed in from now on, and how often.
func (d *day) hands(work protocol.Job, pause time.Duration) {
	d.mu.Lock()
	d.work, d.pause = work, pause
	d.mu.Unlock()
}

// fill has clients cancel jobs that nobody knows, about rate a second, so that
// the log grows by as many entries and snapshots are cut.
func (d *day) fill(rate int, most time.Duration) {
	const callers = 16
	for i := range callers {
		d.all.Go(func() {
			edges := d.names("edge")
			for k, end := i, time.Now().Add(most); time.Now().Before(end) && d.ctx.Err() == nil; {
				if code, _ := d.clientCall(edges[k%len(edges)], CallCancel, "DELETE", "/p/"+id(800000+i), ""); code != 410 {
					k++
				}
				time.Sleep(callers * time.Second / time.Duration(rate))
			}
		})
	}
}

// pilot sends changes one after another until the day closes or done is shut;
// what it gives is shut once it has ended.
func (d *day) pilot(seed int64, pause time.Duration, done <-chan struct{}) <-chan struct{} {
	o, ended := d.NewOperator(seed), make(chan struct{})
	d.all.Go(func() {
		defer close(ended)
		defer o.End()
		for {
			select {
			case <-d.ctx.Done():
				return
			case <-done:
				return
			default:
			}
			o.Step(10 * time.Second)
			time.Sleep(pause)
		}
	})
	return ended
}

// storm sends a change each gap for a while, whatever came of those before:
// up to eight are under way.
func (d *day) storm(seed int64, gap, most time.Duration) {
	room := make(chan *Operator, 8)
	for i := range cap(room) {
		room <- d.NewOperator(seed*100 + int64(i))
	}
	d.all.Go(func() {
		for end := time.Now().Add(most); time.Now().Before(end) && d.ctx.Err() == nil; time.Sleep(gap) {
			select {
			case o := <-room:
				d.all.Go(func() {
					o.Read(5 * time.Second)
					o.Step(10 * time.Second)
					room <- o
				})
			default:
			}
		}
	})
}

// acks demands that a change is acknowledged within the bound (ackMs, and what
// an election takes): a majority is left.
func (d *day) acks(when string) {
	d.T.Helper()
	o := d.NewOperator(d.rnd.Int63())
	defer o.End()
	for end := time.Now().Add(ackBound); time.Now().Before(end); {
		o.Read(time.Second)
		if _, code := o.Step(2 * time.Second); code == 200 {
			return
		}
	}
	d.T.Errorf("%s: no change is acknowledged within %v", when, ackBound)
}

// close ends the load and demands that all that was acknowledged is there.
func (d *day) close() {
	d.T.Helper()
	d.stop()
	d.all.Wait()
	time.Sleep(inTouch)
	o := d.NewOperator(1)
	defer o.End()
	o.ReadAll(10 * time.Second)
	at := d.names("edge")
	for i, j := range d.handed {
		d.done(j, at[i%len(at)])
	}
	if len(d.handed) == 0 {
		d.T.Error("no job was accepted")
	}
}

// done demands that a job ends as done; else it tells what was seen of it.
func (d *day) done(job, at string) {
	d.T.Helper()
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state = d.State(at, job); state == "done" {
			return
		}
	}
	d.T.Errorf("job %s, accepted, is %s at %s for a minute", job, state, at)
	d.Hist.mu.Lock()
	defer d.Hist.mu.Unlock()
	for _, f := range d.Hist.Facts {
		if j, _, _ := jobOf(f.Task); j == job {
			d.T.Logf("%s %s %s run %d on %s %s", f.At.Format("05.000"), f.Kind, f.Task, f.Run, f.Node, f.How)
		}
	}
}

// servesTheNewest demands that a daemon is ready and handles by the newest
// acknowledged configuration, within the bounds after a trouble's end. No other
// operator is at work.
func (d *day) servesTheNewest(name string, from time.Time) {
	d.T.Helper()
	o := d.NewOperator(9)
	defer o.End()
	o.Read(5 * time.Second)
	x, code := o.Step(5 * time.Second)
	if code != 200 {
		d.T.Errorf("a change after the trouble: %d", code)
		return
	}
	left := max(inTouch+configApply-time.Since(from), configApply)
	d.Until(name+" reads the newest configuration", left, func() bool {
		q := o.ReadAt(name)
		return q.Code == 200 && q.Version == x.Version
	})
	d.Until(name+" knows the newest route", left, func() bool {
		code, _ := d.clientCall(name, CallStatus, "GET", fmt.Sprintf("/v%d/", x.Version), "")
		return code == 200
	})
	d.Until(name+" is ready", left, func() bool { return d.ReadyAt(name) })
}

// meet has an operator and a client call one daemon in all ways, again and
// again, until done is shut.
func (d *day) meet(name string, o *Operator, done <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	again := func(f func(i int)) {
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
	again(func(i int) {
		o.ReadAt(name)
		o.SendAt(name, d.NewChange(o.base))
	})
	again(func(i int) { d.clientCall(name, CallStatus, "GET", "/p/"+id(0), "") })
	again(func(i int) { d.clientCall(name, CallStatus, "GET", "/p/"+id(900000), "") })
	again(func(i int) { d.clientCall(name, CallStatus, "GET", "/nowhere/"+id(0), "") })
	again(func(i int) { d.clientCall(name, CallCancel, "DELETE", "/p/"+id(900001), "") })
	return &all
}

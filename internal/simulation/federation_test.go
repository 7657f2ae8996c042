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

const peerKey = "0123456789abcdef"

// federationFile: short days, so that a record of several fits into a test.
func federationFile(name, peer string, base int, crowded, bucket, day float64, lanes string) string {
	return fmt.Sprintf(`name = %q
bucketS = %g
dayS = %g
leastDays = 1
horizonBuckets = 2
crowdedAt = %g
lendShare = 0.8
loanS = 20
pauseMs = 200
[[peers]]
name = %q
key = %q
seeds = ["10.%d.0.1:7720", "10.%d.0.2:7720", "10.%d.0.3:7720"]
%s`, name, bucket, day, crowded, peer, peerKey, base, base, base, lanes)
}

const slowRoute = `,{"name":"slow","hostName":"h","pathPrefix":"/slow/","kind":"writing","timeoutMs":3000,"targetMs":3000,"priority":2,"targetService":"svc","maxTries":3,"stretch":3}`

// newFederatedPair builds two clusters that share a network and one history, so that a
// task that ran in both is seen.
func newFederatedPair(t *testing.T, crowded, bucket, day float64, on bool) (*Cluster, *Cluster) {
	n := NewNetwork()
	lanes := ""
	if on {
		lanes = "[[lanes]]\nhere = \"slow\"\npeer = \"b\"\nthere = \"slow\"\n"
	}
	a := NewCluster(t, ClusterSpec{Servers: 3, Agents: 2, Network: n, Subnet: 1, Name: "a-", Federation: federationFile("a", "b", 2, crowded, bucket, day, lanes)})
	b := NewCluster(t, ClusterSpec{Servers: 3, Agents: 2, Network: n, Subnet: 2, Name: "b-", History: a.History, Federation: federationFile("b", "a", 1, 1, bucket, day, "")})
	for _, c := range []*Cluster{a, b} {
		c.WaitUntil("the first desired state is taken", 20*time.Second, func() bool { return c.PutConfiguration(c.Name+"edge-1", 1, 0, slowRoute) == 200 })
	}
	time.Sleep(3 * time.Second)
	return a, b
}

// setPartitionBetween cuts or joins two clusters.
func setPartitionBetween(a, b *Cluster, cut bool) {
	for _, x := range a.nodeNames("edge") {
		for _, y := range b.nodeNames("edge") {
			for _, p := range [][2]string{{a.NodeIP(x), b.NodeIP(y)}, {b.NodeIP(y), a.NodeIP(x)}} {
				if cut {
					a.Network.Block(p[0], p[1])
				} else {
					a.Network.Unblock(p[0], p[1])
				}
			}
		}
	}
}

// runFederated plays deferrable jobs that all want to move, with a fault at the
// first line of a log that holds mark, and demands that each ends once.
func runFederated(t *testing.T, mark string, fault func(a, b *Cluster), cancel, must bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a, b := newFederatedPair(t, 0.001, 1, 3, true)
		defer a.Shutdown()
		defer b.Shutdown()
		struck := make(chan struct{})
		var once sync.Once
		see := func(line string) {
			if mark != "" && strings.Contains(line, mark) {
				once.Do(func() { close(struck) })
			}
		}
		a.onLog.Store(&see)
		b.onLog.Store(&see)
		go func() {
			<-struck
			fault(a, b)
		}()
		// A record of some days in both; b must know that it stays free.
		for i := range 12 {
			a.SubmitJob(jobID(1000+i), newJob(50, 100, 1))
			b.SubmitJob(jobID(2000+i), newJob(50, 100, 1))
			time.Sleep(500 * time.Millisecond)
		}
		// Fill a, so that deferrable jobs wait there and can move.
		for i := range 8 {
			a.SubmitJob(jobID(3000+i), newJob(6000, 4000, 1))
		}
		const n = 6
		for i := range n {
			a.SubmitJobUnder("/slow/", jobID(i), newJob(400, 2000, 2))
			time.Sleep(100 * time.Millisecond)
		}
		if cancel {
			for i := range n {
				if i%2 == 0 {
					go a.CancelJobUnder("/slow/", "a-edge-1", jobID(i))
				}
			}
		}
		time.Sleep(30 * time.Second)
		if mark == "" {
			once.Do(func() { close(struck) })
		}
		for i := range n {
			a.WaitUntil("job "+jobID(i)+" is over", 90*time.Second, func() bool {
				st := a.JobStateUnder("/slow/", "a-edge-2", jobID(i))
				return st == "done" || st == "called_off"
			})
		}
		ran, moved := a.completedOn(), 0
		for i := range n {
			for x := range 2 {
				task := fmt.Sprintf("%s.0.0.%d", jobID(i), x)
				if strings.HasPrefix(ran[task], "b-") {
					moved++
				}
				if ran[task] == "" && !cancel {
					t.Errorf("%s was lost", task)
				}
			}
		}
		// Why not always: an offer that was cut off early is taken back, and the
		// job stays.
		if moved == 0 && must {
			t.Error("nothing moved, so nothing was tried")
		}
		for _, w := range a.History.Violations() {
			t.Error(w)
		}
	})
}

// completedOn tells on which node each task was done.
func (c *Cluster) completedOn() map[string]string {
	c.History.mu.Lock()
	defer c.History.mu.Unlock()
	out := map[string]string{}
	for _, f := range c.History.Events {
		if f.Kind == "end" && f.Outcome == "done" {
			out[f.Task] = f.Node
		}
	}
	return out
}

// meanCompletionTime is how long jobs took from hand-in to the last end of their tasks.
func (c *Cluster) meanCompletionTime(handed map[string]time.Time) time.Duration {
	c.History.mu.Lock()
	defer c.History.mu.Unlock()
	last := map[string]time.Time{}
	for _, f := range c.History.Events {
		if j, _, _ := splitTaskID(f.Task); f.Kind == "end" && f.Outcome == "done" {
			last[j] = f.At
		}
	}
	sum := time.Duration(0)
	for j, at := range handed {
		sum += last[j].Sub(at)
	}
	return sum / time.Duration(max(len(handed), 1))
}

func partitionFor(d time.Duration) func(a, b *Cluster) {
	return func(a, b *Cluster) {
		setPartitionBetween(a, b, true)
		time.Sleep(d)
		setPartitionBetween(a, b, false)
	}
}

func killLeaderOf(of int) func(a, b *Cluster) {
	return func(a, b *Cluster) {
		c := []*Cluster{a, b}[of]
		l := c.Leader()
		if l == "" {
			return
		}
		c.Kill(l)
		time.Sleep(2 * time.Second)
		c.Start(l, 1)
	}
}

// moveEvents are the lines of the log at which TestMoveAtEveryStep strikes.
var moveEvents = []string{"loan.received", "transfer.offered", "status=taken", "status=done"}

// TestMoveAtEveryStep strikes at each step of a hand-over: room lent, offered,
// taken, ended, with cuts of two lengths and the loss of either leader.
func TestMoveAtEveryStep(t *testing.T) {
	for _, mark := range moveEvents {
		for name, f := range map[string]func(a, b *Cluster){"cut": partitionFor(3 * time.Second), "long cut": partitionFor(25 * time.Second), "source": killLeaderOf(0), "target": killLeaderOf(1)} {
			t.Run(mark+"/"+name, func(t *testing.T) { runFederated(t, mark, f, false, strings.HasPrefix(mark, "status=")) })
		}
	}
}

func TestMoveWithoutFault(t *testing.T) { runFederated(t, "", func(a, b *Cluster) {}, false, true) }

func TestCancelInMidMove(t *testing.T) {
	for name, f := range map[string]func(a, b *Cluster){"calm": func(a, b *Cluster) {}, "cut": partitionFor(5 * time.Second), "target": killLeaderOf(1)} {
		t.Run(name, func(t *testing.T) { runFederated(t, "transfer.offered", f, true, false) })
	}
}

// peak plays some short days whose rush has urgent and deferrable work, and
// gives what urgent senders saw on the last one.
type peakResult struct {
	median, worst time.Duration
	late, urgent  int
	done, doubled int
	lost, away    int
	deferred      time.Duration // mean, from hand-in to its last end
}

func playPeak(t *testing.T, on, both, wrong bool) peakResult {
	var out peakResult
	synctest.Test(t, func(t *testing.T) {
		a, b := newFederatedPair(t, 0.5, 2, 40, on)
		defer a.Shutdown()
		defer b.Shutdown()
		var mu sync.Mutex
		var took []time.Duration
		var slow []string
		handed := map[string]time.Time{}
		next := 0
		var last time.Time
		var all sync.WaitGroup
		for day := range 4 {
			begin := time.Now()
			for time.Since(begin) < 40*time.Second {
				at := time.Since(begin)
				rush := at > 14*time.Second && at < 24*time.Second && !(wrong && day == 3)
				next++
				urgent := jobID(next)
				for _, c := range []*Cluster{a, b} {
					if c == b {
						if !(both && rush) {
							b.SubmitJob(jobID(100000+next), newJob(200, 300, 1))
							continue
						}
						b.SubmitJob(jobID(100000+next), newJob(400, 2000, 12))
						continue
					}
					n := 1
					if rush {
						n = 5
					}
					all.Add(1)
					go func() {
						defer all.Done()
						from := time.Now()
						a.SubmitJob(urgent, newJob(400, 1500, n))
						for a.JobState("a-edge-1", urgent) != "done" && time.Since(from) < 30*time.Second {
							time.Sleep(50 * time.Millisecond)
						}
						if day == 3 && rush {
							mu.Lock()
							took = append(took, time.Since(from))
							mu.Unlock()
						}
					}()
				}
				if at > 6*time.Second && at < 22*time.Second && time.Since(last) >= time.Second {
					next++
					last = time.Now()
					d := jobID(next)
					a.SubmitJobUnder("/slow/", d, newJob(3000, 2500, 2))
					if day == 3 {
						slow = append(slow, d)
						handed[d] = time.Now()
					}
				}
				time.Sleep(500 * time.Millisecond)
			}
		}
		all.Wait()
		sort.Slice(took, func(x, y int) bool { return took[x] < took[y] })
		if len(took) == 0 {
			took = append(took, 0)
		}
		out.urgent, out.median, out.worst = len(took), took[len(took)/2], took[len(took)*9/10]
		for _, d := range took {
			if d > 850*time.Millisecond {
				out.late++
			}
		}
		for _, d := range slow {
			a.WaitUntil(d+" ends", 90*time.Second, func() bool { return a.JobStateUnder("/slow/", "a-edge-2", d) == "done" })
		}
		ran := a.completedOn()
		for _, d := range slow {
			for x := range 2 {
				switch n := ran[fmt.Sprintf("%s.0.0.%d", d, x)]; {
				case n == "":
					out.lost++
				case strings.HasPrefix(n, "b-"):
					out.away++
					out.done++
				default:
					out.done++
				}
			}
		}
		out.deferred = a.meanCompletionTime(handed)
		for _, w := range a.History.Violations() {
			if strings.HasPrefix(w, "TWICE") {
				out.doubled++
			}
			t.Error(w)
		}
	})
	return out
}

// TestPeakWithAndWithoutMoving is the measurement of docs/foresee.md.
func TestPeakWithAndWithoutMoving(t *testing.T) {
	off, on := playPeak(t, false, false, false), playPeak(t, true, false, false)
	for _, x := range []struct {
		name string
		s    peakResult
	}{{"off", off}, {"on", on}} {
		t.Logf("moving %s: urgent median %v, worst tenth %v, late %d of %d; deferred tasks done %d, away %d, doubled %d, lost %d, mean time %v",
			x.name, x.s.median, x.s.worst, x.s.late, x.s.urgent, x.s.done, x.s.away, x.s.doubled, x.s.lost, x.s.deferred)
	}
	if on.away == 0 {
		t.Error("nothing moved")
	}
	if off.away != 0 || off.lost+on.lost+off.doubled+on.doubled > 0 {
		t.Error("moved while off, lost or doubled")
	}
	// Why a fifth: urgent work is kept whole by priorities either way; moving
	// must not harm it, and gains for what is deferred.
	if on.worst > off.worst*6/5 {
		t.Errorf("urgent worst tenth %v with moving, %v without", on.worst, off.worst)
	}
	if on.deferred >= off.deferred {
		t.Errorf("deferred took %v with moving, %v without", on.deferred, off.deferred)
	}
}

// TestPeakOnBothMovesNothing: a peer that is about to be crowded lends nothing.
func TestPeakOnBothMovesNothing(t *testing.T) {
	s := playPeak(t, true, true, false)
	t.Logf("peak on both: away %d, late %d of %d, lost %d, doubled %d", s.away, s.late, s.urgent, s.lost, s.doubled)
	if s.lost > 0 || s.doubled > 0 || s.away > 0 {
		t.Errorf("lost %d, doubled %d, away %d", s.lost, s.doubled, s.away)
	}
}

// TestPeakThatDoesNotCome: a wrong forecast moves jobs for nothing, and loses
// none.
func TestPeakThatDoesNotCome(t *testing.T) {
	s := playPeak(t, true, false, true)
	t.Logf("peak that does not come: away %d, lost %d, doubled %d", s.away, s.lost, s.doubled)
	if s.lost > 0 || s.doubled > 0 {
		t.Errorf("lost %d, doubled %d", s.lost, s.doubled)
	}
}

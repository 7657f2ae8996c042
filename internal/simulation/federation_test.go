package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	peerKey = "0123456789abcdef"
	// slowPrefix is the path of the route whose jobs may move to the peer.
	slowPrefix = "/slow/"
	slowRoute  = `,{"name":"slow","hostName":"h","pathPrefix":"/slow/","kind":"writing","timeoutMs":3000,"targetMs":3000,"priority":2,"targetService":"svc","maxTries":3,"stretch":3}`
)

// forecastSettings are the settings that decide when a cluster counts as crowded. Days
// are short, so that the record of several fits into a test.
type forecastSettings struct {
	crowdedAt        float64 // load, as a part of the capacity
	bucketS, dayS    float64 // lengths in seconds
	routesMayBeMoved bool
}

// federationFile is the file that turns federation on. The peer's servers are the first
// hosts of its subnet.
func federationFile(name, peer string, peerSubnet int, forecast forecastSettings) string {
	lanes := ""
	if forecast.routesMayBeMoved {
		lanes = fmt.Sprintf("[[lanes]]\nhere = \"slow\"\npeer = %q\nthere = \"slow\"\n", peer)
	}
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
%s`, name, forecast.bucketS, forecast.dayS, forecast.crowdedAt, peer, peerKey, peerSubnet, peerSubnet, peerSubnet, lanes)
}

// newFederatedPair makes two clusters that share a network and a history, so that a task
// that ran in both is seen. Only a moves jobs, and b is never crowded.
func newFederatedPair(t *testing.T, forecast forecastSettings) (a, b *Cluster) {
	t.Helper()
	network := NewNetwork()
	a = NewCluster(t, ClusterSpec{Servers: 3, Agents: 2, Network: network, Subnet: 1, Name: "a-", Federation: federationFile("a", "b", 2, forecast)})
	forecast.crowdedAt, forecast.routesMayBeMoved = 1, false
	b = NewCluster(t, ClusterSpec{Servers: 3, Agents: 2, Network: network, Subnet: 2, Name: "b-", History: a.History, Federation: federationFile("b", "a", 1, forecast)})
	for _, c := range []*Cluster{a, b} {
		c.WaitUntil("the first configuration is accepted", 20*time.Second, func() bool { return c.PutConfiguration(c.Name+"edge-1", 1, 0, slowRoute) == http.StatusOK })
	}
	time.Sleep(3 * time.Second)
	return a, b
}

// setPartitionBetween blocks, or unblocks, all ways between the servers of two clusters.
func setPartitionBetween(a, b *Cluster, blocked bool) {
	for _, x := range a.nodeNames(edgeRole) {
		for _, y := range b.nodeNames(edgeRole) {
			setPartition(a.Network, a.NodeIP(x), b.NodeIP(y), blocked)
		}
	}
}

// federationFault is a fault of two clusters; it returns when it is repaired.
type federationFault func(a, b *Cluster)

func noFederationFault(_, _ *Cluster) {}

func partitionFor(duration time.Duration) federationFault {
	return func(a, b *Cluster) {
		setPartitionBetween(a, b, true)
		time.Sleep(duration)
		setPartitionBetween(a, b, false)
	}
}

func killLeaderOf(c *Cluster) {
	if leader := c.Leader(); leader != "" {
		c.Restart(2*time.Second, leader)
	}
}

func killSourceLeader(a, _ *Cluster) { killLeaderOf(a) }
func killTargetLeader(_, b *Cluster) { killLeaderOf(b) }

// movingJobs is a test of deferrable jobs that all want to move.
type movingJobs struct {
	// faultAt is a part of a log line: the fault begins with the first such line. If it
	// is empty the fault begins after all jobs.
	faultAt  string
	fault    federationFault
	cancel   bool // every other job is canceled
	mustMove bool
}

// run submits the jobs and requires that each ends once.
func (m movingJobs) run(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a, b := newFederatedPair(t, forecastSettings{crowdedAt: 0.001, bucketS: 1, dayS: 3, routesMayBeMoved: true})
		defer a.Shutdown()
		defer b.Shutdown()
		beginFault, faultBegun := m.prepareFault(a, b)
		crowd(a, b)
		const jobs = 6
		for i := range jobs {
			a.SubmitJobUnder(slowPrefix, jobID(i), newJob(400, 2000, 2))
			time.Sleep(100 * time.Millisecond)
		}
		if m.cancel {
			for i := 0; i < jobs; i += 2 {
				go a.CancelJobUnder(slowPrefix, "a-edge-1", jobID(i))
			}
		}
		time.Sleep(30 * time.Second)
		if m.faultAt == "" {
			beginFault()
		}
		for i := range jobs {
			a.WaitUntil("job "+jobID(i)+" has ended", 90*time.Second, func() bool {
				state := a.JobStateUnder(slowPrefix, "a-edge-2", jobID(i))
				return state == jobDone || state == jobCanceled
			})
		}
		select {
		case <-faultBegun:
		default:
			t.Errorf("no log line has %q, so there was no fault", m.faultAt)
		}
		m.requireAllDone(a, jobs)
		a.requireNoViolations()
	})
}

// prepareFault lets the fault begin at its log line. It returns what begins it at once,
// and a channel that is closed when it has begun.
func (m movingJobs) prepareFault(a, b *Cluster) (begin func(), begun chan struct{}) {
	begun = make(chan struct{})
	var once sync.Once
	begin = func() { once.Do(func() { close(begun) }) }
	observe := func(line string) {
		if m.faultAt != "" && strings.Contains(line, m.faultAt) {
			begin()
		}
	}
	a.onLog.Store(&observe)
	b.onLog.Store(&observe)
	go func() {
		<-begun
		m.fault(a, b)
	}()
	return begin, begun
}

// crowd gives both clusters a record of some days, so that b knows that it stays free,
// and fills a, so that deferrable jobs wait there and can move.
func crowd(a, b *Cluster) {
	for i := range 12 {
		a.SubmitJob(jobID(1000+i), newJob(50, 100, 1))
		b.SubmitJob(jobID(2000+i), newJob(50, 100, 1))
		time.Sleep(500 * time.Millisecond)
	}
	for i := range 8 {
		a.SubmitJob(jobID(3000+i), newJob(6000, 4000, 1))
	}
}

func (m movingJobs) requireAllDone(a *Cluster, jobs int) {
	a.T.Helper()
	nodes, moved := a.completedOn(), 0
	for i := range jobs {
		for index := range 2 {
			task := fmt.Sprintf("%s.0.0.%d", jobID(i), index)
			if strings.HasPrefix(nodes[task], "b-") {
				moved++
			}
			if nodes[task] == "" && !m.cancel {
				a.T.Errorf("%s was lost", task)
			}
		}
	}
	// It isn't required of each fault: an offer that was cut off early is taken back,
	// and the job stays.
	if moved == 0 && m.mustMove {
		a.T.Error("nothing moved, so nothing was tried")
	}
}

// completedOn returns the node on which each task was done.
func (c *Cluster) completedOn() map[string]string {
	c.History.mu.Lock()
	defer c.History.mu.Unlock()
	nodes := map[string]string{}
	for _, event := range c.History.Events {
		if event.Kind == EventRunEnded && event.Outcome == runDone {
			nodes[event.Task] = event.Node
		}
	}
	return nodes
}

// Parts of the log lines of a move, in their order. The last two are of transfer.settled.
const (
	loanReceived     = "loan.received"
	transferOffered  = "transfer.offered"
	transferAccepted = "status=taken"
	transferDone     = "status=done"
)

// moveEvents are the log lines at which TestMoveAtEveryStep injects its faults.
var moveEvents = []string{loanReceived, transferOffered, transferAccepted, transferDone}

// TestMoveAtEveryStep injects faults at each step of a move: partitions of two lengths,
// and the loss of either leader.
func TestMoveAtEveryStep(t *testing.T) {
	faults := map[string]federationFault{"cut": partitionFor(3 * time.Second), "long cut": partitionFor(25 * time.Second), "source": killSourceLeader, "target": killTargetLeader}
	for _, event := range moveEvents {
		for name, fault := range faults {
			t.Run(event+"/"+name, func(t *testing.T) {
				movingJobs{faultAt: event, fault: fault, mustMove: event == transferAccepted || event == transferDone}.run(t)
			})
		}
	}
}

func TestMoveWithoutFault(t *testing.T) {
	movingJobs{fault: noFederationFault, mustMove: true}.run(t)
}

func TestCancelInMidMove(t *testing.T) {
	for name, fault := range map[string]federationFault{"calm": noFederationFault, "cut": partitionFor(5 * time.Second), "target": killTargetLeader} {
		t.Run(name, func(t *testing.T) {
			movingJobs{faultAt: transferOffered, fault: fault, cancel: true}.run(t)
		})
	}
}

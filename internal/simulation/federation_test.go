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
	// deferrablePathPrefix is the path prefix of the route whose jobs may be transferred to the peer.
	deferrablePathPrefix = "/slow/"
	deferrableRoute      = `,{"name":"slow","hostName":"h","pathPrefix":"/slow/","kind":"writing","timeoutMs":3000,"targetMs":3000,"priority":2,"targetService":"svc","maxTries":3,"stretch":3}`
)

// forecastSettings are the settings that decide when a cluster is considered crowded.
// Days are short, so that a test records the demand of several.
type forecastSettings struct {
	crowdedAt        float64 // load as a fraction of the capacity
	bucketS, dayS    float64 // in seconds
	transfersEnabled bool
}

// federationFile returns the settings file that enables federation. The servers of the
// peer are the first hosts of its subnet.
func federationFile(name, peer string, peerSubnet int, forecast forecastSettings) string {
	lanes := ""
	if forecast.transfersEnabled {
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

// newFederatedPair creates two clusters that share a network and a history, so that a
// task that ran in both is detected. Only a transfers jobs; b is never crowded.
func newFederatedPair(t *testing.T, forecast forecastSettings) (a, b *Cluster) {
	t.Helper()
	network := NewNetwork()
	a = NewCluster(t, ClusterSpec{Servers: 3, Agents: 2, Network: network, Subnet: 1, Name: "a-", Federation: federationFile("a", "b", 2, forecast)})
	forecast.crowdedAt, forecast.transfersEnabled = 1, false
	b = NewCluster(t, ClusterSpec{Servers: 3, Agents: 2, Network: network, Subnet: 2, Name: "b-", History: a.History, Federation: federationFile("b", "a", 1, forecast)})
	for _, c := range []*Cluster{a, b} {
		c.WaitUntil("the first configuration is accepted", 20*time.Second, func() bool { return c.PutConfiguration(c.Name+"edge-1", 1, 0, deferrableRoute) == http.StatusOK })
	}
	time.Sleep(3 * time.Second)
	return a, b
}

// setClusterPartition blocks or unblocks all traffic between the servers of two
// clusters.
func setClusterPartition(a, b *Cluster, blocked bool) {
	for _, x := range a.nodeNames(edgeRole) {
		for _, y := range b.nodeNames(edgeRole) {
			setPartition(a.Network, a.NodeIP(x), b.NodeIP(y), blocked)
		}
	}
}

// federationFault is a fault of two clusters. It returns once the fault is repaired.
type federationFault func(a, b *Cluster)

func noFederationFault(_, _ *Cluster) {}

func partitionFor(duration time.Duration) federationFault {
	return func(a, b *Cluster) {
		setClusterPartition(a, b, true)
		time.Sleep(duration)
		setClusterPartition(a, b, false)
	}
}

func restartLeader(c *Cluster) {
	if leader := c.Leader(); leader != "" {
		c.Restart(2*time.Second, leader)
	}
}

func restartSourceLeader(a, _ *Cluster) { restartLeader(a) }
func restartTargetLeader(_, b *Cluster) { restartLeader(b) }

// transferTest submits deferrable jobs to an overloaded cluster, which tries to
// transfer all of them, and injects a fault.
type transferTest struct {
	// faultAt is a substring of a log line; the first line that contains it triggers
	// the fault. If it is empty, the fault starts 30 s after the last job was
	// submitted.
	faultAt      string
	fault        federationFault
	cancel       bool // cancel every other job
	mustTransfer bool
}

// run submits the jobs and requires that each of them ends and that no task is lost or
// run twice.
func (m transferTest) run(t *testing.T) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a, b := newFederatedPair(t, forecastSettings{crowdedAt: 0.001, bucketS: 1, dayS: 3, transfersEnabled: true})
		defer a.Shutdown()
		defer b.Shutdown()
		beginFault, faultBegun := m.prepareFault(a, b)
		overloadSource(a, b)
		const jobs = 6
		for i := range jobs {
			a.SubmitJobUnder(deferrablePathPrefix, jobID(i), newJob(400, 2000, 2))
			time.Sleep(100 * time.Millisecond)
		}
		if m.cancel {
			for i := 0; i < jobs; i += 2 {
				go a.CancelJobUnder(deferrablePathPrefix, "a-edge-1", jobID(i))
			}
		}
		time.Sleep(30 * time.Second)
		if m.faultAt == "" {
			beginFault()
		}
		for i := range jobs {
			a.WaitUntil("job "+jobID(i)+" has ended", 90*time.Second, func() bool {
				state := a.JobStateUnder(deferrablePathPrefix, "a-edge-2", jobID(i))
				return state == jobDone || state == jobCanceled
			})
		}
		select {
		case <-faultBegun:
		default:
			t.Errorf("no log line contains %q: the fault was not injected", m.faultAt)
		}
		m.requireAllDone(a, jobs)
		a.requireNoViolations()
	})
}

// prepareFault arranges for the fault to start at its log line. It returns a function
// that starts the fault at once, and a channel that is closed when the fault has
// started.
func (m transferTest) prepareFault(a, b *Cluster) (begin func(), begun chan struct{}) {
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

// overloadSource gives both clusters a demand history of several days, so that b
// forecasts free capacity, and fills a, so that deferrable jobs wait there and become
// eligible for transfer.
func overloadSource(a, b *Cluster) {
	for i := range 12 {
		a.SubmitJob(jobID(1000+i), newJob(50, 100, 1))
		b.SubmitJob(jobID(2000+i), newJob(50, 100, 1))
		time.Sleep(500 * time.Millisecond)
	}
	for i := range 8 {
		a.SubmitJob(jobID(3000+i), newJob(6000, 4000, 1))
	}
}

func (m transferTest) requireAllDone(a *Cluster, jobs int) {
	a.T.Helper()
	nodes, moved := a.completedOn(), 0
	for i := range jobs {
		for index := range 2 {
			task := fmt.Sprintf("%s.0.0.%d", jobID(i), index)
			if strings.HasPrefix(nodes[task], "b-") {
				moved++
			}
			if nodes[task] == "" && !m.cancel {
				a.T.Errorf("task %s never completed", task)
			}
		}
	}
	// Not required for every fault: an offer that is interrupted early is withdrawn,
	// and the job stays in the source cluster.
	if moved == 0 && m.mustTransfer {
		a.T.Error("no task ran in the peer cluster")
	}
}

// completedOn returns the node on which each completed task ran.
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

// Substrings of the log lines of a job transfer, in order of occurrence. The last two are statuses
// of transfer.settled.
const (
	loanReceived     = "loan.received"
	transferOffered  = "transfer.offered"
	transferAccepted = "status=taken"
	transferDone     = "status=done"
)

// transferEvents are the log lines at which TestTransferFaultAtEveryStep injects its faults.
var transferEvents = []string{loanReceived, transferOffered, transferAccepted, transferDone}

// TestTransferFaultAtEveryStep injects faults at each step of a job transfer: a short and a long
// partition between the clusters, and a restart of the leader of either cluster.
func TestTransferFaultAtEveryStep(t *testing.T) {
	faults := map[string]federationFault{"partition": partitionFor(3 * time.Second), "long partition": partitionFor(25 * time.Second), "source leader": restartSourceLeader, "target leader": restartTargetLeader}
	for _, event := range transferEvents {
		for name, fault := range faults {
			t.Run(event+"/"+name, func(t *testing.T) {
				transferTest{faultAt: event, fault: fault, mustTransfer: event == transferAccepted || event == transferDone}.run(t)
			})
		}
	}
}

func TestTransferWithoutFault(t *testing.T) {
	transferTest{fault: noFederationFault, mustTransfer: true}.run(t)
}

func TestCancelDuringTransfer(t *testing.T) {
	for name, fault := range map[string]federationFault{"no fault": noFederationFault, "partition": partitionFor(5 * time.Second), "target leader": restartTargetLeader} {
		t.Run(name, func(t *testing.T) {
			transferTest{faultAt: transferOffered, fault: fault, cancel: true}.run(t)
		})
	}
}

package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/agent"
	_ "tealpond/internal/api" // registers the edge role
	"tealpond/internal/daemon"
	"tealpond/internal/protocol"
	"tealpond/internal/settings"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// Cluster is whole daemons on one stand-in network.
type Cluster struct {
	T               *testing.T
	Network         *Network
	History         *History
	Name            string
	dir             string
	mu              sync.RWMutex // guards daemons
	nodes           map[string]*node
	Runners         map[string]*Runner
	subnet          int
	toleratedLosses int
	debug           bool
	addedServers    atomic.Int64 // machines added in mid-life
	lastVersion     atomic.Int64 // the newest number given to a configuration
	seeds           []string
	logOutput       io.Writer
	client          *http.Client
	stopHeartbeats  context.CancelFunc
	federationFile  string
	onLog           atomic.Pointer[func(line string)]
}

type node struct {
	name       string
	ip         string
	role       string
	server     bool
	firstStart bool
	zone       string
	order      int
	cancel     context.CancelCauseFunc
	done       chan struct{}
	logGate    gate
	reload     chan settings.File
}

// ClusterSpec is what a cluster is built of.
type ClusterSpec struct {
	Servers, Edges, Agents int
	ToleratedLosses        int
	Zones                  int // one if not said
	Network                *Network
	Subnet                 int
	Name                   string
	// Federation is the file that turns moving on, if any.
	Federation string
	// History is a history shared with another cluster, if any.
	History *History
	// Debug turns on the lines of that level, which Freeze needs.
	Debug bool
}

// NewCluster starts a cluster and waits for nothing.
func NewCluster(t *testing.T, spec ClusterSpec) *Cluster {
	if spec.Network == nil {
		spec.Network = NewNetwork()
	}
	cluster := &Cluster{T: t, Network: spec.Network, History: NewHistory(), Name: spec.Name, dir: t.TempDir(), nodes: map[string]*node{}, Runners: map[string]*Runner{}, subnet: spec.Subnet, logOutput: io.Discard}
	if spec.Federation != "" {
		cluster.federationFile = filepath.Join(cluster.dir, "moves.toml")
		if err := os.WriteFile(cluster.federationFile, []byte(spec.Federation), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if os.Getenv("TEALPOND_TEST_LOG") != "" {
		cluster.logOutput = os.Stderr
	}
	if spec.History != nil {
		cluster.History = spec.History
	}
	toleratedLosses := spec.ToleratedLosses
	if toleratedLosses == 0 {
		toleratedLosses = (spec.Servers - 1) / 2
	}
	cluster.toleratedLosses, cluster.debug = toleratedLosses, spec.Debug
	cluster.lastVersion.Store(1)
	zone := func(i int) string {
		if spec.Zones < 2 {
			return "z"
		}
		return fmt.Sprint("z", i%spec.Zones)
	}
	for i := range spec.Servers + spec.Edges {
		cluster.addNode(&node{zone: zone(i), name: fmt.Sprintf("%sedge-%d", spec.Name, i+1), ip: cluster.hostIP(i + 1), role: "edge", server: i < spec.Servers, firstStart: true})
		if i < 3 {
			cluster.seeds = append(cluster.seeds, cluster.hostIP(i+1)+":8166")
		}
	}
	for i := range spec.Agents {
		name := fmt.Sprintf("%sside-%d", spec.Name, i+1)
		cluster.addNode(&node{zone: zone(i), name: name, ip: cluster.hostIP(agentHost(i)), role: "side", firstStart: true})
		cluster.Runners[name] = NewRunner(cluster.History, name, "svc", int64(i+1))
		cluster.Runners[name].Zone = zone(i)
	}
	cluster.client = &http.Client{Transport: &http.Transport{DialContext: cluster.Network.Host(cluster.hostIP(clientHost)).DialContext}}
	for _, name := range cluster.nodeNames("") {
		cluster.Start(name, toleratedLosses)
	}
	ctx, stop := context.WithCancel(context.Background())
	cluster.stopHeartbeats = stop
	for name := range cluster.Runners {
		go cluster.sendHeartbeats(ctx, name)
	}
	return cluster
}

// firstAgentHost is the number of the first side daemon's address; those of outside
// callers, from 250 on, are left out.
const firstAgentHost = 100

func (c *Cluster) hostIP(i int) string { return fmt.Sprintf("10.%d.%d.%d", c.subnet, i/256, i%256) }

func agentHost(i int) int {
	if i += firstAgentHost; i >= 250 {
		return i + 10
	}
	return i
}

func (c *Cluster) addNode(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, other := range c.nodes {
		n.order = max(n.order, other.order+1)
	}
	c.nodes[n.name] = n
}

func (c *Cluster) node(name string) *node {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.nodes[name]
}

func (c *Cluster) nodeNames(role string) []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []string
	for name, n := range c.nodes {
		if role == "" || n.role == role {
			out = append(out, name)
		}
	}
	sort.Slice(out, func(x, y int) bool { return c.nodes[out[x]].order < c.nodes[out[y]].order })
	return out
}

// NodeIP is a daemon's address; one where nobody is for a daemon that was removed.
func (c *Cluster) NodeIP(name string) string {
	if n := c.node(name); n != nil {
		return n.ip
	}
	return c.hostIP(unusedHost)
}

func (c *Cluster) nodeSettings(n *node, toleratedLosses int) settings.File {
	s := settings.File{NodeName: n.name, IPAddress: n.ip, Zone: n.zone, InnerPortRange: []int{7720, 7730}, SeedNodes: c.seeds,
		FirstStart: n.firstStart, HeartbeatIntervalMs: 500, RunnerAddress: n.ip + ":8165"}
	s.Bounds = settings.Bounds{GraceS: 6, MaxLeaseMs: 6000, StopGraceMs: 400, DrainMs: 2500, GangWaitMs: 3000, StatusS: 120, SpreadFactor: 1.5, CheckpointEveryS: 1}
	s.Tolerance.LostMachines = toleratedLosses
	s.Limits.MemoryMb = 284
	s.ListenAddresses.Control = n.ip + ":8166"
	if n.role == "edge" {
		s.Serves = []string{"edge", "control"}
		s.ListenAddresses.FrontHTTP, s.ListenAddresses.Readiness = n.ip+":8161", n.ip+":8167"
		if n.server {
			s.DataDir, s.LossCounts = filepath.Join(c.dir, n.name), true
			_ = os.MkdirAll(s.DataDir, 0o755)
		}
	} else {
		s.Serves = []string{"side"}
	}
	return s
}

// Start starts a daemon; it must not be running.
func (c *Cluster) Start(name string, toleratedLosses int) {
	n := c.node(name)
	nodeSettings := c.nodeSettings(n, toleratedLosses)
	ctx, cancel := context.WithCancelCause(transport.WithNetwork(context.Background(), c.Network.Host(n.ip)))
	environment := daemon.Environment{Settings: nodeSettings, Log: log.NewLogfmtLogger(log.NewSyncWriter(logObserver{c})), ProcessID: fmt.Sprint(time.Now().UnixNano()), Reload: make(chan settings.File, 1), Trace: tracing.NewRing(4096)}
	if n.server {
		environment.FederationFile = c.federationFile
	}
	environment.Debug = c.debug || c.logOutput != io.Discard
	n.reload = environment.Reload
	environment.Log = log.With(gatedLogger{&n.logGate, environment.Log}, "t", log.Valuer(func() any { return time.Now().Format("05.000") }), "node", name)
	var role daemon.Role
	if n.role == "side" {
		role = agent.New(environment, c.Runners[name])
	} else {
		spec, _ := daemon.FindRole("edge")
		var err error
		if role, err = spec.New(environment); err != nil {
			c.T.Fatalf("%s: %v", name, err)
		}
	}
	n.cancel, n.done, n.firstStart = cancel, make(chan struct{}), false
	// Why labels: a profile then tells the daemons of one process apart.
	go pprof.Do(ctx, pprof.Labels("role", n.role, "node", name), func(ctx context.Context) {
		if err := role.Run(ctx); err != nil {
			c.T.Errorf("%s: %v", name, err)
		}
		close(n.done)
	})
}

// logObserver hands each line of a log to the test.
type logObserver struct{ cluster *Cluster }

func (w logObserver) Write(p []byte) (int, error) {
	if f := w.cluster.onLog.Load(); f != nil {
		(*f)(string(p))
	}
	return w.cluster.logOutput.Write(p)
}

// Kill ends a daemon at once.
func (c *Cluster) Kill(name string) {
	n := c.node(name)
	c.Network.TakeDown(n.ip)
	n.cancel(daemon.ErrKilled)
	<-n.done
	c.Network.TakeDown(n.ip)
}

// Terminate asks a daemon to end and waits for it.
func (c *Cluster) Terminate(name string) {
	n := c.node(name)
	n.cancel(context.Canceled)
	<-n.done
	c.Network.TakeDown(n.ip)
}

// WipeDisk empties the disk of a daemon that isn't running.
func (c *Cluster) WipeDisk(name string) {
	if err := os.RemoveAll(filepath.Join(c.dir, name)); err != nil {
		c.T.Fatal(err)
	}
}

// SetPartition cuts a daemon off from some others, both ways, or joins it again.
func (c *Cluster) SetPartition(name string, blocked bool, others ...string) {
	for _, other := range others {
		for _, pair := range [][2]string{{c.NodeIP(name), c.NodeIP(other)}, {c.NodeIP(other), c.NodeIP(name)}} {
			if blocked {
				c.Network.Block(pair[0], pair[1])
			} else {
				c.Network.Unblock(pair[0], pair[1])
			}
		}
	}
}

// Shutdown stops everything.
func (c *Cluster) Shutdown() {
	c.stopHeartbeats()
	for _, n := range c.nodeNames("") {
		d := c.node(n)
		d.logGate.open()
		d.cancel(daemon.ErrKilled)
	}
	for _, n := range c.nodeNames("") {
		d := c.node(n)
		<-d.done
		c.Network.TakeDown(d.ip)
	}
	c.client.CloseIdleConnections()
	time.Sleep(15 * time.Second)
}

func (c *Cluster) sendHeartbeats(ctx context.Context, name string) {
	for ctx.Err() == nil {
		incarnation, heartbeat := c.Runners[name].heartbeat()
		code, _, _ := c.request(http.MethodPost, "http://"+c.NodeIP(name)+":8166/-/Runners.Heartbeat/"+incarnation, "", heartbeat, nil)
		if code == 200 && heartbeat.State == "draining" {
			c.History.record(Event{Kind: "draining", Node: name, Incarnation: incarnation})
		}
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (c *Cluster) request(method, url, host string, body any, headers map[string]string) (int, []byte, http.Header) {
	return c.requestFrom(c.client, 3*time.Second, method, url, host, body, headers)
}

// requestFrom makes a call by a caller's own connections, within a time.
func (c *Cluster) requestFrom(client *http.Client, timeout time.Duration, method, url, host string, body any, headers map[string]string) (int, []byte, http.Header) {
	raw, _ := json.Marshal(body)
	if s, ok := body.(string); ok {
		raw = []byte(s)
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		c.T.Fatal(err)
	}
	if host != "" {
		request.Host = host
	}
	for k, v := range headers {
		request.Header.Set(k, v)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	out, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, nil
	}
	return response.StatusCode, out, response.Header
}

const configurationFormat = `{"configVersion":%d,"routeList":[{"name":"a","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":3000,"targetMs":250,"priority":0,"targetService":"svc","maxTries":3,"stretch":1.5}%s],"serviceList":[{"name":"svc","guards":true}]}`

// PutConfiguration sends a desired state to a daemon.
func (c *Cluster) PutConfiguration(node string, version, base int, moreRoutes string) int {
	call := Call{Sent: time.Now(), Node: node, Kind: CallReplace, Version: int64(version), Base: int64(base), Text: fmt.Sprintf(configurationFormat, version, moreRoutes)}
	code, _, headers := c.request(http.MethodPost, "http://"+c.NodeIP(node)+":8166/-/Config.Replace", "", call.Text, map[string]string{protocol.HeaderBasedOn: fmt.Sprint(base)})
	call.Done, call.Code, call.HasRetryAfter = time.Now(), code, headers.Get(protocol.HeaderRetryAfter) != ""
	c.History.recordCall(call)
	return code
}

// WaitReady puts the first desired state and waits until all workers are known.
func (c *Cluster) WaitReady() {
	c.T.Helper()
	c.WaitUntil("the first desired state is taken", 20*time.Second, func() bool { return c.PutConfiguration(c.Name+"edge-1", 1, 0, "") == 200 })
	time.Sleep(3 * time.Second)
}

// WaitUntil waits for something on the test's clock.
func (c *Cluster) WaitUntil(what string, timeout time.Duration, condition func() bool) {
	c.T.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.T.Fatalf("not within %v: %s", timeout, what)
}

// SubmitJob sends a job, again to other daemons, until the answer is clear.
func (c *Cluster) SubmitJob(id string, job protocol.Job) bool {
	return c.SubmitJobUnder("/p/", id, job)
}

// clientRequest makes a client's call about a job and takes it down.
func (c *Cluster) clientRequest(node, kind, method, path string, body any) (int, []byte) {
	call := Call{Sent: time.Now(), Node: node, Kind: kind}
	code, raw, headers := c.request(method, "http://"+c.NodeIP(node)+":8161"+path, "h", body, map[string]string{protocol.HeaderTimeLeft: "2000"})
	call.Done, call.Code, call.HasRetryAfter = time.Now(), code, headers.Get(protocol.HeaderRetryAfter) != ""
	c.History.recordCall(call)
	return code, raw
}

// SubmitJobUnder is SubmitJob to another inbox.
func (c *Cluster) SubmitJobUnder(pathPrefix, id string, job protocol.Job) bool {
	submitted := &SubmittedJob{JobSpec: job.Spec, MaxAttempts: 3}
	for _, s := range job.Steps {
		submitted.TaskCounts = append(submitted.TaskCounts, s.TaskCount)
		submitted.Dependencies = append(submitted.Dependencies, s.DependsOn)
		submitted.AllowsCopies = submitted.AllowsCopies || s.Speculative
	}
	c.History.mu.Lock()
	c.History.Jobs[id] = submitted
	c.History.mu.Unlock()
	edges := c.nodeNames("edge")
	refused := true
	for attempt := range 12 {
		node := edges[(int(id[15])+attempt)%len(edges)]
		code, _ := c.clientRequest(node, CallSubmit, http.MethodPost, pathPrefix+id, job)
		if code == 200 {
			c.History.mu.Lock()
			submitted.Accepted = true
			c.History.mu.Unlock()
			return true
		}
		if code != 429 && code != 503 {
			refused = false
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.History.mu.Lock()
	submitted.Rejected = refused
	c.History.mu.Unlock()
	return false
}

// JobState asks for a job's state at a daemon, or an HTTP code.
func (c *Cluster) JobState(node, id string) string { return c.JobStateUnder("/p/", node, id) }

// JobStateUnder is State at another inbox.
func (c *Cluster) JobStateUnder(pathPrefix, node, id string) string {
	code, raw := c.clientRequest(node, CallStatus, http.MethodGet, pathPrefix+id, "")
	if code != 200 {
		if code == 410 {
			c.History.record(Event{Kind: "shown", Job: id, State: "410"})
		}
		return fmt.Sprint(code)
	}
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &a)
	c.History.record(Event{Kind: "shown", Job: id, State: a.State})
	return a.State
}

// CancelJob calls a job off.
func (c *Cluster) CancelJob(node, id string) int { return c.CancelJobUnder("/p/", node, id) }

// CancelJobUnder is Cancel at another inbox.
func (c *Cluster) CancelJobUnder(pathPrefix, node, id string) int {
	c.History.mu.Lock()
	if j := c.History.Jobs[id]; j != nil {
		j.CancelRequested = true
	}
	c.History.mu.Unlock()
	code, _ := c.clientRequest(node, CallCancel, http.MethodDelete, pathPrefix+id, "")
	if code == 200 {
		c.History.mu.Lock()
		if j := c.History.Jobs[id]; j != nil && j.CancelledAt.IsZero() {
			j.CancelledAt = time.Now()
		}
		c.History.mu.Unlock()
	}
	return code
}

// Leader is the core daemon that answers a read of the desired state fastest;
// used only to choose whom to harm.
func (c *Cluster) Leader() string {
	for _, n := range c.nodeNames("edge") {
		if d := c.node(n); d.server {
			if l := leaderKnownTo(c, n); l != "" {
				return l
			}
		}
	}
	return ""
}

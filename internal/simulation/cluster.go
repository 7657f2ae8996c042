package simulation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tealpond/internal/settings"
)

// Roles of daemons, as their settings name them.
const (
	edgeRole  = "edge" // serves clients and operators, and may be a server
	agentRole = "side" // is the agent of the runner on its machine
	// gatewayRole forwards client requests to runners, and may be a server.
	gatewayRole = "gateway"
)

// Cluster is a cluster of whole daemons on one simulated network. A node is a
// daemon with its machine and is identified by its name.
type Cluster struct {
	T       *testing.T
	Network *Network
	History *History
	Name    string             // the prefix of the nodes' names
	Runners map[string]*Runner // by agent

	dir             string
	mu              sync.RWMutex // guards nodes
	nodes           map[string]*node
	subnet          int
	toleratedLosses int
	debug           bool
	tallies         bool
	addedServers    atomic.Int64
	lastVersion     atomic.Int64 // the newest configuration version that was allocated
	seeds           []string
	logOutput       io.Writer
	client          *http.Client
	stopHeartbeats  context.CancelFunc
	federationFile  string
	onLog           atomic.Pointer[func(line string)] // called for each line of a log
	platform        *Platform                         // nil unless the cluster consists of gateways
}

// node is a daemon and its machine.
type node struct {
	name       string
	ip         string
	role       string
	server     bool // holds a replica of the state
	firstStart bool
	zone       string
	order      int // position in the order in which nodes were added
	cancel     context.CancelCauseFunc
	done       chan struct{} // closed when the daemon has ended
	logGate    gate
	syncTime   atomic.Int64 // duration of a disk sync, in ns
	reload     chan settings.File
}

// ClusterSpec specifies a cluster.
type ClusterSpec struct {
	// Servers is the number of nodes that hold the state, Edges that of nodes that
	// serve clients without a disk, and Agents that of nodes with a runner.
	Servers, Edges, Agents int
	// ToleratedLosses is the number of servers that may be lost. 0 means as many
	// as leave a majority.
	ToleratedLosses int
	// Zones is the number of zones over which the nodes are spread; at least one.
	Zones int
	// Network is a network shared with another cluster, if any. The clusters then
	// have different subnets and names.
	Network *Network
	Subnet  int
	Name    string
	// Federation is the content of the file that enables federation, if any.
	Federation string
	// History is a history shared with another cluster, if any.
	History *History
	// Gateway makes all servers and edges gateways, with a platform that lists their
	// runners. Such a cluster runs no jobs.
	Gateway bool
	// Announced makes the gateways' runners register by heartbeats instead of being
	// listed by a platform.
	Announced bool
	// Tallies enables tallies, which stay available on both sides of a partition.
	Tallies bool
	// Debug makes daemons log at the debug level. The fault Frozen needs it, since it
	// blocks a daemon when it writes a log line.
	Debug bool
}

// zone returns the zone of the i-th node of a kind.
func (spec ClusterSpec) zone(i int) string {
	if spec.Zones < 2 {
		return "z"
	}
	return fmt.Sprint("z", i%spec.Zones)
}

// frontRole returns the role of servers and edges.
func (spec ClusterSpec) frontRole() string {
	if spec.Gateway {
		return gatewayRole
	}
	return edgeRole
}

// seedCount is the number of seed nodes in the settings of a new cluster.
const seedCount = 3

// NewCluster starts a cluster and returns without waiting until it is ready.
func NewCluster(t *testing.T, spec ClusterSpec) *Cluster {
	if spec.Network == nil {
		spec.Network = NewNetwork()
	}
	if spec.History == nil {
		spec.History = NewHistory()
	}
	if spec.ToleratedLosses == 0 {
		spec.ToleratedLosses = (spec.Servers - 1) / 2
	}
	c := &Cluster{T: t, Network: spec.Network, History: spec.History, Name: spec.Name, dir: t.TempDir(), nodes: map[string]*node{}, Runners: map[string]*Runner{},
		subnet: spec.Subnet, toleratedLosses: spec.ToleratedLosses, debug: spec.Debug, tallies: spec.Tallies, logOutput: io.Discard}
	if spec.Federation != "" {
		c.federationFile = filepath.Join(c.dir, "moves.toml")
		if err := os.WriteFile(c.federationFile, []byte(spec.Federation), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if os.Getenv("TEALPOND_TEST_LOG") != "" {
		c.logOutput = os.Stderr
	}
	c.lastVersion.Store(1)
	if spec.Gateway {
		c.platform = NewPlatform(c)
		c.platform.announces = spec.Announced
	}
	c.addNodes(spec)
	c.client = &http.Client{Transport: &http.Transport{DialContext: c.Network.Host(c.hostIP(clientHost)).DialContext}}
	c.startAll()
	return c
}

// startAll starts all nodes and the runners' heartbeats.
func (c *Cluster) startAll() {
	for _, name := range c.nodeNames("") {
		c.Start(name)
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stopHeartbeats = stop
	for name := range c.Runners {
		go c.sendHeartbeats(ctx, name)
	}
}

// addNodes adds the nodes and runners of a new cluster.
func (c *Cluster) addNodes(spec ClusterSpec) {
	for i := range spec.Servers + spec.Edges {
		ip := c.hostIP(i + 1)
		c.addNode(&node{zone: spec.zone(i), name: fmt.Sprintf("%sedge-%d", spec.Name, i+1), ip: ip, role: spec.frontRole(), server: i < spec.Servers, firstStart: true})
		if i < seedCount {
			c.seeds = append(c.seeds, address(ip, controlPort))
		}
	}
	for i := range spec.Agents {
		name := fmt.Sprintf("%sside-%d", spec.Name, i+1)
		c.addNode(&node{zone: spec.zone(i), name: name, ip: c.hostIP(agentHost(i)), role: agentRole, firstStart: true})
		c.Runners[name] = NewRunner(c.History, name, "svc", int64(i+1))
		c.Runners[name].Zone = spec.zone(i)
		c.History.zones[name] = spec.zone(i)
	}
}

// addNode adds a node without starting it.
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

// nodeNames returns the nodes of a role, or all nodes, in the order in which they
// were added.
func (c *Cluster) nodeNames(role string) []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var names []string
	for name, n := range c.nodes {
		if role == "" || n.role == role {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(x, y int) bool { return c.nodes[names[x]].order < c.nodes[names[y]].order })
	return names
}

// Servers returns the nodes that hold the state.
func (c *Cluster) Servers() []string {
	var servers []string
	for _, name := range c.nodeNames("") {
		if c.node(name).server {
			servers = append(servers, name)
		}
	}
	return servers
}

// AddServer starts a new server at a new address with an empty disk and returns its name.
func (c *Cluster) AddServer(zone string) string {
	number := int(c.addedServers.Add(1))
	added := &node{zone: zone, name: fmt.Sprintf("%snew-%d", c.Name, number), ip: c.hostIP(addedServerHost + number), role: edgeRole, server: true}
	c.addNode(added)
	c.Start(added.name)
	return added.name
}

// RemoveNode permanently removes a node that isn't running.
func (c *Cluster) RemoveNode(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, name)
}

// SetSeeds sets the seed nodes in all settings that are written from now on.
func (c *Cluster) SetSeeds(names ...string) {
	c.seeds = nil
	for _, name := range names {
		c.seeds = append(c.seeds, c.nodeAddress(name, controlPort))
	}
}

// WaitReady sends the first configuration, waits until it is accepted, and then waits long
// enough for all workers to register.
func (c *Cluster) WaitReady() {
	c.T.Helper()
	c.WaitUntil("the first configuration is accepted", 20*time.Second, func() bool { return c.PutConfiguration(c.Name+"edge-1", 1, 0, "") == http.StatusOK })
	time.Sleep(3 * time.Second)
}

// WaitUntil waits for a condition and fails the test if it is not met in time.
func (c *Cluster) WaitUntil(what string, timeout time.Duration, condition func() bool) {
	c.T.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.T.Fatalf("condition not met within %v: %s", timeout, what)
}

package simulation

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Hosts of callers from outside.
const (
	clientHost   = 250 // clients, and the runners' beats
	probeHost    = 251
	adminHost    = 252
	operatorHost = 253
	unusedHost   = 254
)

// addedServerHost is the number before the first added machine's address.
const addedServerHost = 60

// gate holds up whoever passes while it is shut.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) pass() {
	g.mu.Lock()
	ch := g.closed
	g.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (g *gate) close() {
	g.mu.Lock()
	g.closed = make(chan struct{})
	g.mu.Unlock()
}

func (g *gate) open() {
	g.mu.Lock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
	g.mu.Unlock()
}

// gatedLogger is a log whose lines wait at a gate, and their writers with them.
type gatedLogger struct {
	gate   *gate
	logger log.Logger
}

func (g gatedLogger) Log(kv ...any) error {
	g.gate.pass()
	return g.logger.Log(kv...)
}

// Ways of harming a daemon; each but IsolateFromClients, Frozen and Slowed leaves it
// without a majority.
const (
	IsolateBothWays    = "both ways"
	IsolateInbound     = "hears nobody"
	IsolateOutbound    = "heard by nobody"
	IsolateFromServers = "from the core"
	IsolateFromClients = "from clients"
	Frozen             = "frozen"
	Slowed             = "slowed"
)

// slowedDelay is what a slowed daemon's frames wait on each way: five times what
// a command takes from its client to its commit.
const slowedDelay = 50 * time.Millisecond

// InjectFault harms a daemon in a way and gives what ends it.
func (c *Cluster) InjectFault(name, fault string) func() {
	target := c.node(name)
	var others []string
	for _, n := range c.nodeNames("") {
		if other := c.node(n); n != name && (fault != IsolateFromServers || other.server) {
			others = append(others, other.ip)
		}
	}
	clients := []string{c.hostIP(clientHost), c.hostIP(operatorHost)}
	inbound, outbound := true, true
	switch fault {
	case IsolateInbound:
		outbound = false
	case IsolateOutbound:
		inbound = false
	case IsolateFromClients:
		others = clients
	case Frozen:
		others = append(others, append(clients, c.hostIP(probeHost), c.hostIP(adminHost))...)
		// Why the log too: its next line holds up the core's loop, which
		// then meets what has gathered, as after a thaw.
		target.logGate.close()
	case Slowed:
		c.Network.SetDelay(target.ip, slowedDelay)
		return func() { c.Network.SetDelay(target.ip, 0) }
	}
	for _, other := range others {
		if inbound {
			c.Network.Block(other, target.ip)
		}
		if outbound {
			c.Network.Block(target.ip, other)
		}
	}
	isolated := target.role == "edge" && fault != IsolateFromClients && fault != Frozen
	if isolated {
		c.History.record(Event{Kind: "alone", Node: name})
	}
	return func() {
		if isolated {
			c.History.record(Event{Kind: "joined", Node: name})
		}
		for _, other := range others {
			c.Network.Unblock(other, target.ip)
			c.Network.Unblock(target.ip, other)
		}
		target.logGate.open()
	}
}

// AddServer starts a new core machine at a new address, with an empty disk.
func (c *Cluster) AddServer(zone string) string {
	n := int(c.addedServers.Add(1))
	added := &node{zone: zone, name: fmt.Sprintf("%snew-%d", c.Name, n), ip: c.hostIP(addedServerHost + n), role: "edge", server: true}
	c.addNode(added)
	c.Start(added.name, c.toleratedLosses)
	return added.name
}

// RemoveNode takes a machine that isn't running away for good.
func (c *Cluster) RemoveNode(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, name)
}

// ReloadSettings hands a daemon its settings anew, as SIGHUP does.
func (c *Cluster) ReloadSettings(name string) {
	n := c.node(name)
	select {
	case n.reload <- c.nodeSettings(n, c.toleratedLosses):
	default:
	}
}

// SetSeeds sets the seeds in all settings from now on.
func (c *Cluster) SetSeeds(names ...string) {
	c.seeds = nil
	for _, n := range names {
		c.seeds = append(c.seeds, c.NodeIP(n)+":8166")
	}
}

// Restart kills a daemon and starts it again after a while.
func (c *Cluster) Restart(downtime time.Duration, names ...string) {
	for _, n := range names {
		c.Kill(n)
	}
	time.Sleep(downtime)
	for _, n := range names {
		c.Start(n, c.toleratedLosses)
	}
}

// Servers are the daemons that hold state.
func (c *Cluster) Servers() []string {
	var out []string
	for _, n := range c.nodeNames("edge") {
		if c.node(n).server {
			out = append(out, n)
		}
	}
	return out
}

// IsReady asks a daemon whether it counts itself ready.
func (c *Cluster) IsReady(name string) bool {
	code, _, _ := c.request("GET", "http://"+c.NodeIP(name)+":8167/-/readiness", "", "", nil)
	return code == 200
}

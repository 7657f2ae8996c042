package sim

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
	toolHost     = 252
	operatorHost = 253
	nobody       = 254
)

// newBase is the number before the first added machine's address.
const newBase = 60

// gate holds up whoever passes while it is shut.
type gate struct {
	mu   sync.Mutex
	shut chan struct{}
}

func (g *gate) pass() {
	g.mu.Lock()
	ch := g.shut
	g.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (g *gate) close() {
	g.mu.Lock()
	g.shut = make(chan struct{})
	g.mu.Unlock()
}

func (g *gate) open() {
	g.mu.Lock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
	g.mu.Unlock()
}

// gated is a log whose lines wait at a gate, and their writers with them.
type gated struct {
	g *gate
	l log.Logger
}

func (g gated) Log(kv ...any) error {
	g.g.pass()
	return g.l.Log(kv...)
}

// Ways of harming a daemon; each but CutClients, Frozen and Slowed leaves it
// without a majority.
const (
	CutBoth    = "both ways"
	CutIn      = "hears nobody"
	CutOut     = "heard by nobody"
	CutCore    = "from the core"
	CutClients = "from clients"
	Frozen     = "frozen"
	Slowed     = "slowed"
)

// slowedBy is what a slowed daemon's frames wait on each way: five times what
// a command takes from its client to its commit.
const slowedBy = 50 * time.Millisecond

// Harm harms a daemon in a way and gives what ends it.
func (c *Cluster) Harm(name, how string) func() {
	d := c.daemon(name)
	var others []string
	for _, n := range c.names("") {
		if o := c.daemon(n); n != name && (how != CutCore || o.core) {
			others = append(others, o.ip)
		}
	}
	clients := []string{c.ip(clientHost), c.ip(operatorHost)}
	in, out := true, true
	switch how {
	case CutIn:
		out = false
	case CutOut:
		in = false
	case CutClients:
		others = clients
	case Frozen:
		others = append(others, append(clients, c.ip(probeHost), c.ip(toolHost))...)
		// Why the log too: its next line holds up the core's loop, which
		// then meets what has gathered, as after a thaw.
		d.gate.close()
	case Slowed:
		c.Net.Slow(d.ip, slowedBy)
		return func() { c.Net.Slow(d.ip, 0) }
	}
	for _, o := range others {
		if in {
			c.Net.Cut(o, d.ip)
		}
		if out {
			c.Net.Cut(d.ip, o)
		}
	}
	single := d.role == "edge" && how != CutClients && how != Frozen
	if single {
		c.Hist.add(Fact{Kind: "alone", Node: name})
	}
	return func() {
		if single {
			c.Hist.add(Fact{Kind: "joined", Node: name})
		}
		for _, o := range others {
			c.Net.Join(o, d.ip)
			c.Net.Join(d.ip, o)
		}
		d.gate.open()
	}
}

// Add starts a new core machine at a new address, with an empty disk.
func (c *Cluster) Add(zone string) string {
	n := int(c.added.Add(1))
	d := &daemon{zone: zone, name: fmt.Sprintf("%snew-%d", c.Name, n), ip: c.ip(newBase + n), role: "edge", core: true}
	c.add(d)
	c.Start(d.name, c.lost)
	return d.name
}

// Remove takes a machine that isn't running away for good.
func (c *Cluster) Remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.daemons, name)
}

// Reload hands a daemon its settings anew, as SIGHUP does.
func (c *Cluster) Reload(name string) {
	d := c.daemon(name)
	select {
	case d.set <- c.settings(d, c.lost):
	default:
	}
}

// SeedsAre sets the seeds in all settings from now on.
func (c *Cluster) SeedsAre(names ...string) {
	c.seeds = nil
	for _, n := range names {
		c.seeds = append(c.seeds, c.IP(n)+":8166")
	}
}

// Bounce kills a daemon and starts it again after a while.
func (c *Cluster) Bounce(down time.Duration, names ...string) {
	for _, n := range names {
		c.Kill(n)
	}
	time.Sleep(down)
	for _, n := range names {
		c.Start(n, c.lost)
	}
}

// Core are the daemons that hold state.
func (c *Cluster) Core() []string {
	var out []string
	for _, n := range c.names("edge") {
		if c.daemon(n).core {
			out = append(out, n)
		}
	}
	return out
}

// ReadyAt asks a daemon whether it counts itself ready.
func (c *Cluster) ReadyAt(name string) bool {
	code, _, _ := c.call("GET", "http://"+c.IP(name)+":8167/-/readiness", "", "", nil)
	return code == 200
}

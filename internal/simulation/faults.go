package simulation

import "time"

// Faults of a node. The values are also names of subtests. Each fault except
// IsolateFromClients, Frozen and Slowed leaves the node without a majority.
const (
	IsolateBothWays    = "isolated"
	IsolateInbound     = "inbound blocked"
	IsolateOutbound    = "outbound blocked"
	IsolateFromServers = "isolated from the servers"
	IsolateFromClients = "isolated from clients"
	Frozen             = "frozen"
	Slowed             = "slowed"
)

// slowedDelay is the added delay of a slowed node's data in each direction: five times what
// a command takes from its client to its commit.
const slowedDelay = 50 * time.Millisecond

// InjectFault injects a fault into a node and returns a function that repairs it.
func (c *Cluster) InjectFault(name, fault string) func() {
	target := c.node(name)
	var others []string
	for _, otherName := range c.nodeNames("") {
		if other := c.node(otherName); otherName != name && (fault != IsolateFromServers || other.server) {
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
		// The node's event loop blocks at its next log line. After the repair it has to
		// process all that has queued up meanwhile, like a process that was suspended.
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
	isolated := target.role == edgeRole && fault != IsolateFromClients && fault != Frozen
	if isolated {
		c.History.record(Event{Kind: EventIsolated, Node: name})
	}
	return func() {
		if isolated {
			c.History.record(Event{Kind: EventReconnected, Node: name})
		}
		for _, other := range others {
			c.Network.Unblock(other, target.ip)
			c.Network.Unblock(target.ip, other)
		}
		target.logGate.open()
	}
}

// SetSyncTime sets how long a sync of a server's disk takes. 0 means no delay.
func (c *Cluster) SetSyncTime(name string, duration time.Duration) {
	c.node(name).syncTime.Store(int64(duration))
}

// SetPartition blocks or unblocks both directions between a node and others.
func (c *Cluster) SetPartition(name string, blocked bool, others ...string) {
	for _, other := range others {
		setPartition(c.Network, c.NodeIP(name), c.NodeIP(other), blocked)
	}
}

// setPartition blocks or unblocks both directions between two hosts.
func setPartition(network *Network, a, b string, blocked bool) {
	for _, direction := range [][2]string{{a, b}, {b, a}} {
		if blocked {
			network.Block(direction[0], direction[1])
		} else {
			network.Unblock(direction[0], direction[1])
		}
	}
}

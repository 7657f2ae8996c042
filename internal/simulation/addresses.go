package simulation

import (
	"fmt"
	"net"
	"strconv"
)

// Ports of each node, as given in its settings.
const (
	clientPort    = 8161
	runnerPort    = 8165
	controlPort   = 8166
	readinessPort = 8167
	daemonPort    = 7720 // the first port of the range for daemon-to-daemon traffic
)

// Host numbers in a cluster's subnet. Servers and edges start at 1.
const (
	addedServerHost = 60 // the first server that is added later gets the next number
	firstAgentHost  = 100
	clientHost      = 250 // clients, and the runners' heartbeats
	probeHost       = 251
	adminHost       = 252
	operatorHost    = 253
	unusedHost      = 254
)

// agentHost returns the host number of the i-th agent. It skips the numbers of
// external callers.
func agentHost(i int) int {
	if i += firstAgentHost; i >= clientHost {
		return i + 10
	}
	return i
}

func (c *Cluster) hostIP(host int) string {
	return fmt.Sprintf("10.%d.%d.%d", c.subnet, host/256, host%256)
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// NodeIP returns a node's IP address, or the address of unusedHost if the node was
// removed.
func (c *Cluster) NodeIP(name string) string {
	if n := c.node(name); n != nil {
		return n.ip
	}
	return c.hostIP(unusedHost)
}

// nodeAddress returns the address of one of a node's ports.
func (c *Cluster) nodeAddress(name string, port int) string { return address(c.NodeIP(name), port) }

// nodeURL returns a URL at one of a node's ports.
func (c *Cluster) nodeURL(name string, port int, path string) string {
	return "http://" + c.nodeAddress(name, port) + path
}

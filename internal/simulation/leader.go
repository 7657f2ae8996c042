package simulation

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// Leader returns the leader according to the first server that names one, which may be the
// server itself. It is empty if no server knows a leader.
func (c *Cluster) Leader() string {
	for _, name := range c.Servers() {
		if leader := c.leaderKnownTo(name); leader != "" {
			return leader
		}
	}
	return ""
}

// leaderKnownTo returns the leader according to a node, or an empty string if it knows none.
func (c *Cluster) leaderKnownTo(name string) string {
	response, err := c.probe(name)
	var info rpc.LeaderInfo
	if err != nil || transport.Decode(response.Body, &info) != nil {
		return ""
	}
	if info.IsLeader {
		return name
	}
	return c.nodeAt(info.Leader)
}

// nodeAt returns the node whose daemon listens at an address, or an empty string.
func (c *Cluster) nodeAt(addr string) string {
	for _, name := range c.nodeNames("") {
		if c.nodeAddress(name, daemonPort) == addr {
			return name
		}
	}
	return ""
}

// AppliedIndex returns the index up to which a server has applied its log, or 0 if the
// server does not respond.
func (c *Cluster) AppliedIndex(name string) uint64 {
	response, err := c.probe(name)
	if err != nil {
		return 0
	}
	return response.AppliedIndex
}

// probe sends a node the request for the leader that daemons send to each other.
func (c *Cluster) probe(name string) (rpc.Response, error) {
	ctx, stop := context.WithTimeout(transport.WithNetwork(context.Background(), c.Network.Host(c.hostIP(probeHost))), time.Second)
	defer stop()
	return rpc.Call(ctx, c.nodeAddress(name, daemonPort), rpc.KindLeader, nil, time.Second)
}

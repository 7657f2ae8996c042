package simulation

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// Leader returns a node that believes itself to be the leader, or that some server
// believes to be: the first answer counts. It is empty if there is none.
func (c *Cluster) Leader() string {
	for _, name := range c.Servers() {
		if leader := c.leaderKnownTo(name); leader != "" {
			return leader
		}
	}
	return ""
}

// leaderKnownTo asks a node for the leader; empty if it knows none.
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

// nodeAt returns the node whose daemon has an address, or nothing.
func (c *Cluster) nodeAt(addr string) string {
	for _, name := range c.nodeNames("") {
		if c.nodeAddress(name, daemonPort) == addr {
			return name
		}
	}
	return ""
}

// AppliedIndex is the index up to which a server has applied its log, or 0 if it
// doesn't answer.
func (c *Cluster) AppliedIndex(name string) uint64 {
	response, err := c.probe(name)
	if err != nil {
		return 0
	}
	return response.AppliedIndex
}

// probe asks a node for the leader, as daemons do.
func (c *Cluster) probe(name string) (rpc.Response, error) {
	ctx, stop := context.WithTimeout(transport.WithNetwork(context.Background(), c.Network.Host(c.hostIP(probeHost))), time.Second)
	defer stop()
	return rpc.Call(ctx, c.nodeAddress(name, daemonPort), rpc.KindLeader, nil, time.Second)
}

package simulation

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// AppliedIndex is how far a core daemon's log is applied, 0 if it doesn't say.
func (c *Cluster) AppliedIndex(node string) uint64 {
	ctx, stop := context.WithTimeout(transport.WithNetwork(context.Background(), c.Network.Host(c.hostIP(probeHost))), time.Second)
	defer stop()
	response, err := rpc.Call(ctx, c.NodeIP(node)+":7720", rpc.KindLeader, nil, time.Second)
	if err != nil {
		return 0
	}
	return response.AppliedIndex
}

// leaderKnownTo asks a daemon who leads.
func leaderKnownTo(cluster *Cluster, node string) string {
	ctx, stop := context.WithTimeout(transport.WithNetwork(context.Background(), cluster.Network.Host(cluster.hostIP(probeHost))), time.Second)
	defer stop()
	response, err := rpc.Call(ctx, cluster.NodeIP(node)+":7720", rpc.KindLeader, nil, time.Second)
	var view rpc.LeaderInfo
	if err != nil || transport.Decode(response.Body, &view) != nil {
		return ""
	}
	if view.IsLeader {
		return node
	}
	for _, n := range cluster.nodeNames("") {
		if cluster.NodeIP(n)+":7720" == view.Leader {
			return n
		}
	}
	return ""
}

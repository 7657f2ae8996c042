package sim

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// Applied is how far a core daemon's log is applied, 0 if it doesn't say.
func (c *Cluster) Applied(at string) uint64 {
	ctx, stop := context.WithTimeout(transport.WithNetwork(context.Background(), c.Net.Host(c.ip(probeHost))), time.Second)
	defer stop()
	r, err := rpc.Call(ctx, c.IP(at)+":7720", rpc.KindLeader, nil, time.Second)
	if err != nil {
		return 0
	}
	return r.AppliedIndex
}

// leaderOf asks a daemon who leads.
func leaderOf(c *Cluster, at string) string {
	ctx, stop := context.WithTimeout(transport.WithNetwork(context.Background(), c.Net.Host(c.ip(probeHost))), time.Second)
	defer stop()
	r, err := rpc.Call(ctx, c.IP(at)+":7720", rpc.KindLeader, nil, time.Second)
	var v rpc.LeaderInfo
	if err != nil || transport.Decode(r.Body, &v) != nil {
		return ""
	}
	if v.IsLeader {
		return at
	}
	for _, n := range c.names("") {
		if c.IP(n)+":7720" == v.Leader {
			return n
		}
	}
	return ""
}

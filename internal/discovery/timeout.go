package discovery

import (
	"context"
	"time"
)

// leaderTimeoutKey finds the timeout in a context.
type leaderTimeoutKey struct{}

// WithLeaderTimeout sets how long requests under a context wait for a leader before
// they end with rpc.CodeNoLeader, instead of tuning.LeaderWaitTimeout. It has no
// effect on a request that was sent to one.
func WithLeaderTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, leaderTimeoutKey{}, timeout)
}

package discovery

import (
	"context"
	"time"

	"tealpond/internal/tuning"
)

type leaderTimeoutKey struct{}

// WithLeaderTimeout sets how long requests under a context wait for a leader before
// they are given up as CodeNoLeader, instead of tuning.LeaderWaitTimeout. It has no effect
// on a request that was sent to one.
func WithLeaderTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, leaderTimeoutKey{}, timeout)
}

func leaderTimeout(ctx context.Context) time.Duration {
	if timeout, ok := ctx.Value(leaderTimeoutKey{}).(time.Duration); ok {
		return timeout
	}
	return tuning.LeaderWaitTimeout
}

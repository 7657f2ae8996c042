package discovery

import (
	"context"
	"time"
)

// holdKey finds the hold in a context.
type holdKey struct{}

// WithHold says that the leader may hold requests under a context for so long before it
// answers: it isn't silent meanwhile.
func WithHold(ctx context.Context, hold time.Duration) context.Context {
	return context.WithValue(ctx, holdKey{}, hold)
}

// HoldOf returns the hold of a context; 0 if it has none.
func HoldOf(ctx context.Context) time.Duration {
	hold, _ := ctx.Value(holdKey{}).(time.Duration)
	return hold
}

// leaderTimeoutKey finds the timeout in a context.
type leaderTimeoutKey struct{}

// WithLeaderTimeout sets how long requests under a context wait for a leader before
// they end with rpc.CodeNoLeader, instead of leaderWaitTimeout. It has no
// effect on a request that was sent to one.
func WithLeaderTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, leaderTimeoutKey{}, timeout)
}

package discovery

import (
	"context"
	"time"
)

// holdKey is the context key of the hold time.
type holdKey struct{}

// WithMaxHold returns a context under which the leader may hold requests for the given time before it
// answers, without being considered unresponsive.
func WithMaxHold(ctx context.Context, hold time.Duration) context.Context {
	return context.WithValue(ctx, holdKey{}, hold)
}

// HoldFromContext returns the hold time of a context, or 0 if it has none.
func HoldFromContext(ctx context.Context) time.Duration {
	hold, _ := ctx.Value(holdKey{}).(time.Duration)
	return hold
}

// leaderTimeoutKey is the context key of the leader time-out.
type leaderTimeoutKey struct{}

// WithLeaderTimeout returns a context under which requests wait for a leader for the given time
// before they end with rpc.CodeNoLeader, instead of the default of their kind. It has no effect on a
// request that a leader may already have processed.
func WithLeaderTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, leaderTimeoutKey{}, timeout)
}

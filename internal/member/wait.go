package member

import (
	"context"
	"time"

	"tealpond/internal/tune"
)

type leaderWaitKey struct{}

// WithLeaderWait sets how long requests under a context wait for a leader before
// they are given up as NoLeader, instead of tune.NoLeaderWait. It has no effect
// on a request that was sent to one.
func WithLeaderWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, leaderWaitKey{}, wait)
}

func leaderWait(ctx context.Context) time.Duration {
	if wait, ok := ctx.Value(leaderWaitKey{}).(time.Duration); ok {
		return wait
	}
	return tune.NoLeaderWait
}

package gateway

import (
	"time"

	"tealpond/internal/tuning"
)

// retryBudget bounds the attempts beyond the first of each request, by service. The
// operators' bound holds for all daemons together: ratio times the requests of a window
// plus a slack. Each daemon uses only a part of the ratio for the requests that it has
// itself, and a fixed reserve, and hears nothing of the others: where they are many and a
// service has few requests, the reserves of all together are more than the slack.
type retryBudget struct {
	ratio  float64       // of the operators' settings
	window time.Duration // too
	tokens map[string]*retryTokens
}

// retryTokens are the further attempts that may be made for a service.
type retryTokens struct {
	left      float64
	updatedAt time.Time
}

func newRetryBudget(ratio float64, window time.Duration) *retryBudget {
	return &retryBudget{ratio: ratio, window: window, tokens: map[string]*retryTokens{}}
}

// request counts a client's request for a service: it earns a part of a further attempt.
func (b *retryBudget) request(service string, now time.Time) {
	tokens := b.of(service, now)
	tokens.left = min(tokens.left+b.ratio*tuning.RetryShare, b.most())
}

// take takes a further attempt; false if none is left.
func (b *retryBudget) take(service string, now time.Time) bool {
	tokens := b.of(service, now)
	if tokens.left < 1 {
		return false
	}
	tokens.left--
	return true
}

// most is how many attempts may be saved up.
func (b *retryBudget) most() float64 { return tuning.RetryReserve + maxSavedRetries }

// maxSavedRetries bounds what requests of quiet times earn.
const maxSavedRetries = 4

// of gives the tokens of a service. The reserve is refilled over a window.
func (b *retryBudget) of(service string, now time.Time) *retryTokens {
	tokens := b.tokens[service]
	if tokens == nil {
		tokens = &retryTokens{left: tuning.RetryReserve, updatedAt: now}
		b.tokens[service] = tokens
	}
	if b.window > 0 {
		refilled := tuning.RetryReserve * now.Sub(tokens.updatedAt).Seconds() / b.window.Seconds()
		tokens.left = min(tokens.left+max(refilled, 0), b.most())
	}
	tokens.updatedAt = now
	return tokens
}

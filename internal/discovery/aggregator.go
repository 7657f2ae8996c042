package discovery

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

const (
	// retryAvoidance is how long an agent avoids a daemon that left a request unanswered; it doubles
	// each time, up to maxRetryAvoidance.
	retryAvoidance = 2 * time.Second
	// maxRetryAvoidance is the upper bound of retryAvoidance.
	maxRetryAvoidance = 16 * time.Second
)

// backoff is how long a daemon that failed to answer is not tried again.
type backoff struct {
	until time.Time
	delay time.Duration
}

// switchResult is the outcome of connecting to an aggregator; stream is nil if
// that failed.
type switchResult struct {
	addr   string
	stream *transport.Stream
}

// backOff notes that a daemon failed: it is not tried again for a while, longer
// each time.
func (c *Client) backOff(addr string) {
	if !c.options.PreferAggregator || addr == "" {
		return
	}
	for other, entry := range c.backoffs {
		if c.now.Sub(entry.until) > maxRetryAvoidance {
			delete(c.backoffs, other)
		}
	}
	delay := min(max(2*c.backoffs[addr].delay, retryAvoidance), maxRetryAvoidance)
	c.backoffs[addr] = backoff{c.now.Add(delay), delay}
}

// switchToAggregator connects to the aggregator that a response names, unless it
// is connected already.
func (c *Client) switchToAggregator(ctx context.Context, response rpc.Response) {
	if !c.options.PreferAggregator {
		return
	}
	if response.Aggregator != "" || response.StandbyAggregator != "" {
		c.standby = response.StandbyAggregator
	}
	if response.Aggregator == "" || response.Aggregator == c.address || c.switching {
		return
	}
	if c.now.Before(c.backoffs[response.Aggregator].until) {
		return
	}
	c.switching = true
	go func() {
		result := &switchResult{addr: response.Aggregator}
		result.stream, _ = c.probeAggregator(ctx, response.Aggregator)
		select {
		case c.events <- clientEvent{switched: result}:
		case <-ctx.Done():
		}
	}()
}

// onSwitchResult takes the outcome of connecting to an aggregator.
func (c *Client) onSwitchResult(result *switchResult) {
	c.switching = false
	switch {
	case result.stream == nil || result.stream.Closed():
		c.backOff(result.addr)
	case c.stream == nil || c.searching:
		// A search is under way, and its outcome takes precedence.
		result.stream.Close()
	default:
		c.useStream(result.stream, result.addr)
	}
}

// probeAggregator connects to a daemon that is named as this zone's aggregator;
// nil if it isn't one.
func (c *Client) probeAggregator(ctx context.Context, addr string) (*transport.Stream, rpc.LeaderInfo) {
	stream, info, ok := c.probe(ctx, addr)
	if ok && (info.IsAggregator || info.IsLeader) {
		return stream, info
	}
	if stream != nil {
		stream.Close()
	}
	return nil, info
}

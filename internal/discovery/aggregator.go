package discovery

import (
	"context"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

const (
	// initialBackoff is how long an agent avoids a daemon after its first failure. The delay doubles
	// with each further failure, up to maxBackoff.
	initialBackoff = 2 * time.Second
	// maxBackoff is the longest time for which a daemon is avoided.
	maxBackoff = 16 * time.Second
)

// backoff is the period during which a daemon that failed is not retried.
type backoff struct {
	until time.Time
	delay time.Duration
}

// switchResult is the outcome of an attempt to connect to an aggregator; stream is nil if
// the attempt failed.
type switchResult struct {
	addr   string
	stream *transport.Stream
}

// backOff records a failure of the daemon at addr and sets the time until which it is not
// retried, with exponential backoff. It does nothing unless Options.PreferAggregator is set.
func (c *Client) backOff(addr string) {
	if !c.options.PreferAggregator || addr == "" {
		return
	}
	for other, entry := range c.backoffs {
		if c.now.Sub(entry.until) > maxBackoff {
			delete(c.backoffs, other)
		}
	}
	delay := min(max(2*c.backoffs[addr].delay, initialBackoff), maxBackoff)
	c.backoffs[addr] = backoff{c.now.Add(delay), delay}
}

// switchToAggregator starts connecting to the aggregator that a response names, unless it is
// the current peer, another switch is in progress, or the aggregator is in backoff.
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

// onSwitchResult handles the outcome of an attempt to connect to an aggregator.
func (c *Client) onSwitchResult(result *switchResult) {
	c.switching = false
	switch {
	case result.stream == nil || result.stream.Closed():
		c.backOff(result.addr)
	case c.stream == nil || c.searching:
		// A leader search is in progress or about to start, and its outcome takes precedence.
		result.stream.Close()
	default:
		c.useStream(result.stream, result.addr)
	}
}

// probeAggregator connects to a daemon that was named as the aggregator of this zone. The
// stream is nil if the daemon is neither an aggregator nor the leader.
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

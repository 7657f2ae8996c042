package member

import (
	"context"
	"time"

	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// avoided is a daemon that failed to answer, and the backoff before it is tried
// again.
type avoided struct {
	until time.Time
	wait  time.Duration
}

// switchResult is the outcome of connecting to an aggregator; stream is nil if
// that failed.
type switchResult struct {
	addr   string
	stream *transport.Stream
}

// avoid notes that a daemon failed: it is not tried again for a while, longer
// each time.
func (s *Seeker) avoid(addr string) {
	if !s.homing || addr == "" {
		return
	}
	for other, entry := range s.avoiding {
		if s.now.Sub(entry.until) > tune.AvoidMost {
			delete(s.avoiding, other)
		}
	}
	wait := min(max(2*s.avoiding[addr].wait, tune.Avoid), tune.AvoidMost)
	s.avoiding[addr] = avoided{s.now.Add(wait), wait}
}

// switchToAggregator connects to the aggregator that an answer names, unless it
// is connected already.
func (s *Seeker) switchToAggregator(ctx context.Context, answer Answer) {
	if !s.homing {
		return
	}
	if answer.Home != "" || answer.Next != "" {
		s.standby = answer.Next
	}
	if answer.Home == "" || answer.Home == s.address || s.switching || s.now.Before(s.avoiding[answer.Home].until) {
		return
	}
	s.switching = true
	go func() {
		result := &switchResult{addr: answer.Home}
		result.stream, _ = s.probeAggregator(ctx, answer.Home)
		select {
		case s.events <- seekerEvent{switched: result}:
		case <-ctx.Done():
		}
	}()
}

// onSwitch takes the outcome of connecting to an aggregator.
func (s *Seeker) onSwitch(result *switchResult) {
	s.switching = false
	switch {
	case result.stream == nil || result.stream.Closed():
		s.avoid(result.addr)
	case s.stream == nil || s.searching:
		// A search is under way, and its outcome takes precedence.
		result.stream.Close()
	default:
		s.useStream(result.stream, result.addr)
	}
}

// probeAggregator connects to a daemon that is named as this zone's aggregator;
// nil if it isn't one.
func (s *Seeker) probeAggregator(ctx context.Context, addr string) (*transport.Stream, View) {
	stream, view, ok := s.probe(ctx, addr)
	if ok && (view.Sums || view.Leads) {
		return stream, view
	}
	if stream != nil {
		stream.Close()
	}
	return nil, view
}

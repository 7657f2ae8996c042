package member

import (
	"context"
	"time"

	"tealpond/internal/link"
	"tealpond/internal/tune"
)

// avoided is a daemon that left this one without an answer.
type avoided struct {
	till time.Time
	wait time.Duration
}

// hop is what came of turning to another daemon.
type hop struct {
	addr   string
	stream *link.Stream
}

// avoid notes that a daemon failed: it is not turned to for a while, longer each
// time.
func (s *Seeker) avoid(addr string) {
	if !s.homing || addr == "" {
		return
	}
	for a, v := range s.avoiding {
		if s.now.Sub(v.till) > tune.AvoidMost {
			delete(s.avoiding, a)
		}
	}
	wait := min(max(2*s.avoiding[addr].wait, tune.Avoid), tune.AvoidMost)
	s.avoiding[addr] = avoided{s.now.Add(wait), wait}
}

// goHome turns to whom an answer names for this zone, if it isn't there yet.
func (s *Seeker) goHome(ctx context.Context, a Answer) {
	if !s.homing {
		return
	}
	if a.Home != "" || a.Next != "" {
		s.standby = a.Next
	}
	if a.Home == "" || a.Home == s.address || s.hopping || s.now.Before(s.avoiding[a.Home].till) {
		return
	}
	s.hopping = true
	go func() {
		h := &hop{addr: a.Home}
		h.stream, _ = s.lookAtHome(ctx, a.Home)
		select {
		case s.in <- event{hop: h}:
		case <-ctx.Done():
		}
	}()
}

func (s *Seeker) onHop(h *hop) {
	s.hopping = false
	switch {
	case h.stream == nil || h.stream.Ended():
		s.avoid(h.addr)
	case s.stream == nil || s.searching:
		// Why not: a search is under way, and its outcome rules.
		h.stream.Close()
	default:
		s.use(h.stream, h.addr)
	}
}

// lookAtHome looks at a daemon that is said to speak for this zone; nil if it
// doesn't.
func (s *Seeker) lookAtHome(ctx context.Context, addr string) (*link.Stream, View) {
	st, v, ok := s.lookAt(ctx, addr)
	if ok && (v.Sums || v.Leads) {
		return st, v
	}
	if st != nil {
		st.Close()
	}
	return nil, v
}

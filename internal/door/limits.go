package door

import (
	"context"
	"net/http"

	"tealpond/internal/desire"
	"tealpond/internal/member"
	"tealpond/internal/transport"
	"tealpond/internal/tune"
)

// limits are the bounds of the newest configuration that this daemon knows of,
// the only part of it that is used here.
type limits struct {
	version int64
	header  int   // bytes of all header fields and the target
	body    int64 // bytes
}

// limitsOf fills in the defaults where a configuration says nothing.
func limitsOf(version int64, l desire.Limits) *limits {
	out := &limits{version: version, header: tune.HeadBytes, body: tune.BodyBytes}
	if l.MaxHeaderBytes > 0 {
		out.header = l.MaxHeaderBytes
	}
	if l.MaxBodyBytes > 0 {
		out.body = l.MaxBodyBytes
	}
	return out
}

// bounds gives the limits as far as they are known here.
func (e *Edge) bounds() *limits {
	if l := e.limits.Load(); l != nil {
		return l
	}
	return limitsOf(0, desire.Limits{})
}

// newestBounds asks the leader for the limits of the newest configuration. The
// answer's code is 200 if they are.
func (e *Edge) newestBounds(ctx context.Context) (*limits, member.Answer) {
	a := e.Ask(ctx, member.AskLimits, struct{}{})
	if a.Code != http.StatusOK {
		return e.bounds(), a
	}
	var l desire.Limits
	if err := transport.Decode(a.Body, &l); err != nil {
		return e.bounds(), member.Answer{Code: member.Lost}
	}
	newest := limitsOf(a.N, l)
	for {
		old := e.limits.Load()
		if old != nil && old.version >= newest.version {
			return newest, a
		}
		if e.limits.CompareAndSwap(old, newest) {
			_ = e.log.Log("level", "info", "event", "limits.applied", "version", newest.version)
			return newest, a
		}
	}
}

// onNews hears of the newest version of the configuration.
func (e *Edge) onNews(version int64) {
	for old := e.newest.Load(); version > old; old = e.newest.Load() {
		if e.newest.CompareAndSwap(old, version) {
			select {
			case e.pull <- struct{}{}:
			default:
			}
			return
		}
	}
}

// news pulls the limits when a newer configuration is heard of. Why only them:
// routes are looked up by the leader, so a change costs a daemon some hundred
// bytes whatever the number of routes.
func (e *Edge) news(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.pull:
		}
		wanted := e.newest.Load()
		if e.bounds().version >= wanted {
			continue
		}
		x, stop := context.WithTimeout(ctx, tune.LimitsTime)
		_, a := e.newestBounds(x)
		stop()
		if a.Code != http.StatusOK {
			// Why forgotten: the next answer of the leader names it again.
			e.newest.CompareAndSwap(wanted, 0)
		}
	}
}

// checkSize tells whether a request keeps a limit. Only the leader's word
// refuses one: limits known here may be those of an older configuration.
// It returns the code of the refusal, or 0, and the limits that hold.
func (e *Edge) checkSize(ctx context.Context, over func(*limits) bool, code int) (int, *limits) {
	known := e.bounds()
	if !over(known) {
		return 0, known
	}
	newest, a := e.newestBounds(ctx)
	switch {
	case a.Code != http.StatusOK:
		return http.StatusServiceUnavailable, known
	case over(newest):
		return code, newest
	}
	return 0, newest
}

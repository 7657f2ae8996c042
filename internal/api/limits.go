package api

import (
	"context"
	"net/http"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// sizeLimits are the bounds of the newest configuration that this daemon knows of,
// the only part of it that is used here.
type sizeLimits struct {
	version     int64
	headerBytes int   // bytes of all header fields and the target
	bodyBytes   int64 // bytes
}

// newSizeLimits fills in the defaults where a configuration says nothing.
func newSizeLimits(version int64, configured clusterconfig.Limits) *sizeLimits {
	limits := &sizeLimits{version: version, headerBytes: tuning.DefaultMaxHeaderBytes, bodyBytes: tuning.DefaultMaxBodyBytes}
	if configured.MaxHeaderBytes > 0 {
		limits.headerBytes = configured.MaxHeaderBytes
	}
	if configured.MaxBodyBytes > 0 {
		limits.bodyBytes = configured.MaxBodyBytes
	}
	return limits
}

// knownLimits gives the limits as far as they are known here.
func (s *Server) knownLimits() *sizeLimits {
	if l := s.limits.Load(); l != nil {
		return l
	}
	return newSizeLimits(0, clusterconfig.Limits{})
}

// fetchLimits asks the leader for the limits of the newest configuration. The
// answer's code is 200 if they are.
func (s *Server) fetchLimits(ctx context.Context) (*sizeLimits, rpc.Response) {
	response := s.Call(ctx, rpc.KindGetLimits, struct{}{})
	if response.Code != http.StatusOK {
		return s.knownLimits(), response
	}
	var configured clusterconfig.Limits
	if err := transport.Decode(response.Body, &configured); err != nil {
		return s.knownLimits(), rpc.Response{Code: rpc.CodeTimeout}
	}
	newest := newSizeLimits(response.Value, configured)
	for {
		known := s.limits.Load()
		if known != nil && known.version >= newest.version {
			return newest, response
		}
		if s.limits.CompareAndSwap(known, newest) {
			_ = s.log.Log("level", "info", "event", "limits.applied", "version", newest.version)
			return newest, response
		}
	}
}

// noteVersion hears of the newest version of the configuration.
func (s *Server) noteVersion(version int64) {
	for old := s.newestVersion.Load(); version > old; old = s.newestVersion.Load() {
		if s.newestVersion.CompareAndSwap(old, version) {
			select {
			case s.limitsStale <- struct{}{}:
			default:
			}
			return
		}
	}
}

// followLimits pulls the limits when a newer configuration is heard of. Why only them:
// routes are looked up by the leader, so a change costs a daemon some hundred
// bytes whatever the number of routes.
func (s *Server) followLimits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.limitsStale:
		}
		wanted := s.newestVersion.Load()
		if s.knownLimits().version >= wanted {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, tuning.LimitsRequestTimeout)
		_, response := s.fetchLimits(callCtx)
		cancel()
		if response.Code != http.StatusOK {
			// Why forgotten: the next answer of the leader names it again.
			s.newestVersion.CompareAndSwap(wanted, 0)
		}
	}
}

// checkSize tells whether a request keeps a limit. Only the leader's word
// refuses one: limits known here may be those of an older configuration.
// It returns the code of the refusal, or 0, and the limits that hold.
func (s *Server) checkSize(ctx context.Context, over func(*sizeLimits) bool, code int) (int, *sizeLimits) {
	known := s.knownLimits()
	if !over(known) {
		return 0, known
	}
	newest, response := s.fetchLimits(ctx)
	switch {
	case response.Code != http.StatusOK:
		return http.StatusServiceUnavailable, known
	case over(newest):
		return code, newest
	}
	return 0, newest
}

package api

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

const (
	// defaultMaxBodyBytes is the default limit of a request body.
	defaultMaxBodyBytes = 262144
	// defaultMaxHeaderBytes is the default limit of all header fields and the target together.
	defaultMaxHeaderBytes = 16384
	// limitsRequestTimeout is how long a request for the newest limits waits for the leader.
	limitsRequestTimeout = 2 * time.Second
)

// sizeLimits are the size limits of the newest configuration that this daemon has fetched. No other
// part of a configuration is used here.
type sizeLimits struct {
	version     int64
	headerBytes int // of all header fields and the target
	bodyBytes   int64
}

// newSizeLimits returns the configured limits, with defaults for those that are not set.
func newSizeLimits(version int64, configured clusterconfig.Limits) *sizeLimits {
	limits := &sizeLimits{version: version, headerBytes: defaultMaxHeaderBytes, bodyBytes: defaultMaxBodyBytes}
	if configured.MaxHeaderBytes > 0 {
		limits.headerBytes = configured.MaxHeaderBytes
	}
	if configured.MaxBodyBytes > 0 {
		limits.bodyBytes = configured.MaxBodyBytes
	}
	return limits
}

// knownLimits returns the newest limits fetched so far, or the defaults.
func (s *Server) knownLimits() *sizeLimits {
	if l := s.limits.Load(); l != nil {
		return l
	}
	return newSizeLimits(0, clusterconfig.Limits{})
}

// fetchLimits fetches the limits of the newest configuration from the leader and stores them,
// unless newer ones have been stored meanwhile.
func (s *Server) fetchLimits(ctx context.Context) (*sizeLimits, error) {
	response := s.Call(ctx, rpc.KindGetLimits, struct{}{})
	if response.Code != rpc.CodeOK {
		return nil, fmt.Errorf("limits of the newest configuration: the leader's response has code %d", response.Code)
	}
	var configured clusterconfig.Limits
	if err := transport.Decode(response.Body, &configured); err != nil {
		return nil, fmt.Errorf("limits of the newest configuration: %w", err)
	}
	newest := newSizeLimits(response.Value, configured)
	for {
		known := s.limits.Load()
		if known != nil && known.version >= newest.version {
			return newest, nil
		}
		if s.limits.CompareAndSwap(known, newest) {
			_ = s.log.Log("level", "info", "event", "limits.applied", "version", newest.version)
			return newest, nil
		}
	}
}

// observeConfigVersion records a configuration version that a response named. If it is newer than
// all before, refreshLimits fetches its limits.
func (s *Server) observeConfigVersion(version int64) {
	for latest := s.newestVersion.Load(); version > latest; latest = s.newestVersion.Load() {
		if s.newestVersion.CompareAndSwap(latest, version) {
			select {
			case s.limitsStale <- struct{}{}:
			default:
			}
			return
		}
	}
}

// refreshLimits fetches the limits whenever a newer configuration version is observed, until ctx
// ends. It fetches only the limits, and the tenants if they have changed: the leader looks up
// routes, so a change costs a daemon some hundred bytes whatever the number of routes.
func (s *Server) refreshLimits(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.limitsStale:
		}
		target := s.newestVersion.Load()
		if s.knownLimits().version >= target {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, limitsRequestTimeout)
		err := s.fetchTenants(callCtx)
		if err == nil {
			// The limits come last, since storing them marks the version as fetched.
			_, err = s.fetchLimits(callCtx)
		}
		cancel()
		if err != nil {
			// Reset the version, so that the leader's next response triggers another attempt.
			s.newestVersion.CompareAndSwap(target, 0)
		}
	}
}

// Errors of requests that exceed the size limits of the configuration in force.
var (
	errHeaderTooLarge = &statusError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the heads are too large"}
	errBodyTooLarge   = &statusError{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
)

// checkSize returns the limits in force, or an error if a request exceeds them. Before it rejects a
// request it fetches the limits from the leader, since those known here may belong to an older
// configuration. If the fetch fails, the error is errNoLeader.
func (s *Server) checkSize(ctx context.Context, exceeds func(*sizeLimits) bool, tooLarge error) (*sizeLimits, error) {
	known := s.knownLimits()
	if !exceeds(known) {
		return known, nil
	}
	newest, err := s.fetchLimits(ctx)
	switch {
	case err != nil:
		return nil, errNoLeader
	case exceeds(newest):
		return nil, tooLarge
	}
	return newest, nil
}

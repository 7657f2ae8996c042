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
	// defaultMaxBodyBytes is the size of the largest body, in bytes.
	defaultMaxBodyBytes = 262144
	// defaultMaxHeaderBytes is the size of all headers together, in bytes.
	defaultMaxHeaderBytes = 16384
	// limitsRequestTimeout is how long a request for the current limits waits for the leader.
	limitsRequestTimeout = 2 * time.Second
)

// sizeLimits are the limits of the newest configuration that this daemon knows
// of: the only part of a configuration that is used here.
type sizeLimits struct {
	version     int64
	headerBytes int // of all header fields and the target
	bodyBytes   int64
}

// newSizeLimits fills in the defaults where a configuration says nothing.
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

// knownLimits returns the newest limits that are known here, or the defaults.
func (s *Server) knownLimits() *sizeLimits {
	if l := s.limits.Load(); l != nil {
		return l
	}
	return newSizeLimits(0, clusterconfig.Limits{})
}

// fetchLimits gets the limits of the newest configuration from the leader and keeps
// them, unless newer ones are known by then.
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

// noteVersion records a version of the configuration that a response named.
// If it is newer than all before, followLimits fetches its limits.
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

// followLimits fetches the limits when a newer configuration is heard of, until
// ctx ends. Only the limits are fetched, and the tenants if they have changed: routes
// are looked up by the leader, so a change costs a daemon some hundred bytes whatever
// the number of routes.
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
		callCtx, cancel := context.WithTimeout(ctx, limitsRequestTimeout)
		err := s.fetchTenants(callCtx)
		if err == nil {
			// Last, since the version of the limits tells what is known here.
			_, err = s.fetchLimits(callCtx)
		}
		cancel()
		if err != nil {
			// The version is forgotten, so that the leader's next response
			// names it again.
			s.newestVersion.CompareAndSwap(wanted, 0)
		}
	}
}

// Errors of requests that are larger than the configuration in force allows.
var (
	errHeaderTooLarge = &statusError{status: http.StatusRequestHeaderFieldsTooLarge, text: "the heads are too large"}
	errBodyTooLarge   = &statusError{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
)

// checkSize returns the limits in force, or an error if a request exceeds them.
// Before a request is refused the limits are fetched from the leader, since those
// known here may be of an older configuration; errNoLeader if that fails.
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

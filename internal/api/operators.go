package api

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/discovery"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
)

const (
	// controlRequestTimeout is how long an operator's request may take; operators turn to another
	// daemon after a second.
	controlRequestTimeout = 850 * time.Millisecond
	// controlRequestTimeoutPerKB is added to controlRequestTimeout for each KB of a configuration,
	// which takes time to check.
	controlRequestTimeoutPerKB = 2 * time.Millisecond
	// controlLeaderWait is how long an operator's request waits for a leader before it is refused.
	controlLeaderWait = 500 * time.Millisecond
	// isolatedControlLeaderWait is controlLeaderWait on a daemon that reached no leader for
	// timing.LeaderContactTimeout.
	isolatedControlLeaderWait = 150 * time.Millisecond
	// minRedirectBodyBytes is the size of a configuration, in bytes, from which a daemon without a
	// disk redirects the operator to the leader instead of forwarding the body over its narrow link.
	minRedirectBodyBytes = 32 << 10
)

// serveConfigReplace serves POST /-/Config.Replace: a configuration that is to
// follow the version that the Based-On header names.
func (s *Server) serveConfigReplace(c echo.Context) error {
	return s.serveConfigUpdate(c, rpc.KindPutConfig, checkConfiguration)
}

// serveConfigChange serves POST /-/Config.Change: a change of single items of the version
// that the Based-On header names.
func (s *Server) serveConfigChange(c echo.Context) error {
	return s.serveConfigUpdate(c, rpc.KindChangeConfig, func([]byte) error { return nil })
}

// checkConfiguration checks a whole configuration.
func checkConfiguration(raw []byte) error {
	if _, err := clusterconfig.Parse(raw); err != nil {
		return err
	}
	return clusterconfig.Validate(raw)
}

// serveConfigUpdate serves an operator's update, once it has been checked, by a request
// of a kind to the leader.
func (s *Server) serveConfigUpdate(c echo.Context, kind string, check func([]byte) error) error {
	raw, unread := readBody(c, protocol.MaxControlBodyBytes)
	if unread != nil {
		return writeStatusError(c, unread)
	}
	if len(raw) > minRedirectBodyBytes && s.redirectToLeader(c) {
		return nil
	}
	base, err := strconv.ParseInt(c.Request().Header.Get(protocol.HeaderBasedOn), 10, 64)
	if err != nil {
		return writeStatusError(c, badRequest(protocol.HeaderBasedOn+": missing or no number"))
	}
	if err := check(raw); err != nil {
		return writeStatusError(c, statusOf(err))
	}
	ctx, cancel := s.operatorContext(c.Request().Context(), len(raw))
	defer cancel()
	traceID := "desired/" + strconv.FormatInt(clusterconfig.VersionOf(raw), 10)
	s.env.Trace.Record(traceID, "taken", base, "")
	response := s.Call(ctx, kind, rpc.ConfigUpdate{BaseVersion: base, Raw: raw})
	s.env.Trace.Record(traceID, "answered", int64(response.Code), response.Text)
	if err := errorOf(configChange, response); err != nil {
		return writeStatusError(c, statusOf(err))
	}
	return c.JSONBlob(http.StatusOK, []byte("{}"))
}

// serveConfigRead serves GET /-/Config.Read: the newest configuration, as it was
// sent. Only a leader with a valid lease answers it.
func (s *Server) serveConfigRead(c echo.Context) error {
	if s.redirectToLeader(c) {
		return nil
	}
	ctx, cancel := s.operatorContext(c.Request().Context(), 0)
	defer cancel()
	response := s.Call(ctx, rpc.KindGetConfig, struct{}{})
	if err := errorOf(configRead, response); err != nil {
		return writeStatusError(c, statusOf(err))
	}
	return c.JSONBlob(http.StatusOK, response.Body)
}

// operatorContext bounds the time of an operator's call by the size of its body.
// Operators try another daemon after a second without an answer. A daemon that
// cannot reach the leader answers well before that, and sooner still if it has not
// reached one for timing.LeaderContactTimeout.
func (s *Server) operatorContext(ctx context.Context, bodyBytes int) (context.Context, context.CancelFunc) {
	wait := controlLeaderWait
	if !s.leaderContact.heardWithin(timing.LeaderContactTimeout) {
		wait = isolatedControlLeaderWait
	}
	ctx = discovery.WithLeaderTimeout(ctx, wait)
	const bytesPerKB = 1024
	return context.WithTimeout(ctx, controlRequestTimeout+time.Duration(bodyBytes/bytesPerKB)*controlRequestTimeoutPerKB)
}

// readBody reads the body of a call whole, up to a size in bytes.
func readBody(c echo.Context, most int64) ([]byte, *statusError) {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, most+1))
	switch {
	case err != nil:
		return nil, badRequest("the body ended early")
	case int64(len(raw)) > most:
		return nil, &statusError{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
	}
	return raw, nil
}

// writeStatusError answers a call of an operator or an application with an error, as plain
// text.
func writeStatusError(c echo.Context, err *statusError) error {
	err.setRetryAfter(c.Response().Header())
	return c.String(err.status, err.text)
}

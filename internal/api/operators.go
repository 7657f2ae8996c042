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
	// controlRequestTimeout limits an operator's request. It is below one second, after which
	// operators switch to another daemon.
	controlRequestTimeout = 850 * time.Millisecond
	// controlRequestTimeoutPerKB is added to controlRequestTimeout for each KB of a configuration,
	// for the time that its validation takes.
	controlRequestTimeoutPerKB = 2 * time.Millisecond
	// controlLeaderWait is how long an operator's request waits for a leader before it fails.
	controlLeaderWait = 500 * time.Millisecond
	// isolatedControlLeaderWait replaces controlLeaderWait on a daemon that has not reached the
	// leader for timing.LeaderContactTimeout.
	isolatedControlLeaderWait = 150 * time.Millisecond
	// minRedirectBodyBytes is the size above which a daemon without a disk redirects the operator
	// to the leader instead of forwarding the configuration over its narrow link.
	minRedirectBodyBytes = 32 << 10
)

// serveConfigReplace serves POST /-/Config.Replace: a whole configuration that replaces the version
// given in the Based-On header.
func (s *Server) serveConfigReplace(c echo.Context) error {
	return s.serveConfigUpdate(c, rpc.KindPutConfig, validateConfiguration)
}

// serveConfigChange serves POST /-/Config.Change: changes to single items of the version given in
// the Based-On header.
func (s *Server) serveConfigChange(c echo.Context) error {
	return s.serveConfigUpdate(c, rpc.KindChangeConfig, func([]byte) error { return nil })
}

// validateConfiguration parses and validates a whole configuration.
func validateConfiguration(raw []byte) error {
	if _, err := clusterconfig.Parse(raw); err != nil {
		return err
	}
	return clusterconfig.Validate(raw)
}

// serveConfigUpdate validates an operator's update and sends it to the leader in a request of the
// given kind.
func (s *Server) serveConfigUpdate(c echo.Context, kind string, validate func([]byte) error) error {
	raw, readErr := readBody(c, protocol.MaxControlBodyBytes)
	if readErr != nil {
		return writeStatusError(c, readErr)
	}
	if len(raw) > minRedirectBodyBytes && s.redirectToLeader(c) {
		return nil
	}
	base, err := strconv.ParseInt(c.Request().Header.Get(protocol.HeaderBasedOn), 10, 64)
	if err != nil {
		return writeStatusError(c, badRequest(protocol.HeaderBasedOn+": missing or no number"))
	}
	if err := reserveDecoded(c.Request().Context(), raw, documentCopies); err != nil {
		return writeStatusError(c, err)
	}
	if err := validate(raw); err != nil {
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
// submitted. Only a leader with a valid lease responds to it.
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

// operatorContext limits an operator's call to a time that depends on the size of its body.
// Operators try another daemon after a second without a response. A daemon that cannot reach the
// leader responds well before that, and sooner still if it has not reached the leader for
// timing.LeaderContactTimeout.
func (s *Server) operatorContext(ctx context.Context, bodyBytes int) (context.Context, context.CancelFunc) {
	wait := controlLeaderWait
	if !s.leaderContact.reachedWithin(timing.LeaderContactTimeout) {
		wait = isolatedControlLeaderWait
	}
	ctx = discovery.WithLeaderTimeout(ctx, wait)
	const bytesPerKB = 1024
	return context.WithTimeout(ctx, controlRequestTimeout+time.Duration(bodyBytes/bytesPerKB)*controlRequestTimeoutPerKB)
}

// readBody reads the whole body of a call, up to maxBytes.
func readBody(c echo.Context, maxBytes int64) ([]byte, *statusError) {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, bodyError(err)
	case int64(len(raw)) > maxBytes:
		return nil, &statusError{status: http.StatusRequestEntityTooLarge, text: "the body is too large"}
	}
	return raw, nil
}

// writeStatusError responds to a call of an operator or an application with an error as plain text.
func writeStatusError(c echo.Context, err *statusError) error {
	err.setRetryAfter(c.Response().Header())
	err.setClose(c.Response().Header())
	return c.String(err.status, err.text)
}

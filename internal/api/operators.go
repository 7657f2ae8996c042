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
	"tealpond/internal/tuning"
)

// serveConfigReplace: POST /-/Config.Replace with a configuration on a base.
func (s *Server) serveConfigReplace(c echo.Context) error {
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, tuning.MaxControlBodyBytes+1))
	if err != nil {
		return c.String(http.StatusBadRequest, "the body ended early")
	}
	if len(raw) > tuning.MaxControlBodyBytes {
		return c.String(http.StatusRequestEntityTooLarge, "the configuration is too large")
	}
	if len(raw) > tuning.MinRedirectBodyBytes && s.redirectToLeader(c) {
		return nil
	}
	base, err := strconv.ParseInt(c.Request().Header.Get(protocol.HeaderBasedOn), 10, 64)
	if err != nil {
		return c.String(http.StatusBadRequest, protocol.HeaderBasedOn+": missing or no number")
	}
	config, err := clusterconfig.Parse(raw)
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	if err := clusterconfig.Validate(raw); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	ctx, cancel := s.operatorContext(c.Request().Context(), len(raw))
	defer cancel()
	id := "desired/" + strconv.FormatInt(config.Version, 10)
	s.env.Trace.Record(id, "taken", base, "")
	response := s.Call(ctx, rpc.KindPutConfig, rpc.ConfigUpdate{BaseVersion: base, Raw: raw})
	s.env.Trace.Record(id, "answered", int64(response.Code), response.Text)
	return s.respondToOperator(c, response)
}

// serveConfigRead: GET /-/Config.Read gives the newest configuration, as sent. Only a
// leader that a majority has confirmed within its lease answers it.
func (s *Server) serveConfigRead(c echo.Context) error {
	if s.redirectToLeader(c) {
		return nil
	}
	ctx, cancel := s.operatorContext(c.Request().Context(), 0)
	defer cancel()
	response := s.Call(ctx, rpc.KindGetConfig, struct{}{})
	if response.Code == http.StatusOK {
		return c.JSONBlob(http.StatusOK, response.Body)
	}
	if response.Code < 100 {
		// Why never unclear: a read changes nothing.
		response.Code = rpc.CodeNoLeader
	}
	return s.respondToOperator(c, response)
}

// operatorContext bounds an operator's call with a body of so many bytes. Operators
// go on to another daemon after a second of silence; one that has no leader in
// reach says so well before, and sooner if it has had none for long.
func (s *Server) operatorContext(ctx context.Context, size int) (context.Context, context.CancelFunc) {
	wait := tuning.ControlLeaderWait
	if !s.leaderContact.heardWithin(tuning.LeaderContactTimeout) {
		wait = tuning.IsolatedControlLeaderWait
	}
	ctx = discovery.WithLeaderTimeout(ctx, wait)
	return context.WithTimeout(ctx, tuning.ControlRequestTimeout+time.Duration(size/1024)*tuning.ControlRequestTimeoutPerKB)
}

// respondToOperator answers an operator's call that brought nothing back. Refusals come
// from the leader alone; all else says when to come again.
func (s *Server) respondToOperator(c echo.Context, response rpc.Response) error {
	if response.Code == http.StatusOK {
		return c.JSONBlob(http.StatusOK, []byte("{}"))
	}
	code, text := response.Code, response.Text
	switch {
	case response.Code == rpc.CodeNoLeader:
		code, text = http.StatusServiceUnavailable, "no leader at the moment, nothing was taken"
	case response.Code < 100:
		code, text = http.StatusGatewayTimeout, "unclear: send it again unchanged"
	}
	if code >= 500 {
		c.Response().Header().Set(protocol.HeaderRetryAfter, retryAfterSeconds(response.RetryAfterMs))
	}
	return c.String(code, text)
}

// retryAfterSeconds is the time to come back, in whole seconds, at least one.
func retryAfterSeconds(ms int64) string { return strconv.FormatInt(max((ms+999)/1000, 1), 10) }

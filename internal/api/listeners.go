package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/gateway"
	"tealpond/internal/httpserver"
	"tealpond/internal/settings"
	"tealpond/internal/transport"
)

const (
	// maxHeaderBytes is the most bytes of headers that the HTTP server reads, whatever the
	// configuration allows.
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is how long an idle client connection stays open.
	defaultIdleTimeout = 15 * time.Second
	// gatewayReceiveBuffer is how many bytes of a client's body may be in transit to a gateway or
	// unread there. It keeps many simultaneous bodies from saturating a narrow link.
	gatewayReceiveBuffer = 8 << 10
)

// listen opens the HTTP listeners given in the settings and serves on them.
func (s *Server) listen(ctx context.Context) ([]*httpserver.Server, error) {
	clients, readiness, operators := echo.New(), echo.New(), echo.New()
	clients.Any("/*", s.serveJob)
	var clientHandler http.Handler = clients
	if s.gateway != nil {
		clientHandler = s.gateway
	}
	readiness.GET("/-/readiness", s.serveReadiness)
	operators.POST("/-/Config.Replace", s.serveConfigReplace)
	operators.POST("/-/Config.Change", s.serveConfigChange)
	operators.GET("/-/Config.Read", s.serveConfigRead)
	if s.gateway == nil {
		operators.POST("/-/Evacuation.Begin/:zone", s.serveEvacuationBegin)
		operators.POST("/-/Evacuation.Finish/:zone", s.serveEvacuationFinish)
		s.addCoordinationRoutes(operators)
	}
	if s.settings.HasTallies() {
		s.addTallyRoutes(operators)
	}
	if s.gateway != nil && s.settings.Discovery != settings.DiscoveryPlatform {
		operators.POST("/-/Runners.Heartbeat/:id", s.serveRunnerHeartbeat)
		operators.POST("/-/Runners.SignOff/:id", s.serveRunnerSignOff)
	}
	addresses := s.settings.ListenAddresses
	var httpServers []*httpserver.Server
	for _, listener := range []struct {
		kind        connectionKind
		address     string
		handler     http.Handler
		idleTimeout time.Duration
	}{
		{clientListener, addresses.FrontHTTP, clientHandler, defaultIdleTimeout},
		{readinessListener, addresses.Readiness, readiness, time.Minute},
		{operatorListener, addresses.Control, operators, defaultIdleTimeout},
	} {
		if listener.address == "" {
			continue
		}
		socket, err := transport.Listen(ctx, listener.address)
		if err != nil {
			return nil, err
		}
		options := httpserver.Options{
			Handler:         listener.handler,
			HeaderTimeout:   httpserver.DefaultHeaderTimeout,
			ResponseTimeout: httpserver.MaxResponseTime,
			IdleTimeout:     listener.idleTimeout,
			MaxHeaderBytes:  maxHeaderBytes,
		}
		s.limitClients(&options, listener.kind)
		if listener.kind == clientListener && s.gateway != nil {
			options.ResponseTimeout = 0 // each request has its own time limit
			options.ReceiveBuffer = gatewayReceiveBuffer
			options.Wrap, options.ConnContext, options.HandlerClosesConnections = s.gateway.Listener, gateway.ConnContext, true
		}
		httpServer := httpserver.New(ctx, socket, options)
		httpServers = append(httpServers, httpServer)
		go httpServer.Serve() // until Run closes it
	}
	return httpServers, nil
}

// serveReadiness serves GET /-/readiness: 200 while the leader is reachable.
func (s *Server) serveReadiness(c echo.Context) error {
	if s.ready() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

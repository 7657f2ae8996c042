package agent

import (
	"context"
	"errors"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/daemon"
	"tealpond/internal/httpserver"
	"tealpond/internal/rpc"
	"tealpond/internal/shutdown"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// roleName is the agent's role in the deploy file and in membership leases.
const roleName = "side"

func init() {
	daemon.Register(daemon.RoleSpec{
		Name:        roleName,
		Description: "manages the runner on its machine",
		New: func(env daemon.Environment) (daemon.Role, error) {
			return New(env, newHTTPRunnerClient(env.Settings.RunnerAddress)), nil
		},
	})
}

// Run serves the runner's calls and runs the event loop until ctx ends. It then shuts down
// gracefully: the event loop first answers the accepted calls. With daemon.ErrKilled it ends at
// once. All goroutines that it starts end when it returns.
func (a *Agent) Run(ctx context.Context) error {
	loopCtx, endLoop := context.WithCancel(context.WithoutCancel(ctx))
	defer endLoop()
	a.ctx = loopCtx
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.POST("/-/Runners.Heartbeat/:id", a.serveHeartbeat)
	router.POST("/-/Runners.SignOff/:id", a.serveSignOff)
	listener, err := transport.Listen(ctx, a.settings.ListenAddresses.Control)
	if err != nil {
		return err
	}
	httpServer := httpserver.New(loopCtx, listener, httpserver.Options{
		Handler: router, HeaderTimeout: httpserver.DefaultHeaderTimeout, ResponseTimeout: httpserver.MaxResponseTime, IdleTimeout: time.Minute,
		Budget: httpserver.NewBudget(a.settings.Limits.MemoryMB),
	})
	go httpServer.Serve() // until it is closed
	go a.discovery.Run(loopCtx)
	if err := transport.Serve(loopCtx, a.settings.AgentAddress(), a.handleFrame); err != nil {
		// Continue: the listener is only used for traces.
		_ = a.log.Log("level", "warn", "event", "trace.serve_failed", "error", err)
	}
	go a.renewMembership(loopCtx)
	go a.followSettings(loopCtx)
	go func() {
		defer endLoop()
		<-ctx.Done()
		if errors.Is(context.Cause(ctx), daemon.ErrKilled) {
			httpServer.Close() // the process ends, whatever is open
			return
		}
		a.shutDown(httpServer)
	}()
	daemon.Loop(loopCtx, a.events, a.handle, a.advance)
	return nil
}

// shutDown closes the listener gracefully. The runner's next call goes to the next process, so its
// connections are closed without notice.
func (a *Agent) shutDown(httpServer *httpserver.Server) {
	draining := httpserver.BeginShutdown([]*httpserver.Server{httpServer}, shutdown.TimeoutsFor(a.settings.Grace(), 0))
	_ = a.log.Log("level", "info", "event", "shutdown.begun", "open", draining.Open())
	nothingToHandOver := make(chan struct{})
	close(nothingToHandOver)
	result := draining.Finish(nothingToHandOver)
	_ = a.log.Log("level", "info", "event", "shutdown.ended", "open", result.Open, "busy", result.Busy, "took_ms", result.Duration.Milliseconds())
}

// followSettings applies reloaded settings until ctx ends.
func (a *Agent) followSettings(ctx context.Context) {
	for {
		select {
		case reloaded := <-a.reload:
			a.discovery.SetSeeds(reloaded.SeedAddresses())
		case <-ctx.Done():
			return
		}
	}
}

// handleFrame answers requests for this agent's trace.
func (a *Agent) handleFrame(event transport.Event) {
	var request rpc.Request
	if event.Closed || event.Frame.Kind != rpc.FrameRequest || transport.Decode(event.Frame.Body, &request) != nil {
		return
	}
	response := rpc.Response{Code: rpc.CodeBadRequest}
	if request.Kind == rpc.KindTrace {
		response = rpc.HandleTrace(a.trace, a.settings.NodeName, roleName, request.Body)
	}
	event.Stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: event.Frame.ID, Body: transport.Encode(response)})
}

// renewMembership renews this agent's membership lease until ctx ends.
func (a *Agent) renewMembership(ctx context.Context) {
	lease := rpc.MembershipLease{
		Node:      a.settings.NodeName,
		Role:      roleName,
		Zone:      a.settings.Zone,
		Addr:      a.settings.AgentAddress(),
		ProcessID: a.processID,
	}
	ticker := time.NewTicker(timing.AgentMembershipRenewInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, timing.AgentMembershipRenewInterval)
		a.discovery.Call(callCtx, rpc.KindRenewMembership, lease)
		cancel()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

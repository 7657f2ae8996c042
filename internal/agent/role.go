package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/daemon"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
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

// Run serves the runner's calls and runs the loop until ctx ends. All goroutines
// that it starts end with ctx.
func (a *Agent) Run(ctx context.Context) error {
	a.ctx = ctx
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.POST("/-/Runners.Heartbeat/:id", a.serveHeartbeat)
	router.POST("/-/Runners.SignOff/:id", a.serveSignOff)
	listener, err := transport.Listen(ctx, a.settings.ListenAddresses.Control)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: router, ReadHeaderTimeout: tuning.DefaultHeaderTimeout, IdleTimeout: time.Minute}
	go func() { _ = httpServer.Serve(listener) }() // until it is closed below
	go a.discovery.Run(ctx)
	if err := transport.Serve(ctx, a.settings.AgentAddress(), a.handleFrame); err != nil {
		// The daemon goes on, since only traces need it.
		_ = a.log.Log("level", "warn", "event", "trace.serve_failed", "error", err)
	}
	go a.renewMembership(ctx)
	go a.followSettings(ctx)
	daemon.Loop(ctx, a.events, a.handle, a.advance)
	_ = httpServer.Close() // the daemon ends, whatever is open
	return nil
}

// followSettings applies settings that were read again, until ctx ends.
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

// handleFrame answers requests for this daemon's trace.
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

// renewMembership renews this daemon's membership lease, until ctx ends.
func (a *Agent) renewMembership(ctx context.Context) {
	lease := rpc.MembershipLease{
		Node:      a.settings.NodeName,
		Role:      roleName,
		Zone:      a.settings.Zone,
		Addr:      a.settings.AgentAddress(),
		ProcessID: a.processID,
	}
	ticker := time.NewTicker(tuning.AgentMembershipRenewInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, tuning.AgentMembershipRenewInterval)
		a.discovery.Call(callCtx, rpc.KindRenewMembership, lease)
		cancel()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"tealpond/internal/daemon"
	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

func init() {
	daemon.Register(daemon.RoleSpec{Name: "side", Description: "orders the runner on its machine", New: func(b daemon.Environment) (daemon.Role, error) {
		return New(b, newHTTPRunnerClient(b.Settings.RunnerAddress)), nil
	}})
}

// New builds the side daemon's plug over a way to call its runner.
func New(env daemon.Environment, runner RunnerClient) daemon.Role {
	return &role{Agent: newAgent(env, runner), env: env}
}

type role struct {
	*Agent
	env daemon.Environment
}

// Run serves the runner's calls and turns the loop.
func (r *role) Run(ctx context.Context) error {
	agent := r.Agent
	agent.ctx = ctx
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.POST("/-/Runners.Heartbeat/:id", agent.serveHeartbeat)
	router.POST("/-/Runners.SignOff/:id", agent.serveSignOff)
	listener, err := transport.Listen(ctx, agent.settings.ListenAddresses.Control)
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: router, ReadHeaderTimeout: tuning.DefaultHeaderTimeout, IdleTimeout: time.Minute}
	go func() { _ = httpServer.Serve(listener) }()
	go agent.discovery.Run(ctx)
	if err := transport.Serve(ctx, agent.settings.AgentAddress(), agent.handleFrame); err != nil {
		// Why not fatal: only traces need it.
		_ = agent.log.Log("level", "warn", "event", "trace.unserved", "why", err)
	}
	go agent.renewMembership(ctx)
	go func() {
		for {
			select {
			case reloaded := <-r.env.Reload:
				agent.discovery.SetSeeds(reloaded.SeedAddresses())
			case <-ctx.Done():
				return
			}
		}
	}()
	daemon.Loop(ctx, agent.events, agent.handle, agent.advance)
	_ = httpServer.Close()
	return nil
}

// handleFrame answers a tracer.
func (a *Agent) handleFrame(event transport.Event) {
	var request rpc.Request
	if event.Closed || event.Frame.Kind != rpc.FrameRequest || transport.Decode(event.Frame.Body, &request) != nil {
		return
	}
	response := rpc.Response{Code: 400}
	if request.Kind == rpc.KindTrace {
		response = rpc.HandleTrace(a.trace, a.settings.NodeName, "side", request.Body)
	}
	event.Stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: event.Frame.ID, Body: transport.Encode(response)})
}

// renewMembership renews this daemon's membership.
func (a *Agent) renewMembership(ctx context.Context) {
	ticker := time.NewTicker(tuning.AgentMembershipRenewInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, tuning.AgentMembershipRenewInterval)
		a.discovery.Call(callCtx, rpc.KindRenewMembership, rpc.MembershipLease{Node: a.settings.NodeName, Role: "side", Zone: a.settings.Zone, Addr: a.settings.AgentAddress(), Process: a.process})
		cancel()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// serveHeartbeat: POST /-/Runners.Heartbeat/ID with a Beat; 200 once heard.
func (a *Agent) serveHeartbeat(c echo.Context) error {
	var heartbeat protocol.Heartbeat
	if err := c.Echo().JSONSerializer.Deserialize(c, &heartbeat); err != nil {
		return c.String(http.StatusBadRequest, "the beat cannot be read")
	}
	request := &heartbeatRequest{id: c.Param("id"), heartbeat: heartbeat, status: make(chan int, 1)}
	return a.respond(c, event{heartbeat: request}, request.status)
}

// serveSignOff: POST /-/Runners.SignOff/ID; 200 once committed.
func (a *Agent) serveSignOff(c echo.Context) error {
	request := &signOffRequest{id: c.Param("id"), status: make(chan int, 1)}
	return a.respond(c, event{signOff: request}, request.status)
}

func (a *Agent) respond(c echo.Context, e event, status chan int) error {
	a.events <- e
	timer := time.NewTimer(970 * time.Millisecond)
	defer timer.Stop()
	select {
	case code := <-status:
		if code == 200 {
			return c.JSONBlob(200, []byte("{}"))
		}
		return c.NoContent(code)
	case <-timer.C:
		return c.NoContent(http.StatusServiceUnavailable)
	case <-a.ctx.Done():
		return c.NoContent(http.StatusServiceUnavailable)
	}
}

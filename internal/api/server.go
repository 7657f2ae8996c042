// Package api serves clients and operators: it reads a call, asks the leader
// and writes the answer.
package api

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/labstack/echo/v4"

	"tealpond/internal/bootstrap"
	"tealpond/internal/daemon"
	"tealpond/internal/discovery"
	"tealpond/internal/federation"
	"tealpond/internal/rpc"
	"tealpond/internal/server"
	"tealpond/internal/settings"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

func init() {
	daemon.Register(daemon.RoleSpec{Name: "edge", Description: "takes clients' and operators' calls; holds state where it has a disk", AcceptsFederationFile: true, New: newServer})
}

// Server is the plug of the edge role.
type Server struct {
	settings   settings.File
	log        log.Logger
	env        daemon.Environment
	replica    *server.Replica
	mover      *federation.Offloader
	discovery  *discovery.Client
	bootstraps chan bootstrapRequest
	leaving    atomic.Bool
	// callLeader takes an ask to the leader; tests stand in for it.
	callLeader func(context.Context, rpc.Request) rpc.Response
	// leaderAddress gives the inner address of the leader, if one is known and this
	// daemon isn't of the core; tests stand in for it.
	leaderAddress func() string
	leaderContact *leaderContact
	limits        atomic.Pointer[sizeLimits]
	newestVersion atomic.Int64  // version of the newest configuration heard of
	limitsStale   chan struct{} // a newer one was heard of
}

type bootstrapRequest struct {
	message rpc.BootstrapAnnouncement
	reply   chan rpc.BootstrapProposal
}

func newServer(env daemon.Environment) (daemon.Role, error) {
	s := &Server{settings: env.Settings, log: env.Log, env: env, bootstraps: make(chan bootstrapRequest), leaderContact: newLeaderContact(), limitsStale: make(chan struct{}, 1)}
	s.callLeader = s.forward
	s.leaderAddress = func() string { return "" }
	selfAddress := ""
	if env.Settings.HoldsState() {
		// Why only then: others need not know those that hold no state.
		selfAddress = env.Settings.InternalAddress()
	}
	s.discovery = discovery.NewClient(discovery.Options{SelfAddress: selfAddress, Seeds: env.Settings.SeedAddresses(), OnConfigVersion: s.noteVersion})
	if !env.Settings.HoldsState() {
		s.leaderAddress = s.discovery.CurrentAddress
	}
	if env.Settings.HoldsState() {
		replica, err := server.New(env, s.discovery)
		if err != nil {
			return nil, err
		}
		s.replica = replica
		if env.FederationFile != "" {
			routes, err := federation.Load(env.FederationFile)
			if err != nil {
				return nil, err
			}
			replica.EnableFederation(routes)
			s.mover = federation.New(routes, env.Log, replica)
		}
	}
	return s, nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	handleFrame := s.handleFrame
	if s.replica != nil {
		handleFrame = s.replica.Deliver
	}
	if err := transport.Serve(serveCtx, s.settings.InternalAddress(), handleFrame); err != nil {
		return err
	}
	go s.discovery.Run(serveCtx)
	if s.replica != nil {
		go func() { _ = s.replica.Run(serveCtx) }()
		if s.mover != nil {
			go s.mover.Run(serveCtx)
		}
	} else {
		go s.runBootstrap(serveCtx)
	}
	go s.renewMembership(serveCtx)
	go s.followLimits(serveCtx)
	httpServers, err := s.listen(serveCtx)
	if err != nil {
		return err
	}
	for {
		select {
		case reloaded := <-s.env.Reload:
			s.discovery.SetSeeds(reloaded.SeedAddresses())
			if s.replica != nil {
				s.replica.SetSeeds(reloaded.SeedAddresses())
			}
			continue
		case <-ctx.Done():
		}
		break
	}
	if context.Cause(ctx) == daemon.ErrKilled {
		for _, httpServer := range httpServers {
			_ = httpServer.Close()
		}
		return nil
	}
	// Why in this order: no new callers, then hand the lead on, then finish
	// what is under way.
	s.leaving.Store(true)
	if s.replica != nil {
		s.replica.Leave()
	}
	grace := time.Duration(s.settings.Bounds.GraceS*float64(time.Second)) / 2
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), grace)
	defer cancelShutdown()
	for _, httpServer := range httpServers {
		_ = httpServer.Shutdown(shutdownCtx)
	}
	return nil
}

// handleFrame answers other daemons where this one holds no state.
func (s *Server) handleFrame(event transport.Event) {
	if event.Closed || event.Frame.Kind != rpc.FrameRequest {
		return
	}
	var request rpc.Request
	if transport.Decode(event.Frame.Body, &request) != nil {
		event.Stream.Close()
		return
	}
	response := rpc.Response{Code: rpc.CodeNotLeader}
	switch request.Kind {
	case rpc.KindLeader:
		if len(request.Body) > 0 {
			s.discovery.AddServer(string(request.Body))
		}
		view := rpc.LeaderInfo{KnownServers: s.discovery.KnownServers()}
		response = rpc.Response{Code: 200, Body: transport.Encode(view)}
	case rpc.KindTrace:
		response = rpc.HandleTrace(s.env.Trace, s.settings.NodeName, "edge", request.Body)
	case rpc.KindBootstrap:
		var message rpc.BootstrapAnnouncement
		if transport.Decode(request.Body, &message) == nil {
			bootstrap := bootstrapRequest{message, make(chan rpc.BootstrapProposal, 1)}
			s.bootstraps <- bootstrap
			response = rpc.Response{Code: 200, Body: transport.Encode(<-bootstrap.reply)}
		}
	}
	event.Stream.Send(transport.Frame{Kind: rpc.FrameResponse, ID: event.Frame.ID, Body: transport.Encode(response)})
}

func (s *Server) runBootstrap(ctx context.Context) {
	founder := bootstrap.Coordinator{MinVoters: 2*s.settings.Tolerance.LostMachines + 1}
	daemon.Loop(ctx, s.bootstraps, func(request bootstrapRequest) {
		request.reply <- founder.HandleAnnouncement(request.message, time.Now())
	}, func(time.Time) time.Duration { return 0 })
}

// renewMembership renews this daemon's membership, which also tests the way to the
// leader and brings the newest version.
func (s *Server) renewMembership(ctx context.Context) {
	ticker := time.NewTicker(tuning.MembershipRenewInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, tuning.MembershipRenewInterval)
		s.Call(callCtx, rpc.KindRenewMembership, rpc.MembershipLease{Node: s.settings.NodeName, Role: "edge", Zone: s.settings.Zone, Addr: s.settings.InternalAddress(), Process: s.env.Incarnation})
		cancel()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ready tells whether this daemon should be given new callers.
func (s *Server) ready() bool {
	if s.replica != nil && !s.replica.StorageOpened() {
		return false
	}
	return !s.leaving.Load() && s.leaderContact.heardWithin(tuning.LeaderContactTimeout)
}

func (s *Server) listen(ctx context.Context) ([]*http.Server, error) {
	clients, readiness, operators := echo.New(), echo.New(), echo.New()
	clients.Any("/*", s.serveJob)
	readiness.GET("/-/readiness", s.serveReadiness)
	operators.POST("/-/Config.Replace", s.serveConfigReplace)
	operators.GET("/-/Config.Read", s.serveConfigRead)
	var httpServers []*http.Server
	for _, listener := range []struct {
		addr string
		echo *echo.Echo
		idle time.Duration
	}{{s.settings.ListenAddresses.FrontHTTP, clients, tuning.DefaultIdleTimeout}, {s.settings.ListenAddresses.Readiness, readiness, time.Minute}, {s.settings.ListenAddresses.Control, operators, tuning.DefaultIdleTimeout}} {
		if listener.addr == "" {
			continue
		}
		listener.echo.HideBanner, listener.echo.HidePort = true, true
		socket, err := transport.Listen(ctx, listener.addr)
		if err != nil {
			return nil, err
		}
		httpServer := &http.Server{Handler: listener.echo, ReadHeaderTimeout: tuning.DefaultHeaderTimeout, IdleTimeout: listener.idle, MaxHeaderBytes: tuning.MaxHeaderBytes}
		httpServers = append(httpServers, httpServer)
		go func() { _ = httpServer.Serve(socket) }()
	}
	return httpServers, nil
}

// serveReadiness: GET /-/readiness; 200 while the leader is heard.
func (s *Server) serveReadiness(c echo.Context) error {
	if s.ready() {
		return c.NoContent(http.StatusOK)
	}
	return c.NoContent(http.StatusServiceUnavailable)
}

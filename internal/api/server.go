package api

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/clock"
	"tealpond/internal/counter"
	"tealpond/internal/daemon"
	"tealpond/internal/discovery"
	"tealpond/internal/federation"
	"tealpond/internal/gateway"
	"tealpond/internal/httpserver"
	"tealpond/internal/monitoring"
	"tealpond/internal/rpc"
	"tealpond/internal/server"
	"tealpond/internal/settings"
	"tealpond/internal/shutdown"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

const (
	// gatewayAttemptTimeout is how long a gateway's request waits for the leader. Clients' bodies
	// may delay it on a narrow link.
	gatewayAttemptTimeout = 1200 * time.Millisecond
	// gatewayProbeTimeout is how long a gateway waits for a daemon to name the leader.
	gatewayProbeTimeout = time.Second
	// shutdownNotice is how long a draining daemon sends Connection: close with its responses
	// before it closes the connections.
	shutdownNotice = 500 * time.Millisecond
)

// Names of the roles in the deploy file and in membership leases.
const (
	edgeRole    = "edge"
	gatewayRole = "gateway"
)

func init() {
	daemon.Register(daemon.RoleSpec{
		Name:                  edgeRole,
		Description:           "serves clients of jobs and operators; holds state where it has a disk",
		AcceptsFederationFile: true,
		New:                   newEdge,
	})
	daemon.Register(daemon.RoleSpec{
		Name:        gatewayRole,
		Description: "forwards API requests to runners and serves operators; holds state where it has a disk",
		New:         newGateway,
	})
}

// Server implements the edge and gateway roles: the HTTP listeners of a daemon and, where the
// machine has a disk, its replica of the state.
type Server struct {
	role       string         // edgeRole or gatewayRole
	gateway    *gateway.Proxy // nil in the edge role
	settings   settings.File
	log        log.Logger
	env        daemon.Environment
	replica    *server.Replica       // nil on a machine without a disk
	offloader  *federation.Offloader // nil if no jobs are moved between clusters
	discovery  *discovery.Client
	tallies    tallyClientState
	bootstraps chan bootstrapRequest
	draining   atomic.Bool
	// shutdownCtx ends when this daemon begins to shut down, which ends its watches.
	shutdownCtx   context.Context
	beginShutdown context.CancelFunc
	// callLeader sends a request to the leader; tests replace it.
	callLeader func(context.Context, rpc.Request) rpc.Response
	// leaderAddress returns the internal address of the leader; empty if none is known or this
	// daemon has a replica itself. Tests replace it.
	leaderAddress func() string
	leaderContact *leaderContact
	pauses        *clock.PauseDetector
	limits        atomic.Pointer[sizeLimits]
	shares        *tenantShares
	newestVersion atomic.Int64  // newest configuration version observed
	limitsStale   chan struct{} // signals refreshLimits that a newer version was observed
	clientBudget  *httpserver.Budget
}

// attemptTimeouts are how long requests to the leader wait, and probeTimeouts how long requests for
// the leader's address wait, by role. Roles that are not listed use the defaults of the discovery
// client.
var (
	attemptTimeouts = map[string]time.Duration{gatewayRole: gatewayAttemptTimeout}
	probeTimeouts   = map[string]time.Duration{gatewayRole: gatewayProbeTimeout}
)

// newEdge builds the edge role.
func newEdge(env daemon.Environment) (daemon.Role, error) { return newServer(env, edgeRole) }

// newServer builds a server, with a replica of the state if the machine has a disk.
func newServer(env daemon.Environment, role string) (*Server, error) {
	s := &Server{
		role:          role,
		settings:      env.Settings,
		log:           env.Log,
		env:           env,
		bootstraps:    make(chan bootstrapRequest),
		leaderContact: newLeaderContact(),
		pauses:        &clock.PauseDetector{},
		limitsStale:   make(chan struct{}, 1),
		clientBudget:  httpserver.NewBudget(env.Settings.Limits.MemoryMB),
		shares:        newTenantShares(env.ProcessID, env.Settings.QuotaWindow(counter.DefaultWindow), time.Now()),
	}
	s.shares.overrun, s.shares.slack = env.Settings.Bounds.QuotaOverrun, env.Settings.Bounds.QuotaSlack
	s.shutdownCtx, s.beginShutdown = context.WithCancel(context.Background())
	s.callLeader = s.forward
	s.leaderAddress = func() string { return "" }
	selfAddress := ""
	if env.Settings.HoldsState() {
		// A daemon without a replica is not announced, since it cannot become the leader.
		selfAddress = env.Settings.InternalAddress()
	}
	s.discovery = discovery.NewClient(discovery.Options{
		SelfAddress:     selfAddress,
		Seeds:           env.Settings.SeedAddresses(),
		OnConfigVersion: s.observeConfigVersion,
		AttemptTimeout:  attemptTimeouts[role],
		ProbeTimeout:    probeTimeouts[role],
	})
	if !env.Settings.HoldsState() {
		s.leaderAddress = s.discovery.CurrentAddress
	}
	if env.Settings.HoldsState() {
		s.replica = server.New(env, s.discovery)
		if env.FederationFile != "" {
			routes, err := federation.Load(env.FederationFile)
			if err != nil {
				return nil, err
			}
			s.replica.EnableFederation(routes)
			s.offloader = federation.New(routes, env.Log, s.replica)
		}
	}
	return s, nil
}

// Run serves until ctx ends and then shuts down gracefully: it responds to all accepted requests
// within the grace period while leadership is transferred. With daemon.ErrKilled as the cause it
// returns at once. The context of all goroutines that it starts ends when it returns.
func (s *Server) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := s.start(serveCtx); err != nil {
		return err
	}
	httpServers, err := s.listen(serveCtx)
	if err != nil {
		return err
	}
	s.applyReloadedSettings(ctx)
	if errors.Is(context.Cause(ctx), daemon.ErrKilled) {
		for _, httpServer := range httpServers {
			httpServer.Close() // the process ends even with open connections
		}
		return nil
	}
	s.shutDown(httpServers)
	return nil
}

// shutDown shuts this daemon down gracefully.
func (s *Server) shutDown(httpServers []*httpserver.Server) {
	s.draining.Store(true)
	draining := httpserver.BeginShutdown(httpServers, shutdown.TimeoutsFor(s.settings.Grace(), shutdownNotice))
	_ = s.log.Log("level", "info", "event", "shutdown.begun", "open", draining.Open())
	s.beginShutdown()
	if s.gateway != nil {
		s.gateway.BeginShutdown(draining.RefusesFrom())
	}
	leadershipTransferred := make(chan struct{})
	go func() {
		defer close(leadershipTransferred)
		if s.replica != nil {
			s.replica.Leave()
		}
	}()
	s.logShutdown(draining.Finish(leadershipTransferred))
}

// logShutdown logs the requests and connections that a graceful shutdown leaves unfinished, and how
// many requests were forwarded before their turn and then abandoned since the process started.
func (s *Server) logShutdown(result httpserver.ShutdownResult) {
	level, abandoned := "info", int64(0)
	if s.gateway != nil {
		abandoned = s.gateway.AbandonedRequests()
	}
	if result.Busy > 0 {
		level = "warn"
	}
	_ = s.log.Log("level", level, "event", "shutdown.ended", "open", result.Open, "busy", result.Busy,
		"abandoned", abandoned, "took_ms", result.Duration.Milliseconds())
}

// start starts everything but the HTTP listeners. It runs until ctx ends.
func (s *Server) start(ctx context.Context) error {
	handleFrame := s.handleFrame
	if s.replica != nil {
		handleFrame = s.replica.Deliver
	}
	if err := transport.Serve(ctx, s.settings.InternalAddress(), handleFrame); err != nil {
		return err
	}
	go s.discovery.Run(ctx)
	if s.replica != nil {
		go func() { _ = s.replica.Run(ctx) }()
		if s.offloader != nil {
			go s.offloader.Run(ctx)
		}
	} else {
		go s.runBootstrap(ctx)
	}
	go s.renewMembership(ctx)
	go s.pauses.Run(ctx)
	go s.logEvictions(ctx)
	if s.settings.HasTallies() {
		go s.refreshReplicaAddresses(ctx)
	}
	if s.gateway != nil {
		s.startGateway(ctx)
	} else {
		go s.refreshLimits(ctx)
		go s.exchangeCounts(ctx, rpc.KindExchangeCounts, s.shares)
	}
	return nil
}

// applyReloadedSettings applies settings that are reloaded, until ctx ends.
func (s *Server) applyReloadedSettings(ctx context.Context) {
	for {
		select {
		case reloaded := <-s.env.Reload:
			s.discovery.SetSeeds(reloaded.SeedAddresses())
			if s.replica != nil {
				s.replica.SetSeeds(reloaded.SeedAddresses())
			}
		case <-ctx.Done():
			return
		}
	}
}

// renewMembership renews this daemon's membership lease until ctx ends. Each renewal also shows
// whether the leader is reachable, and its response names the newest configuration version.
func (s *Server) renewMembership(ctx context.Context) {
	lease := rpc.MembershipLease{
		Node:      s.settings.NodeName,
		Role:      s.role,
		Zone:      s.settings.Zone,
		Addr:      s.settings.InternalAddress(),
		ProcessID: s.env.ProcessID,
	}
	ticker := time.NewTicker(timing.MembershipRenewInterval)
	defer ticker.Stop()
	for {
		callCtx, cancel := context.WithTimeout(ctx, timing.MembershipRenewInterval)
		s.Call(callCtx, rpc.KindRenewMembership, lease)
		cancel()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// WriteMetrics writes the metrics of this daemon. It implements monitoring.Source.
func (s *Server) WriteMetrics(ctx context.Context, w io.Writer) {
	gauges := []monitoring.Gauge{
		{Name: "tealpond_ready", Value: monitoring.BoolValue(s.ready())},
		{Name: "tealpond_leader_heard", Value: monitoring.BoolValue(s.leaderContact.reachedWithin(timing.LeaderContactTimeout))},
		{Name: "tealpond_config_version_heard", Value: float64(s.newestVersion.Load())},
	}
	if s.clientBudget != nil {
		used, limit, evicted := s.clientBudget.Usage()
		gauges = append(gauges,
			monitoring.Gauge{Name: "tealpond_client_memory_bytes", Value: float64(used)},
			monitoring.Gauge{Name: "tealpond_client_memory_limit_bytes", Value: float64(limit)},
			monitoring.Gauge{Name: "tealpond_clients_evicted", Value: float64(evicted)})
	}
	if s.gateway != nil {
		gauges = append(gauges,
			monitoring.Gauge{Name: "tealpond_requests_abandoned", Value: float64(s.gateway.AbandonedRequests())})
	}
	if s.replica != nil {
		gauges = append(gauges, s.replica.Gauges(ctx)...)
	}
	monitoring.WriteGauges(w, gauges)
}

// ready reports whether load balancers should send clients to this daemon.
func (s *Server) ready() bool {
	if s.replica != nil && !s.replica.StorageOpened() {
		return false
	}
	if s.gateway != nil && !s.gateway.Ready() {
		return false
	}
	return !s.draining.Load() && s.leaderContact.reachedWithin(timing.LeaderContactTimeout)
}

package simulation

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/pprof"
	"time"

	"github.com/go-kit/log"

	"tealpond/internal/agent"
	_ "tealpond/internal/api" // registers the edge role
	"tealpond/internal/daemon"
	"tealpond/internal/settings"
	"tealpond/internal/tracing"
	"tealpond/internal/transport"
)

// traceRingLength is the number of trace entries that a simulated daemon keeps.
const traceRingLength = 4096

// Start starts a daemon that is not running.
func (c *Cluster) Start(name string) {
	n := c.node(name)
	ctx, cancel := context.WithCancelCause(transport.WithNetwork(context.Background(), c.Network.Host(n.ip)))
	role := c.newRole(n, c.environment(n))
	n.cancel, n.done, n.firstStart = cancel, make(chan struct{}), false
	// The labels identify each daemon of the process in a profile.
	go pprof.Do(ctx, pprof.Labels("role", n.role, "node", name), func(ctx context.Context) {
		if err := role.Run(ctx); err != nil {
			c.T.Errorf("%s: %v", name, err)
		}
		close(n.done)
	})
}

// environment returns what a daemon's process passes to its role.
func (c *Cluster) environment(n *node) daemon.Environment {
	environment := daemon.Environment{Settings: c.nodeSettings(n), Log: log.NewLogfmtLogger(log.NewSyncWriter(logObserver{c})),
		ProcessID: fmt.Sprint(n.name, "-", time.Now().UnixNano()), Reload: make(chan settings.File, 1), Trace: tracing.NewRing(traceRingLength)}
	if n.server {
		environment.FederationFile = c.federationFile
	}
	environment.Debug = c.debug || c.logOutput != io.Discard
	n.reload = environment.Reload
	environment.AfterSync = func() { time.Sleep(time.Duration(n.syncTime.Load())) }
	environment.Log = log.With(gatedLogger{&n.logGate, environment.Log}, "t", log.Valuer(func() any { return time.Now().Format("05.000") }), "node", n.name)
	return environment
}

func (c *Cluster) newRole(n *node, environment daemon.Environment) daemon.Role {
	if n.role == agentRole {
		return agent.New(environment, c.Runners[n.name])
	}
	spec, _ := daemon.FindRole(n.role)
	role, err := spec.New(environment)
	if err != nil {
		c.T.Fatalf("%s: %v", n.name, err)
	}
	return role
}

// nodeSettings returns a node's settings file.
func (c *Cluster) nodeSettings(n *node) settings.File {
	file := settings.File{NodeName: n.name, IPAddress: n.ip, Zone: n.zone, InnerPortRange: []int{daemonPort, daemonPort + 10}, SeedNodes: c.seeds,
		FirstStart: n.firstStart, HeartbeatIntervalMs: heartbeatInterval.Milliseconds(), RunnerAddress: address(n.ip, runnerPort)}
	file.Bounds = settings.Bounds{GraceS: 6, MaxLeaseMs: 6000, StopGraceMs: 400, DrainMs: 2500, GangWaitMs: 3000, StatusS: 120, SpreadFactor: 1.5, CheckpointEveryS: 1, HistoryS: 20, FreeAfterMs: 1500}
	file.Tolerance.LostMachines = c.toleratedLosses
	file.Bounds.EvacuateMs = evacuationGrace.Milliseconds()
	file.Zones = map[string]string{n.zone: "region"}
	for _, zone := range c.History.zones {
		file.Zones[zone] = "region"
	}
	if c.tallies {
		file.Contracts = []string{settings.ContractJobs, settings.ContractTallies}
	}
	file.Limits.MemoryMB = 284
	file.ListenAddresses.Control = address(n.ip, controlPort)
	if n.role == agentRole {
		file.Serves = []string{agentRole}
		return file
	}
	file.Serves = []string{edgeRole, "control"}
	if n.role == gatewayRole {
		file.Deployment, file.Discovery = settings.DeploymentAPI, "local"
		if !c.platform.announces {
			file.Discovery, file.Platform.Address = settings.DiscoveryPlatform, c.platform.Address()
		}
		file.Contracts = []string{"base", "config", "retry"}
		file.Bounds.DrainMs = float64(drainDuration.Milliseconds())
		file.Bounds.InTouchMs = 3000
		file.Bounds.RetryRatio, file.Bounds.RetryWindowS, file.Bounds.RetrySlack = 0.2, 10, 30
	}
	file.ListenAddresses.FrontHTTP, file.ListenAddresses.Readiness = address(n.ip, clientPort), address(n.ip, readinessPort)
	if n.server {
		file.DataDir, file.LossCounts = filepath.Join(c.dir, n.name), true
		if err := os.MkdirAll(file.DataDir, 0o755); err != nil {
			c.T.Error(err)
		}
	}
	return file
}

// ReloadSettings makes a daemon reload its settings, as SIGHUP does.
func (c *Cluster) ReloadSettings(name string) {
	n := c.node(name)
	select {
	case n.reload <- c.nodeSettings(n):
	default:
	}
}

// Kill ends a daemon at once, without a shutdown.
func (c *Cluster) Kill(name string) {
	n := c.node(name)
	c.Network.TakeDown(n.ip)
	n.cancel(daemon.ErrKilled)
	<-n.done
	c.Network.TakeDown(n.ip)
}

// Terminate asks a daemon to shut down and waits until it has ended.
func (c *Cluster) Terminate(name string) {
	n := c.node(name)
	n.cancel(context.Canceled)
	<-n.done
	c.Network.TakeDown(n.ip)
}

// Restart kills daemons and starts them again after downtime.
func (c *Cluster) Restart(downtime time.Duration, names ...string) {
	for _, name := range names {
		c.Kill(name)
	}
	time.Sleep(downtime)
	for _, name := range names {
		c.Start(name)
	}
}

// WipeDisk deletes the data directory of a daemon that is not running.
func (c *Cluster) WipeDisk(name string) {
	if err := os.RemoveAll(filepath.Join(c.dir, name)); err != nil {
		c.T.Fatal(err)
	}
}

// Shutdown kills all daemons and ends all goroutines of the cluster.
func (c *Cluster) Shutdown() {
	c.stopHeartbeats()
	for _, name := range c.nodeNames("") {
		n := c.node(name)
		n.logGate.open()
		n.cancel(daemon.ErrKilled)
	}
	for _, name := range c.nodeNames("") {
		n := c.node(name)
		<-n.done
		c.Network.TakeDown(n.ip)
	}
	c.client.CloseIdleConnections()
	// Within this time, requests that a simulated runner applies late and calls without
	// a response have ended.
	time.Sleep(15 * time.Second)
}

// logObserver writes the daemons' logs and passes each line to the observer that the
// test has set.
type logObserver struct{ cluster *Cluster }

func (o logObserver) Write(p []byte) (int, error) {
	if observe := o.cluster.onLog.Load(); observe != nil {
		(*observe)(string(p))
	}
	return o.cluster.logOutput.Write(p)
}

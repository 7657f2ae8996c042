package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tealpond/internal/daemon"
	"tealpond/internal/localcluster"
	"tealpond/internal/protocol"
	"tealpond/internal/settings"
	"tealpond/internal/standin"
)

// Time limits and intervals of a run.
const (
	// readyTimeout is the time limit for all daemons to become ready.
	readyTimeout = 30 * time.Second
	// restartPause is the pause between the exit of a daemon and its restart.
	restartPause = 300 * time.Millisecond
	// hangupCount is the number of SIGHUPs that a starting process gets, and hangupInterval the time
	// between two of them.
	hangupCount    = 7
	hangupInterval = 15 * time.Millisecond
	// loadTail is how long the load continues after the last step.
	loadTail = 2 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// operatorTimeout is the time-out of an operator's call.
	operatorTimeout = 2 * time.Second
)

// Host numbers and ports of the platform and the runners in a run's subnet. The daemons are numbered
// from host 1.
const (
	platformHost    = 250
	firstRunnerHost = 150
	platformPort    = 18100
	runnerPort      = 18080
)

// Roles of the daemons of a run.
const (
	gatewayRole = "gateway"
	edgeRole    = "edge"
)

// service is the target service of all routes.
const service = "svc"

// errNotReady is returned if not all daemons are ready within readyTimeout.
var errNotReady = errors.New("not all daemons became ready in time")

// Options configure a run.
type Options struct {
	Program   string // path of the daemon's executable
	Role      string // gatewayRole or edgeRole
	Directory string
	Subnet    localcluster.Subnet
	Seed      uint64
	Servers   int
	Proxies   int
	Runners   int
	Clients   int
	Length    time.Duration // of the schedule
	Grace     time.Duration
	MemoryMB  int    // memory limit in the settings of each daemon
	MaxFiles  uint64 // limit of open files of each daemon; 0 means the limit of this process
}

// Result is the result of a run.
type Result struct {
	Schedule   Schedule
	Record     Record
	Log        []localcluster.Line
	Violations []Violation
	StartedAt  time.Time
}

// run is a run in progress.
type run struct {
	options  Options
	schedule Schedule
	platform *standin.Platform
	cluster  *localcluster.Cluster
	recorder *Recorder
	nextID   atomic.Int64
	version  atomic.Int64 // of the last accepted configuration

	mu                 sync.Mutex
	restarting         map[string]bool // daemons that are waited for and restarted
	hangupAfterRestart map[string]bool // daemons whose next process gets SIGHUPs as it starts
	background         sync.WaitGroup
}

// Run executes the schedule of a seed under load and checks the observations. A non-nil error means
// that the run itself failed; violations are in the result.
func Run(ctx context.Context, options Options) (Result, error) {
	r := &run{options: options, recorder: NewRecorder(), restarting: map[string]bool{}, hangupAfterRestart: map[string]bool{}}
	r.schedule = GenerateSchedule(options.Seed, options.Servers+options.Proxies, options.Length)
	if err := r.start(ctx); err != nil {
		return Result{Schedule: r.schedule}, err
	}
	defer r.platform.Close()
	defer r.cluster.Close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients sync.WaitGroup
	r.startClients(loadCtx, &clients)
	startedAt := time.Now()
	r.runSchedule(ctx, startedAt)
	daemon.Pause(ctx, loadTail)
	stopLoad()
	clients.Wait()
	r.background.Wait()
	result := Result{Schedule: r.schedule, StartedAt: startedAt, Log: r.cluster.Log()}
	result.Record = r.recorder.Snapshot(r.exits())
	result.Violations = Check(result.Record, Bounds{Grace: options.Grace, UnforwardedLimit: unforwardedLimit, InTouch: inTouch})
	result.Violations = append(result.Violations, r.lostJobs(ctx, result.Record)...)
	return result, ctx.Err()
}

// Bounds of the operators' rules in their deployments.
const (
	unforwardedLimit = 200 * time.Millisecond
	inTouch          = 5 * time.Second
)

// start starts the platform, the runners and the daemons, and waits until all daemons are ready.
func (r *run) start(ctx context.Context) error {
	subnet := r.options.Subnet
	var err error
	r.platform, err = standin.NewPlatform(standin.Options{
		Address:       hostPort(subnet.Host(platformHost), platformPort),
		RunnerAddress: func(n int) string { return hostPort(subnet.Host(firstRunnerHost+n%90), runnerPort) },
		Listen:        func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Observe:       r.recorder.AddRun,
	})
	if err != nil {
		return err
	}
	r.cluster, err = localcluster.Start(localcluster.Options{
		Program: r.options.Program, Directory: r.options.Directory, Subnet: subnet, Role: r.options.Role,
		Servers: r.options.Servers, Proxies: r.options.Proxies, Zones: 1, Environment: []string{multipathTCPVariable(r.options.Seed)}, MaxFiles: r.options.MaxFiles, Settings: r.settings(),
	})
	if err != nil {
		r.platform.Close()
		return err
	}
	if err := r.prepare(ctx); err != nil {
		r.cluster.Close()
		r.platform.Close()
		return err
	}
	return nil
}

// multipathTCPVariable returns an environment variable that disables Multipath TCP for the daemons of
// every other seed, as on machines whose kernel does not support it: the options of sockets differ.
func multipathTCPVariable(seed uint64) string { return fmt.Sprint("GODEBUG=multipathtcp=", 2*(seed%2)) }

// settings returns the settings that are common to all daemons.
func (r *run) settings() settings.File {
	file := settings.File{
		Contracts: []string{"base", "config", "drain"},
		Limits:    settings.Limits{MemoryMB: r.options.MemoryMB},
		Tolerance: settings.Tolerance{LostMachines: 1},
		Bounds:    settings.Bounds{GraceS: r.options.Grace.Seconds(), InTouchMs: inTouch.Milliseconds(), DrainMs: 3000, ConfigApplyMs: 3000, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 192},
	}
	if r.options.Role == gatewayRole {
		file.Deployment, file.Discovery = settings.DeploymentAPI, settings.DiscoveryPlatform
		file.Platform = settings.Platform{Address: r.platform.Address(), RatePerS: 50}
		return file
	}
	file.Contracts = append(file.Contracts, settings.ContractJobs)
	file.Bounds.MaxLeaseMs, file.Bounds.StatusS, file.Bounds.HistoryS, file.Bounds.FreeAfterMs = 6000, 120, 20, 1500
	return file
}

// startClients starts clients of all profiles of the role. They stop when ctx ends.
func (r *run) startClients(ctx context.Context, clients *sync.WaitGroup) {
	var profiles []profile
	for _, entry := range profilesByRole[r.options.Role] {
		for range entry.weight {
			profiles = append(profiles, entry.profile)
		}
	}
	for i := range r.options.Clients {
		c := &client{
			profile: profiles[i%len(profiles)], random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)+1)), recorder: r.recorder, targets: r.targets,
			newID: func() string { return fmt.Sprintf("%08x%08x", r.options.Seed, r.nextID.Add(1)) },
		}
		clients.Go(func() { c.run(ctx) })
	}
}

// targets returns all daemons: clients don't know which daemons are stopping.
func (r *run) targets() []target {
	var targets []target
	for _, name := range r.cluster.Names() {
		if node, err := r.cluster.Daemon(name); err == nil {
			targets = append(targets, target{name, node.ClientAddress(), node.ControlAddress()})
		}
	}
	return targets
}

// runSchedule executes the steps of the schedule at their times.
func (r *run) runSchedule(ctx context.Context, startedAt time.Time) {
	names := r.cluster.Names()
	for _, step := range r.schedule.Steps {
		daemon.Pause(ctx, time.Until(startedAt.Add(step.At)))
		switch step.Kind {
		case StepSignal:
			r.signal(ctx, names[step.Daemon], step.Signal)
		case StepRestart:
			r.mu.Lock()
			r.hangupAfterRestart[names[step.Daemon]] = true
			r.mu.Unlock()
			r.signal(ctx, names[step.Daemon], syscall.SIGTERM)
		case StepConfig:
			r.background.Go(func() {
				r.recordAction("", "configuration change started")
				if r.changeConfiguration(ctx) {
					r.recordAction("", fmt.Sprint("configuration ", r.version.Load(), " acknowledged"))
				}
			})
		case StepDrainRunner:
			r.replaceRunner()
		}
	}
}

// recordAction records an action other than a signal.
func (r *run) recordAction(daemon, what string) {
	r.recorder.AddAction(Action{At: time.Now(), Daemon: daemon, What: what})
}

// replaceRunner starts a runner and drains the oldest one.
func (r *run) replaceRunner() {
	id, err := r.platform.StartRunner(service, "z0")
	if err != nil {
		r.recordAction("", "failed to start a runner: "+err.Error())
		return
	}
	for _, runner := range r.platform.Runners() {
		if runner.State == protocol.RunnerReady && runner.ID != id {
			r.platform.Drain(runner.ID)
			r.recordAction("", "runner "+runner.ID+" is drained, "+id+" is started")
			return
		}
	}
}

// exits returns the exits of all processes.
func (r *run) exits() []localcluster.Exit {
	var exits []localcluster.Exit
	for _, name := range r.cluster.Names() {
		if node, err := r.cluster.Daemon(name); err == nil {
			exits = append(exits, node.Exits()...)
		}
	}
	return exits
}

// hostPort joins an IP address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

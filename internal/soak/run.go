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

// Times of a run.
const (
	// readyTime is how long all daemons may take until they serve.
	readyTime = 30 * time.Second
	// restartPause is the pause between the end of a daemon and its next start.
	restartPause = 300 * time.Millisecond
	// hangupsAtStart is how many come, and hangupGap the time between two.
	hangupsAtStart = 7
	hangupGap      = 15 * time.Millisecond
	// afterTime is how long the load goes on after the last step.
	afterTime = 2 * time.Second
	// pollPause is the pause between two looks at something that is waited for.
	pollPause = 20 * time.Millisecond
	// operatorTime is how long an operator waits for an answer.
	operatorTime = 2 * time.Second
)

// Hosts of a run's subnet, and ports. Daemons begin at host 1.
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

// service is the one that all routes lead to.
const service = "svc"

// errNotReady is the error for daemons that don't serve in time.
var errNotReady = errors.New("not all daemons serve in time")

// Options are what a run is made of.
type Options struct {
	Program   string // path of the built program
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
	MemoryMb  int    // that the settings name
	MaxFiles  uint64 // of each daemon; 0: as this process may
}

// Result is what a run showed.
type Result struct {
	Schedule   Schedule
	Record     Record
	Log        []localcluster.Line
	Violations []Violation
	BeganAt    time.Time
}

// run is a run under way.
type run struct {
	options  Options
	schedule Schedule
	platform *standin.Platform
	cluster  *localcluster.Cluster
	ledger   *Ledger
	nextID   atomic.Int64
	version  atomic.Int64 // of the configuration that was accepted last

	mu      sync.Mutex
	leaving map[string]bool // daemons that are being started again
	hangups map[string]bool // daemons whose next process gets SIGHUPs
	restart sync.WaitGroup
}

// Run plays a seed and checks what came of it. The error is one of the run itself.
func Run(ctx context.Context, options Options) (Result, error) {
	r := &run{options: options, ledger: NewLedger(), leaving: map[string]bool{}, hangups: map[string]bool{}}
	r.schedule = Draw(options.Seed, options.Servers+options.Proxies, options.Length)
	if err := r.start(ctx); err != nil {
		return Result{Schedule: r.schedule}, err
	}
	defer r.platform.Close()
	defer r.cluster.Close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients sync.WaitGroup
	r.startClients(loadCtx, &clients)
	begunAt := time.Now()
	r.play(ctx, begunAt)
	daemon.Pause(ctx, afterTime)
	stopLoad()
	clients.Wait()
	r.restart.Wait()
	result := Result{Schedule: r.schedule, BeganAt: begunAt, Log: r.cluster.Log()}
	result.Record = r.ledger.Snapshot(r.exits())
	result.Violations = Check(result.Record, Bounds{Grace: options.Grace, LostTime: lostTime, InTouch: inTouch})
	result.Violations = append(result.Violations, r.lostJobs(ctx, result.Record)...)
	return result, ctx.Err()
}

// Bounds of the operators' rules, as their deployments have them.
const (
	lostTime = 200 * time.Millisecond
	inTouch  = 5 * time.Second
)

// start starts the stand-ins and the daemons, and waits until all serve.
func (r *run) start(ctx context.Context) error {
	subnet := r.options.Subnet
	var err error
	r.platform, err = standin.NewPlatform(standin.Options{
		Address:       hostPort(subnet.Host(platformHost), platformPort),
		RunnerAddress: func(n int) string { return hostPort(subnet.Host(firstRunnerHost+n%90), runnerPort) },
		Listen:        func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Observe:       r.ledger.AddRun,
	})
	if err != nil {
		return err
	}
	r.cluster, err = localcluster.Start(localcluster.Options{
		Program: r.options.Program, Directory: r.options.Directory, Subnet: subnet, Role: r.options.Role,
		Servers: r.options.Servers, Proxies: r.options.Proxies, Zones: 1, Environment: []string{kernelOf(r.options.Seed)}, MaxFiles: r.options.MaxFiles, Settings: r.settings(),
	})
	if err != nil {
		r.platform.Close()
		return err
	}
	if err := r.makeReady(ctx); err != nil {
		r.cluster.Close()
		r.platform.Close()
		return err
	}
	return nil
}

// kernelOf has the daemons of every other seed do without Multipath TCP, as on machines whose
// kernel doesn't have it: the options of sockets differ.
func kernelOf(seed uint64) string { return fmt.Sprint("GODEBUG=multipathtcp=", 2*(seed%2)) }

// settings are those that all daemons share.
func (r *run) settings() settings.File {
	file := settings.File{
		Contracts: []string{"base", "config", "drain"},
		Limits:    settings.Limits{MemoryMb: r.options.MemoryMb},
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

// startClients starts clients of all habits; they end with ctx.
func (r *run) startClients(ctx context.Context, clients *sync.WaitGroup) {
	var drawn []habit
	for _, entry := range habitsOf[r.options.Role] {
		for range entry.share {
			drawn = append(drawn, entry.habit)
		}
	}
	for i := range r.options.Clients {
		c := &client{
			habit: drawn[i%len(drawn)], random: rand.New(rand.NewPCG(r.options.Seed, uint64(i)+1)), ledger: r.ledger, targets: r.targets,
			newID: func() string { return fmt.Sprintf("%08x%08x", r.options.Seed, r.nextID.Add(1)) },
		}
		clients.Go(func() { c.run(ctx) })
	}
}

// targets are the daemons that clients send to: all, since clients don't know who leaves.
func (r *run) targets() []target {
	var targets []target
	for _, name := range r.cluster.Names() {
		if node, err := r.cluster.Daemon(name); err == nil {
			targets = append(targets, target{name, node.ClientAddress(), node.ControlAddress()})
		}
	}
	return targets
}

// play carries out the schedule.
func (r *run) play(ctx context.Context, begunAt time.Time) {
	names := r.cluster.Names()
	for _, step := range r.schedule.Steps {
		daemon.Pause(ctx, time.Until(begunAt.Add(step.At)))
		switch step.Kind {
		case StepSignal:
			r.signal(ctx, names[step.Daemon], step.Signal)
		case StepRestart:
			r.mu.Lock()
			r.hangups[names[step.Daemon]] = true
			r.mu.Unlock()
			r.signal(ctx, names[step.Daemon], syscall.SIGTERM)
		case StepConfig:
			r.restart.Go(func() {
				r.note("", "configuration is changed")
				if r.changeConfiguration(ctx) {
					r.note("", fmt.Sprint("configuration ", r.version.Load(), " is acknowledged"))
				}
			})
		case StepDrainRunner:
			r.replaceRunner()
		}
	}
}

// note records what was done without a signal.
func (r *run) note(daemon, what string) {
	r.ledger.AddAction(Action{At: time.Now(), Daemon: daemon, What: what})
}

// replaceRunner starts a runner and has the oldest one leave.
func (r *run) replaceRunner() {
	id, err := r.platform.StartRunner(service, "z0")
	if err != nil {
		r.note("", "no runner could be started: "+err.Error())
		return
	}
	for _, runner := range r.platform.Runners() {
		if runner.State == protocol.RunnerReady && runner.ID != id {
			r.platform.Drain(runner.ID)
			r.note("", "runner "+runner.ID+" leaves, "+id+" comes")
			return
		}
	}
}

// exits lists the ends of all processes.
func (r *run) exits() []localcluster.Exit {
	var exits []localcluster.Exit
	for _, name := range r.cluster.Names() {
		if node, err := r.cluster.Daemon(name); err == nil {
			exits = append(exits, node.Exits()...)
		}
	}
	return exits
}

// hostPort joins an address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

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
	pause(ctx, afterTime)
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

// makeReady starts the runners and puts the first configuration in force.
func (r *run) makeReady(ctx context.Context) error {
	for range r.options.Runners {
		if _, err := r.platform.StartRunner(service, "z0"); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for !r.changeConfiguration(ctx) || !r.allReady(ctx) {
		if ctx.Err() != nil {
			return errNotReady
		}
		pause(ctx, pollPause)
	}
	return nil
}

// allReady tells whether each daemon says that it is ready.
func (r *run) allReady(ctx context.Context) bool {
	for _, name := range r.cluster.Names() {
		daemon, err := r.cluster.Daemon(name)
		if err != nil {
			return false
		}
		if status, err := call(ctx, http.MethodGet, daemon.ReadinessAddress(), "/-/readiness", "", nil); err != nil || status != http.StatusOK {
			return false
		}
	}
	return true
}

// configuration is a configuration of the routes, given its version and a time limit that
// differs between versions.
const configuration = `{"configVersion":%d,"routeList":[` +
	`{"name":"r","hostName":"h","pathPrefix":"/read/","kind":"read_only","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"w","hostName":"h","pathPrefix":"/write/","kind":"writing","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"u","hostName":"h","pathPrefix":"/upload/","kind":"upload","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"d","hostName":"h","pathPrefix":"/download/","kind":"download","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2},` +
	`{"name":"j","hostName":"h","pathPrefix":"/p/","kind":"writing","timeoutMs":%[2]d,"targetMs":500,"targetService":"svc","maxTries":2}],` +
	`"serviceList":[{"name":"svc"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000}}`

// routeTimeoutMs is the time limit of the routes, above that of all clients.
const routeTimeoutMs = 20_000

// changeConfiguration replaces the configuration by the next version, at the first daemon
// that accepts it; false if none does.
func (r *run) changeConfiguration(ctx context.Context) bool {
	base := r.version.Load()
	text := fmt.Sprintf(configuration, base+1, routeTimeoutMs+base)
	for _, name := range r.cluster.Names() {
		daemon, err := r.cluster.Daemon(name)
		if err != nil {
			return false
		}
		status, err := call(ctx, http.MethodPost, daemon.ControlAddress(), "/-/Config.Replace", text, http.Header{protocol.HeaderBasedOn: {strconv.FormatInt(base, 10)}})
		if err == nil && status == http.StatusOK {
			r.version.Store(base + 1)
			return true
		}
	}
	return false
}

// call makes an operator's call and gives the status.
func call(ctx context.Context, method, address, path, body string, header http.Header) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	request.Host = header.Get("Host")
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode, response.Body.Close()
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
		if daemon, err := r.cluster.Daemon(name); err == nil {
			targets = append(targets, target{name, daemon.ClientAddress(), daemon.ControlAddress()})
		}
	}
	return targets
}

// play carries out the schedule.
func (r *run) play(ctx context.Context, begunAt time.Time) {
	names := r.cluster.Names()
	for _, step := range r.schedule.Steps {
		pause(ctx, time.Until(begunAt.Add(step.At)))
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

// maxAskedJobs is how many of the accepted jobs are asked for at the end of a run.
const maxAskedJobs = 300

// lostJobs asks for accepted jobs once all daemons are back, and gives those that the
// cluster doesn't know.
func (r *run) lostJobs(ctx context.Context, record Record) []Violation {
	var accepted []Request
	for _, request := range record.Requests {
		if request.Kind == kindJob && request.Ending == EndAnswered && request.Status < http.StatusMultipleChoices {
			accepted = append(accepted, request)
		}
	}
	step := max(len(accepted)/maxAskedJobs, 1)
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	var lost []Violation
	for i := 0; i < len(accepted); i += step {
		if status := r.jobStatus(ctx, accepted[i].ID); status != http.StatusOK {
			lost = append(lost, Violation{"LOST", fmt.Sprintf("an accepted job is answered %d at the end", status), accepted[i]})
		}
	}
	return lost
}

// jobStatus asks the daemons for a job until one knows an answer, and gives its status; 0:
// none does in time.
func (r *run) jobStatus(ctx context.Context, id string) int {
	for ctx.Err() == nil {
		for _, target := range r.targets() {
			status, err := call(ctx, http.MethodGet, target.address, jobPath+id, "", http.Header{"Host": {routeHost}})
			if err == nil && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
				return status
			}
		}
		pause(ctx, pollPause)
	}
	return 0
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

// signal sends a signal to a daemon; one that ends by it is started again.
func (r *run) signal(ctx context.Context, name string, signal syscall.Signal) {
	daemon, err := r.cluster.Daemon(name)
	if err != nil {
		return
	}
	r.ledger.AddAction(Action{At: time.Now(), Daemon: name, What: signal.String(), Signal: signal})
	if err := r.cluster.Signal(name, signal); err != nil {
		r.note(name, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving[name] || signal == syscall.SIGSTOP || signal == syscall.SIGCONT {
		return
	}
	r.leaving[name] = true
	ended := daemon.Ended()
	r.restart.Go(func() { r.startAgain(ctx, daemon, ended) })
}

// startAgain starts a daemon again if it ends within the grace time.
func (r *run) startAgain(ctx context.Context, daemon *localcluster.Daemon, ended <-chan struct{}) {
	defer func() {
		r.mu.Lock()
		r.leaving[daemon.Name] = false
		r.mu.Unlock()
	}()
	select {
	case <-ended:
	case <-time.After(r.options.Grace):
		// It was a signal that doesn't end it, or it outlives its time.
		r.endOverdue(daemon)
		return
	case <-ctx.Done():
		return
	}
	pause(ctx, restartPause)
	if err := daemon.Restart(); err != nil {
		r.note(daemon.Name, err.Error())
		return
	}
	r.note(daemon.Name, "is started")
	r.mu.Lock()
	wanted := r.hangups[daemon.Name]
	delete(r.hangups, daemon.Name)
	r.mu.Unlock()
	if wanted {
		r.hangUpAtStart(ctx, daemon.Name)
	}
}

// endOverdue kills a process that was told to end and hasn't within the grace time, as its
// operators would.
func (r *run) endOverdue(daemon *localcluster.Daemon) {
	for _, action := range r.ledger.Snapshot(nil).Actions {
		told := action.Daemon == daemon.Name && action.Signal == syscall.SIGTERM && action.At.After(daemon.StartedAt())
		if told && time.Since(action.At) >= r.options.Grace {
			r.note(daemon.Name, overdueNote)
			_ = r.cluster.Signal(daemon.Name, syscall.SIGKILL)
			return
		}
	}
}

// overdueNote marks a daemon that was killed since its time was over.
const overdueNote = "has not ended within its grace time and is killed"

// hangUpAtStart sends SIGHUPs to a process that has just been started.
func (r *run) hangUpAtStart(ctx context.Context, name string) {
	pause(ctx, startTime)
	for range hangupsAtStart {
		r.ledger.AddAction(Action{At: time.Now(), Daemon: name, What: syscall.SIGHUP.String(), Signal: syscall.SIGHUP})
		_ = r.cluster.Signal(name, syscall.SIGHUP)
		pause(ctx, hangupGap)
	}
}

// exits lists the ends of all processes.
func (r *run) exits() []localcluster.Exit {
	var exits []localcluster.Exit
	for _, name := range r.cluster.Names() {
		if daemon, err := r.cluster.Daemon(name); err == nil {
			exits = append(exits, daemon.Exits()...)
		}
	}
	return exits
}

// hostPort joins an address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

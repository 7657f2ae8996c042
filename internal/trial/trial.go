package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"tealpond/internal/localcluster"
	"tealpond/internal/rpc"
	"tealpond/internal/settings"
	"tealpond/internal/standin"
	"tealpond/internal/transport"
)

const (
	servers = 3
	agents  = 3
	// readyTimeout is how long a new cluster may take to become ready. It usually takes seconds, but
	// the machine may be busy.
	readyTimeout = time.Minute
	// jobTimeout is the time limit for a job that takes a few seconds.
	jobTimeout = time.Minute
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// heartbeatInterval is the interval of the heartbeats of a runner.
	heartbeatInterval = 500 * time.Millisecond
	// lockHold is the duration of a lock's lease.
	lockHold = 4 * time.Second
	// releaseTimeout is how long after the end of its lease a lock may take to become free.
	releaseTimeout = 10 * time.Second
	// releaseBound is the operators' bound on that time, as the settings name it.
	releaseBound = 1500 * time.Millisecond
	// subnetAttempts is the number of loopback networks that are tried.
	subnetAttempts = 5
)

// Options configure a trial.
type Options struct {
	Program   string // path of the daemon's executable
	Directory string // for settings and data; it must exist and be empty, and is removed at the end
	Output    io.Writer
	// Keep keeps the cluster running after the trial, until the context ends.
	Keep bool
}

// trial is a trial in progress.
type trial struct {
	options   Options
	cluster   *localcluster.Cluster
	servers   []*http.Server // of the fake runners
	ctx       context.Context
	stop      context.CancelFunc
	running   sync.WaitGroup
	startedAt time.Time
	killed    string // name of the daemon that the trial has killed; empty before that

	mu             sync.Mutex
	startsByWorker map[string]int // number of started runs by worker
	starts         int
}

// Run runs a trial. The error names the check that failed. When Run returns, all processes have ended
// and all files are removed.
func Run(ctx context.Context, options Options) error {
	t := &trial{options: options, startedAt: time.Now(), startsByWorker: map[string]int{}}
	t.ctx, t.stop = context.WithCancel(ctx)
	defer t.close()
	for _, step := range []func() error{t.start, t.runJob, t.handOverLock, t.watchKey, t.loseLeader} {
		if err := step(); err != nil {
			return t.withDiagnostics(err)
		}
	}
	t.summarize()
	if options.Keep {
		t.printCommands()
		<-ctx.Done()
	}
	return nil
}

// withDiagnostics adds the exits of daemons and their last logged error to an error, since these
// probably show its cause.
func (t *trial) withDiagnostics(err error) error {
	if t.cluster == nil {
		return err
	}
	for _, name := range t.cluster.Names() {
		if daemon, unknown := t.cluster.Daemon(name); unknown == nil {
			for _, exit := range daemon.Exits() {
				err = fmt.Errorf("%w; %s exited: %s", err, name, exit.State)
			}
		}
	}
	logged := ""
	for _, line := range t.cluster.Log() {
		if strings.Contains(line.Text, "level=error") {
			logged = line.Daemon + " logged: " + line.Text
		}
	}
	if logged != "" {
		err = fmt.Errorf("%w; %s", err, logged)
	}
	return err
}

// printf prints a line of progress with the time since the start.
func (t *trial) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(t.options.Output, "%5.1f s  %s\n", time.Since(t.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the daemons and the runners, waits until the daemons are ready and sends the
// configuration.
func (t *trial) start() error {
	if err := t.startCluster(); err != nil {
		return err
	}
	for _, name := range t.cluster.Names()[servers+1:] {
		if err := t.startRunner(name); err != nil {
			return err
		}
	}
	t.printf("started %d servers, a daemon without a disk and %d agents, each with a runner", servers, agents)
	if err := t.await("the daemons to become ready", readyTimeout, t.isReady); err != nil {
		return err
	}
	if err := t.await("the configuration to be accepted", readyTimeout, t.configure); err != nil {
		return err
	}
	t.printf("the leader is %s; the configuration is accepted", t.leader())
	return nil
}

// startCluster starts the daemons on an unused loopback network.
func (t *trial) startCluster() error {
	var err error
	for range subnetAttempts {
		subnet := localcluster.Subnet{A: byte(64 + rand.IntN(60)), B: byte(1 + rand.IntN(250))}
		if subnet.InUse() {
			err = fmt.Errorf("loopback network of %s is in use", subnet.Host(1))
			continue
		}
		t.cluster, err = localcluster.Start(localcluster.Options{
			Program: t.options.Program, Directory: t.options.Directory, Subnet: subnet,
			Role: "edge", Servers: servers, Proxies: 1, Agents: agents, AgentRole: "side", Zones: 1, Settings: trialSettings(),
		})
		return err
	}
	return err
}

// trialSettings returns the settings that are common to all daemons.
func trialSettings() settings.File {
	return settings.File{
		HeartbeatIntervalMs: heartbeatInterval.Milliseconds(), AssignmentProtocol: "duty_call", TargetService: service,
		Contracts: []string{"base", "config", "drain", settings.ContractJobs},
		Limits:    settings.Limits{MemoryMB: 256},
		Tolerance: settings.Tolerance{LostMachines: 1},
		Bounds: settings.Bounds{InTouchMs: 3000, GraceS: 6, MaxLeaseMs: 6000, StopGraceMs: 400, DrainMs: 2000, GangWaitMs: 3000, StatusS: 120,
			SpreadFactor: 1.5, CheckpointEveryS: 1, ConfigApplyMs: 2000, HistoryS: 20, FreeAfterMs: releaseBound.Milliseconds()},
	}
}

// startRunner starts a fake runner for an agent.
func (t *trial) startRunner(agent string) error {
	daemon, err := t.cluster.Daemon(agent)
	if err != nil {
		return err
	}
	worker := standin.NewWorker(standin.WorkerOptions{Node: agent, Service: service, Zone: daemon.Zone, Seed: int64(len(t.servers)), Observe: t.observe})
	socket, err := net.Listen("tcp", daemon.RunnerAddress())
	if err != nil {
		return fmt.Errorf("listen for the runner of %s: %w", agent, err)
	}
	server := &http.Server{Handler: worker.Handler(), ReadHeaderTimeout: time.Second}
	t.servers = append(t.servers, server)
	t.running.Go(func() { _ = server.Serve(socket) }) // until it is closed
	t.running.Go(func() { worker.SendHeartbeats(t.ctx, daemon.ControlAddress(), heartbeatInterval) })
	return nil
}

// observe counts the started runs by worker.
func (t *trial) observe(event standin.WorkerEvent) {
	if event.Kind != standin.WorkerRunStarted {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startsByWorker[event.Node]++
	t.starts++
}

// await polls until condition is true. It fails on a time-out, when a daemon exits unexpectedly, or
// when the trial is cancelled; the error names the condition, except after cancellation.
func (t *trial) await(what string, timeout time.Duration, condition func() bool) error {
	for until := time.Now().Add(timeout); !condition(); {
		if t.anyExited() {
			return fmt.Errorf("a daemon exited while waiting for %s", what)
		}
		if time.Now().After(until) {
			return fmt.Errorf("timed out after %v waiting for %s", timeout, what)
		}
		select {
		case <-time.After(pollInterval):
		case <-t.ctx.Done():
			return t.ctx.Err()
		}
	}
	return nil
}

// anyExited reports whether a daemon has exited that the trial has not killed.
func (t *trial) anyExited() bool {
	for _, name := range t.cluster.Names() {
		daemon, err := t.cluster.Daemon(name)
		if err == nil && name != t.killed && len(daemon.Exits()) > 0 {
			return true
		}
	}
	return false
}

// leader returns the name of the server that reports itself as leader, or an empty string.
func (t *trial) leader() string {
	for _, name := range t.cluster.Names()[:servers] {
		daemon, err := t.cluster.Daemon(name)
		if err != nil {
			continue
		}
		response, err := rpc.Call(t.ctx, daemon.DaemonAddress(), rpc.KindLeader, nil, time.Second)
		var info rpc.LeaderInfo
		if err == nil && transport.Decode(response.Body, &info) == nil && info.IsLeader {
			return name
		}
	}
	return ""
}

// summarize prints the number of runs on each worker.
func (t *trial) summarize() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range t.cluster.Names()[servers+1:] {
		t.printf("%s started %d runs", name, t.startsByWorker[name])
	}
	t.printf("all checks passed")
}

// printCommands prints commands to try while the cluster keeps running.
func (t *trial) printCommands() {
	daemon, err := t.cluster.Daemon(t.cluster.Names()[0])
	if err != nil {
		return
	}
	t.printf("the cluster keeps running until you press Ctrl-C; try:")
	_, _ = fmt.Fprintf(t.options.Output, `
    %[1]s query --at %[2]s "SELECT id, state FROM jobs"
    %[1]s locks --at %[2]s
    %[1]s keys list --at %[2]s
    curl -H 'Host: %[4]s' http://%[3]s%[5]s
`, t.options.Program, daemon.DaemonAddress(), daemon.ClientAddress(), host, jobPrefix)
}

// close stops the runners, kills the daemons and removes all files.
func (t *trial) close() {
	t.stop()
	for _, server := range t.servers {
		_ = server.Close()
	}
	if t.cluster != nil {
		t.cluster.Close()
	}
	t.running.Wait()
	_ = os.RemoveAll(t.options.Directory)
}

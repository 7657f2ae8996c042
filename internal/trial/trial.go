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
	// readyTime is how long a new cluster may take until it serves.
	readyTime = time.Minute // it takes seconds, but the machine may be busy
	// jobTime is how long a job of a few seconds may take.
	jobTime = time.Minute
	// pollPause is the time between two looks at something that is awaited.
	pollPause = 50 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a runner.
	heartbeatInterval = 500 * time.Millisecond
	// lockHold is for how long the trial's lock is held.
	lockHold = 4 * time.Second
	// freeTime is how long it may take beyond that until the lock of a dead holder is free.
	freeTime = 10 * time.Second
	// freeAfter is the operators' bound on that.
	freeAfter = 1500 * time.Millisecond
	// subnetTries is how many loopback networks are tried.
	subnetTries = 5
)

// Options are what a trial is run with.
type Options struct {
	Program   string // path of the built program
	Directory string // for settings, data and logs; it must exist and be empty
	Output    io.Writer
	// Keep leaves the cluster running until the context ends.
	Keep bool
}

// trial is a trial under way.
type trial struct {
	options Options
	cluster *localcluster.Cluster
	servers []*http.Server // of the runners
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	begunAt time.Time
	killed  string // the daemon that the trial has killed; empty: none yet

	mu     sync.Mutex
	ranOn  map[string]int // runs, by the worker
	starts int
}

// Run runs a trial. The error says what was not as it should be; nothing is left running
// after it, and no file.
func Run(ctx context.Context, options Options) error {
	t := &trial{options: options, begunAt: time.Now(), ranOn: map[string]int{}}
	t.ctx, t.stop = context.WithCancel(ctx)
	defer t.close()
	for _, step := range []func() error{t.start, t.runJob, t.passLockOn, t.watchKey, t.loseLeader} {
		if err := step(); err != nil {
			return t.explain(err)
		}
	}
	t.summarize()
	if options.Keep {
		t.invite()
		<-ctx.Done()
	}
	return nil
}

// explain adds to an error what the daemons logged last as errors, and which have ended: the
// cause is likely there.
func (t *trial) explain(err error) error {
	if t.cluster == nil {
		return err
	}
	for _, name := range t.cluster.Names() {
		if daemon, unknown := t.cluster.Daemon(name); unknown == nil {
			for _, exit := range daemon.Exits() {
				err = fmt.Errorf("%w; %s ended: %s", err, name, exit.State)
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

// say prints a line of progress.
func (t *trial) say(format string, args ...any) {
	_, _ = fmt.Fprintf(t.options.Output, "%5.1f s  %s\n", time.Since(t.begunAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the daemons and the runners, and waits until they serve.
func (t *trial) start() error {
	if err := t.startCluster(); err != nil {
		return err
	}
	for _, name := range t.cluster.Names()[servers+1:] {
		if err := t.startRunner(name); err != nil {
			return err
		}
	}
	t.say("started %d servers, a daemon without a disk and %d agents, each with a runner", servers, agents)
	if err := t.await("the daemons serve", readyTime, t.isReady); err != nil {
		return err
	}
	if err := t.await("the configuration is in force", readyTime, t.configure); err != nil {
		return err
	}
	t.say("%s leads, the configuration is in force", t.leader())
	return nil
}

// startCluster starts the daemons on a loopback network that nobody uses.
func (t *trial) startCluster() error {
	var err error
	for range subnetTries {
		subnet := localcluster.Subnet{A: byte(64 + rand.IntN(60)), B: byte(1 + rand.IntN(250))}
		if subnet.InUse() {
			err = fmt.Errorf("the loopback network %s is in use", subnet.Host(1))
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

// trialSettings are those that all daemons share.
func trialSettings() settings.File {
	return settings.File{
		HeartbeatIntervalMs: heartbeatInterval.Milliseconds(), AssignmentProtocol: "duty_call", TargetService: service,
		Contracts: []string{"base", "config", "drain", settings.ContractJobs},
		Limits:    settings.Limits{MemoryMb: 256},
		Tolerance: settings.Tolerance{LostMachines: 1},
		Bounds: settings.Bounds{InTouchMs: 3000, GraceS: 6, MaxLeaseMs: 6000, StopGraceMs: 400, DrainMs: 2000, GangWaitMs: 3000, StatusS: 120,
			SpreadFactor: 1.5, CheckpointEveryS: 1, ConfigApplyMs: 2000, HistoryS: 20, FreeAfterMs: freeAfter.Milliseconds()},
	}
}

// startRunner starts the stand-in of a runner beside an agent.
func (t *trial) startRunner(agent string) error {
	daemon, err := t.cluster.Daemon(agent)
	if err != nil {
		return err
	}
	worker := standin.NewWorker(standin.WorkerOptions{Node: agent, Service: service, Zone: daemon.Zone, Seed: int64(len(t.servers)), Observe: t.observe})
	socket, err := net.Listen("tcp", daemon.RunnerAddress())
	if err != nil {
		return fmt.Errorf("the runner beside %s: %w", agent, err)
	}
	server := &http.Server{Handler: worker.Handler(), ReadHeaderTimeout: time.Second}
	t.servers = append(t.servers, server)
	t.running.Go(func() { _ = server.Serve(socket) }) // until it is closed
	t.running.Go(func() { worker.Announce(t.ctx, daemon.ControlAddress(), heartbeatInterval) })
	return nil
}

// observe records where runs start.
func (t *trial) observe(event standin.WorkerEvent) {
	if event.Kind != standin.WorkerRunStarted {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ranOn[event.Node]++
	t.starts++
}

// await waits until something is so. The error says what was not in time.
func (t *trial) await(what string, most time.Duration, condition func() bool) error {
	for until := time.Now().Add(most); !condition(); {
		if t.anyEnded() {
			return fmt.Errorf("a process has ended before this was so: %s", what)
		}
		if time.Now().After(until) {
			return fmt.Errorf("not within %v: %s", most, what)
		}
		select {
		case <-time.After(pollPause):
		case <-t.ctx.Done():
			return t.ctx.Err()
		}
	}
	return nil
}

// anyEnded reports whether a daemon has ended that the trial has not killed.
func (t *trial) anyEnded() bool {
	for _, name := range t.cluster.Names() {
		daemon, err := t.cluster.Daemon(name)
		if err == nil && name != t.killed && len(daemon.Exits()) > 0 {
			return true
		}
	}
	return false
}

// leader is the name of the server that leads; empty if none says so.
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

// summarize prints what ran where.
func (t *trial) summarize() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range t.cluster.Names()[servers+1:] {
		t.say("%s started %d runs", name, t.ranOn[name])
	}
	t.say("all was as it should be")
}

// invite prints commands to try on the cluster that stays up.
func (t *trial) invite() {
	daemon, err := t.cluster.Daemon(t.cluster.Names()[0])
	if err != nil {
		return
	}
	t.say("the cluster stays up until you press ctrl-C; try:")
	_, _ = fmt.Fprintf(t.options.Output, `
    %[1]s query --at %[2]s "SELECT id, state FROM jobs"
    %[1]s locks --at %[2]s
    %[1]s keys list --at %[2]s
    curl -H 'Host: %[4]s' http://%[3]s%[5]s
`, t.options.Program, daemon.DaemonAddress(), daemon.ClientAddress(), host, jobPrefix)
}

// close ends all processes and runners, and removes their files.
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

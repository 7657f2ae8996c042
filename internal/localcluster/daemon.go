package localcluster

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxLogLineBytes is the longest line that can be read from a daemon's log.
const maxLogLineBytes = 64 << 10

// Exit describes how a process of a daemon exited.
type Exit struct {
	Daemon    string
	StartedAt time.Time
	At        time.Time
	State     string // exit status or signal as formatted by os.ProcessState, such as "exit status 0" or "signal: hangup"
}

// Daemon is one daemon of a cluster. It outlives its processes, which may be restarted.
type Daemon struct {
	Name, IP, Zone, Role string
	cluster              *Cluster
	server               bool // the daemon has a disk

	mu      sync.Mutex
	process *process // the current or the last process
	exits   []Exit
}

// process is one process of a daemon.
type process struct {
	command   *exec.Cmd
	startedAt time.Time
	exited    chan struct{} // closed once the process has exited and its log was read
}

// ClientAddress is the address at which the daemon serves clients.
func (d *Daemon) ClientAddress() string { return hostPort(d.IP, clientPort) }

// ControlAddress is the address at which the daemon serves operators.
func (d *Daemon) ControlAddress() string { return hostPort(d.IP, controlPort) }

// RunnerAddress is the address at which the runner of an agent listens.
func (d *Daemon) RunnerAddress() string { return hostPort(d.IP, runnerPort) }

// DaemonAddress is the address at which the daemon serves other daemons and operators' tools.
func (d *Daemon) DaemonAddress() string { return hostPort(d.IP, daemonPort) }

// isAgent reports whether the daemon is an agent.
func (d *Daemon) isAgent() bool { return d.Role != d.cluster.options.Role }

// ReadinessAddress is the address of the daemon's readiness endpoint.
func (d *Daemon) ReadinessAddress() string { return hostPort(d.IP, readinessPort) }

// directory is the directory of the daemon's files.
func (d *Daemon) directory() string { return filepath.Join(d.cluster.options.Directory, d.Name) }

// Restart starts the daemon again after its process has exited. Its data directory is kept. It does
// nothing while a process is running or once the cluster is closed.
func (d *Daemon) Restart() error { return d.start(false) }

// start starts a process, unless one is running or the cluster is closed.
func (d *Daemon) start(firstStart bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cluster.isClosed() || d.process != nil && !d.process.hasExited() {
		return nil
	}
	if err := os.MkdirAll(filepath.Join(d.directory(), "data"), 0o700); err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	path := filepath.Join(d.directory(), "settings.toml")
	if err := writeSettings(path, d.cluster.settingsOf(d, firstStart)); err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	command := exec.Command(d.cluster.options.Program, d.Role, "--settings", path)
	command.Env = append(os.Environ(), d.cluster.options.Environment...)
	// The daemon must not outlive the process that started it.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := command.StderrPipe()
	if err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%s: %w", d.Name, err)
	}
	if files := d.cluster.options.MaxFiles; files > 0 {
		if err := unix.Prlimit(command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: files, Max: files}, nil); err != nil {
			d.cluster.addLine(d.Name, "failed to set the limit of open files: "+err.Error())
		}
	}
	d.process = &process{command, time.Now(), make(chan struct{})}
	go d.watch(d.process, log)
	return nil
}

// watch collects the log of a process until the process exits, and records its exit.
func (d *Daemon) watch(p *process, log io.Reader) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		d.cluster.addLine(d.Name, scanner.Text())
	}
	_ = p.command.Wait() // ProcessState has the outcome
	d.mu.Lock()
	d.exits = append(d.exits, Exit{d.Name, p.startedAt, time.Now(), p.command.ProcessState.String()})
	d.mu.Unlock()
	close(p.exited)
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Exited returns a channel that is closed once the current process of the daemon has exited.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.exited
}

// StartedAt returns the start time of the current process.
func (d *Daemon) StartedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.startedAt
}

// ProcessID returns the ID that the operating system gave the current process.
func (d *Daemon) ProcessID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.command.Process.Pid
}

// Exits returns the exits of the daemon's processes so far.
func (d *Daemon) Exits() []Exit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Exit(nil), d.exits...)
}

// signal sends a signal to the current process; it does nothing if the process has exited.
func (d *Daemon) signal(signal syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || d.process.hasExited() {
		return nil
	}
	if err := d.process.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: signal %v: %w", d.Name, signal, err)
	}
	return nil
}

// kill kills the current process and waits for its exit.
func (d *Daemon) kill() {
	_ = d.signal(syscall.SIGKILL)
	d.mu.Lock()
	running := d.process
	d.mu.Unlock()
	if running != nil {
		<-running.exited
	}
}

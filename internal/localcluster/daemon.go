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

// maxLogLineBytes is the length of the longest line that is read from a daemon's log.
const maxLogLineBytes = 64 << 10

// Exit is the end of a daemon's process.
type Exit struct {
	Daemon    string
	StartedAt time.Time
	At        time.Time
	State     string // as the system tells it, such as "exit status 0" or "signal: hangup"
}

// Daemon is one daemon of a cluster, over all of its processes.
type Daemon struct {
	Name, IP, Zone, Role string
	cluster              *Cluster
	server               bool // it has a disk

	mu      sync.Mutex
	process *process // the present or the last one
	exits   []Exit
}

// process is one process of a daemon.
type process struct {
	command   *exec.Cmd
	startedAt time.Time
	ended     chan struct{} // closed once it has ended and its log was read
}

// ClientAddress is where the daemon serves clients.
func (d *Daemon) ClientAddress() string { return hostPort(d.IP, clientPort) }

// ControlAddress is where it serves operators.
func (d *Daemon) ControlAddress() string { return hostPort(d.IP, controlPort) }

// RunnerAddress is where the runner beside an agent serves.
func (d *Daemon) RunnerAddress() string { return hostPort(d.IP, runnerPort) }

// DaemonAddress is where it serves other daemons, and the operators' tools.
func (d *Daemon) DaemonAddress() string { return hostPort(d.IP, daemonPort) }

// isAgent reports whether the daemon is one beside a runner.
func (d *Daemon) isAgent() bool { return d.Role != d.cluster.options.Role }

// ReadinessAddress is where it reports whether it is ready.
func (d *Daemon) ReadinessAddress() string { return hostPort(d.IP, readinessPort) }

// directory holds the files of the daemon.
func (d *Daemon) directory() string { return filepath.Join(d.cluster.options.Directory, d.Name) }

// Restart starts the daemon again after it has ended; it keeps its disk.
func (d *Daemon) Restart() error { return d.start(false) }

// start starts a process, unless one runs or the cluster is closed.
func (d *Daemon) start(firstStart bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cluster.isClosed() || d.process != nil && !d.process.hasEnded() {
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
	// A daemon must not outlive whoever started it.
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
			d.cluster.addLine(d.Name, "the limit of open files can't be set: "+err.Error())
		}
	}
	d.process = &process{command, time.Now(), make(chan struct{})}
	go d.watch(d.process, log)
	return nil
}

// watch keeps the log of a process until it ends.
func (d *Daemon) watch(p *process, log io.Reader) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		d.cluster.addLine(d.Name, scanner.Text())
	}
	_ = p.command.Wait() // its state tells all
	d.mu.Lock()
	d.exits = append(d.exits, Exit{d.Name, p.startedAt, time.Now(), p.command.ProcessState.String()})
	d.mu.Unlock()
	close(p.ended)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Ended is closed once the present process of the daemon has ended.
func (d *Daemon) Ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.ended
}

// StartedAt is when the present process was started.
func (d *Daemon) StartedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.startedAt
}

// Exits lists the ends of the daemon's processes so far.
func (d *Daemon) Exits() []Exit {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Exit(nil), d.exits...)
}

// signal sends a signal to the present process; nothing happens if it has ended.
func (d *Daemon) signal(signal syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil || d.process.hasEnded() {
		return nil
	}
	if err := d.process.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: signal %v: %w", d.Name, signal, err)
	}
	return nil
}

// kill kills the present process and waits for its end.
func (d *Daemon) kill() {
	_ = d.signal(syscall.SIGKILL)
	d.mu.Lock()
	running := d.process
	d.mu.Unlock()
	if running != nil {
		<-running.ended
	}
}

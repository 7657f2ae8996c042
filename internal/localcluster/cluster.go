// Package localcluster runs a cluster of daemons as processes on this machine, each with its own
// loopback address. It writes their settings, collects their logs, sends them signals, and kills
// the processes and removes their files when the cluster is closed. It does not depend on the
// workload that the daemons serve.
package localcluster

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"tealpond/internal/settings"
)

// Ports that each daemon listens on at its own address.
const (
	clientPort    = 18161
	controlPort   = 18166
	runnerPort    = 18165
	readinessPort = 18167
	daemonPort    = 17720 // the first port for traffic between daemons
	daemonPorts   = 10    // length of that port range
)

// maxSeeds is the largest number of seeds in the settings.
const maxSeeds = 3

// ErrUnknownDaemon is returned for a name that no daemon of the cluster has.
var ErrUnknownDaemon = errors.New("no such daemon")

// Options configure a Cluster.
type Options struct {
	Program   string // path of the daemon's executable
	Directory string // for settings and data; it must exist
	Subnet    Subnet
	Role      string // of all daemons but the agents
	Servers   int    // number of daemons with a disk
	Proxies   int    // number of daemons without a disk
	// Agents is the number of daemons of AgentRole, each for a runner at its RunnerAddress.
	Agents    int
	AgentRole string
	Zones     int
	// Environment is added to the environment of this process, as NAME=VALUE.
	Environment []string
	MaxFiles    uint64 // limit of open files of each daemon; 0 means the limit of this process
	// Settings are common to all daemons. The names, addresses, seeds and data directories of the
	// daemons are filled in.
	Settings settings.File
}

// Subnet is the loopback network 127.A.B.0/24, which has 254 hosts.
type Subnet struct{ A, B byte }

// Host returns the address of a host, numbered from 1 to 254.
func (s Subnet) Host(host int) string { return fmt.Sprintf("127.%d.%d.%d", s.A, s.B, host) }

// InUse reports whether the client port of the first daemon can't be listened on, as when another
// cluster uses the network.
func (s Subnet) InUse() bool {
	listener, err := net.Listen("tcp", hostPort(s.Host(1), clientPort))
	if err != nil {
		return true
	}
	_ = listener.Close()
	return false
}

// Cluster is a set of daemons that run as local processes. It is safe for concurrent use.
type Cluster struct {
	options Options
	startAt time.Time
	names   []string

	mu      sync.Mutex
	daemons map[string]*Daemon
	lines   []Line
	closed  bool
}

// Line is a line of a daemon's log.
type Line struct {
	At     time.Time // when the line was read
	Daemon string
	Text   string
}

// Start starts the daemons of a cluster. If one can't be started, the others are killed and all files
// are removed.
func Start(options Options) (*Cluster, error) {
	c := &Cluster{options: options, startAt: time.Now(), daemons: map[string]*Daemon{}}
	for i := range options.Servers + options.Proxies + options.Agents {
		daemon := &Daemon{cluster: c, Name: fmt.Sprintf("node-%d", i+1), IP: options.Subnet.Host(i + 1), Zone: fmt.Sprint("z", i%max(options.Zones, 1)), Role: options.Role, server: i < options.Servers}
		if i >= options.Servers+options.Proxies {
			daemon.Role = options.AgentRole
		}
		c.daemons[daemon.Name] = daemon
		c.names = append(c.names, daemon.Name)
	}
	for _, name := range c.names {
		if err := c.daemons[name].start(true); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Names returns the names of the daemons: servers first, then proxies, then agents.
func (c *Cluster) Names() []string { return append([]string(nil), c.names...) }

// Daemon returns the daemon with the given name. The error wraps ErrUnknownDaemon if there is none.
func (c *Cluster) Daemon(name string) (*Daemon, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if daemon := c.daemons[name]; daemon != nil {
		return daemon, nil
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknownDaemon, name)
}

// Log returns the lines that the daemons have logged so far, in the order in which they were read.
func (c *Cluster) Log() []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Line(nil), c.lines...)
}

// addLine appends a line to the log.
func (c *Cluster) addLine(daemon, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, Line{time.Now(), daemon, text})
}

// Close kills all daemons, waits for their processes to exit and removes their files.
func (c *Cluster) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for _, name := range c.names {
		c.daemons[name].kill()
	}
	for _, name := range c.names {
		_ = os.RemoveAll(c.daemons[name].directory())
	}
}

// isClosed reports whether Close was called. No process is started after that.
func (c *Cluster) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// seeds returns the control addresses of the first servers, at most maxSeeds, or of the first daemon if
// there are no servers.
func (c *Cluster) seeds() []string {
	var addresses []string
	for _, name := range c.names[:min(maxSeeds, max(c.options.Servers, 1))] {
		addresses = append(addresses, c.daemons[name].ControlAddress())
	}
	return addresses
}

// settingsOf returns the settings of one daemon.
func (c *Cluster) settingsOf(d *Daemon, firstStart bool) settings.File {
	file := c.options.Settings
	file.NodeName, file.Role, file.IPAddress, file.Zone = d.Name, d.Role, d.IP, d.Zone
	file.InnerPortRange = []int{daemonPort, daemonPort + daemonPorts}
	file.SeedNodes, file.FirstStart = c.seeds(), firstStart
	if d.isAgent() {
		file.Serves, file.RunnerAddress = []string{"side"}, d.RunnerAddress()
		file.ListenAddresses = settings.ListenAddresses{Control: d.ControlAddress()}
		return file
	}
	file.Serves = []string{"edge", "control"}
	file.ListenAddresses = settings.ListenAddresses{FrontHTTP: d.ClientAddress(), Readiness: hostPort(d.IP, readinessPort), Control: d.ControlAddress()}
	if d.server {
		file.DataDir, file.LossCounts = filepath.Join(d.directory(), "data"), true
	}
	return file
}

// hostPort joins an IP address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// writeSettings writes a settings file.
func writeSettings(path string, file settings.File) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(file); err != nil {
		return fmt.Errorf("encode settings for %s: %w", path, err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// Signal sends a signal to the process of a daemon; it does nothing if the process has exited. The
// error wraps ErrUnknownDaemon or the error of the system call.
func (c *Cluster) Signal(name string, signal syscall.Signal) error {
	daemon, err := c.Daemon(name)
	if err != nil {
		return err
	}
	return daemon.signal(signal)
}

// Package localcluster runs the daemons of the built program as processes of this machine,
// each at a loopback address of its own. It writes their settings, keeps their logs, sends
// them signals, and ends and removes all when it is closed. It knows nothing of what the
// daemons are started for.
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

// Ports of each daemon, at its own address.
const (
	clientPort    = 18161
	controlPort   = 18166
	runnerPort    = 18165
	readinessPort = 18167
	daemonPort    = 17720 // the first of those for the daemons among themselves
	daemonPorts   = 10
)

// maxSeeds is how many seeds the settings name.
const maxSeeds = 3

// ErrUnknownDaemon is the error for a name that no daemon has.
var ErrUnknownDaemon = errors.New("no such daemon")

// Options are what a Cluster is built from.
type Options struct {
	Program   string // path of the built program
	Directory string // for settings, data and logs; it must exist
	Subnet    Subnet
	Role      string // the role of all daemons
	Servers   int    // daemons with a disk
	Proxies   int    // daemons without one
	// Agents are daemons of AgentRole, each beside a runner at its RunnerAddress.
	Agents    int
	AgentRole string
	Zones     int
	// Environment is added to that of this process, as NAME=VALUE.
	Environment []string
	MaxFiles    uint64 // open files of each daemon at most; 0: as this process may
	// Settings are those that all daemons share. What belongs to one daemon is filled in:
	// names, addresses, seeds and the data folder.
	Settings settings.File
}

// Subnet is a loopback network of 254 hosts, 127.A.B.0/24.
type Subnet struct{ A, B byte }

// Host returns the address of a host, from 1 to 254.
func (s Subnet) Host(host int) string { return fmt.Sprintf("127.%d.%d.%d", s.A, s.B, host) }

// InUse reports whether somebody listens on the network already, as the first daemon would.
func (s Subnet) InUse() bool {
	listener, err := net.Listen("tcp", hostPort(s.Host(1), clientPort))
	if err != nil {
		return true
	}
	_ = listener.Close()
	return false
}

// Cluster is a set of daemons that run as processes. It is safe for concurrent use.
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
	At     time.Time // when it was read
	Daemon string
	Text   string
}

// Start starts a cluster. After an error nothing is left behind.
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

// Names lists the daemons, those with a disk first.
func (c *Cluster) Names() []string { return append([]string(nil), c.names...) }

// Daemon returns a daemon. The error is ErrUnknownDaemon.
func (c *Cluster) Daemon(name string) (*Daemon, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if daemon := c.daemons[name]; daemon != nil {
		return daemon, nil
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknownDaemon, name)
}

// Log returns all lines that the daemons have logged so far, in the order in which they
// were read.
func (c *Cluster) Log() []Line {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Line(nil), c.lines...)
}

// addLine keeps a line of a daemon's log.
func (c *Cluster) addLine(daemon, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lines = append(c.lines, Line{time.Now(), daemon, text})
}

// Close kills all daemons, waits for their ends and removes their files.
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

// isClosed reports whether Close was called: nothing is started any more.
func (c *Cluster) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// seeds are the control addresses of the first servers.
func (c *Cluster) seeds() []string {
	var addresses []string
	for _, name := range c.names[:min(maxSeeds, max(c.options.Servers, 1))] {
		addresses = append(addresses, c.daemons[name].ControlAddress())
	}
	return addresses
}

// settingsOf fills in the settings of one daemon.
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

// hostPort joins an address and a port.
func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// writeSettings writes a settings file.
func writeSettings(path string, file settings.File) error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(file); err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	if err := os.WriteFile(path, text.Bytes(), 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// Signal sends a signal to a daemon's process; nothing happens if it doesn't run. The
// error is ErrUnknownDaemon, or the system's.
func (c *Cluster) Signal(name string, signal syscall.Signal) error {
	daemon, err := c.Daemon(name)
	if err != nil {
		return err
	}
	return daemon.signal(signal)
}

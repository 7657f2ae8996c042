// Package settings reads and checks the settings file of a daemon.
package settings

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of faults in a settings file.
var Error = errs.Class("setting")

// PathEnvVar names the variable that holds the path of the settings file.
const PathEnvVar = "TEALPOND_CONFIG"

// ListenAddresses holds the addresses that the role serves.
type ListenAddresses struct {
	FrontHTTP string `toml:"frontHttp"`
	Readiness string `toml:"readiness"`
	Control   string `toml:"controlAddr"`
}

// Limits are those of the machine.
type Limits struct {
	CPUShare           float64 `toml:"cpuShare"`
	MemoryMb           int     `toml:"memoryMb"`
	MaxFileDescriptors int     `toml:"maxFds"`
	DiskMb             int     `toml:"diskMb"`
}

// Tolerance is what may be lost at once.
type Tolerance struct {
	LostMachines int `toml:"lostMachines"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	InTouchMs        int64   `toml:"inTouchMs"`
	GraceS           float64 `toml:"graceS"`
	MaxLeaseMs       int64   `toml:"maxHoldMs"`
	StopGraceMs      int64   `toml:"stopGraceMs"`
	DrainMs          float64 `toml:"drainMs"`
	GangWaitMs       int64   `toml:"gangWaitMs"`
	EarlyMs          int64   `toml:"early_ms"`
	StatusS          float64 `toml:"status_s"`
	SpreadFactor     float64 `toml:"spreadFactor"`
	RestoreMs        int64   `toml:"restoreMs"`
	ConfigApplyMs    int64   `toml:"configApplyMs"`
	CheckpointEveryS float64 `toml:"checkpointEveryS"`
}

// File is one whole settings file.
type File struct {
	NodeName            string          `toml:"nodeName"`
	Role                string          `toml:"role"`
	Serves              []string        `toml:"serves"`
	IPAddress           string          `toml:"ipAddress"`
	Zone                string          `toml:"zone"`
	InnerPortRange      []int           `toml:"innerPortRange"`
	SeedNodes           []string        `toml:"seedNodes"`
	FirstStart          bool            `toml:"firstStart"`
	LossCounts          bool            `toml:"lossCounts"`
	DataDir             string          `toml:"dataDir"`
	HeartbeatIntervalMs int64           `toml:"beatIntervalMs"`
	AssignmentProtocol  string          `toml:"orders"`
	RunnerAddress       string          `toml:"app"`
	TargetService       string          `toml:"targetService"`
	ListenAddresses     ListenAddresses `toml:"listenAddrs"`
	Limits              Limits          `toml:"limits"`
	Tolerance           Tolerance       `toml:"tolerate"`
	Bounds              Bounds          `toml:"bounds"`
}

// Path tells where the settings file is.
func Path() string { return os.Getenv(PathEnvVar) }

// Load reads the file at path; a fault names the file and the field.
func Load(path string) (File, error) {
	if path == "" {
		return File{}, Error.New("no settings file: set %s", PathEnvVar)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, Error.New("%s: cannot be read: %v", path, err)
	}
	return Parse(path, raw)
}

// Parse reads and checks raw; unknown fields are skipped.
func Parse(path string, raw []byte) (File, error) {
	var file File
	// Why not strict: fields may be added later, and must not stop a daemon.
	if _, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&file); err != nil {
		return File{}, Error.New("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for _, check := range fieldChecks {
		if fault := check.fault(&file); fault != "" {
			return File{}, Error.New("%s: field %s: %s", path, check.field, fault)
		}
	}
	return file, nil
}

type fieldCheck struct {
	field string
	fault func(*File) string
}

func faultUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

func isAddress(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port != ""
}

func (f *File) serves(part string) bool {
	for _, served := range f.Serves {
		if served == part {
			return true
		}
	}
	return false
}

var fieldChecks = []fieldCheck{
	{"nodeName", func(s *File) string { return faultUnless(s.NodeName != "", "is missing") }},
	{"ipAddress", func(s *File) string {
		return faultUnless(net.ParseIP(s.IPAddress) != nil, "is missing or no address")
	}},
	{"innerPortRange", func(s *File) string {
		return faultUnless(len(s.InnerPortRange) == 2 && s.InnerPortRange[0] > 0 && s.InnerPortRange[1] >= s.InnerPortRange[0], "wants two ports, the first not above the second")
	}},
	{"seedNodes", func(s *File) string {
		if len(s.SeedNodes) == 0 {
			return "is missing"
		}
		for _, a := range s.SeedNodes {
			if !isAddress(a) {
				return fmt.Sprintf("%q is no address", a)
			}
		}
		return ""
	}},
	{"orders", func(s *File) string {
		// Why refused: the pages at hand don't describe another exchange.
		return faultUnless(s.AssignmentProtocol == "" || s.AssignmentProtocol == "duty_call", fmt.Sprintf("%q is not supported, only duty_call is", s.AssignmentProtocol))
	}},
	{"listenAddrs.frontHttp", func(s *File) string {
		return faultUnless(!s.serves("edge") || isAddress(s.ListenAddresses.FrontHTTP), "is missing for a role that serves edge")
	}},
	{"listenAddrs.readiness", func(s *File) string {
		return faultUnless(!s.serves("edge") || isAddress(s.ListenAddresses.Readiness), "is missing for a role that serves edge")
	}},
	{"listenAddrs.controlAddr", func(s *File) string {
		return faultUnless(!(s.serves("control") || s.serves("side")) || isAddress(s.ListenAddresses.Control), "is missing for a role that serves control or side")
	}},
	{"app", func(s *File) string {
		return faultUnless(!s.serves("side") || isAddress(s.RunnerAddress), "is missing for a role that serves side")
	}},
	{"bounds.maxHoldMs", func(s *File) string { return faultUnless(s.Bounds.MaxLeaseMs > 0, "is missing or not above 0") }},
	{"limits.memoryMb", func(s *File) string { return faultUnless(s.Limits.MemoryMb > 0, "is missing or not above 0") }},
}

// InternalAddress is this daemon's address for other daemons.
func (f *File) InternalAddress() string { return f.internalAddressAt(f.IPAddress) }

// AgentAddress is a side daemon's: two processes of one machine share its ports.
func (f *File) AgentAddress() string {
	return fmt.Sprintf("%s:%d", f.IPAddress, min(f.InnerPortRange[0]+1, f.InnerPortRange[1]))
}

func (f *File) internalAddressAt(ip string) string {
	return fmt.Sprintf("%s:%d", ip, f.InnerPortRange[0])
}

// SeedAddresses are the seeds' addresses for daemons: ports are the same everywhere.
func (f *File) SeedAddresses() []string {
	var addresses []string
	for _, seed := range f.SeedNodes {
		ip, _, err := net.SplitHostPort(seed)
		if err == nil {
			addresses = append(addresses, f.internalAddressAt(ip))
		}
	}
	return addresses
}

// HoldsState tells whether this daemon holds state.
func (f *File) HoldsState() bool { return f.DataDir != "" && f.LossCounts }

// LeaseDuration is the length of holds under these settings.
func (f *File) LeaseDuration(limit time.Duration) time.Duration {
	duration := time.Duration(f.Bounds.MaxLeaseMs) * time.Millisecond
	if duration > limit {
		return limit
	}
	return duration
}

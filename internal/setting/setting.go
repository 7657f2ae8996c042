// Package setting reads and checks the settings file of a daemon.
package setting

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

// EnvName names the variable that holds the path of the settings file.
const EnvName = "TEALPOND_CONFIG"

// Listen holds the addresses that the role serves.
type Listen struct {
	FrontHTTP   string `toml:"frontHttp"`
	Readiness   string `toml:"readiness"`
	ControlAddr string `toml:"controlAddr"`
}

// Limits are those of the machine.
type Limits struct {
	CPUShare float64 `toml:"cpuShare"`
	MemoryMb int     `toml:"memoryMb"`
	MaxFds   int     `toml:"maxFds"`
	DiskMb   int     `toml:"diskMb"`
}

// Tolerate is what may be lost at once.
type Tolerate struct {
	LostMachines int `toml:"lostMachines"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	InTouchMs        int64   `toml:"inTouchMs"`
	GraceS           float64 `toml:"graceS"`
	MaxHoldMs        int64   `toml:"maxHoldMs"`
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

// Setting is one whole settings file.
type Setting struct {
	NodeName       string   `toml:"nodeName"`
	Role           string   `toml:"role"`
	Serves         []string `toml:"serves"`
	IPAddress      string   `toml:"ipAddress"`
	Zone           string   `toml:"zone"`
	InnerPortRange []int    `toml:"innerPortRange"`
	SeedNodes      []string `toml:"seedNodes"`
	FirstStart     bool     `toml:"firstStart"`
	LossCounts     bool     `toml:"lossCounts"`
	DataDir        string   `toml:"dataDir"`
	BeatIntervalMs int64    `toml:"beatIntervalMs"`
	Orders         string   `toml:"orders"`
	App            string   `toml:"app"`
	TargetService  string   `toml:"targetService"`
	ListenAddrs    Listen   `toml:"listenAddrs"`
	Limits         Limits   `toml:"limits"`
	Tolerate       Tolerate `toml:"tolerate"`
	Bounds         Bounds   `toml:"bounds"`
}

// Path tells where the settings file is.
func Path() string { return os.Getenv(EnvName) }

// Load reads the file at path; a fault names the file and the field.
func Load(path string) (Setting, error) {
	if path == "" {
		return Setting{}, Error.New("no settings file: set %s", EnvName)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Setting{}, Error.New("%s: cannot be read: %v", path, err)
	}
	return Parse(path, raw)
}

// Parse reads and checks raw; unknown fields are skipped.
func Parse(path string, raw []byte) (Setting, error) {
	var s Setting
	// Why not strict: fields may be added later, and must not stop a daemon.
	if _, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&s); err != nil {
		return Setting{}, Error.New("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for _, c := range checks {
		if why := c.test(&s); why != "" {
			return Setting{}, Error.New("%s: field %s: %s", path, c.field, why)
		}
	}
	return s, nil
}

type check struct {
	field string
	test  func(*Setting) string
}

func need(ok bool, why string) string {
	if ok {
		return ""
	}
	return why
}

func addr(a string) bool {
	_, port, err := net.SplitHostPort(a)
	return err == nil && port != ""
}

func (s *Setting) serves(what string) bool {
	for _, v := range s.Serves {
		if v == what {
			return true
		}
	}
	return false
}

var checks = []check{
	{"nodeName", func(s *Setting) string { return need(s.NodeName != "", "is missing") }},
	{"ipAddress", func(s *Setting) string {
		return need(net.ParseIP(s.IPAddress) != nil, "is missing or no address")
	}},
	{"innerPortRange", func(s *Setting) string {
		return need(len(s.InnerPortRange) == 2 && s.InnerPortRange[0] > 0 && s.InnerPortRange[1] >= s.InnerPortRange[0], "wants two ports, the first not above the second")
	}},
	{"seedNodes", func(s *Setting) string {
		if len(s.SeedNodes) == 0 {
			return "is missing"
		}
		for _, a := range s.SeedNodes {
			if !addr(a) {
				return fmt.Sprintf("%q is no address", a)
			}
		}
		return ""
	}},
	{"orders", func(s *Setting) string {
		// Why refused: the pages at hand don't describe another exchange.
		return need(s.Orders == "" || s.Orders == "duty_call", fmt.Sprintf("%q is not supported, only duty_call is", s.Orders))
	}},
	{"listenAddrs.frontHttp", func(s *Setting) string {
		return need(!s.serves("edge") || addr(s.ListenAddrs.FrontHTTP), "is missing for a role that serves edge")
	}},
	{"listenAddrs.readiness", func(s *Setting) string {
		return need(!s.serves("edge") || addr(s.ListenAddrs.Readiness), "is missing for a role that serves edge")
	}},
	{"listenAddrs.controlAddr", func(s *Setting) string {
		return need(!(s.serves("control") || s.serves("side")) || addr(s.ListenAddrs.ControlAddr), "is missing for a role that serves control or side")
	}},
	{"app", func(s *Setting) string {
		return need(!s.serves("side") || addr(s.App), "is missing for a role that serves side")
	}},
	{"bounds.maxHoldMs", func(s *Setting) string { return need(s.Bounds.MaxHoldMs > 0, "is missing or not above 0") }},
	{"limits.memoryMb", func(s *Setting) string { return need(s.Limits.MemoryMb > 0, "is missing or not above 0") }},
}

// Inner is this daemon's address for other daemons.
func (s *Setting) Inner() string { return s.innerAt(s.IPAddress) }

// InnerSide is a side daemon's: two processes of one machine share its ports.
func (s *Setting) InnerSide() string {
	return fmt.Sprintf("%s:%d", s.IPAddress, min(s.InnerPortRange[0]+1, s.InnerPortRange[1]))
}

func (s *Setting) innerAt(ip string) string {
	return fmt.Sprintf("%s:%d", ip, s.InnerPortRange[0])
}

// Seeds are the seeds' addresses for daemons: ports are the same everywhere.
func (s *Setting) Seeds() []string {
	var out []string
	for _, a := range s.SeedNodes {
		ip, _, err := net.SplitHostPort(a)
		if err == nil {
			out = append(out, s.innerAt(ip))
		}
	}
	return out
}

// Core tells whether this daemon holds state.
func (s *Setting) Core() bool { return s.DataDir != "" && s.LossCounts }

// HoldFor is the length of holds under these settings.
func (s *Setting) HoldFor(most time.Duration) time.Duration {
	d := time.Duration(s.Bounds.MaxHoldMs) * time.Millisecond
	if d > most {
		return most
	}
	return d
}

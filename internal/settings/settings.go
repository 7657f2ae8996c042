// Package settings reads and checks the settings file (TOML) with which an operator
// starts a daemon. It changes nothing: package main reads the file again when it
// has changed, and the roles take over what they can.
package settings

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of errors of a settings file.
var Error = errs.Class("setting")

// PathEnvVar names the variable that holds the path of the settings file.
const PathEnvVar = "TEALPOND_CONFIG"

// ListenAddresses are the addresses, as HOST:PORT, that the role serves.
type ListenAddresses struct {
	FrontHTTP string `toml:"frontHttp"`   // for clients
	Readiness string `toml:"readiness"`   // for health checks
	Control   string `toml:"controlAddr"` // for operators, and for the runner of the machine
}

// Limits are those of the machine.
type Limits struct {
	CPUShare           float64 `toml:"cpuShare"` // of one core
	MemoryMb           int     `toml:"memoryMb"` // 2^20 bytes each
	MaxFileDescriptors int     `toml:"maxFds"`
	DiskMb             int     `toml:"diskMb"`
}

// Tolerance is what may be lost at once while every rule still holds.
type Tolerance struct {
	LostMachines int `toml:"lostMachines"`
}

// Bounds are the figures of the operators' rules that are in force; each field's
// name ends with its unit. Those that no code reads are kept so that a change of
// the file can be seen.
type Bounds struct {
	// InTouchMs without trouble, and machines count as in touch with each other.
	InTouchMs int64 `toml:"inTouchMs"`
	// GraceS is how long a daemon may take to end after a SIGTERM.
	GraceS float64 `toml:"graceS"`
	// MaxLeaseMs is how long a runner may go on without a renewal of its lease.
	MaxLeaseMs int64 `toml:"maxHoldMs"`
	// StopGraceMs is how long a run may go on after it was to be stopped.
	StopGraceMs int64 `toml:"stopGraceMs"`
	// RetryRatio is how many retries may be made, against the requests.
	RetryRatio float64 `toml:"retryRatio"`
	// RetryWindowS is the window in which they are counted.
	RetryWindowS float64 `toml:"retryWindowS"`
	// RetrySlack is how many retries of all daemons are free in a window.
	RetrySlack float64 `toml:"retrySlack"`
	// QuotaWindowS is the window in which rates of tenants are counted.
	QuotaWindowS float64 `toml:"quotaWindowS"`
	// QuotaOverrun is the part, and QuotaSlack the number of events, by which a window's
	// sum may pass a rate.
	QuotaOverrun float64 `toml:"quotaOverrun"`
	QuotaSlack   float64 `toml:"quotaSlack"`
	// RevokedKeysFail: no daemon may serve a key for longer than RevokeMs after it was
	// taken away, in touch or not.
	RevokedKeysFail bool  `toml:"revokedKeysFail"`
	RevokeMs        int64 `toml:"revokeMs"`
	// DrainMs is how long a runner that leaves serves on.
	DrainMs float64 `toml:"drainMs"`
	// GangWaitMs is how long started tasks of a gang may wait for the others.
	GangWaitMs int64 `toml:"gangWaitMs"`
	// EarlyMs is how much sooner than its time a periodic run may start.
	EarlyMs int64 `toml:"early_ms"`
	// StatusS is how long the state of an ended job can be asked for.
	StatusS float64 `toml:"status_s"`
	// SpreadFactor is how many times as long a task takes away from its data or
	// from the others of its gang.
	SpreadFactor float64 `toml:"spreadFactor"`
	// RestoreMs is how long a run takes to resume from a checkpoint.
	RestoreMs int64 `toml:"restoreMs"`
	// EvacuateMs is how soon after an order to evacuate a zone nothing is started there.
	EvacuateMs int64 `toml:"evacuateMs"`
	// ConfigApplyMs is how soon machines in touch follow a new configuration.
	ConfigApplyMs int64 `toml:"configApplyMs"`
	// HistoryS is how long a watch of keys may resume from a revision that it was given.
	HistoryS float64 `toml:"historyS"`
	// FreeAfterMs is how soon a lock must be free for others once its holder's time is
	// over.
	FreeAfterMs int64 `toml:"freeAfterMs"`
	// CheckpointEveryS is how often a run makes a checkpoint.
	CheckpointEveryS float64 `toml:"checkpointEveryS"`
}

// Platform tells how to read the platform's list of runners.
type Platform struct {
	Address  string  `toml:"address"`  // HOST:PORT
	RatePerS float64 `toml:"ratePerS"` // calls a second that all daemons together may make
	MaxLagMs float64 `toml:"maxLagMs"` // how far the list runs behind
}

// Values of fields that other packages compare.
const (
	// DeploymentAPI is the deployment of gateways for API traffic.
	DeploymentAPI = "api"
	// DiscoveryPlatform means that the platform keeps the list of runners.
	DiscoveryPlatform = "cloud_api"
	// ContractJobs is the part of the rules that concerns jobs.
	ContractJobs = "sched"
	// ContractTallies is the part that concerns tallies, which go on at each side of a
	// partition.
	ContractTallies = "apart"
)

// File is one whole settings file. The keys are the operators'.
type File struct {
	NodeName  string   `toml:"nodeName"`
	Role      string   `toml:"role"`
	Serves    []string `toml:"serves"` // of edge, control and side
	IPAddress string   `toml:"ipAddress"`
	Zone      string   `toml:"zone"`
	// Zones has the region of each zone.
	Zones               map[string]string `toml:"zones"`
	InnerPortRange      []int             `toml:"innerPortRange"` // first and last port for other daemons
	SeedNodes           []string          `toml:"seedNodes"`      // controlAddr of some machines
	FirstStart          bool              `toml:"firstStart"`     // the whole system starts for the first time
	LossCounts          bool              `toml:"lossCounts"`     // the machine counts among those of Tolerance
	DataDir             string            `toml:"dataDir"`
	HeartbeatIntervalMs int64             `toml:"beatIntervalMs"`
	AssignmentProtocol  string            `toml:"orders"`
	Deployment          string            `toml:"deployment"` // empty: that of schedulers
	Discovery           string            `toml:"discovery"`
	Contracts           []string          `toml:"contracts"` // the parts of the rules that are in force
	Platform            Platform          `toml:"cloudApi"`
	RunnerAddress       string            `toml:"app"`
	TargetService       string            `toml:"targetService"`
	ListenAddresses     ListenAddresses   `toml:"listenAddrs"`
	Limits              Limits            `toml:"limits"`
	Tolerance           Tolerance         `toml:"tolerate"`
	Bounds              Bounds            `toml:"bounds"`
}

// Load reads and checks the file at path. The error is of class Error and names the
// file; a fault of a field is a *FieldError.
func Load(path string) (File, error) {
	if path == "" {
		return File{}, Error.New("no settings file: set %s", PathEnvVar)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return File{}, Error.New("%s: cannot be read: %w", path, err)
	}
	return Parse(path, raw)
}

// Parse reads and checks the content of the file at path. Unknown keys are skipped,
// since keys may be added later and must not stop a daemon. The error is as that of
// Load, of one line.
func Parse(path string, raw []byte) (File, error) {
	var file File
	if _, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&file); err != nil {
		return File{}, Error.New("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for _, check := range fieldChecks {
		if fault := check.fault(&file); fault != "" {
			return File{}, Error.Wrap(&FieldError{Path: path, Field: check.field, Fault: fault})
		}
	}
	return file, nil
}

// InternalAddress is a server's address for other daemons, as HOST:PORT.
func (f *File) InternalAddress() string { return f.internalAddressAt(f.IPAddress) }

// AgentAddress is an agent's address for other daemons, as HOST:PORT: the two
// processes of one machine share its ports.
func (f *File) AgentAddress() string {
	return fmt.Sprintf("%s:%d", f.IPAddress, min(f.InnerPortRange[0]+1, f.InnerPortRange[1]))
}

func (f *File) internalAddressAt(ip string) string {
	return fmt.Sprintf("%s:%d", ip, f.InnerPortRange[0])
}

// SeedAddresses are the seeds' addresses for other daemons, since the ports are the
// same on all machines.
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

// HoldsState reports whether this daemon is a server that keeps a replica of the
// state.
func (f *File) HoldsState() bool { return f.DataDir != "" && f.LossCounts }

// RunsJobs reports whether the rules on jobs are in force; a file that names no rules is one
// of a deployment with jobs.
func (f *File) RunsJobs() bool {
	return len(f.Contracts) == 0 || slices.Contains(f.Contracts, ContractJobs)
}

// Grace is how long a daemon that was told to end may take before it is killed.
func (f *File) Grace() time.Duration {
	return time.Duration(f.Bounds.GraceS * float64(time.Second))
}

// HasTallies reports whether the rules on tallies are in force.
func (f *File) HasTallies() bool { return slices.Contains(f.Contracts, ContractTallies) }

// KeyHistory is how long puts are kept for watches; the given one if the file names none.
func (f *File) KeyHistory(unnamed time.Duration) time.Duration {
	if f.Bounds.HistoryS <= 0 {
		return unnamed
	}
	return time.Duration(f.Bounds.HistoryS * float64(time.Second))
}

// ShareWindow is the window in which rates of tenants are counted; the given one if the
// file names none.
func (f *File) ShareWindow(unnamed time.Duration) time.Duration {
	if f.Bounds.QuotaWindowS <= 0 {
		return unnamed
	}
	return time.Duration(f.Bounds.QuotaWindowS * float64(time.Second))
}

// LeaseDuration is the length of workers' leases under these settings, at most the
// limit.
func (f *File) LeaseDuration(limit time.Duration) time.Duration {
	return min(time.Duration(f.Bounds.MaxLeaseMs)*time.Millisecond, limit)
}

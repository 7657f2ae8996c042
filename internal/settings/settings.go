// Package settings parses and validates the settings file (TOML) of a daemon. It only
// reads: package main loads the file again when it has changed, and the roles apply
// the settings that can change at run time.
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

// Error is the class of settings file errors.
var Error = errs.Class("setting")

// PathEnvVar is the environment variable with the path of the settings file.
const PathEnvVar = "TEALPOND_CONFIG"

// ListenAddresses are the addresses, as HOST:PORT, on which the role listens.
type ListenAddresses struct {
	FrontHTTP string `toml:"frontHttp"`   // for clients
	Readiness string `toml:"readiness"`   // for health checks
	Control   string `toml:"controlAddr"` // for operators and the machine's own runner
}

// Limits are the resource limits of the machine.
type Limits struct {
	CPUShare           float64 `toml:"cpuShare"` // fraction of one core
	MemoryMB           int     `toml:"memoryMb"` // in units of 2^20 bytes
	MaxFileDescriptors int     `toml:"maxFds"`
	DiskMB             int     `toml:"diskMb"`
}

// Tolerance is the number of simultaneous failures under which all guarantees must hold.
type Tolerance struct {
	LostMachines int `toml:"lostMachines"`
}

// Bounds are the time limits and rates that operators require. The name of each field
// with a unit ends with that unit. Fields that no code reads are decoded as well, so that
// a change of the file can be detected.
type Bounds struct {
	// InTouchMs is how long the network between machines must be free of faults until
	// they count as connected.
	InTouchMs int64 `toml:"inTouchMs"`
	// GraceS is how long a daemon may take to exit after SIGTERM.
	GraceS float64 `toml:"graceS"`
	// MaxLeaseMs is how long a runner may continue without a renewal of its lease.
	MaxLeaseMs int64 `toml:"maxHoldMs"`
	// StopGraceMs is how long a run may continue after it was told to stop.
	StopGraceMs int64 `toml:"stopGraceMs"`
	// RetryRatio is the allowed ratio of retries to requests.
	RetryRatio float64 `toml:"retryRatio"`
	// RetryWindowS is the window in which retries are counted.
	RetryWindowS float64 `toml:"retryWindowS"`
	// RetrySlack is the number of retries per window, over all daemons, that are allowed
	// in addition to RetryRatio.
	RetrySlack float64 `toml:"retrySlack"`
	// QuotaWindowS is the window in which the rates of tenants are counted.
	QuotaWindowS float64 `toml:"quotaWindowS"`
	// QuotaOverrun is the fraction, and QuotaSlack the number of events, by which the
	// count in a window may exceed a rate.
	QuotaOverrun float64 `toml:"quotaOverrun"`
	QuotaSlack   float64 `toml:"quotaSlack"`
	// RevokedKeysFail requires that no daemon accepts a key for longer than RevokeMs
	// after it was revoked, even if the daemon is disconnected from the others.
	RevokedKeysFail bool  `toml:"revokedKeysFail"`
	RevokeMs        int64 `toml:"revokeMs"`
	// DrainMs is how long a draining runner continues to serve.
	DrainMs float64 `toml:"drainMs"`
	// GangWaitMs is how long started tasks of a gang may wait for the others.
	GangWaitMs int64 `toml:"gangWaitMs"`
	// EarlyMs is how much earlier than scheduled a periodic run may start.
	EarlyMs int64 `toml:"early_ms"`
	// StatusS is how long the status of a finished job can be queried.
	StatusS float64 `toml:"status_s"`
	// SpreadFactor is the factor by which a task takes longer on a machine away from
	// its data or from the other tasks of its gang.
	SpreadFactor float64 `toml:"spreadFactor"`
	// RestoreMs is how long a run takes to resume from a checkpoint.
	RestoreMs int64 `toml:"restoreMs"`
	// EvacuateMs is the time after an order to evacuate a zone from which on nothing may
	// be started there.
	EvacuateMs int64 `toml:"evacuateMs"`
	// ConfigApplyMs is the time within which connected machines must apply a new
	// configuration.
	ConfigApplyMs int64 `toml:"configApplyMs"`
	// HistoryS is how long a watch of keys can resume from a revision it has received.
	HistoryS float64 `toml:"historyS"`
	// FreeAfterMs is the time within which a lock must be available to others after its
	// holder's time has expired.
	FreeAfterMs int64 `toml:"freeAfterMs"`
	// CheckpointEveryS is the interval between two checkpoints of a run.
	CheckpointEveryS float64 `toml:"checkpointEveryS"`
}

// Platform configures access to the platform's list of runners.
type Platform struct {
	Address  string  `toml:"address"`  // HOST:PORT
	RatePerS float64 `toml:"ratePerS"` // limit on calls per second of all daemons together
	MaxLagMs float64 `toml:"maxLagMs"` // maximum staleness of the list
}

// Values of settings that other packages compare with.
const (
	// DeploymentAPI is the deployment of gateways for API traffic.
	DeploymentAPI = "api"
	// DiscoveryPlatform means that the platform keeps the list of runners.
	DiscoveryPlatform = "cloud_api"
	// ContractJobs is the contract for jobs.
	ContractJobs = "sched"
	// ContractTallies is the contract for tallies, which remain available on each side of
	// a network partition.
	ContractTallies = "apart"
)

// File is a settings file. The operators define its keys.
type File struct {
	NodeName  string   `toml:"nodeName"`
	Role      string   `toml:"role"`
	Serves    []string `toml:"serves"` // any of edge, control and side
	IPAddress string   `toml:"ipAddress"`
	Zone      string   `toml:"zone"`
	// Zones maps each zone to its region.
	Zones               map[string]string `toml:"zones"`
	InnerPortRange      []int             `toml:"innerPortRange"` // first and last port for traffic between daemons
	SeedNodes           []string          `toml:"seedNodes"`      // control addresses of some machines
	FirstStart          bool              `toml:"firstStart"`     // the cluster starts for the first time
	LossCounts          bool              `toml:"lossCounts"`     // the machine counts towards Tolerance.LostMachines
	DataDir             string            `toml:"dataDir"`
	HeartbeatIntervalMs int64             `toml:"beatIntervalMs"`
	AssignmentProtocol  string            `toml:"orders"`
	Deployment          string            `toml:"deployment"` // empty: a scheduler deployment
	Discovery           string            `toml:"discovery"`
	Contracts           []string          `toml:"contracts"` // the contracts in force
	Platform            Platform          `toml:"cloudApi"`
	RunnerAddress       string            `toml:"app"`
	TargetService       string            `toml:"targetService"`
	ListenAddresses     ListenAddresses   `toml:"listenAddrs"`
	Limits              Limits            `toml:"limits"`
	Tolerance           Tolerance         `toml:"tolerate"`
	Bounds              Bounds            `toml:"bounds"`
}

// Load reads and validates the file at path. The error is of class Error and names the
// file. It wraps a *FieldError if a field is invalid.
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

// Parse parses and validates the content of the file at path. Unknown keys are ignored,
// because keys may be added later and must not keep a daemon from starting. The error
// is like that of Load, on one line.
func Parse(path string, raw []byte) (File, error) {
	var file File
	if _, err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&file); err != nil {
		return File{}, Error.New("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for _, check := range fieldChecks {
		if problem := check.problem(&file); problem != "" {
			return File{}, Error.Wrap(&FieldError{Path: path, Field: check.field, Problem: problem})
		}
	}
	return file, nil
}

// InternalAddress returns a server's address for other daemons, as HOST:PORT.
func (f *File) InternalAddress() string { return f.internalAddressAt(f.IPAddress) }

// AgentAddress returns an agent's address for other daemons, as HOST:PORT. It differs
// from InternalAddress, if the port range allows, because the server and the agent of a
// machine share the range.
func (f *File) AgentAddress() string {
	return fmt.Sprintf("%s:%d", f.IPAddress, min(f.InnerPortRange[0]+1, f.InnerPortRange[1]))
}

func (f *File) internalAddressAt(ip string) string {
	return fmt.Sprintf("%s:%d", ip, f.InnerPortRange[0])
}

// SeedAddresses returns the internal addresses of the seed nodes. The port is this
// machine's own, because the ports are the same on all machines.
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

// HoldsState reports whether this daemon is a server that stores a replica of the
// state.
func (f *File) HoldsState() bool { return f.DataDir != "" && f.LossCounts }

// RunsJobs reports whether the contract for jobs is in force. A file without contracts
// belongs to a deployment that runs jobs.
func (f *File) RunsJobs() bool {
	return len(f.Contracts) == 0 || slices.Contains(f.Contracts, ContractJobs)
}

// Grace returns how long a daemon may take to exit after SIGTERM before it is killed.
func (f *File) Grace() time.Duration {
	return time.Duration(f.Bounds.GraceS * float64(time.Second))
}

// HasTallies reports whether the contract for tallies is in force.
func (f *File) HasTallies() bool { return slices.Contains(f.Contracts, ContractTallies) }

// KeyHistory returns how long puts are kept for watches, or fallback if the file sets no
// duration.
func (f *File) KeyHistory(fallback time.Duration) time.Duration {
	if f.Bounds.HistoryS <= 0 {
		return fallback
	}
	return time.Duration(f.Bounds.HistoryS * float64(time.Second))
}

// QuotaWindow returns the window in which the rates of tenants are counted, or fallback
// if the file sets none.
func (f *File) QuotaWindow(fallback time.Duration) time.Duration {
	if f.Bounds.QuotaWindowS <= 0 {
		return fallback
	}
	return time.Duration(f.Bounds.QuotaWindowS * float64(time.Second))
}

// LeaseDuration returns the duration of workers' leases, which is at most limit.
func (f *File) LeaseDuration(limit time.Duration) time.Duration {
	return min(time.Duration(f.Bounds.MaxLeaseMs)*time.Millisecond, limit)
}

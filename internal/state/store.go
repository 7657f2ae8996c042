package state

import (
	"cmp"
	"slices"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/coordination"
)

// Formats of the state: of its tables, its commands and their effects. Raise FormatVersion with any
// change of these. An effect that differs from that of an earlier format must depend on Store.Format,
// so that replicas of different programs stay equal until RaiseFormat is applied.
const (
	// FormatUnmarked is the format of a state to which RaiseFormat was never applied.
	FormatUnmarked = 8
	// FormatSplitJobs is the first format in which the jobs of a route with a traffic split are
	// divided among its services.
	FormatSplitJobs = 9
	// FormatBoundedJobs is the first format in which the quantities of steps are bounded, and an entry
	// creates a bounded number of instances of periodic jobs.
	FormatBoundedJobs = 10
	// FormatOrderedReports is the first format that knows ReportEligibility.
	FormatOrderedReports = 11
	// FormatQueues is the first format in which routes, jobs and demand are kept by queue, not by the name
	// of a route.
	FormatQueues = 12
	// FormatVersion is the newest format that this program supports.
	FormatVersion = FormatQueues
)

// Limits are the operator settings that commands depend on. They are part of the
// state and are set by a command, since settings may differ between machines while
// the effect of a command must not.
type Limits struct {
	_              struct{} `cbor:",toarray"`
	JobRetentionMs int64    // how long a job is kept after it has ended; 0: forever
	MaxReplans     int      // per plan, see ApplyPlans
	RemoteFactor   float64  // run time of a task away from its data, relative to one beside its data
}

// Store is the complete state. Its exported fields are replicated, and are stored in
// snapshots under the names in their tags. A tag must not change when its field is
// renamed, since snapshots of earlier versions use it. Snapshot must copy each field.
// Other packages may read the tables; only commands change them.
type Store struct {
	// Format is the format in force. It stands before the tables in a snapshot, see EncodeSnapshot.
	Format               int                              `cbor:"-"`
	AppliedIndex         uint64                           `cbor:"Applied"` // index of the last applied log entry
	Clock                int64                            `cbor:"Clock"`   // ms, see the package comment
	WallClock            int64                            `cbor:"Wall"`    // ms since 1970
	Configuration        clusterconfig.Config             `cbor:"Desired"` // version 0: none yet
	ConfigurationHistory ConfigurationHistory             `cbor:"Taken"`
	Origin               uint64                           `cbor:"Origin"`   // unused
	Routes               map[string]*clusterconfig.Route  `cbor:"Lanes"`    // by queue, see routeKey; also of earlier configurations
	Services             map[string]clusterconfig.Service `cbor:"Services"` // by name; also of earlier configurations
	Workers              map[string]*Worker               `cbor:"Workers"`
	Devices              map[string]*Device               `cbor:"Devices"`
	Allocations          map[uint64]*Allocation           `cbor:"Allocs"`
	Jobs                 map[string]*Job                  `cbor:"Jobs"`
	ServiceUsages        map[string]*ServiceUsage         `cbor:"Rollups"` // by service
	// LastID is the newest ID. Allocations, fences, offers and loans share one sequence.
	LastID          uint64                       `cbor:"Last"`
	LastJobSequence int64                        `cbor:"LastSeq"`
	Epoch           string                       `cbor:"Epoch"` // see SetEpoch
	Peers           map[string]*PeerProgress     `cbor:"Peers"`
	WithdrawnOffers map[string]int64             `cbor:"Voids"` // newest withdrawn offer ID, by peer and job
	Loans           map[string]*Loan             `cbor:"Loans"`
	Demand          map[string]map[int64]float64 `cbor:"Demand"` // submitted core-ms, by route and time bucket
	Aggregators     map[string]ZoneAggregator    `cbor:"Duties"` // by zone
	CrashBackoffs   map[string]CrashBackoff      `cbor:"Flaps"`  // by node
	Limits          Limits                       `cbor:"Limits"`
	Quotas          map[string]Quota             `cbor:"Quotas,omitempty"`  // by tenant; also of earlier configurations
	JobTenants      map[string]JobTenant         `cbor:"Tenants,omitempty"` // by job
	GoneWorkers     map[string]int64             `cbor:"Gone,omitempty"`    // when RemoveUnused first found it gone, by ID
	// Coordination holds the applications' locks, counters and keys. It is nil until the
	// first operation on them.
	Coordination *coordination.Tables `cbor:"Coordination,omitempty"`
	// Evacuations has a row for each zone that EvacuateZone was ever applied to.
	Evacuations map[string]ZoneEvacuation `cbor:"Evacuations,omitempty"`
	// EligibilityReports holds the number of the newest ReportEligibility of each worker under its fence.
	EligibilityReports map[string]int64 `cbor:"Reports,omitempty"`
	// DigestChain covers all entries from DigestChainFrom on, see digest.go. The chain
	// has not started while DigestChainFrom is 0.
	DigestChain     uint64 `cbor:"Chain"`
	DigestChainFrom uint64 `cbor:"ChainFrom"`

	derived
}

// derived holds indexes that are computed from the tables, and queues of changes that
// the owner of the Store has not taken yet. It is not part of snapshots.
type derived struct {
	routeTable          *clusterconfig.RouteTable
	keyTable            *clusterconfig.KeyTable
	openJobs            map[string]*Job
	periodicJobs        map[string]*Job // open periodic jobs with further instances
	allocationsByWorker map[string]map[uint64]*Allocation
	changedRuns         []uint64
	endedJobs           []*Job
	confirmedDigests    []ConfirmDigest
	endedRuns           []EndedRun
	undoLog             *[]func() // of the innermost open savepoint; nil if none is open
	index               schedulingIndex
	jobBytes            float64 // see JobBytes
}

// New returns an empty state.
func New(limits Limits) *Store {
	s := &Store{
		Format:        FormatUnmarked,
		Routes:        map[string]*clusterconfig.Route{},
		Services:      map[string]clusterconfig.Service{},
		Workers:       map[string]*Worker{},
		Devices:       map[string]*Device{},
		Allocations:   map[uint64]*Allocation{},
		Jobs:          map[string]*Job{},
		ServiceUsages: map[string]*ServiceUsage{},
		Limits:        limits,
	}
	s.derive()
	return s
}

// derive computes the indexes from the tables. It panics if the tables are
// inconsistent with each other.
func (s *Store) derive() {
	s.Configuration.RestoreTenants()
	s.routeTable = clusterconfig.NewRouteTable(&s.Configuration)
	s.keyTable = clusterconfig.NewKeyTable(&s.Configuration)
	s.openJobs, s.periodicJobs = map[string]*Job{}, map[string]*Job{}
	s.allocationsByWorker = map[string]map[uint64]*Allocation{}
	s.jobBytes = 0
	for id, job := range s.Jobs {
		s.jobBytes += job.bytes()
		job.tenant = s.JobTenants[id]
		if !job.ended() {
			s.openJobs[id] = job
			job.splitRoute = s.splitRouteOf(s.Routes[job.Route])
			if job.hasMoreInstances() {
				s.periodicJobs[id] = job
			}
		}
	}
	for _, allocation := range s.Allocations {
		s.indexAllocation(allocation)
	}
	if s.Coordination != nil {
		s.Coordination.Restore()
	}
	s.rebuildIndex()
}

func (s *Store) indexAllocation(allocation *Allocation) {
	allocations := s.allocationsByWorker[allocation.Worker]
	if allocations == nil {
		allocations = map[uint64]*Allocation{}
		s.allocationsByWorker[allocation.Worker] = allocations
	}
	allocations[allocation.ID] = allocation
}

// AdvanceClock sets the clocks to the times of a log entry, in ms. The state clock
// never goes backwards. Instances of periodic jobs that have fallen due are added.
func (s *Store) AdvanceClock(clock, wall int64) {
	s.Clock = max(s.Clock, clock)
	s.WallClock = wall
	if len(s.periodicJobs) > 0 {
		s.addDueInstances()
	}
}

// RemoteFactor returns the factor by which a task runs longer away from its data than
// beside it, at least 1.
func (s *Store) RemoteFactor() float64 { return max(s.Limits.RemoteFactor, 1) }

// RouteTable returns the lookup table for the routes of the current configuration.
func (s *Store) RouteTable() *clusterconfig.RouteTable { return s.routeTable }

// OpenJobs returns the jobs that have not ended, in the order of acceptance.
func (s *Store) OpenJobs() []*Job {
	jobs := make([]*Job, 0, len(s.openJobs))
	for _, job := range s.openJobs {
		jobs = append(jobs, job)
	}
	sortBySequence(jobs)
	return jobs
}

func sortBySequence(jobs []*Job) {
	slices.SortFunc(jobs, func(a, b *Job) int { return cmp.Compare(a.Sequence, b.Sequence) })
}

// JobStatus returns a job's status as shown to clients, or false if the job does not
// exist.
func (s *Store) JobStatus(id string) (string, bool) {
	job := s.Jobs[id]
	if job == nil {
		return "", false
	}
	return job.Status(), true
}

// AllocationsOn returns the allocations on a worker, sorted by ID, oldest first.
func (s *Store) AllocationsOn(worker string) []*Allocation {
	allocations := make([]*Allocation, 0, len(s.allocationsByWorker[worker]))
	for _, allocation := range s.allocationsByWorker[worker] {
		allocations = append(allocations, allocation)
	}
	slices.SortFunc(allocations, func(a, b *Allocation) int { return cmp.Compare(a.ID, b.ID) })
	return allocations
}

// TakeChangedRuns returns the IDs of the allocations whose agents must be notified:
// those that were added, were marked as stopping, or are in a zone that was evacuated,
// since the last call.
func (s *Store) TakeChangedRuns() []uint64 { return takeAll(&s.changedRuns) }

// TakeEndedJobs returns the jobs that ended since the last call.
func (s *Store) TakeEndedJobs() []*Job { return takeAll(&s.endedJobs) }

// takeAll returns the elements of a list and empties it.
func takeAll[T any](list *[]T) []T {
	taken := *list
	*list = nil
	return taken
}

package state

import (
	"cmp"
	"slices"

	"tealpond/internal/clusterconfig"
	"tealpond/internal/coordination"
)

// FormatVersion is the version of the state: of its tables, its commands and
// what they do. It is raised with any change of these, so that the digests of
// replicas that run different versions aren't compared.
const FormatVersion = 8

// Limits are figures of the operators' settings that commands need. They are
// part of the state and come by a command, since the settings of two machines
// may differ and what a command does must not.
type Limits struct {
	_              struct{} `cbor:",toarray"`
	JobRetentionMs int64    // how long a job is kept after its end; 0: for ever
	MaxReplans     int      // of one plan, see ApplyPlans
	RemoteFactor   float64  // how many times as long a task takes away from its data
}

// Store is the whole state. Its exported fields are what replicas agree on and
// snapshots contain, under the names of their tags. The tags stay when a field is
// renamed, since snapshots of earlier versions use them. Snapshot copies each
// field. Other packages read the tables; only commands change them.
type Store struct {
	AppliedIndex         uint64                           `cbor:"Applied"` // of the last entry of the log that was applied
	Clock                int64                            `cbor:"Clock"`   // ms, see the package's comment
	WallClock            int64                            `cbor:"Wall"`    // ms since 1970
	Configuration        clusterconfig.Config             `cbor:"Desired"` // version 0: there is none yet
	ConfigurationHistory ConfigurationHistory             `cbor:"Taken"`
	Origin               uint64                           `cbor:"Origin"`   // not in use
	Routes               map[string]*clusterconfig.Route  `cbor:"Lanes"`    // by name, with those of earlier configurations
	Services             map[string]clusterconfig.Service `cbor:"Services"` // by name, with those of earlier configurations
	Workers              map[string]*Worker               `cbor:"Workers"`
	Devices              map[string]*Device               `cbor:"Devices"`
	Allocations          map[uint64]*Allocation           `cbor:"Allocs"`
	Jobs                 map[string]*Job                  `cbor:"Jobs"`
	ServiceUsages        map[string]*ServiceUsage         `cbor:"Rollups"` // by service
	LastID               uint64                           `cbor:"Last"`    // of allocations, fences, offers and loans, in one sequence
	LastJobSequence      int64                            `cbor:"LastSeq"`
	Epoch                string                           `cbor:"Epoch"` // see SetEpoch
	Peers                map[string]*PeerProgress         `cbor:"Peers"`
	WithdrawnOffers      map[string]int64                 `cbor:"Voids"` // by peer and job, the newest
	Loans                map[string]*Loan                 `cbor:"Loans"`
	Demand               map[string]map[int64]float64     `cbor:"Demand"` // submitted work in cores times ms, by route and bucket
	Aggregators          map[string]ZoneAggregator        `cbor:"Duties"` // by zone
	CrashBackoffs        map[string]CrashBackoff          `cbor:"Flaps"`  // by node
	Limits               Limits                           `cbor:"Limits"`
	Quotas               map[string]Quota                 `cbor:"Quotas,omitempty"`  // by tenant, with those of earlier configurations
	JobTenants           map[string]JobTenant             `cbor:"Tenants,omitempty"` // by job
	GoneWorkers          map[string]int64                 `cbor:"Gone,omitempty"`    // when ForgetUnused first saw that a worker is gone, by ID
	// Coordination is the applications' locks, counters and keys; nil until the first.
	Coordination *coordination.Tables `cbor:"Coordination,omitempty"`
	// Evacuations has the zones about which there was an order.
	Evacuations map[string]ZoneEvacuation `cbor:"Evacuations,omitempty"`
	// DigestChain covers all entries from DigestChainFrom on, see digest.go. It
	// hasn't begun while that is 0.
	DigestChain     uint64 `cbor:"Chain"`
	DigestChainFrom uint64 `cbor:"ChainFrom"`

	derived
}

// derived is what can be computed from the tables, and lists of changes that wait
// for the owner of the state to take them. It is not in snapshots.
type derived struct {
	routeTable          *clusterconfig.RouteTable
	keyTable            *clusterconfig.KeyTable
	openJobs            map[string]*Job
	periodicJobs        map[string]*Job // that have instances to come
	allocationsByWorker map[string]map[uint64]*Allocation
	changedRuns         []uint64
	endedJobs           []*Job
	confirmedDigests    []ConfirmDigest
	closedRuns          []ClosedRun
	undoLog             *[]func() // of the innermost savepoint; nil: none is open
	index               schedulingIndex
}

// New returns an empty state.
func New(limits Limits) *Store {
	s := &Store{
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

// derive computes the indexes from the tables. It panics if they contradict one
// another.
func (s *Store) derive() {
	s.Configuration.RestoreTenants()
	s.routeTable = clusterconfig.NewRouteTable(&s.Configuration)
	s.keyTable = clusterconfig.NewKeyTable(&s.Configuration)
	s.openJobs, s.periodicJobs = map[string]*Job{}, map[string]*Job{}
	s.allocationsByWorker = map[string]map[uint64]*Allocation{}
	for id, job := range s.Jobs {
		job.tenant = s.JobTenants[id]
		if !job.ended() {
			s.openJobs[id] = job
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

// AdvanceClock moves the clocks to the times of an entry, in ms; the state clock
// never goes back. Periodic jobs whose next instances are due get them.
func (s *Store) AdvanceClock(clock, wall int64) {
	s.Clock = max(s.Clock, clock)
	s.WallClock = wall
	if len(s.periodicJobs) == 0 {
		return
	}
	var due []*Job
	for _, job := range s.periodicJobs {
		if job.dueAt(job.NextInstance) <= wall {
			due = append(due, job)
		}
	}
	sortBySequence(due)
	for _, job := range due {
		for job.hasMoreInstances() && job.dueAt(job.NextInstance) <= wall {
			s.addInstance(job)
		}
		if !job.hasMoreInstances() {
			delete(s.periodicJobs, job.ID)
		}
	}
}

// NextDueAt is when the next instance of a periodic job falls due, on the wall
// clock; 0 if none is to come.
func (s *Store) NextDueAt() int64 {
	next := int64(0)
	for _, job := range s.periodicJobs {
		if due := job.dueAt(job.NextInstance); next == 0 || due < next {
			next = due
		}
	}
	return next
}

// RemoteFactor is how many times as long a task takes away from its data, at least
// 1.
func (s *Store) RemoteFactor() float64 { return max(s.Limits.RemoteFactor, 1) }

// RouteTable finds the routes of the configuration in force.
func (s *Store) RouteTable() *clusterconfig.RouteTable { return s.routeTable }

// OpenJobs lists the jobs that haven't ended, in the order of acceptance.
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

// JobStatus is a job's status as clients see it; false if there is no such
// job.
func (s *Store) JobStatus(id string) (string, bool) {
	job := s.Jobs[id]
	if job == nil {
		return "", false
	}
	return job.Status(), true
}

// PendingJobs counts the jobs of a route of which nothing has run yet.
func (s *Store) PendingJobs(route string) int {
	count := 0
	for _, job := range s.openJobs {
		if job.Route == route && job.Status() == StatusPending {
			count++
		}
	}
	return count
}

// AllocationsOn lists the allocations on a worker by ID, the oldest first.
func (s *Store) AllocationsOn(worker string) []*Allocation {
	allocations := make([]*Allocation, 0, len(s.allocationsByWorker[worker]))
	for _, allocation := range s.allocationsByWorker[worker] {
		allocations = append(allocations, allocation)
	}
	slices.SortFunc(allocations, func(a, b *Allocation) int { return cmp.Compare(a.ID, b.ID) })
	return allocations
}

// TakeChangedRuns returns the IDs of the allocations that were added, or marked
// as stopping, since the last call.
func (s *Store) TakeChangedRuns() []uint64 { return take(&s.changedRuns) }

// TakeEndedJobs returns the jobs that ended since the last call.
func (s *Store) TakeEndedJobs() []*Job { return take(&s.endedJobs) }

// take empties a list and returns its elements.
func take[T any](list *[]T) []T {
	taken := *list
	*list = nil
	return taken
}

// Package state is the replicated state: workers, devices, allocations,
// bookings, guarded room, jobs and desired state. Commands change it, each by
// its Apply, and the same commands in the same order give the same state.
package state

import (
	"sort"
	"strconv"

	"tealpond/internal/clusterconfig"
)

// FormatVersion is the version of the state: of its tables, its commands and
// what they do. It is raised with any change of these, so that the digests of
// replicas that run different versions aren't compared.
const FormatVersion = 3

// Forever is the end of a booking that closes when the worker lists its end.
const Forever = int64(1) << 62

// Limits are figures of the rules that the state needs. They are part of it
// and come by a command: the settings of two machines may differ, and what a
// command does must not.
type Limits struct {
	_              struct{} `cbor:",toarray"`
	JobRetentionMs int64    // how long a job that is over is known; 0: for good
	MaxReplans     int
	RemoteFactor   float64 // how many times as long a task takes away from its data
}

// Store is the whole state: its exported fields are what replicas agree on and
// snapshots hold, under the names of their tags, which stay when a field is
// renamed. Freeze copies each of them.
type Store struct {
	AppliedIndex         uint64                           `cbor:"Applied"` // the index of the last entry of the log that was applied
	Clock                int64                            `cbor:"Clock"`
	WallClock            int64                            `cbor:"Wall"`
	Configuration        clusterconfig.Config             `cbor:"Desired"`
	ConfigurationHistory ConfigurationHistory             `cbor:"Taken"`
	Origin               uint64                           `cbor:"Origin"`
	Routes               map[string]*clusterconfig.Route  `cbor:"Lanes"`
	Services             map[string]clusterconfig.Service `cbor:"Services"`
	Workers              map[string]*Worker               `cbor:"Workers"`
	Devices              map[string]*Device               `cbor:"Devices"`
	Allocations          map[uint64]*Allocation           `cbor:"Allocs"`
	Jobs                 map[string]*Job                  `cbor:"Jobs"`
	Rollups              map[string]*Rollup               `cbor:"Rollups"`
	LastID               uint64                           `cbor:"Last"`
	LastJobSequence      int64                            `cbor:"LastSeq"`
	Epoch                string                           `cbor:"Epoch"`
	Peers                map[string]*PeerProgress         `cbor:"Peers"`
	VoidedOffers         map[string]int64                 `cbor:"Voids"`
	Loans                map[string]*Loan                 `cbor:"Loans"`
	Demand               map[string]map[int64]float64     `cbor:"Demand"` // core-ms asked, by lane and bucket
	Aggregators          map[string]ZoneAggregator        `cbor:"Duties"` // by zone
	CrashBackoffs        map[string]CrashBackoff          `cbor:"Flaps"`  // by node
	Limits               Limits                           `cbor:"Limits"`
	// DigestChain covers all entries from DigestChainFrom on, see digest.go; 0: none yet.
	DigestChain     uint64 `cbor:"Chain"`
	DigestChainFrom uint64 `cbor:"ChainFrom"`

	derived
}

// derived follows from the tables and is never saved.
type derived struct {
	routeTable          *clusterconfig.RouteTable
	openJobs            map[string]*Job
	periodicJobs        map[string]*Job
	allocationsByWorker map[string]map[uint64]*Allocation
	changedRuns         []uint64
	endedJobs           []*Job
	confirmedDigests    []ConfirmDigest
	closedRuns          []ClosedRun
	undoLog             *[]func()
	index               schedulingIndex
}

// New gives an empty state.
func New(limits Limits) *Store {
	s := &Store{Routes: map[string]*clusterconfig.Route{}, Services: map[string]clusterconfig.Service{}, Workers: map[string]*Worker{},
		Devices: map[string]*Device{}, Allocations: map[uint64]*Allocation{}, Jobs: map[string]*Job{}, Rollups: map[string]*Rollup{}}
	s.Limits = limits
	s.derive()
	return s
}

// derive rebuilds what follows from the tables.
func (s *Store) derive() {
	s.routeTable = clusterconfig.NewRouteTable(&s.Configuration)
	s.openJobs, s.periodicJobs = map[string]*Job{}, map[string]*Job{}
	s.allocationsByWorker = map[string]map[uint64]*Allocation{}
	for id, job := range s.Jobs {
		if !job.ended() {
			s.openJobs[id] = job
			if job.PeriodicInstances > 0 && job.NextInstance < job.PeriodicInstances {
				s.periodicJobs[id] = job
			}
		}
	}
	for _, allocation := range s.Allocations {
		s.indexAllocation(allocation)
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

// RemoteFactor is the factor for work away from its data.
func (s *Store) RemoteFactor() float64 { return max(s.Limits.RemoteFactor, 1) }

// RouteTable looks lanes up.
func (s *Store) RouteTable() *clusterconfig.RouteTable { return s.routeTable }

// OpenJobs lists the jobs that are not over, by age.
func (s *Store) OpenJobs() []*Job {
	out := make([]*Job, 0, len(s.openJobs))
	for _, j := range s.openJobs {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Sequence < out[b].Sequence })
	return out
}

// AllocationsOn lists the allocations on a worker, by number.
func (s *Store) AllocationsOn(worker string) []*Allocation {
	m := s.allocationsByWorker[worker]
	out := make([]*Allocation, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// TakeChangedRuns hands out the allocations that were booked or told to stop since.
func (s *Store) TakeChangedRuns() []uint64 {
	out := s.changedRuns
	s.changedRuns = nil
	return out
}

// TakeEndedJobs hands out the jobs that ended since.
func (s *Store) TakeEndedJobs() []*Job {
	out := s.endedJobs
	s.endedJobs = nil
	return out
}

// NextDueAt is the true time at which the next timed run falls due, or 0.
func (s *Store) NextDueAt() int64 {
	due := int64(0)
	for _, j := range s.periodicJobs {
		if d := j.dueAt(j.NextInstance); due == 0 || d < due {
			due = d
		}
	}
	return due
}

func itoa(i int) string { return strconv.Itoa(i) }

// TaskName is the protocol's name of a task.
func TaskName(job string, instance, step, index int) string {
	return job + "." + itoa(instance) + "." + itoa(step) + "." + itoa(index)
}

// AdvanceClock stamps a command's time; it never goes back.
func (s *Store) AdvanceClock(clock, wall int64) {
	if clock > s.Clock {
		s.Clock = clock
	}
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
	sort.Slice(due, func(a, b int) bool { return due[a].Sequence < due[b].Sequence })
	for _, job := range due {
		for job.NextInstance < job.PeriodicInstances && job.dueAt(job.NextInstance) <= wall {
			s.addInstance(job)
		}
		if job.NextInstance >= job.PeriodicInstances {
			delete(s.periodicJobs, job.ID)
		}
	}
}

// JobStatus is the word for a job's state, false if it is unknown.
func (s *Store) JobStatus(id string) (string, bool) {
	j := s.Jobs[id]
	if j == nil {
		return "", false
	}
	return j.Status(), true
}

// PendingJobs counts the jobs of a lane of which nothing has run yet.
func (s *Store) PendingJobs(route string) int {
	n := 0
	for _, job := range s.openJobs {
		if job.Route == route && job.Status() == "pending" {
			n++
		}
	}
	return n
}

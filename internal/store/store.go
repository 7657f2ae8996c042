// Package store is the replicated state: workers, devices, allocations,
// bookings, guarded room, jobs and desired state. Commands change it, each by
// its Apply, and the same commands in the same order give the same state.
package store

import (
	"sort"
	"strconv"

	"tealpond/internal/clusterconfig"
)

// Forever is the end of a booking that closes when the worker lists its end.
const Forever = int64(1) << 62

// Limits are figures of the rules that the state needs. They are part of it
// and come by a command: the settings of two machines may differ, and what a
// command does must not.
type Limits struct {
	_         struct{} `cbor:",toarray"`
	KeepJobMs int64    // how long a job that is over is known; 0: for good
	Replans   int
	Far       float64 // how many times as long a task takes away from its data
}

// Store is the whole state: its exported fields are what replicas agree on and
// snapshots hold, under the names of their tags, which stay when a field is
// renamed. Freeze copies each of them.
type Store struct {
	Applied  uint64                           `cbor:"Applied"` // the index of the last entry of the log that was applied
	Clock    int64                            `cbor:"Clock"`
	Wall     int64                            `cbor:"Wall"`
	Desired  clusterconfig.Config             `cbor:"Desired"`
	Taken    TakenLog                         `cbor:"Taken"`
	Origin   uint64                           `cbor:"Origin"`
	Lanes    map[string]*clusterconfig.Route  `cbor:"Lanes"`
	Services map[string]clusterconfig.Service `cbor:"Services"`
	Workers  map[string]*Worker               `cbor:"Workers"`
	Devices  map[string]*Device               `cbor:"Devices"`
	Allocs   map[uint64]*Alloc                `cbor:"Allocs"`
	Jobs     map[string]*Job                  `cbor:"Jobs"`
	Rollups  map[string]*Rollup               `cbor:"Rollups"`
	Last     uint64                           `cbor:"Last"`
	LastSeq  int64                            `cbor:"LastSeq"`
	Epoch    string                           `cbor:"Epoch"`
	Peers    map[string]*PeerSeen             `cbor:"Peers"`
	Voids    map[string]int64                 `cbor:"Voids"`
	Loans    map[string]*Loan                 `cbor:"Loans"`
	Demand   map[string]map[int64]float64     `cbor:"Demand"` // core-ms asked, by lane and bucket
	Duties   map[string]Duty                  `cbor:"Duties"` // by zone
	Flaps    map[string]Flap                  `cbor:"Flaps"`  // by node
	Limits   Limits                           `cbor:"Limits"`
	// Chain covers all entries from ChainFrom on, see digest.go; 0: none yet.
	Chain     uint64 `cbor:"Chain"`
	ChainFrom uint64 `cbor:"ChainFrom"`

	derived
}

// derived follows from the tables and is never saved.
type derived struct {
	table  *clusterconfig.RouteTable
	open   map[string]*Job
	timed  map[string]*Job
	byWork map[string]map[uint64]*Alloc
	fresh  []uint64
	ended  []*Job
	agreed []Agree
	closed []Closed
	undo   *[]func()
	idx    index
}

// New gives an empty state.
func New(l Limits) *Store {
	s := &Store{Lanes: map[string]*clusterconfig.Route{}, Services: map[string]clusterconfig.Service{}, Workers: map[string]*Worker{},
		Devices: map[string]*Device{}, Allocs: map[uint64]*Alloc{}, Jobs: map[string]*Job{}, Rollups: map[string]*Rollup{}}
	s.Limits = l
	s.derive()
	return s
}

// derive rebuilds what follows from the tables.
func (s *Store) derive() {
	s.table = clusterconfig.NewRouteTable(&s.Desired)
	s.open, s.timed = map[string]*Job{}, map[string]*Job{}
	s.byWork = map[string]map[uint64]*Alloc{}
	for id, j := range s.Jobs {
		if !j.ended() {
			s.open[id] = j
			if j.RunTimes > 0 && j.NextK < j.RunTimes {
				s.timed[id] = j
			}
		}
	}
	for _, a := range s.Allocs {
		s.index(a)
	}
	s.newIndex()
}

func (s *Store) index(a *Alloc) {
	m := s.byWork[a.Worker]
	if m == nil {
		m = map[uint64]*Alloc{}
		s.byWork[a.Worker] = m
	}
	m[a.ID] = a
}

// Far is the factor for work away from its data.
func (s *Store) Far() float64 { return max(s.Limits.Far, 1) }

// Table looks lanes up.
func (s *Store) Table() *clusterconfig.RouteTable { return s.table }

// Open lists the jobs that are not over, by age.
func (s *Store) Open() []*Job {
	out := make([]*Job, 0, len(s.open))
	for _, j := range s.open {
		out = append(out, j)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Seq < out[b].Seq })
	return out
}

// On lists the allocations on a worker, by number.
func (s *Store) On(worker string) []*Alloc {
	m := s.byWork[worker]
	out := make([]*Alloc, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// Fresh hands out the allocations that were booked or told to stop since.
func (s *Store) Fresh() []uint64 {
	out := s.fresh
	s.fresh = nil
	return out
}

// Ended hands out the jobs that ended since.
func (s *Store) Ended() []*Job {
	out := s.ended
	s.ended = nil
	return out
}

// NextDue is the true time at which the next timed run falls due, or 0.
func (s *Store) NextDue() int64 {
	due := int64(0)
	for _, j := range s.timed {
		if d := j.dueAt(j.NextK); due == 0 || d < due {
			due = d
		}
	}
	return due
}

func itoa(i int) string { return strconv.Itoa(i) }

// TaskName is the protocol's name of a task.
func TaskName(job string, k, step, index int) string {
	return job + "." + itoa(k) + "." + itoa(step) + "." + itoa(index)
}

// Advance stamps a command's time; it never goes back.
func (s *Store) Advance(clock, wall int64) {
	if clock > s.Clock {
		s.Clock = clock
	}
	s.Wall = wall
	if len(s.timed) == 0 {
		return
	}
	var due []*Job
	for _, j := range s.timed {
		if j.dueAt(j.NextK) <= wall {
			due = append(due, j)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].Seq < due[b].Seq })
	for _, j := range due {
		for j.NextK < j.RunTimes && j.dueAt(j.NextK) <= wall {
			s.addInst(j)
		}
		if j.NextK >= j.RunTimes {
			delete(s.timed, j.ID)
		}
	}
}

// Status is the word for a job's state, false if it is unknown.
func (s *Store) Status(id string) (string, bool) {
	j := s.Jobs[id]
	if j == nil {
		return "", false
	}
	return j.Word(), true
}

// Waiting counts the jobs of a lane of which nothing has run yet.
func (s *Store) Waiting(lane string) int {
	n := 0
	for _, j := range s.open {
		if j.Lane == lane && j.Word() == "pending" {
			n++
		}
	}
	return n
}

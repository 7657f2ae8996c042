package state

import (
	"maps"
	"slices"
)

// Snapshot is a copy of the state as it was at one entry. Another task may encode
// it while commands go on changing the state.
type Snapshot struct {
	store            *Store
	buildLargeTables []func() // each builds one of the large tables
}

// Snapshot copies the tables. It costs a fraction of encoding them: rows are
// copied in bulk, of what lies below them only that which commands write in
// place, and the maps of the large tables are built by Save.
func (s *Store) Snapshot() *Snapshot {
	frozen := *s
	frozen.derived = derived{}
	frozen.ConfigurationHistory.Accepted, frozen.ConfigurationHistory.Refused = slices.Clone(s.ConfigurationHistory.Accepted), slices.Clone(s.ConfigurationHistory.Refused)
	frozen.Routes = copyRows(s.Routes).build()
	frozen.Services = maps.Clone(s.Services)
	frozen.Rollups = copyRows(s.Rollups).build()
	frozen.Peers = copyRows(s.Peers).build()
	frozen.VoidedOffers = maps.Clone(s.VoidedOffers)
	frozen.Loans = copyRows(s.Loans).build()
	frozen.Demand = maps.Clone(s.Demand)
	for lane, buckets := range frozen.Demand {
		frozen.Demand[lane] = maps.Clone(buckets)
	}
	frozen.Aggregators = maps.Clone(s.Aggregators)
	frozen.CrashBackoffs = maps.Clone(s.CrashBackoffs)
	workers, devices, allocs, jobs := copyRows(s.Workers), copyDevices(s.Devices), copyRows(s.Allocations), copyJobs(s.Jobs)
	return &Snapshot{&frozen, []func(){
		func() { frozen.Workers = workers.build() },
		func() { frozen.Devices = devices.build() },
		func() { frozen.Allocations = allocs.build() },
		func() { frozen.Jobs = jobs.build() },
	}}
}

// Encode encodes the copy; the bytes are those that Store.Save gave when it was
// made.
func (s *Snapshot) Encode() []byte {
	for _, build := range s.buildLargeTables {
		build()
	}
	s.buildLargeTables = nil
	return s.store.EncodeSnapshot()
}

// tableCopy is a table as two lists of one length.
type tableCopy[K comparable, V any] struct {
	keys  []K
	rows  []V
	isNil bool // there was no table at all
}

// copyRows copies a table; all rows share one allocation.
func copyRows[K comparable, V any](table map[K]*V) *tableCopy[K, V] {
	c := &tableCopy[K, V]{make([]K, 0, len(table)), make([]V, 0, len(table)), table == nil}
	for k, v := range table {
		c.keys = append(c.keys, k)
		c.rows = append(c.rows, *v)
	}
	return c
}

func (c *tableCopy[K, V]) build() map[K]*V {
	if c.isNil {
		return nil
	}
	out := make(map[K]*V, len(c.rows))
	for i, k := range c.keys {
		out[k] = &c.rows[i]
	}
	return out
}

// copyDevices copies bookings too, which are dropped in place.
func copyDevices(table map[string]*Device) *tableCopy[string, Device] {
	c := copyRows(table)
	n := 0
	for i := range c.rows {
		n += len(c.rows[i].Reservations)
	}
	reservations := make([]Reservation, 0, n)
	for i := range c.rows {
		if d := &c.rows[i]; d.Reservations != nil {
			from := len(reservations)
			reservations = append(reservations, d.Reservations...)
			d.Reservations = reservations[from:len(reservations):len(reservations)]
		}
	}
	return c
}

// copyJobs copies instances, steps and tasks too; what was handed in, and the
// lists of a task's runs, are replaced and never written in place.
func copyJobs(table map[string]*Job) *tableCopy[string, Job] {
	c := copyRows(table)
	for i := range c.rows {
		job := &c.rows[i]
		if job.Instances == nil {
			continue
		}
		instances := make([]*JobInstance, len(job.Instances))
		for k, instance := range job.Instances {
			instanceCopy := *instance
			instanceCopy.Steps = append(instanceCopy.Steps[:0:0], instance.Steps...)
			for x := range instanceCopy.Steps {
				instanceCopy.Steps[x].Tasks = append(instanceCopy.Steps[x].Tasks[:0:0], instanceCopy.Steps[x].Tasks...)
			}
			instances[k] = &instanceCopy
		}
		job.Instances = instances
	}
	return c
}

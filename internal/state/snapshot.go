package state

import (
	"maps"
	"slices"
)

// Snapshot is a copy of the state as it was at one entry. Another goroutine may
// encode it while commands go on changing the state.
type Snapshot struct {
	store            *Store
	buildLargeTables []func() // each builds the map of one large table
}

// Snapshot copies the state. No command can be applied meanwhile, so it is made to
// cost a fraction of encoding: rows are copied in bulk, with only those nested lists
// that commands modify in place, and the maps of the large tables are built by
// Encode.
func (s *Store) Snapshot() *Snapshot {
	frozen := *s
	frozen.derived = derived{}
	frozen.ConfigurationHistory.Accepted = slices.Clone(s.ConfigurationHistory.Accepted)
	frozen.ConfigurationHistory.Refused = slices.Clone(s.ConfigurationHistory.Refused)
	frozen.Routes = copyRows(s.Routes).build()
	frozen.Services = maps.Clone(s.Services)
	frozen.ServiceUsages = copyRows(s.ServiceUsages).build()
	frozen.Peers = copyRows(s.Peers).build()
	frozen.WithdrawnOffers = maps.Clone(s.WithdrawnOffers)
	frozen.Loans = copyRows(s.Loans).build()
	frozen.Demand = maps.Clone(s.Demand)
	for route, buckets := range frozen.Demand {
		frozen.Demand[route] = maps.Clone(buckets)
	}
	frozen.Aggregators = maps.Clone(s.Aggregators)
	frozen.CrashBackoffs = maps.Clone(s.CrashBackoffs)
	frozen.Quotas = maps.Clone(s.Quotas)
	frozen.JobTenants = maps.Clone(s.JobTenants)
	frozen.GoneWorkers = maps.Clone(s.GoneWorkers)
	frozen.Evacuations = maps.Clone(s.Evacuations)
	frozen.Coordination = s.Coordination.Clone()
	workers, devices, allocations, jobs := copyRows(s.Workers), copyDevices(s.Devices), copyRows(s.Allocations), copyJobs(s.Jobs)
	return &Snapshot{&frozen, []func(){
		func() { frozen.Workers = workers.build() },
		func() { frozen.Devices = devices.build() },
		func() { frozen.Allocations = allocations.build() },
		func() { frozen.Jobs = jobs.build() },
	}}
}

// Encode encodes the copy, to the bytes that Store.EncodeSnapshot would have
// given when it was made.
func (s *Snapshot) Encode() []byte {
	for _, build := range s.buildLargeTables {
		build()
	}
	s.buildLargeTables = nil
	return s.store.EncodeSnapshot()
}

// tableCopy is a copy of a table as two lists of one length.
type tableCopy[K comparable, V any] struct {
	keys  []K
	rows  []V
	isNil bool // there was no table at all
}

// copyRows copies a table; all its rows share one allocation of memory.
func copyRows[K comparable, V any](table map[K]*V) *tableCopy[K, V] {
	c := &tableCopy[K, V]{make([]K, 0, len(table)), make([]V, 0, len(table)), table == nil}
	for key, row := range table {
		c.keys = append(c.keys, key)
		c.rows = append(c.rows, *row)
	}
	return c
}

// build makes the table of the copy.
func (c *tableCopy[K, V]) build() map[K]*V {
	if c.isNil {
		return nil
	}
	table := make(map[K]*V, len(c.rows))
	for i, key := range c.keys {
		table[key] = &c.rows[i]
	}
	return table
}

// copyDevices copies reservations too, which are dropped in place.
func copyDevices(table map[string]*Device) *tableCopy[string, Device] {
	c := copyRows(table)
	count := 0
	for i := range c.rows {
		count += len(c.rows[i].Reservations)
	}
	reservations := make([]Reservation, 0, count)
	for i := range c.rows {
		if device := &c.rows[i]; device.Reservations != nil {
			from := len(reservations)
			reservations = append(reservations, device.Reservations...)
			device.Reservations = reservations[from:len(reservations):len(reservations)]
		}
	}
	return c
}

// copyJobs copies instances, steps and tasks too. The steps as they were
// submitted, and the lists of a task's allocations, are replaced and never
// written in place.
func copyJobs(table map[string]*Job) *tableCopy[string, Job] {
	c := copyRows(table)
	for i := range c.rows {
		job := &c.rows[i]
		if job.Instances == nil {
			continue
		}
		instances := make([]*JobInstance, len(job.Instances))
		for number, instance := range job.Instances {
			instanceCopy := *instance
			instanceCopy.Steps = append(instanceCopy.Steps[:0:0], instance.Steps...)
			for step := range instanceCopy.Steps {
				instanceCopy.Steps[step].Tasks = append(instanceCopy.Steps[step].Tasks[:0:0], instanceCopy.Steps[step].Tasks...)
			}
			instances[number] = &instanceCopy
		}
		job.Instances = instances
	}
	return c
}

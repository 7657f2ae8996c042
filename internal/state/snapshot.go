package state

import (
	"maps"
	"slices"
)

// Snapshot is a copy of the state at one log index. Another goroutine may encode it
// while further commands change the state.
type Snapshot struct {
	store            *Store
	buildLargeTables []func() // each builds the map of one large table
}

// Snapshot copies the state. No command can be applied during the copy, so it must cost
// only a fraction of encoding: rows are copied in bulk, nested lists are copied only if
// commands modify them in place, and Encode builds the maps of the large tables.
func (s *Store) Snapshot() *Snapshot {
	copied := *s
	copied.derived = derived{}
	copied.ConfigurationHistory.Accepted = slices.Clone(s.ConfigurationHistory.Accepted)
	copied.ConfigurationHistory.Refused = slices.Clone(s.ConfigurationHistory.Refused)
	copied.Routes = copyRows(s.Routes).build()
	copied.Services = maps.Clone(s.Services)
	copied.ServiceUsages = copyRows(s.ServiceUsages).build()
	copied.Peers = copyRows(s.Peers).build()
	copied.WithdrawnOffers = maps.Clone(s.WithdrawnOffers)
	copied.Loans = copyRows(s.Loans).build()
	copied.Demand = maps.Clone(s.Demand)
	for route, buckets := range copied.Demand {
		copied.Demand[route] = maps.Clone(buckets)
	}
	copied.Aggregators = maps.Clone(s.Aggregators)
	copied.CrashBackoffs = maps.Clone(s.CrashBackoffs)
	copied.Quotas = maps.Clone(s.Quotas)
	copied.JobTenants = maps.Clone(s.JobTenants)
	copied.GoneWorkers = maps.Clone(s.GoneWorkers)
	copied.Evacuations = maps.Clone(s.Evacuations)
	copied.EligibilityReports = maps.Clone(s.EligibilityReports)
	copied.Coordination = s.Coordination.Clone()
	workers, devices, allocations, jobs := copyRows(s.Workers), copyDevices(s.Devices), copyRows(s.Allocations), copyJobs(s.Jobs)
	return &Snapshot{&copied, []func(){
		func() { copied.Workers = workers.build() },
		func() { copied.Devices = devices.build() },
		func() { copied.Allocations = allocations.build() },
		func() { copied.Jobs = jobs.build() },
	}}
}

// Encode returns the bytes that Store.EncodeSnapshot would have returned when the
// snapshot was made.
func (s *Snapshot) Encode() []byte {
	for _, build := range s.buildLargeTables {
		build()
	}
	s.buildLargeTables = nil
	return s.store.EncodeSnapshot()
}

// tableCopy is a copy of a table as two lists of the same length.
type tableCopy[K comparable, V any] struct {
	keys  []K
	rows  []V
	isNil bool // the table was a nil map
}

// copyRows copies a table. Its rows share one memory allocation.
func copyRows[K comparable, V any](table map[K]*V) *tableCopy[K, V] {
	c := &tableCopy[K, V]{make([]K, 0, len(table)), make([]V, 0, len(table)), table == nil}
	for key, row := range table {
		c.keys = append(c.keys, key)
		c.rows = append(c.rows, *row)
	}
	return c
}

// build returns the copy as a table.
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

// copyDevices copies the devices and their reservations, since commands remove
// reservations in place.
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

// copyJobs copies the jobs with their instances, step states and tasks. The submitted
// steps and the allocation lists of tasks are shared, since they are only ever replaced
// and not modified in place.
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

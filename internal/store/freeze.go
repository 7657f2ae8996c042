package store

import (
	"maps"
	"slices"
)

// Frozen is a copy of the state as it was at one entry. Another task may encode
// it while commands go on changing the state.
type Frozen struct {
	s     *Store
	large []func() // each builds one of the large tables
}

// Freeze copies the tables. It costs a fraction of encoding them: rows are
// copied in bulk, of what lies below them only that which commands write in
// place, and the maps of the large tables are built by Save.
func (s *Store) Freeze() *Frozen {
	c := *s
	c.derived = derived{}
	c.Taken.Accepted, c.Taken.Refused = slices.Clone(s.Taken.Accepted), slices.Clone(s.Taken.Refused)
	c.Lanes = copyRows(s.Lanes).table()
	c.Services = maps.Clone(s.Services)
	c.Rollups = copyRows(s.Rollups).table()
	c.Peers = copyRows(s.Peers).table()
	c.Voids = maps.Clone(s.Voids)
	c.Loans = copyRows(s.Loans).table()
	c.Demand = maps.Clone(s.Demand)
	for lane, buckets := range c.Demand {
		c.Demand[lane] = maps.Clone(buckets)
	}
	c.Duties = maps.Clone(s.Duties)
	c.Flaps = maps.Clone(s.Flaps)
	workers, devices, allocs, jobs := copyRows(s.Workers), copyDevices(s.Devices), copyRows(s.Allocs), copyJobs(s.Jobs)
	return &Frozen{&c, []func(){
		func() { c.Workers = workers.table() },
		func() { c.Devices = devices.table() },
		func() { c.Allocs = allocs.table() },
		func() { c.Jobs = jobs.table() },
	}}
}

// Save encodes the copy; the bytes are those that Store.Save gave when it was
// made.
func (f *Frozen) Save() []byte {
	for _, build := range f.large {
		build()
	}
	f.large = nil
	return f.s.Save()
}

// copied is a table as two lists of one length.
type copied[K comparable, V any] struct {
	keys []K
	rows []V
	none bool // there was no table at all
}

// copyRows copies a table; all rows share one allocation.
func copyRows[K comparable, V any](table map[K]*V) *copied[K, V] {
	c := &copied[K, V]{make([]K, 0, len(table)), make([]V, 0, len(table)), table == nil}
	for k, v := range table {
		c.keys = append(c.keys, k)
		c.rows = append(c.rows, *v)
	}
	return c
}

func (c *copied[K, V]) table() map[K]*V {
	if c.none {
		return nil
	}
	out := make(map[K]*V, len(c.rows))
	for i, k := range c.keys {
		out[k] = &c.rows[i]
	}
	return out
}

// copyDevices copies bookings too, which are dropped in place.
func copyDevices(table map[string]*Device) *copied[string, Device] {
	c := copyRows(table)
	n := 0
	for i := range c.rows {
		n += len(c.rows[i].Books)
	}
	all := make([]Booking, 0, n)
	for i := range c.rows {
		if d := &c.rows[i]; d.Books != nil {
			from := len(all)
			all = append(all, d.Books...)
			d.Books = all[from:len(all):len(all)]
		}
	}
	return c
}

// copyJobs copies instances, steps and tasks too; what was handed in, and the
// lists of a task's runs, are replaced and never written in place.
func copyJobs(table map[string]*Job) *copied[string, Job] {
	c := copyRows(table)
	for i := range c.rows {
		j := &c.rows[i]
		if j.Insts == nil {
			continue
		}
		insts := make([]*Inst, len(j.Insts))
		for k, in := range j.Insts {
			n := *in
			n.Steps = append(n.Steps[:0:0], in.Steps...)
			for x := range n.Steps {
				n.Steps[x].Tasks = append(n.Steps[x].Tasks[:0:0], n.Steps[x].Tasks...)
			}
			insts[k] = &n
		}
		j.Insts = insts
	}
	return c
}

package store

// Rollup counts a service's capacity; operators and queries read it, the
// placer never does.
type Rollup struct {
	_           struct{} `cbor:",toarray"`
	CPUTotal    int64
	CPUFree     int64 // allocatable
	CPUUsed     int64
	MemTotal    int64
	MemFree     int64
	MemUsed     int64
	GPUTotal    int
	GPUUsed     int
	Draining    int
	Unreachable int
	At          int64
}

func (s *Store) rollup(service string) *Rollup {
	r := s.Rollups[service]
	if r == nil {
		r = &Rollup{}
		s.Rollups[service] = r
	}
	return r
}

// delta moves the rollup with a booking or its end.
func (s *Store) delta(a *Alloc, sign int64) {
	w := s.Workers[a.Worker]
	if w == nil {
		return
	}
	r := s.rollup(w.Service)
	r.CPUUsed += sign * a.CPU
	r.MemUsed += sign * a.Mem
	r.GPUUsed += int(sign) * len(a.GPUs)
}

// Rebuild counts all rollups anew from workers and bookings.
func (s *Store) Rebuild() {
	s.Rollups = map[string]*Rollup{}
	for _, w := range s.Workers {
		if w.Dead {
			continue
		}
		r := s.rollup(w.Service)
		r.At = s.Clock
		r.CPUTotal += w.Room.CPUUnits
		r.MemTotal += w.Room.MemoryMB
		r.GPUTotal += w.Room.GPUs
		switch {
		case w.Lost:
			r.Unreachable++
		case w.Draining:
			r.Draining++
		default:
			r.CPUFree += w.Room.CPUUnits
			r.MemFree += w.Room.MemoryMB
		}
	}
	for _, a := range s.Allocs {
		s.delta(a, 1)
	}
}

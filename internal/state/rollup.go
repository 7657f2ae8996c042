package state

// Rollup counts a service's capacity; operators and queries read it, the
// placer never does.
type Rollup struct {
	_                   struct{} `cbor:",toarray"`
	TotalMilliCPU       int64
	AllocatableMilliCPU int64 // allocatable
	UsedMilliCPU        int64
	TotalMemoryMB       int64
	AllocatableMemoryMB int64
	UsedMemoryMB        int64
	TotalGPUs           int
	UsedGPUs            int
	Draining            int
	Unreachable         int
	RebuiltAt           int64
}

func (s *Store) rollup(service string) *Rollup {
	r := s.Rollups[service]
	if r == nil {
		r = &Rollup{}
		s.Rollups[service] = r
	}
	return r
}

// adjustRollup moves the rollup with a booking or its end.
func (s *Store) adjustRollup(allocation *Allocation, sign int64) {
	worker := s.Workers[allocation.Worker]
	if worker == nil {
		return
	}
	rollup := s.rollup(worker.Service)
	rollup.UsedMilliCPU += sign * allocation.MilliCPU
	rollup.UsedMemoryMB += sign * allocation.MemoryMB
	rollup.UsedGPUs += int(sign) * len(allocation.GPUs)
}

// RebuildRollups counts all rollups anew from workers and bookings.
func (s *Store) RebuildRollups() {
	s.Rollups = map[string]*Rollup{}
	for _, worker := range s.Workers {
		if worker.Dead {
			continue
		}
		rollup := s.rollup(worker.Service)
		rollup.RebuiltAt = s.Clock
		rollup.TotalMilliCPU += worker.Capacity.CPUUnits
		rollup.TotalMemoryMB += worker.Capacity.MemoryMB
		rollup.TotalGPUs += worker.Capacity.GPUs
		switch {
		case worker.LeaseExpired:
			rollup.Unreachable++
		case worker.Draining:
			rollup.Draining++
		default:
			rollup.AllocatableMilliCPU += worker.Capacity.CPUUnits
			rollup.AllocatableMemoryMB += worker.Capacity.MemoryMB
		}
	}
	for _, allocation := range s.Allocations {
		s.adjustRollup(allocation, 1)
	}
}

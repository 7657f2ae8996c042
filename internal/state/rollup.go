package state

// Rollup is a service's total capacity and use, for queries of operators. The
// scheduler never reads it. The use is updated with each run; all else is as of
// RebuiltAt.
type Rollup struct {
	_                   struct{} `cbor:",toarray"`
	TotalMilliCPU       int64
	AllocatableMilliCPU int64 // of workers that neither drain nor are unreachable
	UsedMilliCPU        int64
	TotalMemoryMB       int64
	AllocatableMemoryMB int64
	UsedMemoryMB        int64
	TotalGPUs           int
	UsedGPUs            int
	Draining            int // workers
	Unreachable         int // workers whose leases expired
	RebuiltAt           int64
}

// rollup returns the rollup of a service and creates it if there is none.
func (s *Store) rollup(service string) *Rollup {
	rollup := s.Rollups[service]
	if rollup == nil {
		rollup = &Rollup{}
		s.Rollups[service] = rollup
	}
	return rollup
}

// adjustRollup adds a run's resources, or subtracts them if sign is -1.
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

// RebuildRollups computes all rollups again from workers and allocations.
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

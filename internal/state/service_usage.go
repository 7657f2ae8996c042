package state

// ServiceUsage is a service's total capacity and resource use, for queries by operators. The
// scheduler never reads it. The Used fields are updated with each run; all other fields are
// as of RebuiltAt.
type ServiceUsage struct {
	_                   struct{} `cbor:",toarray"`
	TotalMilliCPU       int64
	AllocatableMilliCPU int64 // capacity of workers that are neither draining nor unreachable
	UsedMilliCPU        int64
	TotalMemoryMB       int64
	AllocatableMemoryMB int64
	UsedMemoryMB        int64
	TotalGPUs           int
	UsedGPUs            int
	Draining            int // number of draining workers
	Unreachable         int // number of workers whose leases expired
	RebuiltAt           int64
}

// serviceUsage returns the usage row of a service. It creates the row if it does not exist.
func (s *Store) serviceUsage(service string) *ServiceUsage {
	serviceUsage := s.ServiceUsages[service]
	if serviceUsage == nil {
		serviceUsage = &ServiceUsage{}
		s.ServiceUsages[service] = serviceUsage
	}
	return serviceUsage
}

// adjustServiceUsage adds a run's resources to its service's usage, or subtracts them if sign
// is -1.
func (s *Store) adjustServiceUsage(allocation *Allocation, sign int64) {
	worker := s.Workers[allocation.Worker]
	if worker == nil {
		return
	}
	serviceUsage := s.serviceUsage(worker.Service)
	serviceUsage.UsedMilliCPU += sign * allocation.MilliCPU
	serviceUsage.UsedMemoryMB += sign * allocation.MemoryMB
	serviceUsage.UsedGPUs += int(sign) * len(allocation.GPUs)
}

// RebuildUsage recomputes the usage of all services from workers and allocations.
func (s *Store) RebuildUsage() {
	s.ServiceUsages = map[string]*ServiceUsage{}
	for _, worker := range s.Workers {
		if worker.Dead {
			continue
		}
		serviceUsage := s.serviceUsage(worker.Service)
		serviceUsage.RebuiltAt = s.Clock
		serviceUsage.TotalMilliCPU += worker.Capacity.CPUUnits
		serviceUsage.TotalMemoryMB += worker.Capacity.MemoryMB
		serviceUsage.TotalGPUs += worker.Capacity.GPUs
		switch {
		case worker.LeaseExpired:
			serviceUsage.Unreachable++
		case worker.Draining:
			serviceUsage.Draining++
		default:
			serviceUsage.AllocatableMilliCPU += worker.Capacity.CPUUnits
			serviceUsage.AllocatableMemoryMB += worker.Capacity.MemoryMB
		}
	}
	for _, allocation := range s.Allocations {
		s.adjustServiceUsage(allocation, 1)
	}
}

package state

import (
	"sort"

	"tealpond/internal/protocol"
)

// RegisterWorker binds a runner's life to the side daemon that orders it and gives
// the fence under which it does.
type RegisterWorker struct {
	_            struct{} `cbor:",toarray"`
	ID           string
	Node         string
	AgentProcess string
	Service      string
	Zone         string
	Labels       []string
	Capacity     protocol.Resources
	Draining     bool
	LeavesInMs   int64 // ms from now, below 0 if it stays
	// ReplacesFence is the fence of the node's life before this one, as the side
	// daemon was told of it. A take-up may come late, when a newer life than
	// its own was taken up on the node, and must not end that one.
	ReplacesFence int64
}

// Apply raises the fence. A new life on a node ends the one before it, if its
// side daemon knows of it: else 412, and N is the fence that it must name.
func (c *RegisterWorker) Apply(s *Store) Outcome {
	worker := s.Workers[c.ID]
	if worker != nil && worker.Dead {
		// Why refused: a late beat of a crashed life must not bring it back.
		return Outcome{Code: CodeConflict, Text: "this life is over"}
	}
	var earlier []string
	for id, other := range s.Workers {
		if other.Node == c.Node && id != c.ID && !other.Dead {
			earlier = append(earlier, id)
		}
	}
	sort.Strings(earlier)
	for _, id := range earlier {
		if fence := s.Workers[id].Fence; fence > c.ReplacesFence {
			return Outcome{Code: CodePreconditionFailed, Text: "another life is here", Value: fence}
		}
	}
	backoff := int64(0)
	for _, id := range earlier {
		if !s.Workers[id].Draining {
			// Why not of one that left: it said so.
			backoff = max(backoff, s.recordCrash(c.Node))
		}
		s.retireWorker(s.Workers[id], "crashed")
	}
	if worker == nil {
		worker = &Worker{ID: c.ID, Node: c.Node}
		s.Workers[c.ID] = worker
		for i := 0; i < c.Capacity.GPUs; i++ {
			id := gpuDeviceID(c.ID, i)
			s.Devices[id] = &Device{ID: id, Class: ClassGPU, Worker: c.ID, Healthy: true}
		}
	}
	s.LastID++
	worker.Fence = int64(s.LastID)
	worker.AgentProcess, worker.Service, worker.Zone, worker.Labels, worker.Capacity = c.AgentProcess, c.Service, c.Zone, c.Labels, c.Capacity
	worker.LeaseExpired, worker.Unhealthy = false, false
	if c.Draining {
		worker.leave(s.Clock, c.LeavesInMs)
	}
	if backoff > 0 {
		worker.BackoffUntil = s.Clock + backoff
	}
	worker.Version++
	s.reindexWorker(worker)
	return Outcome{Code: CodeOK, Value: worker.Fence}
}

// retireWorker closes all that a life held; it can't come back.
func (s *Store) retireWorker(worker *Worker, result string) {
	worker.Dead = true
	worker.Version++
	s.reindexWorker(worker)
	for _, a := range s.AllocationsOn(worker.ID) {
		s.endRun(a, result, "")
	}
	for i := 0; i < worker.Capacity.GPUs; i++ {
		delete(s.Devices, gpuDeviceID(worker.ID, i))
	}
}

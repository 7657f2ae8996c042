package state

import (
	"sort"

	"tealpond/internal/protocol"
)

// RegisterWorker registers a runner and the agent on its node, and gives the agent a fencing
// token (fence). The agent's later commands must carry the fence, so that commands of an
// agent that was replaced are refused. An agent registers again after a restart.
type RegisterWorker struct {
	_              struct{} `cbor:",toarray"`
	ID             string
	Node           string
	AgentProcessID string
	Service        string
	Zone           string
	Labels         []string
	Capacity       protocol.Resources
	Draining       bool
	LeavesInMs     int64 // from when the command is applied; negative if it stays
	// ReplacesFence is the latest fence on the node that the agent knows of. A registration
	// that arrives late, when a newer worker is already registered on the node, must not
	// end that worker.
	ReplacesFence int64
}

// Apply registers the worker and retires the workers that were registered on the node
// before. The outcome's Value is the worker's fence. If an earlier worker has a newer
// fence than the agent knows of, the outcome is CodePreconditionFailed with that fence as
// its Value. A dead worker is refused with CodeConflict: a late heartbeat of a crashed
// runner must not register it again.
func (c *RegisterWorker) Apply(s *Store) Outcome {
	worker := s.Workers[c.ID]
	if worker != nil && worker.Dead {
		return Outcome{Code: CodeConflict, Text: "this life is over"}
	}
	earlier := c.earlierWorkers(s)
	for _, other := range earlier {
		if other.Fence > c.ReplacesFence {
			return Outcome{Code: CodePreconditionFailed, Text: "another life is here", Value: other.Fence}
		}
	}
	backoffMs := int64(0)
	for _, other := range earlier {
		// A draining worker announced that it would stop, so this is no crash.
		if !other.Draining {
			backoffMs = max(backoffMs, s.recordCrash(c.Node))
		}
		s.retireWorker(other)
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
	delete(s.EligibilityReports, worker.ID) // reports are numbered anew under each fence
	worker.AgentProcessID, worker.Service, worker.Zone = c.AgentProcessID, c.Service, c.Zone
	worker.Labels, worker.Capacity = c.Labels, c.Capacity
	worker.LeaseExpired, worker.Unhealthy = false, false
	if c.Draining {
		worker.startDraining(s.Clock, c.LeavesInMs)
	}
	if backoffMs > 0 {
		worker.BackoffUntil = s.Clock + backoffMs
	}
	worker.Version++
	s.reindexWorker(worker)
	return Outcome{Code: CodeOK, Value: worker.Fence}
}

// earlierWorkers returns the node's other workers that are not dead, sorted by ID.
func (c *RegisterWorker) earlierWorkers(s *Store) []*Worker {
	var earlier []*Worker
	for id, other := range s.Workers {
		if other.Node == c.Node && id != c.ID && !other.Dead {
			earlier = append(earlier, other)
		}
	}
	sort.Slice(earlier, func(i, j int) bool { return earlier[i].ID < earlier[j].ID })
	return earlier
}

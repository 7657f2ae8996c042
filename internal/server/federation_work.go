package server

import (
	"tealpond/internal/federation"
	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// collectFederationWork gathers open moves, candidates and the record of demand.
func (r *Replica) collectFederationWork() federation.PendingWork {
	store := r.state
	work := federation.PendingWork{IsLeader: true, Epoch: store.Epoch, Index: r.state.AppliedIndex, WallMs: store.WallClock, Demand: map[int64]float64{}}
	movable, remoteRoutes := map[string]bool{}, map[string]string{}
	services := map[string]bool{}
	for _, configured := range r.federation.Routes {
		movable[configured.LocalRoute] = true
		remoteRoutes[configured.LocalRoute] = configured.PeerRoute
		if local := store.Routes[configured.LocalRoute]; local != nil {
			services[local.TargetService] = true
		}
	}
	for _, job := range store.OpenJobs() {
		if job.AtPeer() {
			work.OpenTransfers = append(work.OpenTransfers, federation.OpenTransfer{JobID: job.ID, Peer: job.Transfer.Peer, OfferNumber: job.Transfer.OfferID, State: job.Transfer.State, CancelRequested: job.Transfer.CancelRequested, Route: remoteRoutes[job.Route],
				Job: protocol.Job{Spec: job.Spec, Steps: job.Steps}})
			continue
		}
		if movable[job.Route] && !job.Started && job.PeriodicInstances == 0 && !job.Transfer.Incoming && !hasLongRunningStep(job) {
			cpu := int64(0)
			for _, step := range job.Steps {
				cpu = max(cpu, step.CPUUnits*int64(step.TaskCount))
			}
			work.Candidates = append(work.Candidates, federation.Candidate{JobID: job.ID, Route: job.Route, Priority: job.Priority, MilliCPU: cpu, Offers: job.Transfer.OfferCount})
		}
	}
	if len(services) == 0 {
		for name := range store.Services {
			services[name] = true
		}
	}
	for _, job := range store.Jobs {
		if job.EndedAt != 0 && job.AtPeer() && job.Transfer.State == state.TransferAccepted {
			work.OpenTransfers = append(work.OpenTransfers, federation.OpenTransfer{JobID: job.ID, Peer: job.Transfer.Peer, OfferNumber: job.Transfer.OfferID, State: job.Transfer.State, Finished: true})
		}
	}
	for name, route := range store.Routes {
		if services[route.TargetService] {
			for bucket, demand := range store.Demand[name] {
				work.Demand[bucket] += demand
			}
		}
	}
	for name := range services {
		capacity, _ := store.SchedulableCapacity(name)
		work.CapacityMilliCPU += capacity.MilliCPU
	}
	return work
}

// hasLongRunningStep tells whether a job has a long-running step.
func hasLongRunningStep(job *state.Job) bool {
	for _, step := range job.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// serviceToLend is the service whose room is lent: the first by name.
func (r *Replica) serviceToLend() string {
	first := ""
	for name := range r.state.Services {
		if first == "" || name < first {
			first = name
		}
	}
	return first
}

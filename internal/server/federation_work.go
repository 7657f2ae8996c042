package server

import (
	"slices"

	"tealpond/internal/federation"
	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// federationWork returns the input of the offloader: the open transfers, the jobs that may be
// offered to another cluster, and the recorded demand.
func federationWork(store *state.Store, config *federation.Settings) federation.PendingWork {
	work := federation.PendingWork{
		IsLeader: true,
		Epoch:    store.Epoch,
		Index:    store.AppliedIndex,
		WallMs:   store.WallClock,
		Demand:   map[int64]float64{},
	}
	peerRoutes := map[string]string{} // by local route
	for _, route := range config.Routes {
		peerRoutes[route.LocalRoute] = route.PeerRoute
	}
	for _, job := range store.OpenJobs() {
		if job.MayBeAtPeer() {
			transfer := openTransfer(job)
			transfer.CancelRequested, transfer.Route = job.Transfer.CancelRequested, peerRoutes[store.RouteName(job)]
			transfer.Job = protocol.Job{Spec: job.Spec, Steps: job.Steps}
			work.OpenTransfers = append(work.OpenTransfers, transfer)
			continue
		}
		if _, federated := peerRoutes[store.RouteName(job)]; federated && mayBeOffered(job) {
			work.Candidates = append(work.Candidates, federation.Candidate{
				JobID: job.ID, Route: store.RouteName(job), Priority: job.Priority, MilliCPU: largestStepMilliCPU(job), Offers: job.Transfer.OfferCount,
			})
		}
	}
	for _, job := range store.Jobs {
		if job.EndedAt != 0 && job.MayBeAtPeer() && job.Transfer.State == state.TransferAccepted {
			transfer := openTransfer(job)
			transfer.Finished = true
			work.OpenTransfers = append(work.OpenTransfers, transfer)
		}
	}
	addDemand(&work, store, federatedServices(store, config))
	return work
}

// openTransfer returns a job's transfer as the offloader sees it.
func openTransfer(job *state.Job) federation.OpenTransfer {
	return federation.OpenTransfer{JobID: job.ID, Peer: job.Transfer.Peer, OfferID: job.Transfer.OfferID, State: job.Transfer.State}
}

// mayBeOffered reports whether a job may be offered to another cluster: no run of it has
// started, it is neither periodic nor long-running, and it did not come from another cluster.
func mayBeOffered(job *state.Job) bool {
	return !job.Started && job.PeriodicInstances == 0 && !job.Transfer.Incoming && !hasLongRunningStep(job)
}

func hasLongRunningStep(job *state.Job) bool {
	for _, step := range job.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// largestStepMilliCPU returns the millicores of all tasks of the job's largest step.
func largestStepMilliCPU(job *state.Job) int64 {
	largest := int64(0)
	for _, step := range job.Steps {
		largest = max(largest, step.CPUUnits*int64(step.TaskCount))
	}
	return largest
}

// federatedServices returns the services of the federated routes, or all services if none of
// these routes is known.
func federatedServices(store *state.Store, config *federation.Settings) map[string]bool {
	services := map[string]bool{}
	for _, federated := range config.Routes {
		if route := store.RouteNamed(federated.LocalRoute); route != nil {
			for _, service := range route.Services() {
				services[service] = true
			}
		}
	}
	if len(services) == 0 {
		for service := range store.Services {
			services[service] = true
		}
	}
	return services
}

// addDemand adds the recorded demand on some services, and their capacity.
func addDemand(work *federation.PendingWork, store *state.Store, services map[string]bool) {
	for key, route := range store.Routes {
		if slices.ContainsFunc(route.Services(), func(service string) bool { return services[service] }) {
			for bucket, demand := range store.Demand[key] {
				work.Demand[bucket] += demand
			}
		}
	}
	for service := range services {
		capacity, _ := store.SchedulableCapacity(service)
		work.CapacityMilliCPU += capacity.MilliCPU
	}
}

// serviceToLend returns the service whose capacity is lent: the first by name.
func serviceToLend(store *state.Store) string {
	firstService := ""
	for service := range store.Services {
		if firstService == "" || service < firstService {
			firstService = service
		}
	}
	return firstService
}

package server

import (
	"errors"
	"sort"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/timing"
	"tealpond/internal/transport"
)

// Errors of renewLease.
var (
	errWorkerNotRegistered = errors.New("worker is not registered")
	errLeaseNotHeld        = errors.New("agent does not hold the lease of the worker")
)

// workerLease is an agent's lease on a worker, as the leader sees it.
type workerLease struct {
	grantedAt      time.Time
	expiring       bool      // its expiry is proposed and not yet applied
	lastContact    time.Time // when the agent was last in contact, also without a renewal
	runtimePercent int64     // see rpc.LeaseRenewal
}

// newWorkerLease returns a lease that begins now.
func newWorkerLease(now time.Time) *workerLease {
	return &workerLease{grantedAt: now, lastContact: now}
}

func (r *Replica) handleRenewLease(request *rpc.LeaseRenewal, stream *transport.Stream, reply replyFunc) {
	if err := r.renewLease(request.Worker, request.Fence, time.Now()); err != nil {
		reply(rpc.Response{Code: leaseRefusalCode(err), Text: "take the worker up again"})
		return
	}
	r.leases[request.Worker].runtimePercent = request.RuntimePercent
	r.openSession(request, stream)
	response := rpc.Response{Code: rpc.CodeOK, Value: r.leaseDuration.Milliseconds()}
	response.Aggregator, response.StandbyAggregator = r.aggregatorAddresses(request.Worker)
	reply(response)
}

// memberSet is an aggregator's set of workers, as the leader last received it.
// A set is identified by the aggregator's process and its number: a batch of an
// earlier process may arrive late, and may have the number of a later set.
type memberSet struct {
	processID string
	number    uint64
	members   []rpc.BatchMember
}

// matches reports whether the set is the one that a batch refers to.
func (s memberSet) matches(batch *rpc.LeaseBatch) bool {
	return s.processID == batch.AggregatorProcessID && s.number == batch.SetNumber && len(batch.Requested) == (len(s.members)+7)/8
}

// handleLeaseBatch renews the leases of all workers that request it in an aggregator's
// batch.
func (r *Replica) handleLeaseBatch(batch *rpc.LeaseBatch, _ *transport.Stream, reply replyFunc) {
	set := r.memberSets[batch.AggregatorDisk]
	if batch.Members != nil {
		set = memberSet{batch.AggregatorProcessID, batch.SetNumber, batch.Members}
		r.memberSets[batch.AggregatorDisk] = set
	}
	if !set.matches(batch) {
		reply(rpc.Response{Code: rpc.CodeUnknownSet, Text: "tell the set whole"})
		return
	}
	now := time.Now()
	var refusals []rpc.MemberRefusal
	for i, member := range set.members {
		if batch.IsRequested(i) {
			if err := r.renewLease(member.Worker, member.Fence, now); err != nil {
				refusals = append(refusals, rpc.MemberRefusal{Member: i, Code: leaseRefusalCode(err)})
			}
		}
	}
	for _, runtime := range batch.Runtimes {
		if runtime.Member >= 0 && runtime.Member < len(set.members) {
			if lease := r.leases[set.members[runtime.Member].Worker]; lease != nil {
				lease.runtimePercent = runtime.RuntimePercent
			}
		}
	}
	response := rpc.Response{Code: rpc.CodeOK, Value: r.leaseDuration.Milliseconds()}
	if len(refusals) > 0 {
		response.Body = transport.Encode(refusals)
	}
	reply(response)
}

// renewLease renews the lease of a worker, starting now. The error is errWorkerNotRegistered or
// errLeaseNotHeld.
func (r *Replica) renewLease(workerID string, fence int64, now time.Time) error {
	worker := r.state.Workers[workerID]
	if worker == nil || worker.Dead {
		return errWorkerNotRegistered
	}
	lease := r.leases[workerID]
	if worker.LeaseExpired || worker.Fence != fence || lease == nil || lease.expiring {
		return errLeaseNotHeld
	}
	lease.grantedAt, lease.lastContact = now, now
	return nil
}

// leaseRefusalCode returns the response code for an agent whose lease was not renewed.
func leaseRefusalCode(err error) rpc.Code {
	if errors.Is(err, errWorkerNotRegistered) {
		return rpc.CodeGone
	}
	return rpc.CodeConflict
}

// expireWorkerLeases expires the leases of workers that were not renewed for so long that
// all their runs must have ended: a runner ends its runs when the lease expires by its own
// clock. The timeout allows for a clock that is slower by timing.LeaseClockDriftFactor, so
// that no task is started again while it may still run.
func (r *Replica) expireWorkerLeases(now time.Time) {
	timeout := time.Duration(float64(r.leaseDuration)*timing.LeaseClockDriftFactor) + timing.LeaseExpiryMargin
	var expired []state.FencedWorker
	for id, lease := range r.leases {
		worker := r.state.Workers[id]
		if worker == nil || worker.Dead || worker.LeaseExpired {
			delete(r.leases, id)
			continue
		}
		if !lease.expiring && now.Sub(lease.grantedAt) > timeout {
			lease.expiring = true
			expired = append(expired, state.FencedWorker{ID: id, Fence: worker.Fence})
		}
	}
	if len(expired) > 0 {
		sort.Slice(expired, func(a, b int) bool { return expired[a].ID < expired[b].ID })
		_ = r.log.Log("level", "warn", "event", "lease.expired", "workers", len(expired), "worker", expired[0].ID)
		r.enqueueCommand(state.CommandExpireLeases, &state.ExpireLeases{Workers: expired}, nil)
	}
}

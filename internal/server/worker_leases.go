package server

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// workerLease is a side daemon's lease on a worker, as the leader sees it.
type workerLease struct {
	grantedAt    time.Time
	expiring     bool      // its end is being put into the log
	heardAt      time.Time // the last sign of life, also without a grant
	runtimeRatio int64     // rpc.LeaseRenewal.Ratio
}

// handleRenewLease renews a worker's lease.
func (r *Replica) handleRenewLease(raw []byte, stream *transport.Stream, reply replyFunc) {
	var request rpc.LeaseRenewal
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	if code := r.renewLease(request.Worker, request.Fence, time.Now()); code != 200 {
		reply(rpc.Response{Code: code, Text: "take the worker up again"})
		return
	}
	r.leases[request.Worker].runtimeRatio = request.RuntimePercent
	r.openSession(request, stream)
	response := rpc.Response{Code: 200, Value: r.leaseDuration.Milliseconds()}
	response.Aggregator, response.StandbyAggregator = r.aggregatorAddresses(request.Worker)
	reply(response)
}

// memberSet is an aggregator's set of workers, as the leader was told it.
// A set is known by the aggregator's process and its number: a batch of an
// earlier process may arrive late, and may bear the number of a later set.
type memberSet struct {
	incarnation string
	number      uint64
	members     []rpc.BatchMember
}

// handleLeaseBatch renews the leases of all workers that ask for it in a batch.
func (r *Replica) handleLeaseBatch(raw []byte, _ *transport.Stream, reply replyFunc) {
	var request rpc.LeaseBatch
	if transport.Decode(raw, &request) != nil {
		reply(rpc.Response{Code: 400})
		return
	}
	set := r.memberSets[request.AggregatorDisk]
	if request.Members != nil {
		set = memberSet{request.AggregatorProcess, request.SetNumber, request.Members}
		r.memberSets[request.AggregatorDisk] = set
	}
	if set.incarnation != request.AggregatorProcess || set.number != request.SetNumber || len(request.Requested) != (len(set.members)+7)/8 {
		reply(rpc.Response{Code: 428, Text: "tell the set whole"})
		return
	}
	now := time.Now()
	var refusals []rpc.MemberRefusal
	for i, member := range set.members {
		if request.IsRequested(i) {
			if code := r.renewLease(member.Worker, member.Fence, now); code != 200 {
				refusals = append(refusals, rpc.MemberRefusal{Member: i, Code: code})
			}
		}
	}
	for _, ratio := range request.Runtimes {
		if ratio.Member >= 0 && ratio.Member < len(set.members) {
			if lease := r.leases[set.members[ratio.Member].Worker]; lease != nil {
				lease.runtimeRatio = ratio.RuntimePercent
			}
		}
	}
	response := rpc.Response{Code: 200, Value: r.leaseDuration.Milliseconds()}
	if len(refusals) > 0 {
		response.Body = transport.Encode(refusals)
	}
	reply(response)
}

// renewLease renews a worker's lease from now on; the code is that of an HTTP answer.
func (r *Replica) renewLease(id string, fence int64, now time.Time) int {
	worker := r.state.Workers[id]
	if worker == nil || worker.Dead {
		return 410
	}
	lease := r.leases[id]
	if worker.LeaseExpired || worker.Fence != fence || lease == nil || lease.expiring {
		return 409
	}
	lease.grantedAt, lease.heardAt = now, now
	return 200
}

// expireWorkerLeases ends the leases of workers that were granted nothing for so long
// that all their runs must be over.
func (r *Replica) expireWorkerLeases(now time.Time) {
	timeout := time.Duration(float64(r.leaseDuration)*tuning.LeaseClockDriftFactor) + tuning.LeaseExpiryMargin
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
		_ = r.log.Log("level", "warn", "event", "worker.lapsed", "workers", len(expired), "first", expired[0].ID)
		r.enqueueCommand("lapse", &state.ExpireLeases{Workers: expired}, nil)
	}
}

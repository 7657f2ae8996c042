package aggregator

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
)

// maxMissedBatches is the number of consecutive batches without a renewal of a member after which
// the member is left out of the next set.
const maxMissedBatches = 20

// pendingRenewal is a lease renewal that is to be sent with a batch, or waits for the response to
// it.
type pendingRenewal struct {
	request rpc.LeaseRenewal
	reply   Reply
}

// sentRenewals is a batch of renewals that has no response yet.
type sentRenewals struct {
	members  []rpc.BatchMember
	renewals map[string]pendingRenewal
}

// Renew accepts a lease renewal. A newer renewal of the same worker replaces the older one, since
// its clock was read later.
func (b *Batcher) Renew(request rpc.LeaseRenewal, reply Reply, now time.Time) {
	if len(b.renewals) == 0 {
		b.renewalsSince = now
	}
	if old, ok := b.renewals[request.Worker]; ok {
		// The older renewal is answered at once, since it will be in no batch.
		old.reply(rpc.Response{Code: rpc.CodeNotLeader})
	}
	b.renewals[request.Worker] = pendingRenewal{request, reply}
}

// renewalBatch moves all unsent renewals into a batch. It identifies the members by the number of
// their set, and marks with one bit each which of them request a renewal in this batch.
func (b *Batcher) renewalBatch() Batch {
	matching := 0
	for _, member := range b.members {
		if waiting, ok := b.renewals[member.Worker]; ok && waiting.request.Fence == member.Fence {
			matching++
			b.missedBatches[member.Worker] = 0
		} else {
			b.missedBatches[member.Worker]++
		}
	}
	if matching < len(b.renewals) {
		b.renumberSet()
	}
	batch := &rpc.LeaseBatch{AggregatorDisk: b.disk, SetNumber: b.setNumber, Requested: make([]byte, (len(b.members)+7)/8)}
	if !b.leaderHasSet {
		batch.Members, b.reportedRuntimes = b.members, map[string]int64{}
	}
	for i, member := range b.members {
		waiting, ok := b.renewals[member.Worker]
		if !ok || waiting.request.Fence != member.Fence {
			continue
		}
		batch.Requested[i>>3] |= 1 << (i & 7)
		if runtime := waiting.request.RuntimePercent; differsByOverTenth(runtime, b.reportedRuntimes[member.Worker]) {
			b.reportedRuntimes[member.Worker] = runtime
			batch.Runtimes = append(batch.Runtimes, rpc.MemberRuntime{Member: i, RuntimePercent: runtime})
		}
	}
	b.lastBatchID++
	b.renewalsInFlight[b.lastBatchID] = sentRenewals{b.members, b.renewals}
	b.renewals = map[string]pendingRenewal{}
	return Batch{ID: b.lastBatchID, Renewals: batch}
}

// differsByOverTenth reports whether a runtime differs from the reported one by more than a tenth.
// Smaller changes are not reported, since the scheduler uses approximate values.
func differsByOverTenth(runtime, reported int64) bool {
	change := runtime - reported
	return change*change*100 > runtime*runtime
}

// renumberSet starts a new set: the workers that request a renewal now, and the members of the old
// set that did so within maxMissedBatches.
func (b *Batcher) renumberSet() {
	var members []rpc.BatchMember
	missed := map[string]int{}
	for worker, waiting := range b.renewals {
		members = append(members, rpc.BatchMember{Worker: worker, Fence: waiting.request.Fence})
	}
	for _, member := range b.members {
		if _, ok := b.renewals[member.Worker]; !ok && b.missedBatches[member.Worker] < maxMissedBatches {
			members = append(members, member)
			missed[member.Worker] = b.missedBatches[member.Worker]
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Worker < members[j].Worker })
	b.members, b.leaderHasSet, b.missedBatches = members, false, missed
	b.setNumber++
}

// HandleRenewals handles the leader's response to a batch of renewals, with the members that were
// refused. After rpc.CodeUnknownSet the renewals are sent again with the next batch, which lists
// the members of the set.
func (b *Batcher) HandleRenewals(batchID uint64, response rpc.Response, refusals []rpc.MemberRefusal, now time.Time) {
	sent, ok := b.renewalsInFlight[batchID]
	if !ok {
		return
	}
	delete(b.renewalsInFlight, batchID)
	if response.Code == rpc.CodeUnknownSet {
		b.leaderHasSet = false
		b.requeue(sent.renewals, now)
		return
	}
	if response.Code == rpc.CodeOK {
		b.leaderHasSet = b.leaderHasSet || sameSlice(sent.members, b.members)
	}
	codes := map[string]rpc.Code{}
	for _, refusal := range refusals {
		if refusal.Member >= 0 && refusal.Member < len(sent.members) {
			codes[sent.members[refusal.Member].Worker] = refusal.Code
		}
	}
	for worker, waiting := range sent.renewals {
		result := response
		result.Body = nil
		if code := codes[worker]; code != 0 && response.Code == rpc.CodeOK {
			result.Code = code
		}
		waiting.reply(result)
	}
}

// requeue adds renewals that the leader did not decide to the next batch, which is due at once. The
// agents read their clocks before they sent the renewals, so a lease that is renewed by a later
// batch still ends no later at the agent than at the leader.
func (b *Batcher) requeue(renewals map[string]pendingRenewal, now time.Time) {
	for worker, waiting := range renewals {
		if _, ok := b.renewals[worker]; ok {
			waiting.reply(rpc.Response{Code: rpc.CodeNotLeader})
			continue
		}
		b.renewals[worker] = waiting
		b.renewalsSince = now.Add(-renewalInterval)
	}
}

// sameSlice reports whether two sets are the same slice, not merely equal.
func sameSlice(x, y []rpc.BatchMember) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

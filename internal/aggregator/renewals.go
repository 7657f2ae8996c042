package aggregator

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
)

// maxMissedBatches is the number of consecutive batches that a member may miss before it is left
// out of the next member list.
const maxMissedBatches = 20

// pendingRenewal is a renewal of a lease that waits for its batch.
type pendingRenewal struct {
	request rpc.LeaseRenewal
	reply   Reply
}

// sentRenewals is a batch of renewals without a response yet.
type sentRenewals struct {
	members  []rpc.BatchMember
	renewals map[string]pendingRenewal
}

// Renew takes the renewal of a lease. A second one of the same worker takes the
// place of the first: its clock was read later.
func (b *Batcher) Renew(request rpc.LeaseRenewal, reply Reply, now time.Time) {
	if len(b.renewals) == 0 {
		b.renewalsSince = now
	}
	if old, ok := b.renewals[request.Worker]; ok {
		// It gets its response at once, since it will be in no batch.
		old.reply(rpc.Response{Code: rpc.CodeNotLeader})
	}
	b.renewals[request.Worker] = pendingRenewal{request, reply}
}

// renewalBatch names the steady members by the number of their set, and says by
// one bit each which of them ask for a renewal this time.
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
		if runtime := waiting.request.RuntimePercent; differsByATenth(runtime, b.reportedRuntimes[member.Worker]) {
			b.reportedRuntimes[member.Worker] = runtime
			batch.Runtimes = append(batch.Runtimes, rpc.MemberRuntime{Member: i, RuntimePercent: runtime})
		}
	}
	b.lastBatchID++
	b.renewalsInFlight[b.lastBatchID] = sentRenewals{b.members, b.renewals}
	b.renewals = map[string]pendingRenewal{}
	return Batch{ID: b.lastBatchID, Renewals: batch}
}

// differsByATenth reports whether a runtime is worth reporting, since the scheduler
// uses rough values: whether it differs from the reported one by over a tenth.
func differsByATenth(runtime, reported int64) bool {
	change := runtime - reported
	return change*change*100 > runtime*runtime
}

// renumberSet makes a new set: the workers that ask now, and those of the old set
// that asked lately.
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

// HandleRenewals takes the leader's response to a batch of renewals, with the
// members that were refused. With rpc.CodeUnknownSet the renewals go into the next
// batch, which names the members of the set.
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
		own := response
		own.Body = nil
		if code := codes[worker]; code != 0 && response.Code == rpc.CodeOK {
			own.Code = code
		}
		waiting.reply(own)
	}
}

// requeue puts renewals that the leader did not decide into the next batch, which
// is due at once. The agents read their clocks before they sent the renewals, so a
// lease that is renewed by a later batch still ends no later at the agent than at the
// leader.
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

// sameSlice reports whether two sets are one slice, not merely equal ones.
func sameSlice(x, y []rpc.BatchMember) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

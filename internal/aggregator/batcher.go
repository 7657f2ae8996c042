// Package aggregator batches the requests of the side daemons of a zone for the leader.
// It is a pure state machine: requests and answers go in, batches for the leader
// and answers for the side daemons come out. It acknowledges nothing by itself
// and holds no state that may not be lost: a side daemon without an answer asks
// again, elsewhere.
package aggregator

import (
	"sort"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
	"tealpond/internal/tuning"
)

// Reply carries the answer back to one side daemon; it is called once.
type Reply = func(rpc.Response)

// Batch is one message to the leader, with either Grants or Many; No is handed
// back with its answer.
type Batch struct {
	ID       uint64
	Renewals *rpc.LeaseBatch
	Requests *rpc.Batch
}

// pendingRenewal is a renewal of a lease that waits for its batch.
type pendingRenewal struct {
	request rpc.LeaseRenewal
	reply   Reply
}

// pendingRequest is any other request that waits for its batch.
type pendingRequest struct {
	request rpc.Request
	reply   Reply
}

// Batcher is the aggregator of one zone. It isn't safe for concurrent use.
type Batcher struct {
	disk string // the disk of this aggregator, by which the leader knows it

	renewals         map[string]pendingRenewal
	renewalsSince    time.Time // when the first of them came
	members          []rpc.BatchMember
	setNumber        uint64
	leaderHasSet     bool             // the leader is known to hold this set
	missedBatches    map[string]int   // batches in a row without this member
	reportedRuntimes map[string]int64 // as the leader was told them

	requests       []pendingRequest
	requestsSentAt time.Time // when the last batch of calls was sent

	lastBatchID      uint64
	renewalsInFlight map[uint64]sentRenewals
	requestsInFlight map[uint64][]pendingRequest
}

// sentRenewals is a batch of renewals that is not answered yet.
type sentRenewals struct {
	members  []rpc.BatchMember
	renewals map[string]pendingRenewal
}

// New builds an aggregator for the core daemon with the disk from.
func New(disk string) *Batcher {
	return &Batcher{disk: disk, renewals: map[string]pendingRenewal{}, missedBatches: map[string]int{}, reportedRuntimes: map[string]int64{}, renewalsInFlight: map[uint64]sentRenewals{}, requestsInFlight: map[uint64][]pendingRequest{}}
}

// Renew takes the renewal of a lease. A second one of the same worker takes the
// place of the first: its clock was read later.
func (b *Batcher) Renew(request rpc.LeaseRenewal, reply Reply, now time.Time) {
	if len(b.renewals) == 0 {
		b.renewalsSince = now
	}
	if old, ok := b.renewals[request.Worker]; ok {
		// Answered at once, since it will be in no batch.
		old.reply(rpc.Response{Code: rpc.CodeNotLeader})
	}
	b.renewals[request.Worker] = pendingRenewal{request, reply}
}

// Enqueue takes any other request; false if too many wait already.
func (b *Batcher) Enqueue(request rpc.Request, reply Reply) bool {
	if len(b.requests) >= tuning.AggregatorQueueLength {
		// The new one is refused: older ones hold ends that jobs wait for, and
		// its client tries again.
		return false
	}
	b.requests = append(b.requests, pendingRequest{request, reply})
	return true
}

// DueBatches gives the batches that are due and when to come back, 0 for never.
func (b *Batcher) DueBatches(now time.Time) ([]Batch, time.Duration) {
	var batches []Batch
	wake := time.Duration(0)
	wakeIn := func(delay time.Duration) {
		if wake == 0 || delay < wake {
			wake = max(delay, time.Millisecond)
		}
	}
	if len(b.renewals) > 0 {
		if remaining := tuning.AggregatorGrantInterval - now.Sub(b.renewalsSince); remaining > 0 {
			wakeIn(remaining)
		} else {
			batches = append(batches, b.renewalBatch())
		}
	}
	if len(b.requests) > 0 {
		if remaining := tuning.AggregatorBatchInterval - now.Sub(b.requestsSentAt); remaining > 0 {
			wakeIn(remaining)
		} else {
			b.requestsSentAt = now
			batches = append(batches, b.requestBatch())
		}
	}
	return batches, wake
}

// requestBatch takes all waiting calls into a batch.
func (b *Batcher) requestBatch() Batch {
	b.lastBatchID++
	batch := &rpc.Batch{}
	for _, waiting := range b.requests {
		batch.Requests = append(batch.Requests, waiting.request)
	}
	b.requestsInFlight[b.lastBatchID] = b.requests
	b.requests = nil
	return Batch{ID: b.lastBatchID, Requests: batch}
}

// renewalBatch names the steady members by the number of their set and tells by
// one bit each who asks this time.
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
		// Changes of under a tenth are not reported: the scheduler uses rough
		// values.
		if change := waiting.request.RuntimePercent - b.reportedRuntimes[member.Worker]; change*change*100 > waiting.request.RuntimePercent*waiting.request.RuntimePercent {
			b.reportedRuntimes[member.Worker] = waiting.request.RuntimePercent
			batch.Runtimes = append(batch.Runtimes, rpc.MemberRuntime{Member: i, RuntimePercent: waiting.request.RuntimePercent})
		}
	}
	b.lastBatchID++
	b.renewalsInFlight[b.lastBatchID] = sentRenewals{b.members, b.renewals}
	b.renewals = map[string]pendingRenewal{}
	return Batch{ID: b.lastBatchID, Renewals: batch}
}

// renumberSet makes a new set: those who ask now, and those of the old set who
// asked lately.
func (b *Batcher) renumberSet() {
	var members []rpc.BatchMember
	missed := map[string]int{}
	for worker, waiting := range b.renewals {
		members = append(members, rpc.BatchMember{Worker: worker, Fence: waiting.request.Fence})
	}
	for _, member := range b.members {
		if _, ok := b.renewals[member.Worker]; !ok && b.missedBatches[member.Worker] < tuning.AggregatorMaxMissedBatches {
			members = append(members, member)
			missed[member.Worker] = b.missedBatches[member.Worker]
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Worker < members[j].Worker })
	b.members, b.leaderHasSet, b.missedBatches = members, false, missed
	b.setNumber++
}

// HandleRenewals takes the leader's answer to a batch of grants: code 428 wants the
// set named whole, in the next batch.
func (b *Batcher) HandleRenewals(batchID uint64, response rpc.Response, refusals []rpc.MemberRefusal, now time.Time) {
	sent, ok := b.renewalsInFlight[batchID]
	if !ok {
		return
	}
	delete(b.renewalsInFlight, batchID)
	if response.Code == 428 {
		b.leaderHasSet = false
		for worker, waiting := range sent.renewals {
			// They go into the next batch: their clocks were read before this
			// answer, so a later grant is still counted from an earlier time.
			if _, ok := b.renewals[worker]; !ok {
				b.renewals[worker] = waiting
				b.renewalsSince = now.Add(-tuning.AggregatorGrantInterval)
			} else {
				waiting.reply(rpc.Response{Code: rpc.CodeNotLeader})
			}
		}
		return
	}
	if response.Code == 200 {
		b.leaderHasSet = b.leaderHasSet || sameSlice(sent.members, b.members)
	}
	codes := map[string]int{}
	for _, refusal := range refusals {
		if refusal.Member >= 0 && refusal.Member < len(sent.members) {
			codes[sent.members[refusal.Member].Worker] = refusal.Code
		}
	}
	for worker, waiting := range sent.renewals {
		own := response
		own.Body = nil
		if code := codes[worker]; code != 0 && response.Code == 200 {
			own.Code = code
		}
		waiting.reply(own)
	}
}

// sameSlice tells whether two slices are the same set, not merely equal ones.
func sameSlice(x, y []rpc.BatchMember) bool {
	return len(x) == len(y) && (len(x) == 0 || &x[0] == &y[0])
}

// HandleResponses takes the leader's answers to a batch of other requests, in their order;
// if there are too few, the rest get the answer to the whole batch.
func (b *Batcher) HandleResponses(batchID uint64, response rpc.Response, each []rpc.Response) {
	requests := b.requestsInFlight[batchID]
	delete(b.requestsInFlight, batchID)
	for i, waiting := range requests {
		own := response
		own.Body = nil
		if i < len(each) {
			own = each[i]
			own.AppliedIndex, own.ConfigVersion = response.AppliedIndex, response.ConfigVersion
		} else if response.Code == 200 {
			own.Code = rpc.CodeLeadershipLost
		}
		waiting.reply(own)
	}
}

// FailAll answers all that wait: this daemon can't aggregate for its zone any more.
func (b *Batcher) FailAll(response rpc.Response) {
	for _, unsent := range b.TakeUnsent() {
		unsent.Reply(response)
	}
}

// Outstanding counts what is not yet answered.
func (b *Batcher) Outstanding() int {
	return len(b.renewals) + len(b.requests) + len(b.renewalsInFlight) + len(b.requestsInFlight)
}

// Unsent is a request that was not sent to the leader.
type Unsent struct {
	Request rpc.Request
	Reply   Reply
}

// TakeUnsent hands out what was not sent: this daemon leads now, and answers it.
func (b *Batcher) TakeUnsent() []Unsent {
	var unsent []Unsent
	for _, waiting := range b.renewals {
		unsent = append(unsent, Unsent{rpc.Request{Kind: rpc.KindRenewLease, Body: transport.Encode(&waiting.request)}, waiting.reply})
	}
	for _, waiting := range b.requests {
		unsent = append(unsent, Unsent{waiting.request, waiting.reply})
	}
	b.renewals, b.requests, b.leaderHasSet = map[string]pendingRenewal{}, nil, false
	return unsent
}

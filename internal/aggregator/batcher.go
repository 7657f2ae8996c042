package aggregator

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

const (
	// renewalInterval is how long an aggregator collects lease renewals before it sends them.
	renewalInterval = 150 * time.Millisecond
	// batchInterval is the least time between two batches of requests other than renewals.
	batchInterval = 5 * time.Millisecond
	// queueLength is the number of requests that may wait in an aggregator.
	queueLength = 4096
)

// Reply carries the response back to one agent; it is called once.
type Reply = func(rpc.Response)

// Batch is one message to the leader, with either Renewals or Requests.
type Batch struct {
	ID       uint64 // to be passed to HandleRenewals or HandleResponses
	Renewals *rpc.LeaseBatch
	Requests *rpc.Batch
}

// pendingRequest is a request that waits for its batch, or for the response to it.
type pendingRequest struct {
	request rpc.Request
	reply   Reply
}

// Batcher is the aggregator of one zone. It isn't safe for concurrent use.
type Batcher struct {
	disk string // the identity of this aggregator's disk, by which the leader knows it

	renewals         map[string]pendingRenewal // by worker
	renewalsSince    time.Time                 // when the first of them came
	members          []rpc.BatchMember         // the present set
	setNumber        uint64
	leaderHasSet     bool             // the leader is known to hold this set
	missedBatches    map[string]int   // batches in a row without this member
	reportedRuntimes map[string]int64 // in percent, as the leader was sent them
	renewalsInFlight map[uint64]sentRenewals

	requests         []pendingRequest
	requestsSentAt   time.Time // when the last batch of them was sent
	requestsInFlight map[uint64][]pendingRequest

	lastBatchID uint64
}

// New builds the aggregator of the server whose disk has this identity.
func New(disk string) *Batcher {
	return &Batcher{
		disk:             disk,
		renewals:         map[string]pendingRenewal{},
		missedBatches:    map[string]int{},
		reportedRuntimes: map[string]int64{},
		renewalsInFlight: map[uint64]sentRenewals{},
		requestsInFlight: map[uint64][]pendingRequest{},
	}
}

// Enqueue takes any request but the renewal of a lease; false if too many wait
// already.
func (b *Batcher) Enqueue(request rpc.Request, reply Reply) bool {
	if len(b.requests) >= queueLength {
		// The new one is refused: older ones hold completions that jobs wait for,
		// and its agent tries again.
		return false
	}
	b.requests = append(b.requests, pendingRequest{request, reply})
	return true
}

// DueBatches returns the batches that are due, and after which time it must be
// called again, 0 for never.
func (b *Batcher) DueBatches(now time.Time) ([]Batch, time.Duration) {
	var batches []Batch
	wake := time.Duration(0)
	wakeIn := func(delay time.Duration) {
		if wake == 0 || delay < wake {
			wake = max(delay, time.Millisecond)
		}
	}
	if len(b.renewals) > 0 {
		if remaining := renewalInterval - now.Sub(b.renewalsSince); remaining > 0 {
			wakeIn(remaining)
		} else {
			batches = append(batches, b.renewalBatch())
		}
	}
	if len(b.requests) > 0 {
		if remaining := batchInterval - now.Sub(b.requestsSentAt); remaining > 0 {
			wakeIn(remaining)
		} else {
			b.requestsSentAt = now
			batches = append(batches, b.requestBatch())
		}
	}
	return batches, wake
}

// requestBatch takes all waiting requests into a batch.
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

// HandleResponses takes the leader's response to a batch of requests: each holds
// those to the requests, in their order; if they are too few, the rest get the
// response to the whole batch.
func (b *Batcher) HandleResponses(batchID uint64, response rpc.Response, each []rpc.Response) {
	sent := b.requestsInFlight[batchID]
	delete(b.requestsInFlight, batchID)
	for i, waiting := range sent {
		own := response
		own.Body = nil
		if i < len(each) {
			own = each[i]
			own.AppliedIndex, own.ConfigVersion = response.AppliedIndex, response.ConfigVersion
		} else if response.Code == rpc.CodeOK {
			own.Code = rpc.CodeLeadershipLost
		}
		waiting.reply(own)
	}
}

// FailAll gives a response to all that was not sent: this server can't aggregate
// for its zone any more.
func (b *Batcher) FailAll(response rpc.Response) {
	for _, unsent := range b.TakeUnsent() {
		unsent.Reply(response)
	}
}

// Outstanding counts the requests without a response, where a batch counts as one.
func (b *Batcher) Outstanding() int {
	return len(b.renewals) + len(b.requests) + len(b.renewalsInFlight) + len(b.requestsInFlight)
}

// Unsent is a request that was not sent to the leader, with the way back to its
// agent.
type Unsent struct {
	Request rpc.Request
	Reply   Reply
}

// TakeUnsent removes and returns what was not sent: this server leads now, and
// handles it itself.
func (b *Batcher) TakeUnsent() []Unsent {
	var unsent []Unsent
	for _, waiting := range b.renewals {
		request := rpc.Request{Kind: rpc.KindRenewLease, Body: transport.Encode(&waiting.request)}
		unsent = append(unsent, Unsent{request, waiting.reply})
	}
	for _, waiting := range b.requests {
		unsent = append(unsent, Unsent{waiting.request, waiting.reply})
	}
	b.renewals, b.requests, b.leaderHasSet = map[string]pendingRenewal{}, nil, false
	return unsent
}

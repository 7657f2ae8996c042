package aggregator

import (
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

const (
	// renewalInterval is how long the aggregator collects lease renewals before it sends them.
	renewalInterval = 150 * time.Millisecond
	// batchInterval is the minimum time between two batches of requests other than renewals.
	batchInterval = 5 * time.Millisecond
	// queueLength is the maximum number of unsent requests in the aggregator, renewals excluded.
	queueLength = 4096
)

// Reply sends the response to the agent; it is called once.
type Reply = func(rpc.Response)

// Batch is one message to the leader, with either Renewals or Requests.
type Batch struct {
	ID       uint64 // to be passed to HandleRenewals or HandleResponses
	Renewals *rpc.LeaseBatch
	Requests *rpc.Batch
}

// pendingRequest is a request that is to be sent with a batch, or waits for the response to it.
type pendingRequest struct {
	request rpc.Request
	reply   Reply
}

// Batcher is the aggregator of one zone. It is not safe for concurrent use.
type Batcher struct {
	disk string // identifies the disk of this aggregator to the leader

	renewals         map[string]pendingRenewal // not sent yet, by worker
	renewalsSince    time.Time                 // when the first of them was received
	members          []rpc.BatchMember         // the current set
	setNumber        uint64
	leaderHasSet     bool             // the leader is known to have the current set
	missedBatches    map[string]int   // by worker, consecutive batches without a renewal of this member
	reportedRuntimes map[string]int64 // by worker, last runtime sent to the leader, in percent
	renewalsInFlight map[uint64]sentRenewals

	requests         []pendingRequest // not sent yet
	requestsSentAt   time.Time        // when the last batch of requests was sent
	requestsInFlight map[uint64][]pendingRequest

	lastBatchID uint64
}

// New returns the aggregator of the server with the given disk identity.
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

// Enqueue accepts any request except a lease renewal; it returns false if the queue is full.
func (b *Batcher) Enqueue(request rpc.Request, reply Reply) bool {
	if len(b.requests) >= queueLength {
		// The new request is refused: older ones contain completions that jobs wait for, and the
		// agent of the new one retries.
		return false
	}
	b.requests = append(b.requests, pendingRequest{request, reply})
	return true
}

// DueBatches returns the batches that are due, and the time until it must be called again; 0 if
// there is nothing to send.
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

// requestBatch moves all unsent requests into a batch.
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

// HandleResponses handles the leader's response to a batch of requests. responses holds the
// responses to the single requests, in order; if there are too few, the remaining requests get the
// response to the whole batch.
func (b *Batcher) HandleResponses(batchID uint64, response rpc.Response, responses []rpc.Response) {
	sent := b.requestsInFlight[batchID]
	delete(b.requestsInFlight, batchID)
	for i, waiting := range sent {
		result := response
		result.Body = nil
		if i < len(responses) {
			result = responses[i]
			result.AppliedIndex, result.ConfigVersion = response.AppliedIndex, response.ConfigVersion
		} else if response.Code == rpc.CodeOK {
			result.Code = rpc.CodeLeadershipLost
		}
		waiting.reply(result)
	}
}

// FailUnsent sends a response to all unsent requests, when this server can no longer aggregate for
// its zone.
func (b *Batcher) FailUnsent(response rpc.Response) {
	for _, unsent := range b.TakeUnsent() {
		unsent.Reply(response)
	}
}

// Outstanding returns the number of requests without a response; a batch in flight counts as one.
func (b *Batcher) Outstanding() int {
	return len(b.renewals) + len(b.requests) + len(b.renewalsInFlight) + len(b.requestsInFlight)
}

// UnsentRequest is a request that was not sent to the leader, with the function that replies to its
// agent.
type UnsentRequest struct {
	Request rpc.Request
	Reply   Reply
}

// TakeUnsent removes and returns all unsent requests, when this server has become the leader and
// handles them itself.
func (b *Batcher) TakeUnsent() []UnsentRequest {
	var unsent []UnsentRequest
	for _, waiting := range b.renewals {
		request := rpc.Request{Kind: rpc.KindRenewLease, Body: transport.Encode(&waiting.request)}
		unsent = append(unsent, UnsentRequest{request, waiting.reply})
	}
	for _, waiting := range b.requests {
		unsent = append(unsent, UnsentRequest{waiting.request, waiting.reply})
	}
	b.renewals, b.requests, b.leaderHasSet = map[string]pendingRenewal{}, nil, false
	return unsent
}

package aggregator

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

// leaderModel is a simple model of the leader: it renews the leases of workers that request it
// under the correct fence, and counts the renewals.
type leaderModel struct {
	setNumber uint64
	members   []rpc.BatchMember
	fences    map[string]int64
	granted   map[string]int // renewals by worker
	now       time.Time
}

// handle returns the response to a batch: for renewals with the refusals, for requests with one
// response each.
func (l *leaderModel) handle(batch Batch) (rpc.Response, []rpc.MemberRefusal, []rpc.Response) {
	if batch.Requests != nil {
		var responses []rpc.Response
		for _, request := range batch.Requests.Requests {
			responses = append(responses, rpc.Response{Code: rpc.CodeOK, Text: string(request.Body)})
		}
		return rpc.Response{Code: rpc.CodeOK, AppliedIndex: 7}, nil, responses
	}
	renewals := batch.Renewals
	if renewals.Members != nil {
		l.setNumber, l.members = renewals.SetNumber, renewals.Members
	}
	if l.setNumber != renewals.SetNumber {
		return rpc.Response{Code: rpc.CodeUnknownSet}, nil, nil
	}
	var refusals []rpc.MemberRefusal
	for i, member := range l.members {
		if !renewals.IsRequested(i) {
			continue
		}
		if l.fences[member.Worker] != member.Fence {
			refusals = append(refusals, rpc.MemberRefusal{Member: i, Code: rpc.CodeConflict})
			continue
		}
		l.granted[member.Worker]++
	}
	return rpc.Response{Code: rpc.CodeOK, Value: 3500}, refusals, nil
}

// respond handles a batch and passes the response to its aggregator.
func (l *leaderModel) respond(batcher *Batcher, batch Batch) {
	response, refusals, responses := l.handle(batch)
	if batch.Renewals != nil {
		batcher.HandleRenewals(batch.ID, response, refusals, l.now)
	} else {
		batcher.HandleResponses(batch.ID, response, responses)
	}
}

// checkRenewals checks the counts by worker: the leader makes no more renewals than were requested,
// and no agent gets more renewal responses than the leader made.
func checkRenewals(t *testing.T, granted, requested, answered map[string]int) {
	t.Helper()
	for worker, n := range granted {
		if n > requested[worker] {
			t.Fatalf("%s: %d renewals for %d requests", worker, n, requested[worker])
		}
	}
	for worker, n := range answered {
		if n > granted[worker] {
			t.Fatalf("%s: %d renewals reported to the agent, but only %d made by the leader", worker, n, granted[worker])
		}
	}
}

// TestLeasesAreGrantedOnlyToRequesters checks the rule that makes aggregated leases safe: a worker
// that sent no request since its last renewal gets none, whatever set it is in, while batches are
// lost, new leaders know no set, and fences rise.
func TestLeasesAreGrantedOnlyToRequesters(t *testing.T) {
	random := rand.New(rand.NewSource(5))
	batcher := New("d")
	leader := &leaderModel{fences: map[string]int64{}, granted: map[string]int{}, now: time.Unix(1000, 0)}
	requested, answered, waiting := map[string]int{}, map[string]int{}, map[string]int{}
	var delayed []Batch
	for range 5000 {
		leader.now = leader.now.Add(time.Duration(random.Intn(60)) * time.Millisecond)
		worker := fmt.Sprint("w", random.Intn(40))
		if random.Intn(20) == 0 {
			leader.fences[worker]++
		}
		fence := leader.fences[worker]
		if random.Intn(30) == 0 {
			fence--
		}
		requested[worker]++
		waiting[worker]++
		batcher.Renew(rpc.LeaseRenewal{Worker: worker, Fence: fence, RuntimePercent: int64(random.Intn(3)) * 100}, func(response rpc.Response) {
			waiting[worker]--
			if response.Code == rpc.CodeOK {
				answered[worker]++
			}
		}, leader.now)
		batches, _ := batcher.DueBatches(leader.now)
		for _, batch := range batches {
			switch random.Intn(12) {
			case 0: // no response within the time-out
				batcher.HandleRenewals(batch.ID, rpc.Response{Code: rpc.CodeNotLeader}, nil, leader.now)
			case 1: // response after those to newer batches
				delayed = append(delayed, batch)
			case 2: // a new leader knows no set
				leader.setNumber, leader.members = 0, nil
				leader.respond(batcher, batch)
			default:
				leader.respond(batcher, batch)
			}
		}
		if len(delayed) > 2 {
			leader.respond(batcher, delayed[0])
			delayed = delayed[1:]
		}
		checkRenewals(t, leader.granted, requested, answered)
	}
	for _, batch := range delayed {
		leader.respond(batcher, batch)
	}
	batcher.FailUnsent(rpc.Response{Code: rpc.CodeNotLeader})
	for worker, n := range waiting {
		if n != 0 {
			t.Errorf("%s: %d requests without a response, want none", worker, n)
		}
	}
	if batcher.Outstanding() != 0 {
		t.Errorf("%d requests outstanding, want none", batcher.Outstanding())
	}
}

// TestMembersAreSentOnce: a batch does not repeat members that the leader knows; each additional
// member costs one bit.
func TestMembersAreSentOnce(t *testing.T) {
	size := func(n int) int {
		batcher := New("0123456789abcdef01234567")
		leader := &leaderModel{fences: map[string]int64{}, granted: map[string]int{}, now: time.Unix(1000, 0)}
		last := 0
		for range 8 {
			for i := range n {
				batcher.Renew(rpc.LeaseRenewal{Worker: fmt.Sprintf("i-%010d", i)}, func(rpc.Response) {}, leader.now)
			}
			leader.now = leader.now.Add(renewalInterval + time.Millisecond)
			batches, _ := batcher.DueBatches(leader.now)
			if len(batches) != 1 {
				t.Fatalf("%d batches for %d renewals", len(batches), n)
			}
			last = len(transport.Encode(batches[0].Renewals))
			leader.respond(batcher, batches[0])
		}
		if leader.granted["i-0000000001"] != 8 {
			t.Fatalf("granted %d times", leader.granted["i-0000000001"])
		}
		return last
	}
	smallSize, largeSize := size(10), size(450)
	t.Logf("batch: %d bytes for 10 members, %d for 450", smallSize, largeSize)
	if largeSize > smallSize+450/8+8 {
		t.Errorf("batch has %d bytes for 10 members and %d for 450, want about one more bit per member",
			smallSize, largeSize)
	}
}

// TestRequestBatches: requests that arrive within batchInterval are sent as one batch in order,
// each gets its own response, and a batch without responses fails as a whole.
func TestRequestBatches(t *testing.T) {
	batcher := New("d")
	leader := &leaderModel{now: time.Unix(1000, 0)}
	got := map[string]rpc.Response{}
	enqueue := func(id string) {
		if !batcher.Enqueue(rpc.Request{Kind: rpc.KindReportCompletions, Body: []byte(id)}, func(r rpc.Response) { got[id] = r }) {
			t.Fatalf("%s was refused", id)
		}
	}
	enqueue("1")
	first, _ := batcher.DueBatches(leader.now)
	enqueue("2")
	enqueue("3")
	if batches, wake := batcher.DueBatches(leader.now); len(batches) != 0 || wake <= 0 || wake > batchInterval {
		t.Fatalf("%d batches, next call in %v", len(batches), wake)
	}
	leader.now = leader.now.Add(batchInterval)
	second, _ := batcher.DueBatches(leader.now)
	if len(first) != 1 || len(second) != 1 || len(second[0].Requests.Requests) != 2 {
		t.Fatalf("%v, %v", first, second)
	}
	leader.respond(batcher, second[0])
	batcher.HandleResponses(first[0].ID, rpc.Response{Code: rpc.CodeNotLeader}, nil)
	for id, want := range map[string]rpc.Response{"1": {Code: rpc.CodeNotLeader}, "2": {Code: rpc.CodeOK, Text: "2", AppliedIndex: 7}, "3": {Code: rpc.CodeOK, Text: "3", AppliedIndex: 7}} {
		if r := got[id]; r.Code != want.Code || r.Text != want.Text || r.AppliedIndex != want.AppliedIndex {
			t.Errorf("%s: %+v", id, r)
		}
	}
	for i := range queueLength {
		if !batcher.Enqueue(rpc.Request{}, func(rpc.Response) {}) {
			t.Fatalf("refused at %d", i)
		}
	}
	if batcher.Enqueue(rpc.Request{}, func(rpc.Response) {}) {
		t.Error("request accepted although the queue is full")
	}
}

package server

import (
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// leaderWithWorkers is as much of a leader as answers an aggregator, with workers
// that were registered; fences by worker.
func leaderWithWorkers(workers ...string) (*Replica, map[string]int64) {
	replica := newReplica()
	replica.leaseDuration = time.Second
	fences := map[string]int64{}
	for _, w := range workers {
		fences[w] = (&state.RegisterWorker{ID: w, Node: "node-" + w}).Apply(replica.state).Value
		replica.leases[w] = &workerLease{}
	}
	return replica, fences
}

// renewedWorkers sends a batch and gives the code and whose leases were renewed.
func renewedWorkers(replica *Replica, request rpc.LeaseBatch) (rpc.Code, string) {
	for _, lease := range replica.leases {
		lease.grantedAt = time.Time{}
	}
	var code rpc.Code
	leaderHandlers[rpc.KindLeaseBatch](replica, transport.Encode(&request), nil, func(response rpc.Response) { code = response.Code })
	renewed := ""
	for _, w := range []string{"a", "b", "c"} {
		if lease := replica.leases[w]; lease != nil && !lease.grantedAt.IsZero() {
			renewed += w
		}
	}
	return code, renewed
}

// TestLeaseBatchOfLaterProcessDoesNotUseEarlierSet: an aggregator is restarted and
// numbers its sets from 1 again; a late batch of its earlier process brings another
// set of that number. The lease of a worker that asked nothing must not be renewed in
// the place of one that did: the leader would hold that one for silent, and start its
// runs elsewhere while the aggregator tells it to go on.
func TestLeaseBatchOfLaterProcessDoesNotUseEarlierSet(t *testing.T) {
	replica, fenceOf := leaderWithWorkers("a", "b", "c")
	member := func(w string) rpc.BatchMember { return rpc.BatchMember{Worker: w, Fence: fenceOf[w]} }
	old := rpc.LeaseBatch{
		AggregatorDisk:      "d",
		AggregatorProcessID: "1",
		SetNumber:           1,
		Members:             []rpc.BatchMember{member("a"), member("b")},
		Requested:           []byte{3},
	}
	current := rpc.LeaseBatch{
		AggregatorDisk:      "d",
		AggregatorProcessID: "2",
		SetNumber:           1,
		Members:             []rpc.BatchMember{member("a"), member("c")},
		Requested:           []byte{3},
	}
	if code, renewed := renewedWorkers(replica, current); code != rpc.CodeOK || renewed != "ac" {
		t.Fatalf("the set with its members: %d, renewed %q", code, renewed)
	}
	if code, renewed := renewedWorkers(replica, old); code != rpc.CodeOK || renewed != "ab" {
		t.Fatalf("the late batch: %d, renewed %q", code, renewed)
	}
	current.Members, current.Requested = nil, []byte{2}
	if code, renewed := renewedWorkers(replica, current); code != rpc.CodeUnknownSet || renewed != "" {
		t.Errorf("c asked by the number of its set: %d, renewed %q; wanted 428 and nobody", code, renewed)
	}
	current.Members = []rpc.BatchMember{member("a"), member("c")}
	if code, renewed := renewedWorkers(replica, current); code != rpc.CodeOK || renewed != "c" {
		t.Errorf("with its members again: %d, renewed %q", code, renewed)
	}
}

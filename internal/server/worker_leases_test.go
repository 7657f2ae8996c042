package server

import (
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/state"
	"tealpond/internal/transport"
)

// leaderWithWorkers returns a replica with enough of a leader's state to answer an aggregator, with
// registered workers, and their fences by worker ID.
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

// renewedWorkers sends a batch, and returns the response code and the workers whose leases were
// renewed.
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

// TestLeaseBatchOfLaterProcessDoesNotUseEarlierSet guards against renewing the lease of the wrong
// worker. An aggregator is restarted and numbers its sets from 1 again; then a late batch of its
// earlier process brings another set with the same number. If the leader used that set, it would
// renew the lease of a worker that did not request it in place of one that did. It would take the
// latter for silent and start its runs elsewhere, while the aggregator confirms its lease.
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
		t.Fatalf("set with its members: code %d, renewed %q", code, renewed)
	}
	if code, renewed := renewedWorkers(replica, old); code != rpc.CodeOK || renewed != "ab" {
		t.Fatalf("late batch: code %d, renewed %q", code, renewed)
	}
	current.Members, current.Requested = nil, []byte{2}
	if code, renewed := renewedWorkers(replica, current); code != rpc.CodeUnknownSet || renewed != "" {
		t.Errorf("request of c by the number of its set: code %d, renewed %q; want 428 and none", code, renewed)
	}
	current.Members = []rpc.BatchMember{member("a"), member("c")}
	if code, renewed := renewedWorkers(replica, current); code != rpc.CodeOK || renewed != "c" {
		t.Errorf("set with its members again: code %d, renewed %q", code, renewed)
	}
}

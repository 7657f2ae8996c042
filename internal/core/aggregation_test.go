package core

import (
	"testing"
	"time"

	"tealpond/internal/rpc"
	"tealpond/internal/store"
	"tealpond/internal/transport"
)

// leaderOver is as much of a leader as answers an aggregator, with workers
// that were taken up; fences by worker.
func leaderOver(workers ...string) (*Core, map[string]int64) {
	c := &Core{memberSets: map[string]memberSet{}, leases: map[string]*workerLease{}, state: store.New(store.Limits{}), leaseTime: time.Second}
	fences := map[string]int64{}
	for _, w := range workers {
		fences[w] = (&store.TakeUp{ID: w, Node: "node-" + w}).Apply(c.state).N
		c.leases[w] = &workerLease{}
	}
	return c, fences
}

// granted sends a batch and gives the code and who was granted by it.
func granted(c *Core, request rpc.LeaseBatch) (int, string) {
	for _, lease := range c.leases {
		lease.grantedAt = time.Time{}
	}
	code := 0
	c.askGrants(transport.Encode(&request), nil, func(a rpc.Response) { code = a.Code })
	who := ""
	for _, w := range []string{"a", "b", "c"} {
		if lease := c.leases[w]; lease != nil && !lease.grantedAt.IsZero() {
			who += w
		}
	}
	return code, who
}

// TestGrantsOfALaterLifeDontUseAnEarlierSet: an aggregator is started anew and
// numbers its sets from 1 again; a late batch of its earlier life brings another
// set of that number. A worker that asked nothing must not be granted in the
// place of one that did: the leader would hold that one for silent, and start
// its runs elsewhere while the aggregator tells it to go on.
func TestGrantsOfALaterLifeDontUseAnEarlierSet(t *testing.T) {
	c, f := leaderOver("a", "b", "c")
	seat := func(w string) rpc.BatchMember { return rpc.BatchMember{Worker: w, Fence: f[w]} }
	old := rpc.LeaseBatch{AggregatorDisk: "d", AggregatorProcess: "1", SetNumber: 1, Members: []rpc.BatchMember{seat("a"), seat("b")}, Requested: []byte{3}}
	now := rpc.LeaseBatch{AggregatorDisk: "d", AggregatorProcess: "2", SetNumber: 1, Members: []rpc.BatchMember{seat("a"), seat("c")}, Requested: []byte{3}}
	if code, who := granted(c, now); code != 200 || who != "ac" {
		t.Fatalf("the set told whole: %d, granted %q", code, who)
	}
	if code, who := granted(c, old); code != 200 || who != "ab" {
		t.Fatalf("the late batch: %d, granted %q", code, who)
	}
	now.Members, now.Requested = nil, []byte{2}
	if code, who := granted(c, now); code != 428 || who != "" {
		t.Errorf("c asked by the number of its set: %d, granted %q; wanted 428 and nobody", code, who)
	}
	now.Members = []rpc.BatchMember{seat("a"), seat("c")}
	if code, who := granted(c, now); code != 200 || who != "c" {
		t.Errorf("told whole again: %d, granted %q", code, who)
	}
}

package httpserver

import (
	"slices"
	"testing"
	"time"
)

// testClient is an account with a record of its eviction.
type testClient struct {
	*account
	name string
}

// newTestClients returns accounts of a budget with the given names, opened at a time. The names of
// those that are evicted are appended to the returned list.
func newTestClients(b *Budget, now time.Time, names ...string) (map[string]*testClient, *[]string) {
	clients, evicted := map[string]*testClient{}, &[]string{}
	for _, name := range names {
		client := &testClient{name: name}
		client.account = b.open(nil, now, func() { *evicted = append(*evicted, name) })
		clients[name] = client
	}
	return clients, evicted
}

// receive lets a client send bytes that are held, and wait for more.
func (c *testClient) receive(bytes int64, now time.Time) bool {
	c.endRead(int(bytes), now)
	accepted := c.charge(bytes, now)
	c.beginRead(now)
	return accepted
}

// TestEvictionOrder checks that an exhausted budget evicts the body that holds the most for the longest
// time without progress: not the newest client, nor a slow one that keeps sending.
func TestEvictionOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	b := newBudget(40 * connectionBytes)
	clients, evicted := newTestClients(b, start, "stopped", "trickling", "slow", "idle", "new")
	clients["stopped"].receive(15*connectionBytes, start)
	clients["trickling"].receive(1, start)
	clients["slow"].receive(10*connectionBytes, start)
	for second := 1; second <= 20; second++ {
		now := start.Add(time.Duration(second) * time.Second)
		clients["slow"].receive(2*minProgress, now)
		clients["trickling"].receive(1, now)
	}
	now := start.Add(21 * time.Second)
	if !clients["new"].receive(9*connectionBytes, now) {
		t.Error("no room for the new client, though others make no progress")
	}
	if !slices.Equal(*evicted, []string{"stopped"}) {
		t.Errorf("evicted %v, want the body that stopped", *evicted)
	}
	for _, name := range []string{"slow", "trickling", "idle"} {
		clients[name].beginRead(now)
	}
	clients["new"].receive(20*connectionBytes, now)
	if len(*evicted) < 2 || slices.Contains(*evicted, "new") || slices.Index(*evicted, "slow") >= 0 && slices.Index(*evicted, "slow") < slices.Index(*evicted, "trickling") {
		t.Errorf("evicted %v, want the trickling body before the slow one", *evicted)
	}
}

// TestRequestsBeingHandledAreNotEvicted checks that a request that was received completely is kept, and
// that there is then no room for another client.
func TestRequestsBeingHandledAreNotEvicted(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBudget(10 * connectionBytes)
	clients, evicted := newTestClients(b, now, "handled", "next")
	clients["handled"].receive(8*connectionBytes, now)
	clients["handled"].setEvictable(false)
	if clients["next"].receive(connectionBytes, now.Add(time.Hour)) {
		t.Error("there is room beyond the limit")
	}
	clients["handled"].beginIdle(now)
	if !clients["next"].receive(connectionBytes, now.Add(time.Hour)) || len(*evicted) != 0 {
		t.Errorf("no room after the other request has ended, or evicted %v", *evicted)
	}
}

// TestSoleLargeRequest checks that one request may exceed the limit while there are no others, up to
// soleRequestFactor.
func TestSoleLargeRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBudget(100 * connectionBytes)
	clients, evicted := newTestClients(b, now, "large", "stopped")
	clients["stopped"].receive(20*connectionBytes, now)
	for range 14 {
		if !clients["large"].receive(10*connectionBytes, now.Add(time.Second)) {
			t.Fatal("no room for a sole request")
		}
	}
	if !slices.Equal(*evicted, []string{"stopped"}) {
		t.Errorf("evicted %v, want the other client", *evicted)
	}
	if clients["large"].receive(40*connectionBytes, now.Add(time.Second)) {
		t.Error("a sole request has no limit")
	}
}

// TestBudgetIsReleased checks that nothing is held once all connections are closed, evicted or not.
func TestBudgetIsReleased(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBudget(10 * connectionBytes)
	clients, evicted := newTestClients(b, now, "a", "b", "c")
	for _, client := range clients {
		client.receive(4*connectionBytes, now.Add(time.Second))
	}
	if len(*evicted) == 0 {
		t.Error("no client was evicted beyond the limit")
	}
	for _, client := range clients {
		client.close()
	}
	if used, _, _ := b.Usage(); used != 0 || b.evicting != 0 || len(b.accounts) != 0 {
		t.Errorf("%d bytes held, %d of them evicted, by %d accounts", used, b.evicting, len(b.accounts))
	}
}

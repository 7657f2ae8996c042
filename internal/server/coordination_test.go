package server

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"tealpond/internal/coordination"
	"tealpond/internal/raft"
	"tealpond/internal/rpc"
	"tealpond/internal/transport"
)

func acquire(holder string) coordination.Acquire {
	return coordination.Acquire{Name: "l", Holder: holder, HoldMs: 3000}
}

// TestRefusedLockCallsAddNoLogEntry guards against a log that grows with each caller of a contended
// lock: an acquisition of a held lock is refused from the applied state, and so is the renewal of
// a lost lock. An expired lock is given to the next caller.
func TestRefusedLockCallsAddNoLogEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		first := h.call(rpc.KindAcquireLock, acquire("a"))
		if first.Code != rpc.CodeOK || first.Value == 0 {
			t.Fatalf("the lock was not acquired: %+v", first)
		}
		last := h.replica.node.LastIndex()
		for kind, body := range map[string]any{rpc.KindAcquireLock: acquire("b"), rpc.KindRenewLock: coordination.Renew{Name: "l", Holder: "b", Fence: first.Value, HoldMs: 3000}} {
			if response := h.call(kind, body); response.Code != rpc.CodeConflict || response.Text == "" {
				t.Errorf("%s: %+v", kind, response)
			}
		}
		if h.replica.node.LastIndex() != last {
			t.Errorf("%d log entries for refused calls, want none", h.replica.node.LastIndex()-last)
		}
		if response := h.call(rpc.KindRenewLock, coordination.Renew{Name: "l", Holder: "a", Fence: first.Value, HoldMs: 3000}); response.Code != rpc.CodeOK {
			t.Errorf("renewal by the holder: %+v", response)
		}
		for end := time.Now().Add(3100 * time.Millisecond); time.Now().Before(end); {
			h.runIteration()
		}
		if second := h.call(rpc.KindAcquireLock, acquire("b")); second.Code != rpc.CodeOK || second.Value <= first.Value {
			t.Errorf("acquisition after the hold expired: %+v", second)
		}
		if response := h.call(rpc.KindReleaseLock, coordination.Release{Name: "l", Holder: "b", Fence: first.Value}); response.Code != rpc.CodeOK {
			t.Errorf("release of a lock that the caller doesn't hold: %+v", response)
		}
	})
}

// TestPutsNumbersAndReads checks changes through the log and reads from the applied state.
func TestPutsNumbersAndReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		if response := h.call(rpc.KindReadKey, "g.a"); response.Code != rpc.CodeNotFound {
			t.Errorf("%+v", response)
		}
		if response := h.call(rpc.KindPutKey, coordination.Put{Key: "g.a", Value: "v"}); response.Code != rpc.CodeOK || response.Value != 1 {
			t.Errorf("%+v", response)
		}
		refused := h.call(rpc.KindPutKey, coordination.Put{Key: "g.a", Value: "w", Expected: 5})
		if refused.Code != rpc.CodePreconditionFailed || refused.Value != 1 {
			t.Errorf("%+v", refused)
		}
		if h.replica.state.Coordination.HistoryMs == 0 {
			t.Error("no history of puts is kept")
		}
		var value coordination.KeyValue
		if response := h.call(rpc.KindReadKey, "g.a"); transport.Decode(response.Body, &value) != nil || value.Value != "v" || response.Value != 1 {
			t.Errorf("%+v, %+v", response, value)
		}
		for want := range int64(3) {
			if response := h.call(rpc.KindNextNumber, "n"); response.Code != rpc.CodeOK || response.Value != want+1 {
				t.Errorf("number %d: %+v", want, response)
			}
		}
	})
}

// startKeyWatch watches a group and returns a function that returns the responses so far.
func (h *harness) startKeyWatch(after, waitMs int64) func() []rpc.Response {
	var responses []rpc.Response
	body := transport.Encode(rpc.KeyWatch{Group: "g.", After: after, WaitMs: waitMs})
	h.replica.handleRequest(rpc.Request{Kind: rpc.KindWatchKeys, Body: body}, nil, func(response rpc.Response) { responses = append(responses, response) })
	return func() []rpc.Response { return responses }
}

func decodeWatchResult(t *testing.T, responses []rpc.Response) coordination.WatchResult {
	t.Helper()
	var update coordination.WatchResult
	if len(responses) != 1 || responses[0].Code != rpc.CodeOK || transport.Decode(responses[0].Body, &update) != nil {
		t.Fatalf("%+v", responses)
	}
	return update
}

// TestWatchesAreHeldUntilAPut checks that a watch is held until a put in its group or until its
// deadline, also for a group without any put.
func TestWatchesAreHeldUntilAPut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		emptyGroupWatch := h.startKeyWatch(0, 2000)
		h.call(rpc.KindPutKey, coordination.Put{Key: "h.a", Value: "other"})
		if responses := emptyGroupWatch(); len(responses) != 0 {
			t.Errorf("a put in another group was answered with %+v", responses)
		}
		h.call(rpc.KindPutKey, coordination.Put{Key: "g.a", Value: "v"})
		if update := decodeWatchResult(t, emptyGroupWatch()); update.Revision != 1 || len(update.Events) != 1 {
			t.Errorf("%+v", update)
		}
		if update := decodeWatchResult(t, h.startKeyWatch(0, 2000)()); update.Revision != 1 || len(update.Events) != 0 {
			t.Errorf("current revision: %+v", update)
		}
		short, long := h.startKeyWatch(1, 300), h.startKeyWatch(1, 2000)
		for end := time.Now().Add(400 * time.Millisecond); time.Now().Before(end); {
			h.runIteration()
		}
		if update := decodeWatchResult(t, short()); update.Revision != 1 || len(update.Events) != 0 || len(long()) != 0 {
			t.Errorf("watch with the short wait %+v, with the long wait %+v", update, long())
		}
		h.call(rpc.KindPutKey, coordination.Put{Key: "g.b", Value: "w"})
		if update := decodeWatchResult(t, long()); update.Revision != 2 || len(update.Events) != 1 || update.Events[0].Name != "g.b" {
			t.Errorf("%+v", update)
		}
		if len(h.replica.keyWatchers.byGroup) != 0 || len(h.replica.keyWatchers.notifiedRevision) != 0 {
			t.Errorf("watchers remain: %+v", h.replica.keyWatchers)
		}
	})
}

// TestKeyWatchesAreRedirectedAfterLeadershipLoss checks that held watches are counted by the gauges,
// and answered with a redirect when another leader is elected.
func TestKeyWatchesAreRedirectedAfterLeadershipLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		h.call(rpc.KindPutKey, coordination.Put{Key: "g.a", Value: "v"})
		held := h.startKeyWatch(1, 20_000)
		values := map[string]float64{}
		for _, gauge := range h.replica.gauges(time.Now()) {
			values[gauge.Name] = gauge.Value
		}
		if values["tealpond_key_watches"] != 1 || values["tealpond_key_groups"] != 1 {
			t.Errorf("%v", values)
		}
		h.receive(raft.Message{Kind: raft.MsgAppend, From: "b", Term: h.replica.node.Term() + 1})
		h.finishIteration()
		if responses := held(); len(responses) != 1 || responses[0].Code != rpc.CodeNotLeader {
			t.Errorf("%+v", responses)
		}
	})
}

// TestRetriesAtFullTablesGetTheirOutcome checks that a call that an earlier leader has already put
// into the log is answered with its outcome although the tables are full, and that the holder of a
// lock acquires it again. A new name that doesn't fit is refused without a promise that the call
// never takes effect.
func TestRetriesAtFullTablesGetTheirOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newLeader(t)
		acquired := h.call(rpc.KindAcquireLock, acquire("a"))
		put := coordination.Put{Key: "g.a", Value: "v"}
		set := h.call(rpc.KindPutKey, put)
		refusedPut := coordination.Put{Key: "g.a", Value: "w", Expected: 5}
		refused := h.call(rpc.KindPutKey, refusedPut)
		// The next leader takes over this state.
		h.replica.becomeLeader(time.Now())
		tables := h.replica.state.Coordination
		group := tables.Groups["g."]
		for i := range coordination.MaxRows {
			name := fmt.Sprint("n", i)
			tables.Locks[name] = coordination.Lock{Holder: "x", ExpiresAt: math.MaxInt64}
			group.Keys["g."+name], group.Outcomes[name] = coordination.KeyValue{Revision: 1}, coordination.PutOutcome{At: math.MaxInt64}
		}
		if again := h.call(rpc.KindAcquireLock, acquire("a")); again.Code != rpc.CodeOK || again.Value <= acquired.Value {
			t.Errorf("acquisition by the holder: %+v", again)
		}
		if again := h.call(rpc.KindPutKey, put); again.Code != rpc.CodeOK || again.Value != set.Value {
			t.Errorf("retry of an applied put: %+v", again)
		}
		if again := h.call(rpc.KindPutKey, refusedPut); again.Code != rpc.CodePreconditionFailed || again.Value != refused.Value {
			t.Errorf("retry of a refused put: %+v", again)
		}
		for kind, body := range map[string]any{
			rpc.KindAcquireLock: coordination.Acquire{Name: "new", Holder: "a", HoldMs: 3000},
			rpc.KindPutKey:      coordination.Put{Key: "g.new", Value: "v"},
		} {
			if response := h.call(kind, body); response.Code != rpc.CodeOutcomeExpired || response.Text == "" {
				t.Errorf("%s: %+v", kind, response)
			}
		}
		if _, ok := tables.Locks["new"]; ok || group.Keys["g.new"].Revision != 0 {
			t.Error("a refused call took effect")
		}
	})
}

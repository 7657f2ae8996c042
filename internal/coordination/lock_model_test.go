package coordination

import (
	"fmt"
	"testing"
)

// The model covers two callers of one lock, of whom the second requests the lock once. It explores
// all orders of events up to a bound: calls that are delivered late, twice or never, lost answers,
// the passage of time, and a state clock that stands still for a while, as in an outage.

// lockOperations are the operations under test; a test replaces one of them by a faulty one.
type lockOperations struct {
	acquire func(*Tables, Acquire, int64) (int64, error)
	renew   func(*Tables, Renew, int64) error
	release func(*Tables, Release)
	// clockAhead is the number of ticks that the state clock gains in each tick.
	clockAhead int64
}

func correctOperations() lockOperations {
	return lockOperations{acquire: (*Tables).Acquire, renew: (*Tables).Renew, release: (*Tables).Release}
}

const (
	tick       = 1000 // ms
	holdTicks  = 2
	modelCalls = 4 // calls sent in one run
	modelTicks = 3 // ticks in one run
)

type modelCall struct {
	kind      byte // 'a' acquire, 'r' renew, 'd' release
	caller    int
	fence     int64
	sentAt    int64 // ticks of the true time
	delivered int   // number of deliveries
}

// modelState is one state of the search.
type modelState struct {
	lock            Lock // the row of the lock; without a holder there is none
	lastFence       int64
	now             int64 // ticks of the true time
	clock           int64 // ticks of the state clock
	sent            int
	redelivered     bool // a call was delivered twice
	outage          bool // the state clock stood still for a tick
	secondRequested bool // the second caller has requested the lock
	calls           [modelCalls]modelCall
	fence           [2]int64 // fence of the hold that each caller assumes to have
	heldUntil       [2]int64 // end of that hold, in ticks of the true time; 0 if there is none
}

func (s modelState) holds(caller int) bool { return s.now < s.heldUntil[caller] }

// tables returns the tables that correspond to the state.
func (s modelState) tables() *Tables {
	t := New()
	t.LastFence = s.lastFence
	if s.lock.Holder != "" {
		t.Locks["l"] = s.lock
	}
	return t
}

// next returns the possible successor states.
func (s modelState) next(operations lockOperations) []modelState {
	var all []modelState
	if s.now < modelTicks {
		later := s
		later.now++
		if !s.outage {
			all = append(all, later)
			all[0].outage = true
		}
		later.clock += 1 + operations.clockAhead
		all = append(all, later)
	}
	for _, kind := range s.callKinds() {
		all = append(all, s.send(0, byte(kind)))
	}
	if s.sent < modelCalls && !s.secondRequested {
		later := s.send(1, 'a')
		later.secondRequested = true
		all = append(all, later)
	}
	for i, call := range s.calls[:s.sent] {
		if call.delivered == 0 {
			all = append(all, s.deliver(i, operations, true))
		}
		// Lost answers and repeated calls are explored for the first caller only.
		if call.caller == 0 && (call.delivered == 0 || call.delivered == 1 && !s.redelivered) {
			all = append(all, s.deliver(i, operations, false))
		}
		if call.caller == 1 && call.delivered == 1 && !s.holds(1) {
			return nil // the second caller's only call was handled and it holds nothing: no violation can follow
		}
	}
	return all
}

// callKinds returns the kinds of calls that the first caller may send now. The last call is reserved
// for the second caller.
func (s modelState) callKinds() string {
	switch {
	case s.now == modelTicks, s.sent >= modelCalls, s.sent == modelCalls-1 && !s.secondRequested:
		return ""
	case s.holds(0):
		return "ard"
	}
	return "a"
}

// send makes a caller send a call. A caller that releases the lock no longer regards itself as its
// holder.
func (s modelState) send(caller int, kind byte) modelState {
	s.calls[s.sent] = modelCall{kind: kind, caller: caller, fence: s.fence[caller], sentAt: s.now}
	s.sent++
	if kind == 'd' {
		s.heldUntil[caller] = 0
	}
	return s
}

// deliver executes a call on the server; answered tells whether its answer reaches the caller.
func (s modelState) deliver(i int, operations lockOperations, answered bool) modelState {
	tables, call := s.tables(), &s.calls[i]
	call.delivered++
	s.redelivered = s.redelivered || call.delivered > 1
	holder := [2]string{"c0", "c1"}[call.caller]
	switch call.kind {
	case 'a':
		fence, err := operations.acquire(tables, Acquire{Name: "l", Holder: holder, HoldMs: holdTicks * tick},
			s.clock*tick)
		if err == nil && answered {
			s.fence[call.caller], s.heldUntil[call.caller] = fence, max(s.heldUntil[call.caller], call.sentAt+holdTicks)
		}
	case 'r':
		err := operations.renew(tables, Renew{Name: "l", Holder: holder, Fence: call.fence, HoldMs: holdTicks * tick},
			s.clock*tick)
		if err == nil && answered && s.holds(call.caller) && s.fence[call.caller] == call.fence {
			s.heldUntil[call.caller] = max(s.heldUntil[call.caller], call.sentAt+holdTicks)
		}
	case 'd':
		operations.release(tables, Release{Name: "l", Holder: holder, Fence: call.fence})
	}
	s.lock, s.lastFence = tables.Locks["l"], tables.LastFence
	return s
}

// searchLockStates visits all reachable states. It returns a description of the first in which both
// callers regard themselves as holders, and the number of states visited.
func searchLockStates(operations lockOperations) (fault string, states int) {
	seen := map[modelState]struct{}{}
	pending := []modelState{{}}
	for len(pending) > 0 {
		s := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if s.holds(0) && s.holds(1) {
			return fmt.Sprintf("both hold the lock: %+v", s), len(seen)
		}
		if _, ok := seen[s]; !ok {
			seen[s] = struct{}{}
			pending = append(pending, s.next(operations)...)
		}
	}
	return "", len(seen)
}

// TestLockNeverHasTwoHolders searches all reachable states for one with two holders.
func TestLockNeverHasTwoHolders(t *testing.T) {
	fault, states := searchLockStates(correctOperations())
	if fault != "" {
		t.Error(fault)
	}
	if states < 100_000 {
		t.Errorf("only %d states were visited", states)
	}
}

// TestLockModelFindsInjectedFaults checks that the search finds each of the faults that the rules of
// the operations prevent.
func TestLockModelFindsInjectedFaults(t *testing.T) {
	for name, injectFault := range map[string]func(*lockOperations){
		"a hold expires too early": func(o *lockOperations) {
			o.acquire = func(tables *Tables, request Acquire, clock int64) (int64, error) {
				request.HoldMs /= 4
				return tables.Acquire(request, clock)
			}
		},
		"a renewal is acknowledged but not stored": func(o *lockOperations) {
			o.renew = func(tables *Tables, request Renew, clock int64) error { return tables.Clone().Renew(request, clock) }
		},
		"an acquisition by the holder keeps its fence": func(o *lockOperations) {
			o.acquire = func(tables *Tables, request Acquire, clock int64) (int64, error) {
				before := tables.Locks[request.Name]
				if before.Holder != request.Holder || before.expired(clock) {
					return tables.Acquire(request, clock)
				}
				before.ExpiresAt = max(before.ExpiresAt, expiry(clock, request.HoldMs))
				tables.Locks[request.Name] = before
				return before.Fence, nil
			}
		},
		"a release needs no fence": func(o *lockOperations) {
			o.release = func(tables *Tables, request Release) {
				request.Fence = tables.Locks[request.Name].Fence
				tables.Release(request)
			}
		},
		"the state clock runs ahead": func(o *lockOperations) { o.clockAhead = 2 },
	} {
		operations := correctOperations()
		injectFault(&operations)
		if fault, states := searchLockStates(operations); fault == "" {
			t.Errorf("%s: not found in %d states", name, states)
		}
	}
}

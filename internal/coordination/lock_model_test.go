package coordination

import (
	"fmt"
	"testing"
)

// The model plays two callers of one lock, of whom the second asks for it once: all orders of what
// may happen up to a bound: calls that are delivered late, twice or never, answers that are lost,
// time that passes, and a state's clock that stands still meanwhile, as over an outage.

// lockRules are the operations; a test plants a fault in one of them.
type lockRules struct {
	acquire func(*Tables, Acquire, int64) (int64, error)
	renew   func(*Tables, Renew, int64) error
	release func(*Tables, Release)
	// clockAhead is by how many ticks the state's clock runs ahead in one tick.
	clockAhead int64
}

func soundRules() lockRules {
	return lockRules{acquire: (*Tables).Acquire, renew: (*Tables).Renew, release: (*Tables).Release}
}

const (
	tick       = 1000 // ms
	holdTicks  = 2
	modelCalls = 4 // that are sent in one play
	modelTicks = 3
)

type modelCall struct {
	kind      byte // 'a'cquire, 'r'enew, 'd'rop
	caller    int
	fence     int64
	sentAt    int64 // ticks of the true time
	delivered int
}

// modelState is one state of the search.
type modelState struct {
	lock      Lock // the row of the lock; no holder: there is none
	lastFence int64
	now       int64 // ticks of the true time
	clock     int64 // ticks of the state's clock
	sent      int
	doubled   bool // a call was delivered twice
	outage    bool // the state's clock stood still for a tick
	rival     bool // the second caller has asked for the lock
	calls     [modelCalls]modelCall
	fence     [2]int64 // under which the caller counts itself holder
	until     [2]int64 // until when; 0: it doesn't
}

func (s modelState) holds(caller int) bool { return s.now < s.until[caller] }

// tables returns the tables that the state stands for.
func (s modelState) tables() *Tables {
	t := New()
	t.LastFence = s.lastFence
	if s.lock.Holder != "" {
		t.Locks["l"] = s.lock
	}
	return t
}

// next returns the states that may follow.
func (s modelState) next(rules lockRules) []modelState {
	var all []modelState
	if s.now < modelTicks {
		later := s
		later.now++
		if !s.outage {
			all = append(all, later)
			all[0].outage = true
		}
		later.clock += 1 + rules.clockAhead
		all = append(all, later)
	}
	for _, kind := range s.kinds() {
		all = append(all, s.send(0, byte(kind)))
	}
	if s.sent < modelCalls && !s.rival {
		later := s.send(1, 'a')
		later.rival = true
		all = append(all, later)
	}
	for i, call := range s.calls[:s.sent] {
		if call.delivered == 0 {
			all = append(all, s.deliver(i, rules, true))
		}
		// Of the rival only an answer that is heard matters.
		if call.caller == 0 && (call.delivered == 0 || call.delivered == 1 && !s.doubled) {
			all = append(all, s.deliver(i, rules, false))
		}
		if call.caller == 1 && call.delivered == 1 && !s.holds(1) {
			return nil // nothing can go wrong any more
		}
	}
	return all
}

// kinds are the kinds of calls that the first caller may send now. The last call is left
// to its rival.
func (s modelState) kinds() string {
	switch {
	case s.now == modelTicks, s.sent >= modelCalls, s.sent == modelCalls-1 && !s.rival:
		return ""
	case s.holds(0):
		return "ard"
	}
	return "a"
}

// send has a caller make a call. One who gives the lock back no longer holds it.
func (s modelState) send(caller int, kind byte) modelState {
	s.calls[s.sent] = modelCall{kind: kind, caller: caller, fence: s.fence[caller], sentAt: s.now}
	s.sent++
	if kind == 'd' {
		s.until[caller] = 0
	}
	return s
}

// deliver has the server carry out a call, whose answer reaches the caller or not.
func (s modelState) deliver(i int, rules lockRules, heard bool) modelState {
	tables, call := s.tables(), &s.calls[i]
	call.delivered++
	s.doubled = s.doubled || call.delivered > 1
	holder := [2]string{"c0", "c1"}[call.caller]
	switch call.kind {
	case 'a':
		fence, err := rules.acquire(tables, Acquire{Name: "l", Holder: holder, HoldMs: holdTicks * tick}, s.clock*tick)
		if err == nil && heard {
			s.fence[call.caller], s.until[call.caller] = fence, max(s.until[call.caller], call.sentAt+holdTicks)
		}
	case 'r':
		err := rules.renew(tables, Renew{Name: "l", Holder: holder, Fence: call.fence, HoldMs: holdTicks * tick}, s.clock*tick)
		if err == nil && heard && s.holds(call.caller) && s.fence[call.caller] == call.fence {
			s.until[call.caller] = max(s.until[call.caller], call.sentAt+holdTicks)
		}
	case 'd':
		rules.release(tables, Release{Name: "l", Holder: holder, Fence: call.fence})
	}
	s.lock, s.lastFence = tables.Locks["l"], tables.LastFence
	return s
}

// searchLocks visits all states that can be reached, and gives the first in which both
// callers count themselves holders, or how many states there are.
func searchLocks(rules lockRules) (fault string, states int) {
	seen := map[modelState]struct{}{}
	open := []modelState{{}}
	for len(open) > 0 {
		s := open[len(open)-1]
		open = open[:len(open)-1]
		if s.holds(0) && s.holds(1) {
			return fmt.Sprintf("both hold the lock: %+v", s), len(seen)
		}
		if _, ok := seen[s]; !ok {
			seen[s] = struct{}{}
			open = append(open, s.next(rules)...)
		}
	}
	return "", len(seen)
}

// TestNoTwoHoldersInAnyOrder searches all states.
func TestNoTwoHoldersInAnyOrder(t *testing.T) {
	fault, states := searchLocks(soundRules())
	if fault != "" {
		t.Error(fault)
	}
	if states < 100_000 {
		t.Errorf("only %d states were visited", states)
	}
}

// TestLockModelFindsPlantedFaults: each fault that the rules of the operations prevent is
// found by the search.
func TestLockModelFindsPlantedFaults(t *testing.T) {
	for name, plant := range map[string]func(*lockRules){
		"a hold is over too early": func(r *lockRules) {
			r.acquire = func(tables *Tables, request Acquire, clock int64) (int64, error) {
				request.HoldMs /= 4
				return tables.Acquire(request, clock)
			}
		},
		"a renewal is answered and forgotten": func(r *lockRules) {
			r.renew = func(tables *Tables, request Renew, clock int64) error { return tables.Clone().Renew(request, clock) }
		},
		"an acquisition of the holder keeps its fence": func(r *lockRules) {
			r.acquire = func(tables *Tables, request Acquire, clock int64) (int64, error) {
				before := tables.Locks[request.Name]
				if before.Holder != request.Holder || before.expired(clock) {
					return tables.Acquire(request, clock)
				}
				before.ExpiresAt = max(before.ExpiresAt, expiry(clock, request.HoldMs))
				tables.Locks[request.Name] = before
				return before.Fence, nil
			}
		},
		"a release needs no fence": func(r *lockRules) {
			r.release = func(tables *Tables, request Release) {
				request.Fence = tables.Locks[request.Name].Fence
				tables.Release(request)
			}
		},
		"the state's clock runs ahead": func(r *lockRules) { r.clockAhead = 2 },
	} {
		rules := soundRules()
		plant(&rules)
		if fault, states := searchLocks(rules); fault == "" {
			t.Errorf("%s: not found in %d states", name, states)
		}
	}
}

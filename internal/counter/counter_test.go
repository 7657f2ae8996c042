package counter

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const (
	testWindow = 5 * time.Second
	testWidth  = 500 * time.Millisecond
)

var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestSet(process string) *Set { return NewSet(process, testWindow, testWidth, testStart) }

// TestWindowSlides checks that events count until their whole slot has left the window, and that
// Expire removes such slots.
func TestWindowSlides(t *testing.T) {
	s := newTestSet("a")
	s.Add("k", 3, testStart.Add(100*time.Millisecond))
	s.Add("k", 2, testStart.Add(2*time.Second))
	for _, c := range []struct {
		after time.Duration
		want  uint64
	}{{2 * time.Second, 5}, {testWindow + testWidth - 1, 5}, {testWindow + testWidth, 2}, {testWindow + 2*time.Second + testWidth, 0}} {
		if got := s.Sum("k", testStart.Add(c.after)); got != c.want {
			t.Errorf("after %v: sum %d, want %d", c.after, got, c.want)
		}
	}
	s.Expire(testStart.Add(time.Minute))
	if s.Len() != 0 || len(s.byKey) != 0 {
		t.Error("expired slots are kept")
	}
}

// TestMergeKeepsLargerCount checks that repeated, reordered and relayed entries aren't counted
// again.
func TestMergeKeepsLargerCount(t *testing.T) {
	a, b, c := newTestSet("a"), newTestSet("b"), newTestSet("c")
	a.Add("k", 1, testStart)
	older := a.Since(0, "", testStart)
	a.Add("k", 4, testStart)
	newer := a.Since(0, "", testStart)
	for _, entries := range [][]Entry{newer, older, newer, older} {
		b.Merge(entries, "a", testStart)
	}
	c.Merge(b.Since(0, "c", testStart), "b", testStart)
	c.Merge(newer, "a", testStart)
	a.Merge(c.Since(0, "a", testStart), "c", testStart)
	for _, s := range []*Set{a, b, c} {
		if got := s.Sum("k", testStart); got != 5 {
			t.Errorf("process %s: sum %d, want 5", s.process, got)
		}
	}
	if entries := b.Since(0, "a", testStart); len(entries) != 0 {
		t.Errorf("entries %v are sent back to the process that sent them", entries)
	}
}

// TestDelayedEntriesExpireOnTime checks that delayed entries count until their whole slot has left
// the window, as if they had arrived at once.
func TestDelayedEntriesExpireOnTime(t *testing.T) {
	a := newTestSet("a")
	a.Add("k", 1, testStart)
	for _, c := range []struct {
		delay time.Duration
		want  uint64
	}{{0, 1}, {testWindow, 1}, {testWindow + testWidth/2, 1}, {testWindow + testWidth + time.Millisecond, 0}} {
		b, now := newTestSet("b"), testStart.Add(c.delay)
		b.Merge(a.Since(0, "b", now), "a", now)
		if got := b.Sum("k", now); got != c.want {
			t.Errorf("delay %v: sum %d, want %d", c.delay, got, c.want)
		}
	}
}

// TestOnlyChangesAreSent checks that an exchange sends only what changed since the last one, and
// everything to a restarted peer.
func TestOnlyChangesAreSent(t *testing.T) {
	peer, a := newTestSet("p"), newTestSet("a")
	e := NewExchange(a)
	exchange := func() (Request, Response) {
		request := e.Request(testStart)
		response := peer.Answer(request, testStart)
		e.HandleResponse(response, testStart)
		return request, response
	}
	a.Add("k", 1, testStart)
	peer.Add("k", 1, testStart)
	exchange()
	exchange() // the peer's process ID wasn't known at the first one
	if request, response := exchange(); len(request.Entries)+len(response.Entries) != 0 || e.HasChanges() {
		t.Errorf("unchanged entries are sent: request %v, response %v", request.Entries, response.Entries)
	}
	a.Add("j", 1, testStart)
	if request, response := exchange(); len(request.Entries) != 1 || len(response.Entries) != 0 {
		t.Errorf("request %v, response %v, want one entry in the request", request.Entries, response.Entries)
	}
	// A restarted peer has no entries and receives all of them.
	peer = newTestSet("p2")
	exchange()
	exchange()
	if got := peer.Sum("k", testStart); got != 2 {
		t.Errorf("restarted peer: sum %d, want 2, one event of each process", got)
	}
}

// admitter is a process that admits events in TestSumIsBounded.
type admitter struct {
	set         *Set
	exchange    *Exchange
	skew        time.Duration // clock skew
	frozenUntil time.Time
	requests    []Request // in flight to the peer
	response    *Response // in flight from the peer
}

// TestSumIsBounded checks that the events admitted in any window exceed the limit by at most
// (n + 1) allowances when messages are lost, delayed, repeated or reordered, and processes
// restart, freeze or have skewed clocks. This must also hold if the peer answers with sums.
func TestSumIsBounded(t *testing.T) {
	for name, answer := range map[string]answerFunc{"entries": (*Set).Answer, "sums": (*Set).AnswerSums} {
		t.Run(name, func(t *testing.T) { checkSumBound(t, answer) })
	}
}

// answerFunc handles a request at the peer.
type answerFunc func(peer *Set, request Request, now time.Time) Response

func checkSumBound(t *testing.T, answer answerFunc) {
	t.Helper()
	const processes, limit, allowance = 6, 40, 3
	maxExcess := 0
	for seed := range int64(60) {
		random := rand.New(rand.NewSource(seed))
		peer, startedProcesses := newTestSet("peer"), 0
		start := func(now time.Time) *admitter {
			startedProcesses++
			skew := time.Duration(random.Intn(7200)-3600) * time.Second
			set := NewSet(fmt.Sprint("p", startedProcesses), testWindow, testWidth, now.Add(skew))
			return &admitter{set: set, exchange: NewExchange(set), skew: skew}
		}
		var all []*admitter
		for range processes {
			all = append(all, start(testStart))
		}
		var admitted []time.Time
		processCount := processes // including restarted ones
		for now := testStart; now.Before(testStart.Add(30 * time.Second)); now = now.Add(20 * time.Millisecond) {
			for i, a := range all {
				if now.Before(a.frozenUntil) {
					continue
				}
				local := now.Add(a.skew)
				if random.Intn(3) == 0 && a.exchange.Admit("k", limit, allowance, local) {
					admitted = append(admitted, now)
				}
				a.exchangeMessages(random, peer, answer, local, now)
				switch random.Intn(4000) {
				case 0:
					all[i] = start(now)
					processCount++
				case 1:
					a.frozenUntil = now.Add(4 * time.Second)
				}
			}
			for len(admitted) > 0 && now.Sub(admitted[0]) >= testWindow {
				admitted = admitted[1:]
			}
			excess := len(admitted) - limit
			maxExcess = max(maxExcess, excess)
			if excess > (processCount+1)*allowance {
				t.Fatalf("seed %d: %d events admitted in a window with a limit of %d by %d processes",
					seed, len(admitted), limit, processCount)
			}
		}
	}
	t.Logf("limit exceeded by at most %d, bound %d", maxExcess, (processes+1)*allowance)
	if maxExcess <= 0 {
		t.Error("limit never exceeded: the test doesn't exercise the bound")
	}
}

// exchangeMessages delivers messages between a process and its peer at random, or loses,
// delays or repeats them.
func (a *admitter) exchangeMessages(random *rand.Rand, peer *Set, answer answerFunc, local, now time.Time) {
	switch random.Intn(20) {
	case 0, 1: // a new request is sent; responses to earlier ones are no longer accepted
		a.requests = append(a.requests, a.exchange.Request(local))
		a.response = nil
	case 2, 3: // the newest request arrives and is answered
		if n := len(a.requests); n > 0 {
			response := answer(peer, a.requests[n-1], now)
			a.response = &response
		}
	case 4: // a request arrives late or again, and its response is lost
		if n := len(a.requests); n > 0 {
			answer(peer, a.requests[random.Intn(n)], now)
		}
	case 5, 6: // the response arrives
		if a.response != nil {
			a.exchange.HandleResponse(*a.response, local)
			a.response, a.requests = nil, nil
		}
	}
}

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

// TestWindowSlides: events count for a window, and until their whole slot is past.
func TestWindowSlides(t *testing.T) {
	s := newTestSet("a")
	s.Add("k", 3, testStart.Add(100*time.Millisecond))
	s.Add("k", 2, testStart.Add(2*time.Second))
	for _, c := range []struct {
		after time.Duration
		want  uint64
	}{{2 * time.Second, 5}, {testWindow + testWidth - 1, 5}, {testWindow + testWidth, 2}, {testWindow + 2*time.Second + testWidth, 0}} {
		if got := s.Sum("k", testStart.Add(c.after)); got != c.want {
			t.Errorf("after %v: %d, want %d", c.after, got, c.want)
		}
	}
	s.Expire(testStart.Add(time.Minute))
	if s.Len() != 0 || len(s.byKey) != 0 {
		t.Error("slots of long ago are kept")
	}
}

// TestMergeTakesTheLargerCount: repeated, reordered and passed-on entries change
// nothing more.
func TestMergeTakesTheLargerCount(t *testing.T) {
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
			t.Errorf("%s knows %d events, want 5", s.process, got)
		}
	}
	if entries := b.Since(0, "a", testStart); len(entries) != 0 {
		t.Errorf("%v is told to the one who said it", entries)
	}
}

// TestLateEntriesCountAsLong: what comes late counts until its whole slot is past, as if it had
// come in time.
func TestLateEntriesCountAsLong(t *testing.T) {
	a := newTestSet("a")
	a.Add("k", 1, testStart)
	for _, c := range []struct {
		late time.Duration
		want uint64
	}{{0, 1}, {testWindow, 1}, {testWindow + testWidth/2, 1}, {testWindow + testWidth + time.Millisecond, 0}} {
		b, now := newTestSet("b"), testStart.Add(c.late)
		b.Merge(a.Since(0, "b", now), "a", now)
		if got := b.Sum("k", now); got != c.want {
			t.Errorf("%v late: %d, want %d", c.late, got, c.want)
		}
	}
}

// TestNothingNewIsNotSent: an exchange sends what changed since the last one alone.
func TestNothingNewIsNotSent(t *testing.T) {
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
	exchange() // the first one was made for a peer that wasn't known
	if request, response := exchange(); len(request.Entries)+len(response.Entries) != 0 || e.HasChanges() {
		t.Errorf("%v and %v are sent again", request.Entries, response.Entries)
	}
	a.Add("j", 1, testStart)
	if request, response := exchange(); len(request.Entries) != 1 || len(response.Entries) != 0 {
		t.Errorf("%v and %v are sent, want one entry", request.Entries, response.Entries)
	}
	// A peer that was started again knows nothing and is told all.
	peer = newTestSet("p2")
	exchange()
	exchange()
	if got := peer.Sum("k", testStart); got != 2 {
		t.Errorf("the new peer knows %d events, want that of each process", got)
	}
}

// admitter is a process of TestSumIsBounded.
type admitter struct {
	set      *Set
	exchange *Exchange
	skew     time.Duration // of its clock
	frozen   time.Time     // until then
	requests []Request     // under way to the peer
	response *Response     // under way to it
}

// TestSumIsBounded: whatever messages are lost, late, repeated or reordered, whichever
// processes die and start again, freeze, or have other clocks, the events admitted in
// any window pass the limit by at most (n + 1) allowances. So it is where the peer answers
// with the sums of others' counts.
func TestSumIsBounded(t *testing.T) {
	for name, answer := range map[string]answerFunc{"entries": (*Set).Answer, "sums": (*Set).AnswerSums} {
		t.Run(name, func(t *testing.T) { playBoundedSum(t, answer) })
	}
}

// answerFunc is the peer's side of an exchange.
type answerFunc func(peer *Set, request Request, now time.Time) Response

func playBoundedSum(t *testing.T, answer answerFunc) {
	t.Helper()
	const processes, limit, allowance = 6, 40, 3
	worst := 0
	for seed := range int64(60) {
		random := rand.New(rand.NewSource(seed))
		peer, births := newTestSet("peer"), 0
		birth := func(now time.Time) *admitter {
			births++
			skew := time.Duration(random.Intn(7200)-3600) * time.Second
			set := NewSet(fmt.Sprint("p", births), testWindow, testWidth, now.Add(skew))
			return &admitter{set: set, exchange: NewExchange(set), skew: skew}
		}
		var all []*admitter
		for range processes {
			all = append(all, birth(testStart))
		}
		var admitted []time.Time
		lived := processes
		for now := testStart; now.Before(testStart.Add(30 * time.Second)); now = now.Add(20 * time.Millisecond) {
			for i, a := range all {
				if now.Before(a.frozen) {
					continue
				}
				local := now.Add(a.skew)
				if random.Intn(3) == 0 && a.exchange.Admit("k", limit, allowance, local) {
					admitted = append(admitted, now)
				}
				a.converse(random, peer, answer, local, now)
				switch random.Intn(4000) {
				case 0:
					all[i] = birth(now)
					lived++
				case 1:
					a.frozen = now.Add(4 * time.Second)
				}
			}
			for len(admitted) > 0 && now.Sub(admitted[0]) >= testWindow {
				admitted = admitted[1:]
			}
			over := len(admitted) - limit
			worst = max(worst, over)
			if over > (lived+1)*allowance {
				t.Fatalf("seed %d: %d events are admitted in a window, of a limit of %d by %d processes", seed, len(admitted), limit, lived)
			}
		}
	}
	t.Logf("the limit was passed by %d at most, the bound is %d", worst, (processes+1)*allowance)
	if worst <= 0 {
		t.Error("the limit was never reached: the test shows nothing")
	}
}

// converse carries messages between a process and its peer, or loses, delays or
// repeats them.
func (a *admitter) converse(random *rand.Rand, peer *Set, answer answerFunc, local, now time.Time) {
	switch random.Intn(20) {
	case 0, 1: // a new request; an answer to an earlier one is not taken any more
		a.requests = append(a.requests, a.exchange.Request(local))
		a.response = nil
	case 2, 3: // the newest arrives, and is answered
		if n := len(a.requests); n > 0 {
			response := answer(peer, a.requests[n-1], now)
			a.response = &response
		}
	case 4: // an old one arrives late, or again
		if n := len(a.requests); n > 0 {
			answer(peer, a.requests[random.Intn(n)], now)
		}
	case 5, 6:
		if a.response != nil {
			a.exchange.HandleResponse(*a.response, local)
			a.response, a.requests = nil, nil
		}
	}
}

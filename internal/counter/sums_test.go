package counter

import (
	"fmt"
	"testing"
	"time"
)

// TestSumsMatchEntries compares a process that receives sums with one that receives entries. The
// sum of a key must never be less by sums than by entries, and two slots later no more than it is
// now by entries. A response with sums must have at most one entry per key and slot.
func TestSumsMatchEntries(t *testing.T) {
	const processes = 40
	peer, now := newTestSet("peer"), testStart
	var sets []*Set
	var exchanges []*Exchange
	for i := range processes {
		set := NewSet(fmt.Sprint("p", i), testWindow, testWidth, testStart.Add(-time.Duration(i*37)*time.Millisecond))
		sets, exchanges = append(sets, set), append(exchanges, NewExchange(set))
	}
	bySums, byEntries := newTestSet("a"), newTestSet("b")
	sumExchange, entryExchange := NewExchange(bySums), NewExchange(byEntries)
	for step := range 200 {
		now = now.Add(50 * time.Millisecond)
		for i := range sets {
			if (step+i)%7 == 0 {
				sets[i].Add(fmt.Sprint("k", i%2), 1, now)
			}
			exchanges[i].HandleResponse(peer.AnswerSums(exchanges[i].Request(now), now), now)
		}
		sums := peer.AnswerSums(sumExchange.Request(now), now)
		sumExchange.HandleResponse(sums, now)
		entryExchange.HandleResponse(peer.Answer(entryExchange.Request(now), now), now)
		for _, key := range []string{"k0", "k1"} {
			if exact := byEntries.Sum(key, now); bySums.Sum(key, now) < exact || bySums.Sum(key, now.Add(2*testWidth)) > exact {
				t.Fatalf("step %d, key %s: sum %d by sums, %d by entries", step, key, bySums.Sum(key, now), exact)
			}
		}
		if maxEntries := 2 * 4; len(sums.Entries) > maxEntries {
			t.Fatalf("step %d: %d entries for two keys, want at most 8", step, len(sums.Entries))
		}
		peer.Expire(now)
		bySums.Expire(now)
		byEntries.Expire(now)
	}
}

// TestSumsExcludeOwnCounts checks that the sums sent to a process don't include its own counts.
func TestSumsExcludeOwnCounts(t *testing.T) {
	peer, set := newTestSet("peer"), newTestSet("a")
	exchange := NewExchange(set)
	set.Add("k", 3, testStart)
	for range 3 {
		exchange.HandleResponse(peer.AnswerSums(exchange.Request(testStart), testStart), testStart)
	}
	if sum := set.Sum("k", testStart); sum != 3 {
		t.Errorf("sum %d, want 3", sum)
	}
}

// TestSumsOfPreviousPeerAreRemoved guards against counting events twice: a new peer receives all
// entries again, so its sums must replace those of the previous peer.
func TestSumsOfPreviousPeerAreRemoved(t *testing.T) {
	first, second := newTestSet("first"), newTestSet("second")
	a, b := newTestSet("a"), newTestSet("b")
	newExchange := func(set *Set) *Exchange {
		exchange := NewExchange(set)
		exchange.ReplacesPeerSums = true
		return exchange
	}
	exchangeA, exchangeB := newExchange(a), newExchange(b)
	b.Add("k", 5, testStart)
	for _, peer := range []*Set{first, second} {
		for range 2 {
			for _, exchange := range []*Exchange{exchangeB, exchangeA} {
				exchange.HandleResponse(peer.AnswerSums(exchange.Request(testStart), testStart), testStart)
			}
		}
		if sum := a.Sum("k", testStart); sum != 5 {
			t.Errorf("peer %s: sum %d, want 5", peer.process, sum)
		}
	}
}

// TestFreeAt checks that the sum of a key falls below a limit when enough of its slots have left the
// window.
func TestFreeAt(t *testing.T) {
	set := newTestSet("a")
	set.Add("k", 4, testStart)
	set.Add("k", 4, testStart.Add(2*testWidth))
	for limit, want := range map[uint64]time.Duration{9: 0, 8: testWidth + testWindow, 5: testWidth + testWindow, 4: 3*testWidth + testWindow} {
		if at := set.FreeAt("k", limit, testStart.Add(2*testWidth)); limit == 9 && !at.Equal(testStart.Add(2*testWidth)) || limit < 9 && !at.Equal(testStart.Add(want)) {
			t.Errorf("limit %d: free after %v, want %v", limit, at.Sub(testStart), want)
		}
	}
}

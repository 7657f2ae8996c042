package counter

import (
	"fmt"
	"testing"
	"time"
)

// TestSumsAreAsTheEntries: what a process knows by sums is never less than by entries, and
// no more than what ended up to a slot ago; and one entry a key and slot tells it.
func TestSumsAreAsTheEntries(t *testing.T) {
	const others = 40
	peer, now := newTestSet("peer"), testStart
	var sets []*Set
	var exchanges []*Exchange
	for i := range others {
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
				t.Fatalf("step %d, %s: %d by sums, %d by entries", step, key, bySums.Sum(key, now), exact)
			}
		}
		if most := 2 * 4; len(sums.Entries) > most {
			t.Fatalf("step %d: %d entries for two keys", step, len(sums.Entries))
		}
		peer.Expire(now)
		bySums.Expire(now)
		byEntries.Expire(now)
	}
}

// TestOwnCountsComeBackInNoSum: what a process told itself is not told to it.
func TestOwnCountsComeBackInNoSum(t *testing.T) {
	peer, set := newTestSet("peer"), newTestSet("a")
	exchange := NewExchange(set)
	set.Add("k", 3, testStart)
	for range 3 {
		exchange.HandleResponse(peer.AnswerSums(exchange.Request(testStart), testStart), testStart)
	}
	if sum := set.Sum("k", testStart); sum != 3 {
		t.Errorf("%d events are known, 3 were counted", sum)
	}
}

// TestSumsOfAnEarlierPeerAreForgotten: the next peer is told all again, and its sums must
// not come on top of the former's.
func TestSumsOfAnEarlierPeerAreForgotten(t *testing.T) {
	first, second := newTestSet("first"), newTestSet("second")
	a, b := newTestSet("a"), newTestSet("b")
	toPeer := func(set *Set) *Exchange {
		exchange := NewExchange(set)
		exchange.ForgetsPeers = true
		return exchange
	}
	exchangeA, exchangeB := toPeer(a), toPeer(b)
	b.Add("k", 5, testStart)
	for _, peer := range []*Set{first, second} {
		for range 2 {
			for _, exchange := range []*Exchange{exchangeB, exchangeA} {
				exchange.HandleResponse(peer.AnswerSums(exchange.Request(testStart), testStart), testStart)
			}
		}
		if sum := a.Sum("k", testStart); sum != 5 {
			t.Errorf("with the peer %s %d events are known, 5 were counted", peer.process, sum)
		}
	}
}

// TestFreeAt: a key is free again when enough of its slots are past.
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

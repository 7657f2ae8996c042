package counter

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// limiter is a method of enforcing a limit over several daemons. docs/counting.md compares
// the methods.
type limiter struct {
	name     string
	admit    func(daemon int, now time.Time) bool
	exchange func(now time.Time) // called each testExchangeInterval
}

// limiterResult is the result of a limiter under a load.
type limiterResult struct {
	over    int // maximum number of events in a window above the limit
	refused int // events refused although the window was below the limit
	entries int // entries exchanged
}

const (
	testDaemons          = 13
	testLimit            = 50
	testExchangeInterval = 500 * time.Millisecond
)

// newMergedCounts returns a limiter whose daemons exchange their counts with one peer each
// interval.
func newMergedCounts(entries *int) limiter {
	peer := newTestSet("peer")
	var exchanges []*Exchange
	for i := range testDaemons {
		exchanges = append(exchanges, NewExchange(newTestSet(fmt.Sprint("d", i))))
	}
	return limiter{"merged counts",
		func(daemon int, now time.Time) bool { return exchanges[daemon].Admit("k", testLimit, 10, now) },
		func(now time.Time) {
			for _, e := range exchanges {
				request := e.Request(now)
				response := peer.Answer(request, now)
				*entries += len(request.Entries) + len(response.Entries)
				e.HandleResponse(response, now)
			}
		}}
}

// newFixedParts returns a limiter that gives each daemon an equal part of the limit.
func newFixedParts() limiter {
	var daemons []*Set
	for i := range testDaemons {
		daemons = append(daemons, newTestSet(fmt.Sprint("d", i)))
	}
	return limiter{"fixed parts", func(daemon int, now time.Time) bool {
		if daemons[daemon].Sum("k", now) >= testLimit/testDaemons {
			return false
		}
		daemons[daemon].Add("k", 1, now)
		return true
	}, func(time.Time) {}}
}

// newOneCounter returns a limiter that queries a central counter for each event.
func newOneCounter() limiter {
	all := newTestSet("all")
	return limiter{"one counter", func(_ int, now time.Time) bool {
		if all.Sum("k", now) >= testLimit {
			return false
		}
		all.Add("k", 1, now)
		return true
	}, func(time.Time) {}}
}

// run applies a load for a minute, most of it to three daemons, since clients aren't spread
// evenly over the daemons.
func (l limiter) run(perSecond float64, result *limiterResult) {
	random := rand.New(rand.NewSource(1))
	var admitted []time.Time
	exchangedAt := testStart
	for now := testStart; now.Before(testStart.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if now.Sub(exchangedAt) >= testExchangeInterval {
			l.exchange(now)
			exchangedAt = now
		}
		for len(admitted) > 0 && now.Sub(admitted[0]) >= testWindow {
			admitted = admitted[1:]
		}
		if random.Float64() >= perSecond/100 {
			continue
		}
		daemon := random.Intn(3)
		if random.Intn(4) == 0 {
			daemon = random.Intn(testDaemons)
		}
		switch {
		case l.admit(daemon, now):
			admitted = append(admitted, now)
		case len(admitted) < testLimit:
			result.refused++
		}
		result.over = max(result.over, len(admitted)-testLimit)
	}
}

// TestLimiters compares merged counts with a central counter and with fixed parts, under loads
// below and above the limit. Below the limit, merged counts must refuse at most a quarter of
// the events that fixed parts refuse. Above it, they must exceed it by at most their bound.
func TestLimiters(t *testing.T) {
	results := map[string]map[float64]limiterResult{}
	for _, perSecond := range []float64{8, 40} {
		var entries int
		for _, l := range []limiter{newMergedCounts(&entries), newFixedParts(), newOneCounter()} {
			var result limiterResult
			l.run(perSecond, &result)
			result.entries = entries
			if results[l.name] == nil {
				results[l.name] = map[float64]limiterResult{}
			}
			results[l.name][perSecond] = result
			t.Logf("%v a second of %d in 5 s, %s: %+v", perSecond, testLimit, l.name, result)
			entries = 0
		}
	}
	merged, fixed := results["merged counts"], results["fixed parts"]
	if merged[8].refused*4 > fixed[8].refused {
		t.Errorf("below the limit: merged counts refuse %d events, fixed parts %d, want at most a quarter of that",
			merged[8].refused, fixed[8].refused)
	}
	if merged[40].over > (testDaemons+1)*10 || merged[40].over <= 0 {
		t.Errorf("above the limit: merged counts exceed it by %d, want more than 0 and at most the bound", merged[40].over)
	}
}

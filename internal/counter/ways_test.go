package counter

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// way is one of the ways of holding a limit over several doors that docs/counting.md
// weighs.
type way struct {
	name  string
	admit func(door int, now time.Time) bool
	tick  func(now time.Time)
}

// wayResult is what a way did with a load.
type wayResult struct {
	over    int // the most events in a window beyond the limit
	refused int // events that were refused though the window had room for them
	entries int // that were exchanged
}

const (
	wayDoors    = 13
	wayLimit    = 50
	wayInterval = 500 * time.Millisecond
)

// mergedCounts exchanges with one peer each interval.
func mergedCounts(entries *int) way {
	peer := newTestSet("peer")
	var exchanges []*Exchange
	for i := range wayDoors {
		exchanges = append(exchanges, NewExchange(newTestSet(fmt.Sprint("d", i))))
	}
	return way{"merged counts",
		func(door int, now time.Time) bool { return exchanges[door].Admit("k", wayLimit, 10, now) },
		func(now time.Time) {
			for _, e := range exchanges {
				request := e.Request(now)
				response := peer.Answer(request, now)
				*entries += len(request.Entries) + len(response.Entries)
				e.HandleResponse(response, now)
			}
		}}
}

// fixedParts gives each door its part of the limit.
func fixedParts() way {
	var doors []*Set
	for i := range wayDoors {
		doors = append(doors, newTestSet(fmt.Sprint("d", i)))
	}
	return way{"fixed parts", func(door int, now time.Time) bool {
		if doors[door].Sum("k", now) >= wayLimit/wayDoors {
			return false
		}
		doors[door].Add("k", 1, now)
		return true
	}, func(time.Time) {}}
}

// oneCounter asks one counter for each event.
func oneCounter() way {
	all := newTestSet("all")
	return way{"one counter", func(_ int, now time.Time) bool {
		if all.Sum("k", now) >= wayLimit {
			return false
		}
		all.Add("k", 1, now)
		return true
	}, func(time.Time) {}}
}

// play offers a load for a minute, most of it at three doors, since clients come to the
// daemons unevenly.
func (w way) play(perSecond float64, result *wayResult) {
	random := rand.New(rand.NewSource(1))
	var admitted []time.Time
	exchangedAt := testStart
	for now := testStart; now.Before(testStart.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
		if now.Sub(exchangedAt) >= wayInterval {
			w.tick(now)
			exchangedAt = now
		}
		for len(admitted) > 0 && now.Sub(admitted[0]) >= testWindow {
			admitted = admitted[1:]
		}
		if random.Float64() >= perSecond/100 {
			continue
		}
		door := random.Intn(3)
		if random.Intn(4) == 0 {
			door = random.Intn(wayDoors)
		}
		switch {
		case w.admit(door, now):
			admitted = append(admitted, now)
		case len(admitted) < wayLimit:
			result.refused++
		}
		result.over = max(result.over, len(admitted)-wayLimit)
	}
}

// TestWaysOfHoldingALimit compares merged counts with one counter that is asked each time
// and with fixed parts, under loads within the limit and above it: merged counts refuse
// far less within it than fixed parts, and pass it by less than their bound.
func TestWaysOfHoldingALimit(t *testing.T) {
	results := map[string]map[float64]wayResult{}
	for _, perSecond := range []float64{8, 40} {
		var entries int
		for _, w := range []way{mergedCounts(&entries), fixedParts(), oneCounter()} {
			var result wayResult
			w.play(perSecond, &result)
			result.entries = entries
			if results[w.name] == nil {
				results[w.name] = map[float64]wayResult{}
			}
			results[w.name][perSecond] = result
			t.Logf("%v a second of %d in 5 s, %s: %+v", perSecond, wayLimit, w.name, result)
			entries = 0
		}
	}
	merged, fixed := results["merged counts"], results["fixed parts"]
	if merged[8].refused*4 > fixed[8].refused {
		t.Errorf("within the limit merged counts refuse %d, fixed parts %d", merged[8].refused, fixed[8].refused)
	}
	if merged[40].over > (wayDoors+1)*10 || merged[40].over <= 0 {
		t.Errorf("merged counts pass the limit by %d", merged[40].over)
	}
}

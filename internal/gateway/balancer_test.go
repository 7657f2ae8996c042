package gateway

import (
	"fmt"
	"testing"
	"time"

	"tealpond/internal/registry"
)

var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// testBalancer has n runners of service s in its zone, and one elsewhere.
func testBalancer(n int) *balancer {
	b := newBalancer("z", listAgeLimit{})
	list := []registry.Runner{{ID: "far", Service: "s", Zone: "y"}}
	for i := range n {
		list = append(list, registry.Runner{ID: fmt.Sprint(i), Service: "s", Zone: "z"})
	}
	b.setRunners(list, Position{}, testStart)
	return b
}

// use sends a request to whoever is picked, which takes a time.
func (b *balancer) use(how result, took time.Duration, now time.Time) string {
	runner := b.pick("s", nil, now)
	b.begin(runner)
	b.end(runner, how, took, now)
	return runner.ID
}

// TestPickPrefersTheQuick: of runners that take 50 and 400 ms the quick ones get far more.
func TestPickPrefersTheQuick(t *testing.T) {
	b := testBalancer(10)
	counts := map[string]int{}
	for range 4000 {
		runner := b.pick("s", nil, testStart)
		b.begin(runner)
		took := 50 * time.Millisecond
		if runner.ID == "0" {
			took = 400 * time.Millisecond
		}
		b.end(runner, resultSound, took, testStart)
		counts[runner.ID]++
	}
	if counts["far"] != 0 || counts["0"] > 100 || counts["1"] < 300 {
		t.Errorf("requests by runner: %v", counts)
	}
}

// TestPickLooksAtWhatIsUnderWay.
func TestPickLooksAtWhatIsUnderWay(t *testing.T) {
	b := testBalancer(4)
	busiest := 0
	for range 40 {
		runner := b.pick("s", nil, testStart)
		b.begin(runner)
		busiest = max(busiest, runner.outstanding)
	}
	if busiest > 15 {
		t.Errorf("40 requests are under way, %d of them at one of 4 runners", busiest)
	}
}

// TestFailingRunnerIsEjected for a growing time, and comes back; with most of a service
// failing, all are used.
func TestFailingRunnerIsEjected(t *testing.T) {
	b := testBalancer(4)
	bad := b.runners["0"]
	for range ejectionFailures {
		b.begin(bad)
		b.end(bad, resultFailed, time.Millisecond, testStart)
	}
	for range 200 {
		if b.use(resultSound, time.Millisecond, testStart) == "0" {
			t.Fatal("an ejected runner is used")
		}
	}
	later := testStart.Add(ejectionTime)
	used := false
	for range 400 {
		used = b.use(resultSound, time.Millisecond, later) == "0" || used
	}
	if !used {
		t.Error("it doesn't come back")
	}
	for _, runner := range b.services["s"] {
		runner.ejectedTill = later.Add(time.Minute)
	}
	if b.pick("s", nil, later) == nil {
		t.Error("with all ejected none is used")
	}
}

// TestTriedRunnersArePassedOver, and none is left in the end.
func TestTriedRunnersArePassedOver(t *testing.T) {
	b := testBalancer(3)
	var tried []*runnerState
	for range 3 {
		runner := b.pick("s", tried, testStart)
		if runner == nil || contains(tried, runner) {
			t.Fatalf("picked %v after %d", runner, len(tried))
		}
		tried = append(tried, runner)
	}
	if b.pick("s", tried, testStart) != nil || b.pick("other", nil, testStart) != nil {
		t.Error("picked one that isn't there")
	}
}

// TestDrainingRunnersGetNothing, and another zone serves where the own one has none.
func TestDrainingRunnersGetNothing(t *testing.T) {
	b := testBalancer(1)
	known := b.runners["0"]
	known.latency = time.Second
	b.setRunners([]registry.Runner{{ID: "0", Service: "s", Zone: "z", Draining: true}, {ID: "far", Service: "s", Zone: "y"}}, Position{}, testStart)
	if got := b.pick("s", nil, testStart); got == nil || got.ID != "far" {
		t.Errorf("picked %v", got)
	}
	b.setRunners([]registry.Runner{{ID: "0", Service: "s", Zone: "z"}}, Position{}, testStart)
	if b.runners["0"] != known {
		t.Error("what was known of a runner is forgotten")
	}
}

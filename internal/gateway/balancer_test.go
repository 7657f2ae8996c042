package gateway

import (
	"fmt"
	"testing"
	"time"

	"tealpond/internal/registry"
)

var testStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// testBalancer returns a balancer with n runners of service s in its zone and one in another.
func testBalancer(n int) *balancer {
	b := newBalancer("z", listAgeLimit{})
	list := []registry.Runner{{ID: "far", Service: "s", Zone: "y"}}
	for i := range n {
		list = append(list, registry.Runner{ID: fmt.Sprint(i), Service: "s", Zone: "z"})
	}
	b.setRunners(list, Position{}, testStart)
	return b
}

// sendRequest records a request with the given result and latency at the picked runner.
func (b *balancer) sendRequest(result attemptResult, latency time.Duration, now time.Time) string {
	runner := b.pick("s", nil, now)
	b.startAttempt(runner)
	b.endAttempt(runner, result, latency, now)
	return runner.ID
}

// TestPickPrefersFastRunners checks that of runners with latencies of 50 and 400 ms the fast
// ones get far more requests.
func TestPickPrefersFastRunners(t *testing.T) {
	b := testBalancer(10)
	counts := map[string]int{}
	for range 4000 {
		runner := b.pick("s", nil, testStart)
		b.startAttempt(runner)
		took := 50 * time.Millisecond
		if runner.ID == "0" {
			took = 400 * time.Millisecond
		}
		b.endAttempt(runner, resultOK, took, testStart)
		counts[runner.ID]++
	}
	if counts["far"] != 0 || counts["0"] > 100 || counts["1"] < 300 {
		t.Errorf("requests by runner: %v", counts)
	}
}

// TestPickCountsOutstandingRequests checks that outstanding requests are spread over the
// runners.
func TestPickCountsOutstandingRequests(t *testing.T) {
	b := testBalancer(4)
	busiest := 0
	for range 40 {
		runner := b.pick("s", nil, testStart)
		b.startAttempt(runner)
		busiest = max(busiest, runner.outstanding)
	}
	if busiest > 15 {
		t.Errorf("%d of 40 outstanding requests are at one of 4 runners", busiest)
	}
}

// TestFailingRunnerIsEjected checks that a failing runner is ejected for a time and used again
// afterwards, and that all runners are used if most of a service's are ejected.
func TestFailingRunnerIsEjected(t *testing.T) {
	b := testBalancer(4)
	bad := b.runners["0"]
	for range ejectionFailures {
		b.startAttempt(bad)
		b.endAttempt(bad, resultFailed, time.Millisecond, testStart)
	}
	for range 200 {
		if b.sendRequest(resultOK, time.Millisecond, testStart) == "0" {
			t.Fatal("ejected runner is used")
		}
	}
	later := testStart.Add(ejectionTime)
	used := false
	for range 400 {
		used = b.sendRequest(resultOK, time.Millisecond, later) == "0" || used
	}
	if !used {
		t.Error("runner is not used after its ejection")
	}
	for _, runner := range b.services["s"] {
		runner.ejectedUntil = later.Add(time.Minute)
	}
	if b.pick("s", nil, later) == nil {
		t.Error("no runner is used when all are ejected")
	}
}

// TestTriedRunnersAreSkipped checks that tried runners are not picked again, and that none is
// picked once all were tried.
func TestTriedRunnersAreSkipped(t *testing.T) {
	b := testBalancer(3)
	var tried []*runnerState
	for range 3 {
		runner := b.pick("s", tried, testStart)
		if runner == nil || contains(tried, runner) {
			t.Fatalf("picked %v after %d attempts", runner, len(tried))
		}
		tried = append(tried, runner)
	}
	if b.pick("s", tried, testStart) != nil || b.pick("other", nil, testStart) != nil {
		t.Error("picked a runner when none was available")
	}
}

// TestDrainingRunnersAreNotPicked checks that draining runners get no requests, and that
// another zone is used if the own zone has no runner.
func TestDrainingRunnersAreNotPicked(t *testing.T) {
	b := testBalancer(1)
	known := b.runners["0"]
	known.latency = time.Second
	b.setRunners([]registry.Runner{{ID: "0", Service: "s", Zone: "z", Draining: true}, {ID: "far", Service: "s", Zone: "y"}}, Position{}, testStart)
	if got := b.pick("s", nil, testStart); got == nil || got.ID != "far" {
		t.Errorf("picked %v", got)
	}
	b.setRunners([]registry.Runner{{ID: "0", Service: "s", Zone: "z"}}, Position{}, testStart)
	if b.runners["0"] != known {
		t.Error("state of a known runner was lost")
	}
}

package agent

import (
	"testing"
	"time"

	"tealpond/internal/timing"
)

// TestLeasesExpireBySlowestClock: the runner's clock is read once, and may be slow from then on.
func TestLeasesExpireBySlowestClock(t *testing.T) {
	readAt := time.Unix(1000, 0)
	untilMs := int64(6000)
	leastMs := float64(untilMs-1000) + float64(runLeaseExpiryMargin.Milliseconds())
	slowest := time.Duration(leastMs*timing.LeaseClockDriftFactor) * time.Millisecond
	for _, test := range []struct {
		name    string
		clockMs int64
		after   time.Duration
		want    bool
	}{
		{"just before", 1000, slowest, false},
		{"just after", 1000, slowest + 2*time.Millisecond, true},
		{"the clock was never read", 0, time.Hour, false},
	} {
		session := &runnerSession{clockMs: test.clockMs, clockReadAt: readAt, longestRunLeaseUntilMs: untilMs}
		if got := session.leasesExpired(readAt.Add(test.after)); got != test.want {
			t.Errorf("%s: expired %v", test.name, got)
		}
	}
}

// TestSilentRunner: a runner counts as silent after two consecutive unanswered calls, and only some
// time after its last response.
func TestSilentRunner(t *testing.T) {
	start := time.Unix(1000, 0)
	session := &runnerSession{lastResponseAt: start}
	after := start.Add
	late := runnerSilenceTimeout + time.Millisecond
	session.recordResponse(RunnerResponse{}, after(0))
	if session.silent(after(late)) {
		t.Error("silent after one unanswered call")
	}
	session.recordResponse(RunnerResponse{}, after(0))
	if session.silent(after(runnerSilenceTimeout)) {
		t.Error("silent too soon")
	}
	if !session.silent(after(late)) {
		t.Error("not silent after two unanswered calls")
	}
	session.recordResponse(RunnerResponse{StatusCode: 503}, after(late))
	if session.silent(after(2 * late)) {
		t.Error("silent after a response")
	}
}

// TestClockReadingNeverDecreases: late responses with lower readings are ignored.
func TestClockReadingNeverDecreases(t *testing.T) {
	start := time.Unix(1000, 0)
	session := &runnerSession{}
	session.recordClock(5000, start)
	session.recordClock(4000, start.Add(time.Second))
	session.recordClock(0, start.Add(time.Second))
	if got := session.estimatedClockMs(start.Add(2 * time.Second)); got != 7000 {
		t.Errorf("the clock is estimated at %d ms, want 7000", got)
	}
}

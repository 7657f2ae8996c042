package agent

import (
	"testing"
	"time"

	"tealpond/internal/timing"
)

// TestLeasesExpireByTheSlowestClock: the runner's clock is read once, and may run
// slow from then on.
func TestLeasesExpireByTheSlowestClock(t *testing.T) {
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

// TestSilence: a runner is silent after two unanswered calls in a row, and only
// some time after its last answer.
func TestSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	session := &runnerSession{lastResponseAt: start}
	after := start.Add
	late := runnerSilenceTimeout + time.Millisecond
	session.noteResponse(RunnerResponse{}, after(0))
	if session.silent(after(late)) {
		t.Error("silent after one unanswered call")
	}
	session.noteResponse(RunnerResponse{}, after(0))
	if session.silent(after(runnerSilenceTimeout)) {
		t.Error("silent too soon")
	}
	if !session.silent(after(late)) {
		t.Error("not silent after two unanswered calls")
	}
	session.noteResponse(RunnerResponse{StatusCode: 503}, after(late))
	if session.silent(after(2 * late)) {
		t.Error("silent after an answer")
	}
}

// TestClockIsNeverReadBackwards: answers come late, and show less then.
func TestClockIsNeverReadBackwards(t *testing.T) {
	start := time.Unix(1000, 0)
	session := &runnerSession{}
	session.noteClock(5000, start)
	session.noteClock(4000, start.Add(time.Second))
	session.noteClock(0, start.Add(time.Second))
	if got := session.estimatedClockMs(start.Add(2 * time.Second)); got != 7000 {
		t.Errorf("the clock is estimated at %d ms, want 7000", got)
	}
}

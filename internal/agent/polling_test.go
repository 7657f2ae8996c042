package agent

import (
	"testing"
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/timing"
)

// TestPollWait checks how long a runner may delay its response in each state of the session.
func TestPollWait(t *testing.T) {
	now := time.Unix(1000, 0)
	running := func(took time.Duration, longRunning bool) *taskRun {
		return &taskRun{phase: runRunning, startedAt: now.Add(-took), assignment: rpc.Assignment{EstimateMs: 1000, LongRunning: longRunning}}
	}
	for name, test := range map[string]struct {
		change     func(*runnerSession)
		unanswered bool
		want       time.Duration
	}{
		"a run is in progress":            {func(*runnerSession) {}, false, runnerPollWait},
		"nothing runs":                    {func(s *runnerSession) { s.runs = nil }, false, runnerIdlePollWait},
		"nothing runs, reports in flight": {func(s *runnerSession) { s.runs, s.reportsInFlight = nil, 1 }, false, runnerIdlePollWait},
		"reports in flight":               {func(s *runnerSession) { s.reportsInFlight = 1 }, false, 0},
		"not listed yet":                  {func(s *runnerSession) { s.listed = false }, false, 0},
		"nothing runs, not listed yet":    {func(s *runnerSession) { s.runs, s.listed = nil, false }, false, 0},
		"first lease not confirmed yet":   {func(s *runnerSession) { s.confirmedRunLeaseUntilMs = 0 }, false, 0},
		"a call was unanswered":           {func(*runnerSession) {}, true, 0},
		"the runner may be silent":        {func(s *runnerSession) { s.unansweredCalls = 1 }, false, 0},
		"a run was stopped":               {func(s *runnerSession) { s.runs["b"] = &taskRun{phase: runStopped} }, false, stoppedRunPollWait},
		"a run is overdue":                {func(s *runnerSession) { s.runs["b"] = running(1601*time.Millisecond, false) }, false, overdueRunPollWait},
		"a run is nearly overdue":         {func(s *runnerSession) { s.runs["b"] = running(1600*time.Millisecond, false) }, false, runnerPollWait},
		"a long run is in progress":       {func(s *runnerSession) { s.runs["b"] = running(time.Hour, true) }, false, runnerPollWait},
	} {
		session := &runnerSession{
			listed:                   true,
			workerLeaseUntilMs:       5000,
			confirmedRunLeaseUntilMs: 4000,
			runs:                     map[string]*taskRun{"a": running(time.Second, false)},
		}
		test.change(session)
		if got := session.pollWait(now, test.unanswered); got != test.want {
			t.Errorf("%s: waits %v, want %v", name, got, test.want)
		}
	}
}

// TestReportPause: while completions are being reported, a poll is due once the lease can be
// extended by half of timing.MaxRunLeaseAhead.
func TestReportPause(t *testing.T) {
	now := time.Unix(1000, 0)
	aheadMs := timing.MaxRunLeaseAhead.Milliseconds()
	for _, test := range []struct {
		name        string
		confirmedMs int64
		want        time.Duration
	}{
		{"just extended", 10000 + aheadMs, time.Duration(aheadMs/2) * time.Millisecond},
		{"nearly due", 10000 + aheadMs/2 + 10, minReportPause},
		{"due", 10000 + aheadMs/2, 0},
	} {
		session := &runnerSession{clockMs: 9000, clockReadAt: now.Add(-time.Second), workerLeaseUntilMs: 1e6, confirmedRunLeaseUntilMs: test.confirmedMs}
		if got := session.reportPause(now); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestPollBackoff: each consecutive failure delays the next poll further, up to a maximum.
func TestPollBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	for failures, want := range map[int]time.Duration{0: 0, 1: 40 * time.Millisecond, 3: 140 * time.Millisecond, 50: 490 * time.Millisecond} {
		session := &runnerSession{pollFailures: failures, lastPollAt: now.Add(-10 * time.Millisecond)}
		if got := session.pollBackoff(now); got != want {
			t.Errorf("%d failures: %v, want %v", failures, got, want)
		}
	}
}

// TestListingCompleteness: a list with the maximum length may be truncated.
func TestListingCompleteness(t *testing.T) {
	var response protocol.KeepAliveResponse
	for i := range maxCompletionsListed {
		if l := newListing(response); !l.complete || len(l.completions) != i || len(l.ended) != i {
			t.Fatalf("%d completions: %d listed, %d ended, complete %v", i, len(l.completions), len(l.ended), l.complete)
		}
		response.Ended = append(response.Ended, []any{float64(i + 1), "j.0.0.0", float64(i + 1), "done", ""})
	}
	if newListing(response).complete {
		t.Errorf("a list of %d completions counts as complete", maxCompletionsListed)
	}
}

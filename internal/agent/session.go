package agent

import (
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/timing"
)

const (
	// runLeaseExpiryMargin is added before an agent regards the work of its silent runner as over.
	runLeaseExpiryMargin = 100 * time.Millisecond
	// runnerSilenceTimeout is the silence after which two unanswered requests mean that the runner is
	// gone, and not that they are late.
	runnerSilenceTimeout = 350 * time.Millisecond
)

// runnerSession is what is known of one incarnation of the runner. Fields whose
// names end in Ms are times on the runner's monotonic clock.
type runnerSession struct {
	id                string // the incarnation
	heartbeat         protocol.Heartbeat
	heartbeatSequence int64  // the highest heard
	previousID        string // the incarnation before it that this daemon had registered
	superseded        bool   // the incarnation has ended, or another daemon has registered it

	// Registration with the leader.
	fence             int64 // 0: not registered yet
	registering       bool
	replacedFence     int64 // fence of the incarnation before it on this machine
	drainingCommitted bool
	pendingHeartbeats []pendingHeartbeat

	// Leases.
	clockMs                  int64 // newest reading of the runner's clock
	clockReadAt              time.Time
	workerLeaseUntilMs       int64 // end of the agent's lease on the worker, given by the leader
	confirmedRunLeaseUntilMs int64 // end of the runner's lease on its runs, as the runner has confirmed it
	longestRunLeaseUntilMs   int64 // the latest end of that lease that was ever sent to the runner, answered or not
	renewingLease            bool
	lastRenewalAt            time.Time // of the last attempt, also of a registration that failed

	// Health.
	unansweredCalls   int // in a row
	lastResponseAt    time.Time
	lastStalledAt     time.Time // when a run was last found stalled
	reportedUnhealthy bool      // as the leader has last confirmed
	reportingHealth   bool
	runtimeSamples    []runtimeSample

	// Polls, numbered in the order in which they are sent.
	lastPoll         uint64
	lastPollAt       time.Time
	lastCompletePoll uint64 // the newest that brought both lists completely
	polling          bool   // a poll that may wait is in flight
	probing          bool   // a second one, that doesn't wait, is in flight
	pollFailures     int    // in a row
	listed           bool   // both lists were read completely under this fence

	// Runs and completions.
	runs              map[string]*taskRun
	completed         map[string]*completedRun
	committedSequence int64 // completions up to here are committed: the leader said so
	readSequence      int64 // completions up to here were read, and are being reported
	reportsInFlight   int   // of completions that the runner listed
}

// pendingHeartbeat is a heartbeat or sign-off that waits for the registration.
type pendingHeartbeat struct {
	draining bool
	status   chan int
}

// noteClock records the runner's clock; late answers show less.
func (s *runnerSession) noteClock(clockMs int64, now time.Time) {
	if clockMs > 0 && clockMs >= s.clockMs {
		s.clockMs, s.clockReadAt = clockMs, now
	}
}

// estimatedClockMs estimates the runner's clock from the newest reading.
func (s *runnerSession) estimatedClockMs(now time.Time) int64 {
	return s.clockMs + now.Sub(s.clockReadAt).Milliseconds()
}

// maxRunLeaseUntilMs is the latest end that the runner's lease may be extended to
// now: the end of the leader's lease, but at most timing.MaxRunLeaseAhead from
// now. The shorter the runner's lease, the sooner the runs of a silent runner have
// surely ended and can be placed elsewhere.
func (s *runnerSession) maxRunLeaseUntilMs(now time.Time) int64 {
	return min(s.workerLeaseUntilMs, s.estimatedClockMs(now)+timing.MaxRunLeaseAhead.Milliseconds())
}

// leasesExpired reports whether every lease that was ever sent to the silent runner
// has expired: its clock may run slow, and never shows less than this.
func (s *runnerSession) leasesExpired(now time.Time) bool {
	lowestClockMs := s.clockMs + int64(float64(now.Sub(s.clockReadAt).Milliseconds())/timing.LeaseClockDriftFactor)
	return s.clockMs > 0 && lowestClockMs > s.longestRunLeaseUntilMs+runLeaseExpiryMargin.Milliseconds()
}

// noteResponse counts calls in a row that the runner left without an answer.
func (s *runnerSession) noteResponse(response RunnerResponse, now time.Time) {
	if !response.answered() {
		s.unansweredCalls++
		return
	}
	s.unansweredCalls, s.lastResponseAt = 0, now
}

// silent reports whether the runner has fallen silent.
func (s *runnerSession) silent(now time.Time) bool {
	return s.unansweredCalls >= minUnansweredCalls && now.Sub(s.lastResponseAt) > runnerSilenceTimeout
}

package agent

import (
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/timing"
)

const (
	// runLeaseExpiryMargin is the additional time before the agent treats the runs of a silent
	// runner as ended.
	runLeaseExpiryMargin = 100 * time.Millisecond
	// runnerSilenceTimeout is the time without a response after which two unanswered requests mean
	// that the runner is silent, and not that the responses are late.
	runnerSilenceTimeout = 350 * time.Millisecond
)

// runnerSession is what the agent knows of one incarnation of the runner. Fields whose names end in
// Ms are times on the runner's monotonic clock.
type runnerSession struct {
	id                string // the incarnation
	heartbeat         protocol.Heartbeat
	heartbeatSequence int64  // the highest received
	previousID        string // the incarnation before it that this agent had registered
	superseded        bool   // the incarnation has ended, or another daemon has registered it

	// Registration with the leader.
	fence             int64 // 0: not registered yet
	registering       bool
	replacedFence     int64 // fence of the previous incarnation on this machine
	drainingCommitted bool
	pendingHeartbeats []pendingHeartbeat

	// Leases.
	clockMs                  int64 // newest reading of the runner's clock
	clockReadAt              time.Time
	workerLeaseUntilMs       int64 // end of the lease on the worker that the leader granted to the agent
	confirmedRunLeaseUntilMs int64 // end of the runner's lease on its runs, as confirmed by the runner
	longestRunLeaseUntilMs   int64 // the latest end of that lease that was ever sent to the runner, answered or not
	renewingLease            bool
	lastRenewalAt            time.Time // the last attempt, including failed registrations

	// Health.
	unansweredCalls   int // consecutive
	lastResponseAt    time.Time
	lastStalledAt     time.Time // when a run was last found stalled
	reportedUnhealthy bool      // as last reported to the leader
	healthUnconfirmed bool      // the leader has not confirmed that report
	reportingHealth   bool
	// eligibilityReports is the number of reports of the session so far.
	eligibilityReports int64
	runtimeSamples     []runtimeSample

	// Polls, numbered in the order in which they are sent.
	lastPoll         uint64
	lastPollAt       time.Time
	lastCompletePoll uint64 // the newest that returned the lists of running and completed runs completely
	polling          bool   // a long poll is in flight
	probing          bool   // a second poll, without waiting, is in flight
	pollFailures     int    // consecutive
	listed           bool   // the lists of running and completed runs were read completely under this fence

	// Runs and completions.
	runs              map[string]*taskRun
	completed         map[string]*completedRun
	committedSequence int64 // completions up to here are committed, as confirmed by the leader
	readSequence      int64 // completions up to here were read, and are being reported
	reportsInFlight   int   // of completions that the runner listed
}

// pendingHeartbeat is a heartbeat or sign-off that waits for the registration.
type pendingHeartbeat struct {
	draining bool
	status   chan int
}

// recordClock records a reading of the runner's clock; late responses with older readings are
// ignored.
func (s *runnerSession) recordClock(clockMs int64, now time.Time) {
	if clockMs > 0 && clockMs >= s.clockMs {
		s.clockMs, s.clockReadAt = clockMs, now
	}
}

// estimatedClockMs estimates the runner's clock from the newest reading.
func (s *runnerSession) estimatedClockMs(now time.Time) int64 {
	return s.clockMs + now.Sub(s.clockReadAt).Milliseconds()
}

// maxRunLeaseUntilMs returns the latest time to which the runner's lease may be extended now: the
// end of the leader's lease, but at most timing.MaxRunLeaseAhead from now. The shorter the runner's
// lease, the sooner the runs of a silent runner have certainly ended and can be placed elsewhere.
func (s *runnerSession) maxRunLeaseUntilMs(now time.Time) int64 {
	return min(s.workerLeaseUntilMs, s.estimatedClockMs(now)+timing.MaxRunLeaseAhead.Milliseconds())
}

// leasesExpired reports whether every lease that was ever sent to the silent runner has expired,
// even if the runner's clock is slow by timing.LeaseClockDriftFactor.
func (s *runnerSession) leasesExpired(now time.Time) bool {
	lowestClockMs := s.clockMs + int64(float64(now.Sub(s.clockReadAt).Milliseconds())/timing.LeaseClockDriftFactor)
	return s.clockMs > 0 && lowestClockMs > s.longestRunLeaseUntilMs+runLeaseExpiryMargin.Milliseconds()
}

// recordResponse counts consecutive calls without a response from the runner.
func (s *runnerSession) recordResponse(response RunnerResponse, now time.Time) {
	if !response.answered() {
		s.unansweredCalls++
		return
	}
	s.unansweredCalls, s.lastResponseAt = 0, now
}

// silent reports whether the runner no longer responds.
func (s *runnerSession) silent(now time.Time) bool {
	return s.unansweredCalls >= minUnansweredCalls && now.Sub(s.lastResponseAt) > runnerSilenceTimeout
}

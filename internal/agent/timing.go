package agent

import "time"

// Timeouts of requests to the leader.
const (
	registerTimeout = 10 * time.Second
	renewTimeout    = 3 * time.Second
	reportTimeout   = 20 * time.Second
	healthTimeout   = time.Second
	// A runner tries another daemon when its heartbeat or sign-off got no response within a second.
	eligibilityTimeout = 950 * time.Millisecond
	heartbeatTimeout   = 970 * time.Millisecond // for the response to the runner
)

// Delays before the next step of a run.
const (
	leaseWaitPause      = 50 * time.Millisecond  // a start waits for a longer lease
	startRetryStep      = 10 * time.Millisecond  // per unanswered start of the run
	startRetryMax       = 300 * time.Millisecond // maximum of these
	lateStartPause      = 20 * time.Millisecond  // after a start that arrived after the end of its lease
	unhealthyStartStep  = 40 * time.Millisecond  // per response of an unhealthy runner
	stopRetryPause      = 30 * time.Millisecond
	newIncarnationPause = 500 * time.Millisecond // until the new incarnation's heartbeat ends the old one
)

// maxUnhealthyStarts is how many times a start is sent that the runner answers with 429 or 503;
// then the run counts as refused.
const maxUnhealthyStarts = 3

// minUnansweredCalls is the number of consecutive calls without a response after which a runner may
// count as silent.
const minUnansweredCalls = 2

// maxMissedPolls is the number of consecutive complete lists without a started run after which the
// run counts as stopped.
const maxMissedPolls = 2

// minStartLeaseMs is the minimum remaining lease for a start, on the runner's clock: a shorter
// lease could end before the start arrives.
const minStartLeaseMs = 300

// Delays and wait times of polls.
const (
	pollRetryStep      = 50 * time.Millisecond  // per consecutive failed poll
	pollRetryMax       = 500 * time.Millisecond // maximum of these
	minReportPause     = 50 * time.Millisecond  // while completions are being reported
	stoppedRunPollWait = 100 * time.Millisecond // a stopped run is expected to end soon
)

// Delays between checks of the runner's health.
const (
	unhealthyPause = 100 * time.Millisecond // while it is reported as unhealthy
	silentPause    = 50 * time.Millisecond  // while it does not respond
)

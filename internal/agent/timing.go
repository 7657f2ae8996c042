package agent

import "time"

// Bounds of requests to the leader.
const (
	registerTimeout = 10 * time.Second
	renewTimeout    = 3 * time.Second
	reportTimeout   = 20 * time.Second
	healthTimeout   = time.Second
	// A runner tries another daemon when its heartbeat or sign-off has had no
	// answer for a second.
	eligibilityTimeout = 950 * time.Millisecond
	heartbeatTimeout   = 970 * time.Millisecond // for the answer to the runner
)

// Pauses before the next step of a run.
const (
	leaseWaitPause      = 50 * time.Millisecond  // a start waits for a longer lease
	startRetryStep      = 10 * time.Millisecond  // after each unanswered start of the run
	startRetryMax       = 300 * time.Millisecond // the longest of these
	lateStartPause      = 20 * time.Millisecond  // a start came after the end of its lease
	unhealthyStartStep  = 40 * time.Millisecond  // after each answer of an unhealthy runner
	stopRetryPause      = 30 * time.Millisecond
	newIncarnationPause = 500 * time.Millisecond // until its heartbeat ends the old one
)

// maxUnhealthyStarts is how many times a start is sent that the runner answers
// with 429 or 503; then the run counts as refused.
const maxUnhealthyStarts = 3

// minUnansweredCalls is how many calls in a row must have had no answer before a
// runner counts as silent.
const minUnansweredCalls = 2

// maxMissedPolls is how many complete lists in a row may leave out a run that was
// started; then it counts as stopped.
const maxMissedPolls = 2

// minStartLeaseMs is the least lease that a start is sent with, on the runner's
// clock: a shorter one could end before the start arrives.
const minStartLeaseMs = 300

// Pauses and waits of polls.
const (
	pollRetryStep      = 50 * time.Millisecond  // after each poll that failed in a row
	pollRetryMax       = 500 * time.Millisecond // the longest of these
	minReportPause     = 50 * time.Millisecond  // while completions are being reported
	stoppedRunPollWait = 100 * time.Millisecond // the end of a stopped run comes soon
)

// Pauses of the supervision of the runner's health.
const (
	unhealthyPause = 100 * time.Millisecond // while it is reported as unhealthy
	silentPause    = 50 * time.Millisecond  // while it answers nothing
)
